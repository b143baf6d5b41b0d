//! Compiles PromQL expressions and rejects whatever can't be evaluated exactly.

mod call;

use std::panic::catch_unwind;
use std::str::FromStr;

use promql_parser::label::{MatchOp as ParsedOp, Matcher as ParsedMatcher};
use promql_parser::parser::token::{
    T_ADD, T_ATAN2, T_AVG, T_BOTTOMK, T_COUNT, T_COUNT_VALUES, T_DIV, T_EQLC, T_GROUP, T_GTE,
    T_GTR, T_LAND, T_LOR, T_LSS, T_LTE, T_LUNLESS, T_MAX, T_MIN, T_MOD, T_MUL, T_NEQ, T_POW,
    T_QUANTILE, T_STDDEV, T_STDVAR, T_SUB, T_SUM, T_TOPK,
};
use promql_parser::parser::value::ValueType;
use promql_parser::parser::{
    AggregateExpr, AtModifier, BinaryExpr, Expr, LabelModifier, Offset, SubqueryExpr,
    VectorMatchCardinality, VectorSelector,
};

use crate::expr::{
    Aggregate, AggregateOp, Binary, BinaryOp, Expression, Grouping, ManySide, MatchOp, Matcher,
    Node, Selector, Subquery,
};
use crate::labels::{METRIC_NAME, is_label_name};
use crate::pattern;
use crate::time::RuleDuration;
use crate::window::LOOKBACK_DELTA;

const MAX_EXPRESSION_BYTES: usize = 8 * 1024;

/// Maximum nesting of operators and calls; evaluation recurses once per level.
const MAX_DEPTH: usize = 200;

/// Maximum number of evaluations of one subquery; bounds the time of a rule evaluation.
const MAX_SUBQUERY_STEPS: i64 = 10_000;

/// Maximum lookback of an expression; bounds the sample window.
const MAX_LOOKBACK: RuleDuration = RuleDuration::from_secs(31 * 86_400);

impl FromStr for Expression {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if text.len() > MAX_EXPRESSION_BYTES {
            return Err(format!(
                "the expression has {} bytes, expected at most {MAX_EXPRESSION_BYTES}; split it with recording rules",
                text.len()
            ));
        }
        // The parser panics on some numbers in place of durations, such as negative ones.
        let parsed = catch_unwind(|| promql_parser::parser::parse(text));
        let parsed = parsed.unwrap_or_else(|_| Err("the parser can't read it".to_owned()));
        let parsed = parsed.map_err(|err| {
            format!("the expression {text:?} is not valid: {err}; correct it by the published PromQL syntax")
        })?;
        let mut compiler = Compiler {
            lookback: RuleDuration::ZERO,
            depth: 0,
            in_subquery: false,
        };
        let with_hint = |message| format!("{message}; rewrite the expression without it");
        if !matches!(parsed.value_type(), ValueType::Scalar | ValueType::Vector) {
            let found = parsed.value_type();
            return Err(with_hint(format!(
                "the expression returns a {found}, expected a vector or a scalar"
            )));
        }
        let node = compiler.node(&parsed).map_err(with_hint)?;
        Ok(Self {
            text: text.to_owned(),
            node,
            lookback: compiler.lookback,
        })
    }
}

/// Converts a parsed expression and computes its lookback.
struct Compiler {
    lookback: RuleDuration,
    depth: usize,
    in_subquery: bool,
}

impl Compiler {
    /// Converts a subquery; its expression looks back from the start of the range.
    fn subquery(&mut self, parsed: &SubqueryExpr, range: RuleDuration) -> Result<Subquery, String> {
        let Some(step) = parsed.step else {
            return Err("a subquery without a step depends on a global setting".to_owned());
        };
        let step = rule_duration(step)?;
        let steps = range.as_millis().checked_div(step.as_millis());
        if steps.is_none_or(|steps| steps > MAX_SUBQUERY_STEPS) {
            return Err(format!(
                "a subquery has a step of {step}, expected at most {MAX_SUBQUERY_STEPS} steps"
            ));
        }
        let offset = offset(parsed.offset.as_ref())?;
        self.check_at_modifier(parsed.at.as_ref())?;
        let (outer_lookback, outer_subquery) = (self.lookback, self.in_subquery);
        (self.lookback, self.in_subquery) = (RuleDuration::ZERO, true);
        let expr = self.node(&parsed.expr)?;
        let lookback = self.lookback.plus(range).plus(offset);
        (self.lookback, self.in_subquery) = (outer_lookback, outer_subquery);
        self.add_lookback(lookback)?;
        Ok(Subquery { expr, offset, step })
    }

