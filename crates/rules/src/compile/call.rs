//! Compiles function calls.

use promql_parser::parser::value::ValueType;
use promql_parser::parser::{Call, Expr};

use super::{Compiler, label_name, rule_duration, string_literal};
use crate::calendar::DateField;
use crate::expr::{MatchOp, Node, Selector, Source};
use crate::function::{Function, sign};
use crate::labels::{Labels, METRIC_NAME};
use crate::pattern;
use crate::range::RangeFunction;
use crate::time::RuleDuration;

impl Compiler {
    pub(super) fn call(&mut self, parsed: &Call) -> Result<Node, String> {
        let name = parsed.func.name;
        let args = &parsed.args.args;
        if let Some(function) = range_function(name) {
            return self.range_call(function, args);
        }
        if let "label_replace" | "label_join" = name {
            let function = label_function(name, &args[1..])?;
            return Ok(Node::Call(function, vec![self.node(&args[0])?]));
        }
        let Some(function) = function(name) else {
            return Err(format!("the function {name} can't be evaluated exactly"));
        };
        for (i, arg) in args.iter().enumerate() {
            // For some functions the parser doesn't check the type of a constant argument.
            let expected = parsed.func.arg_types[i.min(parsed.func.arg_types.len() - 1)];
            if arg.value_type() != expected {
                return Err(format!(
                    "argument {} of {name} is a {}, expected a {expected}",
                    i + 1,
                    arg.value_type()
                ));
            }
        }
        let args = args
            .iter()
            .map(|arg| self.node(arg))
            .collect::<Result<Vec<_>, _>>()?;
        let function = match (function, args.first()) {
            (Function::Absent(_), Some(Node::Selector(selector))) => {
                Function::Absent(labels_of_absent(selector))
            }
            (function, _) => function,
        };
        Ok(Node::Call(function, args))
    }

    fn range_call(&mut self, function: RangeFunction, args: &[Box<Expr>]) -> Result<Node, String> {
        let mut range = None;
        let mut param = None;
        for arg in args {
            let mut arg = arg.as_ref();
            while let Expr::Paren(paren) = arg {
                arg = &paren.expr;
            }
            match arg {
                Expr::MatrixSelector(matrix) => {
                    let length = rule_duration(matrix.range)?;
                    range = Some((Source::Selector(self.selector(&matrix.vs, length)?), length));
                }
                Expr::Subquery(subquery) => {
                    let length = rule_duration(subquery.range)?;
                    range = Some((
                        Source::Subquery(Box::new(self.subquery(subquery, length)?)),
                        length,
                    ));
                }
                arg if arg.value_type() == ValueType::Scalar => {
                    param = Some(Box::new(self.node(arg)?));
                }
                _ => return Err("a range vector selector is expected here".to_owned()),
            }
        }
        let Some((source, range)) = range else {
            return Err("a range vector selector is expected here".to_owned());
        };
        if range <= RuleDuration::ZERO {
            return Err("the range is 0, expected a positive duration".to_owned());
        }
        let function = match (function, &source) {
            (RangeFunction::Absent(_), Source::Selector(selector)) => {
                RangeFunction::Absent(labels_of_absent(selector))
            }
            (function, _) => function,
        };
        Ok(Node::Range(function, source, range, param))
    }
}

fn range_function(name: &str) -> Option<RangeFunction> {
    Some(match name {
        "rate" => RangeFunction::Rate,
        "increase" => RangeFunction::Increase,
        "delta" => RangeFunction::Delta,
        "irate" => RangeFunction::Irate,
        "idelta" => RangeFunction::Idelta,
        "deriv" => RangeFunction::Deriv,
        "predict_linear" => RangeFunction::PredictLinear,
        "changes" => RangeFunction::Changes,
        "resets" => RangeFunction::Resets,
        "avg_over_time" => RangeFunction::Avg,
        "min_over_time" => RangeFunction::Min,
        "max_over_time" => RangeFunction::Max,
        "sum_over_time" => RangeFunction::Sum,
        "count_over_time" => RangeFunction::Count,
        "last_over_time" => RangeFunction::Last,
        "present_over_time" => RangeFunction::Present,
        "quantile_over_time" => RangeFunction::Quantile,
        "stddev_over_time" => RangeFunction::Stddev,
        "stdvar_over_time" => RangeFunction::Stdvar,
        "absent_over_time" => RangeFunction::Absent(Labels::new()),
        _ => return None,
    })
}

fn function(name: &str) -> Option<Function> {
    Some(match name {
        "abs" => Function::Map(f64::abs),
        "ceil" => Function::Map(f64::ceil),
        "floor" => Function::Map(f64::floor),
        "exp" => Function::Map(f64::exp),
        "ln" => Function::Map(f64::ln),
        "log2" => Function::Map(f64::log2),
        "log10" => Function::Map(f64::log10),
        "sqrt" => Function::Map(f64::sqrt),
        "sgn" => Function::Map(sign),
        "round" => Function::Round,
        "clamp" => Function::Clamp,
        "clamp_min" => Function::ClampMin,
        "clamp_max" => Function::ClampMax,
        "absent" => Function::Absent(Labels::new()),
        "scalar" => Function::Scalar,
        "vector" => Function::Vector,
        "time" => Function::Time,
        "pi" => Function::Pi,
        "timestamp" => Function::Timestamp,
        "sort" | "sort_desc" => Function::Sort,
        "histogram_quantile" => Function::HistogramQuantile,
        "minute" => Function::Date(DateField::Minute),
        "hour" => Function::Date(DateField::Hour),
        "day_of_week" => Function::Date(DateField::DayOfWeek),
        "day_of_month" => Function::Date(DateField::DayOfMonth),
        "day_of_year" => Function::Date(DateField::DayOfYear),
        "days_in_month" => Function::Date(DateField::DaysInMonth),
        "month" => Function::Date(DateField::Month),
        "year" => Function::Date(DateField::Year),
        _ => return None,
    })
}

fn label_function(name: &str, args: &[Box<Expr>]) -> Result<Function, String> {
    let strings = args
        .iter()
        .map(|arg| string_literal(arg))
        .collect::<Result<Vec<_>, _>>()?;
    match strings.as_slice() {
        [target, replacement, source, regex] if name == "label_replace" => {
            Ok(Function::LabelReplace {
                target: label_name(target)?,
                replacement: replacement.clone(),
                source: source.clone(),
                pattern: pattern::compile(regex)?,
            })
        }
        [target, separator, sources @ ..] if name == "label_join" => Ok(Function::LabelJoin {
            target: label_name(target)?,
            separator: separator.clone(),
            sources: sources
                .iter()
                .map(|name| label_name(name))
                .collect::<Result<_, _>>()?,
        }),
        _ => Err(format!("{name} has the wrong number of arguments")),
    }
}

/// Returns the labels that `absent` gives its result: those set by exactly one
/// equality matcher.
fn labels_of_absent(selector: &Selector) -> Labels {
    let mut labels = Labels::new();
    let mut seen: Vec<&str> = Vec::new();
    for matcher in selector.matchers.iter().filter(|m| m.name != METRIC_NAME) {
        match &matcher.op {
            MatchOp::Equal(value) if !seen.contains(&matcher.name.as_str()) => {
                labels.set(&matcher.name, value);
            }
            _ => labels.remove(&matcher.name),
        }
        seen.push(&matcher.name);
    }
    labels
}
