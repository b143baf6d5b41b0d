//! Binary operators with vector matching.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::EvalError;
use crate::eval::{Context, Element, Value, distinct};
use crate::expr::{Binary, BinaryOp, Grouping, ManySide};
use crate::labels::Labels;

/// Evaluates a binary operation.
pub(crate) fn binary(cx: Context<'_>, operation: &Binary) -> Result<Value, EvalError> {
    let lhs = cx.eval(&operation.lhs)?;
    let rhs = cx.eval(&operation.rhs)?;
    let elements = match (lhs, rhs) {
        (Value::Scalar(lhs), Value::Scalar(rhs)) => {
            let (value, keep) = apply(operation.op, lhs, rhs);
            let value = if operation.op.is_comparison() {
                f64::from(keep)
            } else {
                value
            };
            return Ok(Value::Scalar(value));
        }
        (Value::Vector(lhs), Value::Scalar(rhs)) => vector_with_scalar(operation, lhs, rhs, false),
        (Value::Scalar(lhs), Value::Vector(rhs)) => vector_with_scalar(operation, rhs, lhs, true),
        (Value::Vector(lhs), Value::Vector(rhs)) => match operation.op {
            BinaryOp::And | BinaryOp::Or | BinaryOp::Unless => set_operation(operation, lhs, rhs),
            _ => vector_with_vector(cx, operation, lhs, rhs)?,
        },
    };
    distinct(elements).map(Value::Vector)
}

/// Returns the value and, for a comparison, whether it holds.
fn apply(op: BinaryOp, lhs: f64, rhs: f64) -> (f64, bool) {
    match op {
        BinaryOp::Add => (lhs + rhs, true),
        BinaryOp::Sub => (lhs - rhs, true),
        BinaryOp::Mul => (lhs * rhs, true),
        BinaryOp::Div => (lhs / rhs, true),
        BinaryOp::Mod => (lhs % rhs, true),
        BinaryOp::Pow => (lhs.powf(rhs), true),
        BinaryOp::Atan2 => (lhs.atan2(rhs), true),
        BinaryOp::Equal => (lhs, lhs == rhs),
        BinaryOp::NotEqual => (lhs, lhs != rhs),
        BinaryOp::Greater => (lhs, lhs > rhs),
        BinaryOp::GreaterEqual => (lhs, lhs >= rhs),
        BinaryOp::Less => (lhs, lhs < rhs),
        BinaryOp::LessEqual => (lhs, lhs <= rhs),
        BinaryOp::And | BinaryOp::Or | BinaryOp::Unless => (lhs, true),
    }
}

fn vector_with_scalar(
    operation: &Binary,
    vector: Vec<Element>,
    scalar: f64,
    scalar_first: bool,
) -> Vec<Element> {
    let mut out = Vec::new();
    for mut element in vector {
        let (lhs, rhs) = if scalar_first {
            (scalar, element.value)
        } else {
            (element.value, scalar)
        };
        let (value, keep) = apply(operation.op, lhs, rhs);
        // A comparison returns the value of the vector, whichever side it is on.
        if !operation.op.is_comparison() {
            element.value = value;
        } else if operation.returns_bool {
            element.value = f64::from(keep);
        } else if !keep {
            continue;
        }
        if drops_name(operation) {
            element.labels = element.labels.without_name();
        }
        out.push(element);
    }
    out
}

fn set_operation(operation: &Binary, lhs: Vec<Element>, rhs: Vec<Element>) -> Vec<Element> {
    let keys = |side: &[Element]| -> BTreeSet<Labels> {
        side.iter()
            .map(|e| operation.matching.key(&e.labels))
            .collect()
    };
    let filter = |side: Vec<Element>, keys: &BTreeSet<Labels>, present: bool| {
        let kept = side
            .into_iter()
            .filter(|e| keys.contains(&operation.matching.key(&e.labels)) == present);
        kept.collect::<Vec<_>>()
    };
    match operation.op {
        BinaryOp::Or => {
            let left_keys = keys(&lhs);
            let mut out = lhs;
            out.extend(filter(rhs, &left_keys, false));
            out
        }
        op => filter(lhs, &keys(&rhs), op == BinaryOp::And),
    }
}

fn vector_with_vector(
    cx: Context<'_>,
    operation: &Binary,
    lhs: Vec<Element>,
    rhs: Vec<Element>,
) -> Result<Vec<Element>, EvalError> {
    if lhs.is_empty() || rhs.is_empty() {
        return Ok(Vec::new());
    }
    let swapped = matches!(operation.many_side, ManySide::Right(_));
    let (many, one) = if swapped { (rhs, lhs) } else { (lhs, rhs) };
    let mut by_key = BTreeMap::new();
    for element in &one {
        let key = operation.matching.key(&element.labels);
        if by_key.insert(key.clone(), element).is_some() {
            return Err(EvalError::ManyToMany(key.to_string()));
        }
    }
    let mut matched = BTreeSet::new();
    let mut out = Vec::new();
    for element in &many {
        let key = operation.matching.key(&element.labels);
        let Some(other) = by_key.get(&key) else {
            continue;
        };
        let (left, right) = if swapped {
            (*other, element)
        } else {
            (element, *other)
        };
        let (mut value, keep) = apply(operation.op, left.value, right.value);
        if operation.returns_bool {
            value = f64::from(keep);
        } else if !keep {
            continue;
        }
        let labels = result_labels(operation, &element.labels, &other.labels);
        match operation.many_side {
            ManySide::Neither if !matched.insert((key.clone(), Labels::new())) => {
                return Err(EvalError::ManyToOne(key.to_string()));
            }
            ManySide::Left(_) | ManySide::Right(_)
                if !matched.insert((key.clone(), labels.clone())) =>
            {
                return Err(EvalError::GroupNotUnique(labels.to_string()));
            }
            _ => out.push(Element {
                labels,
                value,
                at: cx.at,
            }),
        }
    }
    Ok(out)
}

fn result_labels(operation: &Binary, many: &Labels, one: &Labels) -> Labels {
    let mut labels = many.clone();
    if drops_name(operation) {
        labels = labels.without_name();
    }
    match &operation.many_side {
        ManySide::Neither => match &operation.matching {
            Grouping::By(names) => labels.keep(names),
            Grouping::Without(names) => labels.drop(names),
        },
        ManySide::Left(copied) | ManySide::Right(copied) => {
            for name in copied {
                labels.set(name, one.get(name));
            }
            labels
        }
    }
}

fn drops_name(operation: &Binary) -> bool {
    !operation.op.is_comparison() || operation.returns_bool
}
