//! Evaluation of expressions at one point in time.

use std::collections::BTreeSet;

use crate::aggregate::aggregate;
use crate::binary::binary;
use crate::error::EvalError;
use crate::expr::{Node, Selector};
use crate::function::call;
use crate::labels::Labels;
use crate::range::range_function;
use crate::time::EventTime;
use crate::window::Window;

#[derive(Debug, Clone)]
pub(crate) enum Value {
    Scalar(f64),
    /// An instant vector; the label sets of its elements are distinct.
    Vector(Vec<Element>),
}

impl Value {
    /// Returns the number, or NaN for a vector.
    pub(crate) fn scalar(self) -> f64 {
        match self {
            Self::Scalar(value) => value,
            Self::Vector(_) => f64::NAN,
        }
    }

    /// Returns the elements; a scalar becomes one element without labels.
    pub(crate) fn vector(self, at: EventTime) -> Vec<Element> {
        match self {
            Self::Scalar(value) => vec![Element {
                labels: Labels::new(),
                value,
                at,
            }],
            Self::Vector(elements) => elements,
        }
    }
}

/// An element of an instant vector.
#[derive(Debug, Clone)]
pub(crate) struct Element {
    /// Labels, including the metric name unless an operation has dropped it.
    pub(crate) labels: Labels,
    pub(crate) value: f64,
    /// Time of the sample if the element comes from a selector, else the evaluation time.
    pub(crate) at: EventTime,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Context<'a> {
    pub(crate) window: &'a Window,
    /// Evaluation time; shifted inside subqueries.
    pub(crate) at: EventTime,
}

impl Context<'_> {
    pub(crate) fn eval(self, node: &Node) -> Result<Value, EvalError> {
        match node {
            Node::Number(value) => Ok(Value::Scalar(*value)),
            Node::Selector(selector) => Ok(Value::Vector(self.select(selector))),
            Node::Range(function, source, range, param) => {
                let param = param.as_deref().map(|node| self.eval(node)).transpose()?;
                let param = param.map_or(f64::NAN, Value::scalar);
                distinct(range_function(self, function, source, *range, param)?).map(Value::Vector)
            }
            Node::Call(function, args) => call(self, function, args),
            Node::Negate(operand) => match self.eval(operand)? {
                Value::Scalar(value) => Ok(Value::Scalar(-value)),
                Value::Vector(elements) => {
                    distinct(map_values(elements, |v| -v)).map(Value::Vector)
                }
            },
            Node::Binary(operation) => binary(self, operation),
            Node::Aggregate(aggregation) => aggregate(self, aggregation).map(Value::Vector),
        }
    }

    /// Evaluates an instant vector selector.
    fn select(self, selector: &Selector) -> Vec<Element> {
        let at = self.at.minus(selector.offset);
        let element = |(labels, samples)| {
            let (at, value) = self.window.latest_at(samples, at)?;
            Some(Element {
                labels: Labels::clone(labels),
                value,
                at,
            })
        };
        self.window.select(selector).filter_map(element).collect()
    }
}

/// Applies a function to each value and drops the metric name.
pub(crate) fn map_values(elements: Vec<Element>, f: impl Fn(f64) -> f64) -> Vec<Element> {
    let map = |e: Element| Element {
        labels: e.labels.without_name(),
        value: f(e.value),
        at: e.at,
    };
    elements.into_iter().map(map).collect()
}

/// Returns an error if two elements have the same labels.
pub(crate) fn distinct(elements: Vec<Element>) -> Result<Vec<Element>, EvalError> {
    let mut seen = BTreeSet::new();
    for element in &elements {
        if !seen.insert(&element.labels) {
            return Err(EvalError::DuplicateLabels(element.labels.to_string()));
        }
    }
    Ok(elements)
}