    /// Accepts only `@` modifiers that refer to the evaluation time.
    fn check_at_modifier(&self, at: Option<&AtModifier>) -> Result<(), String> {
        match at {
            None => Ok(()),
            Some(_) if self.in_subquery => {
                Err("\"@\" in a subquery can't be evaluated exactly".to_owned())
            }
            // A rule is evaluated at a single time, which is both start and end.
            Some(AtModifier::Start | AtModifier::End) => Ok(()),
            Some(AtModifier::At(_)) => {
                Err("\"@\" with a fixed time needs samples that the window doesn't keep".to_owned())
            }
        }
    }

    fn add_lookback(&mut self, lookback: RuleDuration) -> Result<(), String> {
        if lookback > MAX_LOOKBACK {
            return Err(format!(
                "the expression looks back {lookback}, expected at most {MAX_LOOKBACK}"
            ));
        }
        self.lookback = self.lookback.max(lookback);
        Ok(())
    }

    fn node(&mut self, expr: &Expr) -> Result<Node, String> {
        self.depth += 1;
        if self.depth > MAX_DEPTH {
            return Err(format!(
                "the expression is nested more than {MAX_DEPTH} levels deep"
            ));
        }
        let node = match expr {
            Expr::Paren(paren) => self.node(&paren.expr),
            Expr::NumberLiteral(number) => Ok(Node::Number(number.val)),
            Expr::Unary(unary) => Ok(Node::Negate(Box::new(self.node(&unary.expr)?))),
            Expr::VectorSelector(selector) => {
                self.selector(selector, LOOKBACK_DELTA).map(Node::Selector)
            }
            Expr::Binary(binary) => self.binary(binary),
            Expr::Aggregate(aggregate) => self.aggregate(aggregate),
            Expr::Call(call) => self.call(call),
            Expr::Subquery(_) => Err("a subquery is not expected here".to_owned()),
            Expr::StringLiteral(_) => Err("a string is not expected here".to_owned()),
            Expr::MatrixSelector(_) => Err("a range vector is not expected here".to_owned()),
            Expr::Extension(_) => Err("parser extensions can't be evaluated exactly".to_owned()),
        };
        self.depth -= 1;
        node
    }

    fn selector(
        &mut self,
        parsed: &VectorSelector,
        range: RuleDuration,
    ) -> Result<Selector, String> {
        if !parsed.matchers.or_matchers.is_empty() {
            return Err("\"or\" between matchers is not part of the published syntax".to_owned());
        }
        let offset = offset(parsed.offset.as_ref())?;
        self.check_at_modifier(parsed.at.as_ref())?;
        self.add_lookback(range.plus(offset))?;
        let name = parsed.name.iter().map(|name| {
            Ok(Matcher {
                name: METRIC_NAME.to_owned(),
                op: MatchOp::Equal(name.clone()),
            })
        });
        let matchers = name.chain(parsed.matchers.matchers.iter().map(matcher));
        Ok(Selector {
            matchers: matchers.collect::<Result<_, String>>()?,
            offset,
        })
    }

    fn binary(&mut self, parsed: &BinaryExpr) -> Result<Node, String> {
        let op = match parsed.op.id() {
            T_ADD => BinaryOp::Add,
            T_SUB => BinaryOp::Sub,
            T_MUL => BinaryOp::Mul,
            T_DIV => BinaryOp::Div,
            T_MOD => BinaryOp::Mod,
            T_POW => BinaryOp::Pow,
            T_ATAN2 => BinaryOp::Atan2,
            T_EQLC => BinaryOp::Equal,
            T_NEQ => BinaryOp::NotEqual,
            T_GTR => BinaryOp::Greater,
            T_GTE => BinaryOp::GreaterEqual,
            T_LSS => BinaryOp::Less,
            T_LTE => BinaryOp::LessEqual,
            T_LAND => BinaryOp::And,
            T_LOR => BinaryOp::Or,
            T_LUNLESS => BinaryOp::Unless,
            _ => {
                return Err(format!(
                    "the operator {} can't be evaluated exactly",
                    parsed.op
                ));
            }
        };
        let mut matching = Grouping::Without(Vec::new());
        let mut many_side = ManySide::Neither;
        let mut returns_bool = false;
        if let Some(modifier) = &parsed.modifier {
            if modifier.fill_values.lhs.is_some() || modifier.fill_values.rhs.is_some() {
                return Err("fill modifiers can't be evaluated exactly".to_owned());
            }
            returns_bool = modifier.return_bool;
            matching = grouping(modifier.matching.as_ref())?;
            many_side = match &modifier.card {
                VectorMatchCardinality::OneToOne | VectorMatchCardinality::ManyToMany => {
                    ManySide::Neither
                }
                VectorMatchCardinality::ManyToOne(copied) => {
                    ManySide::Left(label_names(&copied.labels)?)
                }
                VectorMatchCardinality::OneToMany(copied) => {
                    ManySide::Right(label_names(&copied.labels)?)
                }
            };
        }
        let (lhs, rhs) = (self.node(&parsed.lhs)?, self.node(&parsed.rhs)?);
        Ok(Node::Binary(Box::new(Binary {
            op,
            lhs,
            rhs,
            returns_bool,
            matching,
            many_side,
        })))
    }

