//! Functions of instant vectors, scalars and strings.

use regex::Regex;

use crate::calendar::{DateField, date_field};
use crate::error::EvalError;
use crate::eval::{Context, Element, Value, distinct, map_values};
use crate::expr::Node;
use crate::histogram::histogram_quantile;
use crate::labels::Labels;

/// A function with its constant arguments.
#[derive(Debug, Clone)]
pub(crate) enum Function {
    /// Maps each value, such as `abs`.
    Map(fn(f64) -> f64),
    Date(DateField),
    Round,
    Clamp,
    ClampMin,
    ClampMax,
    /// The labels of the result are taken from the matchers.
    Absent(Labels),
    Scalar,
    Vector,
    Time,
    Pi,
    Timestamp,
    /// `sort` and `sort_desc`: the order of a vector has no effect on a rule.
    Sort,
    HistogramQuantile,
    LabelReplace {
        target: String,
        replacement: String,
        source: String,
        pattern: Regex,
    },
    LabelJoin {
        target: String,
        separator: String,
        sources: Vec<String>,
    },
}

/// Evaluates a call.
pub(crate) fn call(
    cx: Context<'_>,
    function: &Function,
    args: &[Node],
) -> Result<Value, EvalError> {
    let scalar = |i: usize| match args.get(i) {
        Some(node) => cx.eval(node).map(Value::scalar).map(Some),
        None => Ok(None),
    };
    let vector = |i: usize| match args.get(i) {
        Some(node) => cx.eval(node).map(|value| value.vector(cx.at)),
        None => Ok(Value::Scalar(cx.at.as_secs_f64()).vector(cx.at)),
    };
    let elements = match function {
        Function::Time => return Ok(Value::Scalar(cx.at.as_secs_f64())),
        Function::Pi => return Ok(Value::Scalar(std::f64::consts::PI)),
        Function::Scalar => {
            let value = match vector(0)?.as_slice() {
                [only] => only.value,
                _ => f64::NAN,
            };
            return Ok(Value::Scalar(value));
        }
        Function::Sort | Function::Vector => vector(0)?,
        Function::Map(f) => map_values(vector(0)?, f),
        Function::Date(field) => map_values(vector(0)?, |v| date_field(*field, v)),
        Function::Timestamp => {
            let direct = matches!(args.first(), Some(Node::Selector(_)));
            let at = |e: &Element| if direct { e.at } else { cx.at }.as_secs_f64();
            let timestamp = |e: Element| Element {
                value: at(&e),
                labels: e.labels.without_name(),
                at: cx.at,
            };
            vector(0)?.into_iter().map(timestamp).collect()
        }
        Function::Round => {
            let inverse = 1.0 / scalar(1)?.unwrap_or(1.0);
            map_values(vector(0)?, |v| (v * inverse + 0.5).floor() / inverse)
        }
        Function::Clamp => {
            let (low, high) = (
                scalar(1)?.unwrap_or(f64::NAN),
                scalar(2)?.unwrap_or(f64::NAN),
            );
            if high < low {
                Vec::new()
            } else {
                map_values(vector(0)?, |v| max_or_nan(low, min_or_nan(high, v)))
            }
        }
        Function::ClampMin => {
            let low = scalar(1)?.unwrap_or(f64::NAN);
            map_values(vector(0)?, |v| max_or_nan(low, v))
        }
        Function::ClampMax => {
            let high = scalar(1)?.unwrap_or(f64::NAN);
            map_values(vector(0)?, |v| min_or_nan(high, v))
        }
        Function::Absent(labels) if vector(0)?.is_empty() => {
            vec![Element {
                labels: labels.clone(),
                value: 1.0,
                at: cx.at,
            }]
        }
        Function::Absent(_) => Vec::new(),
        Function::HistogramQuantile => {
            histogram_quantile(scalar(0)?.unwrap_or(f64::NAN), vector(1)?, cx.at)
        }
        Function::LabelReplace {
            target,
            replacement,
            source,
            pattern,
        } => {
            let mut elements = vector(0)?;
            for element in &mut elements {
                let text = element.labels.get(source).to_owned();
                if let Some(captures) = pattern.captures(&text) {
                    let mut value = String::new();
                    captures.expand(replacement, &mut value);
                    element.labels.set(target, &value);
                }
            }
            elements
        }
        Function::LabelJoin {
            target,
            separator,
            sources,
        } => {
            let mut elements = vector(0)?;
            for element in &mut elements {
                let parts: Vec<&str> = sources
                    .iter()
                    .map(|name| element.labels.get(name))
                    .collect();
                let joined = parts.join(separator);
                element.labels.set(target, &joined);
            }
            elements
        }
    };
    distinct(elements).map(Value::Vector)
}

/// Returns the larger number, or NaN if one of them is NaN.
fn max_or_nan(a: f64, b: f64) -> f64 {
    if a.is_nan() || b.is_nan() {
        f64::NAN
    } else {
        a.max(b)
    }
}

/// Returns the smaller number, or NaN if one of them is NaN.
fn min_or_nan(a: f64, b: f64) -> f64 {
    if a.is_nan() || b.is_nan() {
        f64::NAN
    } else {
        a.min(b)
    }
}

/// Returns the sign; NaN and zero are returned unchanged.
pub(crate) fn sign(value: f64) -> f64 {
    if value < 0.0 {
        -1.0
    } else if value > 0.0 {
        1.0
    } else {
        value
    }
}