    fn aggregate(&mut self, parsed: &AggregateExpr) -> Result<Node, String> {
        let param = parsed.param.as_deref();
        let missing = || format!("{} needs a parameter", parsed.op);
        let op = match parsed.op.id() {
            T_SUM => AggregateOp::Sum,
            T_AVG => AggregateOp::Avg,
            T_MIN => AggregateOp::Min,
            T_MAX => AggregateOp::Max,
            T_COUNT => AggregateOp::Count,
            T_GROUP => AggregateOp::Group,
            T_STDDEV => AggregateOp::Stddev,
            T_STDVAR => AggregateOp::Stdvar,
            T_TOPK => AggregateOp::TopK(self.node(param.ok_or_else(missing)?)?),
            T_BOTTOMK => AggregateOp::BottomK(self.node(param.ok_or_else(missing)?)?),
            T_QUANTILE => AggregateOp::Quantile(self.node(param.ok_or_else(missing)?)?),
            T_COUNT_VALUES => {
                let label = string_literal(param.ok_or_else(missing)?)?;
                AggregateOp::CountValues(label_name(&label)?)
            }
            _ => {
                return Err(format!(
                    "the aggregation {} can't be evaluated exactly",
                    parsed.op
                ));
            }
        };
        let group_by = match &parsed.modifier {
            None => Grouping::By(Vec::new()),
            modifier => grouping(modifier.as_ref())?,
        };
        let expr = self.node(&parsed.expr)?;
        Ok(Node::Aggregate(Box::new(Aggregate { op, expr, group_by })))
    }
}

fn matcher(parsed: &ParsedMatcher) -> Result<Matcher, String> {
    let value = parsed.value.clone();
    let op = match &parsed.op {
        ParsedOp::Equal => MatchOp::Equal(value),
        ParsedOp::NotEqual => MatchOp::NotEqual(value),
        ParsedOp::Re(_) => MatchOp::Matches(pattern::compile(&value)?),
        ParsedOp::NotRe(_) => MatchOp::NotMatches(pattern::compile(&value)?),
    };
    Ok(Matcher {
        name: label_name(&parsed.name)?,
        op,
    })
}

fn grouping(modifier: Option<&LabelModifier>) -> Result<Grouping, String> {
    match modifier {
        None => Ok(Grouping::Without(Vec::new())),
        Some(LabelModifier::Include(labels)) => label_names(&labels.labels).map(Grouping::By),
        Some(LabelModifier::Exclude(labels)) => label_names(&labels.labels).map(Grouping::Without),
    }
}

fn offset(parsed: Option<&Offset>) -> Result<RuleDuration, String> {
    match parsed {
        None => Ok(RuleDuration::ZERO),
        Some(Offset::Pos(duration)) => rule_duration(*duration),
        Some(Offset::Neg(_)) => {
            Err("a negative offset needs samples from after the instant".to_owned())
        }
    }
}

fn label_names(labels: &[String]) -> Result<Vec<String>, String> {
    labels.iter().map(|name| label_name(name)).collect()
}

fn label_name(name: &str) -> Result<String, String> {
    if is_label_name(name) {
        return Ok(name.to_owned());
    }
    Err(format!(
        "{name:?} is not a label name, expected letters, digits and \"_\""
    ))
}

fn rule_duration(duration: std::time::Duration) -> Result<RuleDuration, String> {
    let millis = i64::try_from(duration.as_millis());
    millis
        .map(RuleDuration::from_millis)
        .map_err(|_| format!("the duration {duration:?} is too long"))
}

fn string_literal(expr: &Expr) -> Result<String, String> {
    match expr {
        Expr::StringLiteral(literal) => Ok(literal.val.clone()),
        Expr::Paren(paren) => string_literal(&paren.expr),
        _ => Err("a string literal is expected here".to_owned()),
    }
}
