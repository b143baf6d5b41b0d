//! Expressions that can be evaluated exactly.

use regex::Regex;

use crate::function::Function;
use crate::labels::Labels;
use crate::range::RangeFunction;
use crate::time::RuleDuration;

/// An accepted expression with its text.
#[derive(Debug, Clone)]
pub struct Expression {
    /// The text as it stands in the rule file.
    pub text: String,
    /// The checked tree.
    pub(crate) node: Node,
    /// How far back from the instant the expression looks.
    pub(crate) reach: RuleDuration,
}

/// A node of the checked tree.
#[derive(Debug, Clone)]
pub(crate) enum Node {
    /// A number.
    Number(f64),
    /// An instant vector selector.
    Selector(Selector),
    /// A function of a range vector, with its scalar argument.
    Range(RangeFunction, Source, RuleDuration, Option<Box<Node>>),
    /// A function of instant vectors, scalars or texts.
    Call(Function, Vec<Node>),
    /// A sign change.
    Negate(Box<Node>),
    /// A binary operation.
    Binary(Box<Binary>),
    /// An aggregation.
    Aggregate(Box<Aggregate>),
}

impl Node {
    /// Returns all selectors of the tree.
    pub(crate) fn selectors(&self) -> Vec<Selector> {
        let mut found = Vec::new();
        self.collect_selectors(&mut found);
        found
    }

    fn collect_selectors(&self, found: &mut Vec<Selector>) {
        match self {
            Self::Number(_) => {}
            Self::Selector(selector) => found.push(selector.clone()),
            Self::Range(_, source, _, param) => {
                match source {
                    Source::Selector(selector) => found.push(selector.clone()),
                    Source::Subquery(subquery) => subquery.expr.collect_selectors(found),
                }
                param.iter().for_each(|node| node.collect_selectors(found));
            }
            Self::Call(_, args) => args.iter().for_each(|node| node.collect_selectors(found)),
            Self::Negate(operand) => operand.collect_selectors(found),
            Self::Binary(operation) => {
                operation.lhs.collect_selectors(found);
                operation.rhs.collect_selectors(found);
            }
            Self::Aggregate(aggregation) => {
                aggregation.expr.collect_selectors(found);
                if let AggregateOp::TopK(node)
                | AggregateOp::BottomK(node)
                | AggregateOp::Quantile(node) = &aggregation.op
                {
                    node.collect_selectors(found);
                }
            }
        }
    }
}

/// A vector selector.
#[derive(Debug, Clone)]
pub(crate) struct Selector {
    /// All matchers, with the metric name as one of them.
    pub(crate) matchers: Vec<Matcher>,
    /// How far the selection is moved back.
    pub(crate) offset: RuleDuration,
}

impl Selector {
    /// Tells whether all matchers accept `labels`.
    pub(crate) fn accepts(&self, labels: &Labels) -> bool {
        self.matchers.iter().all(|m| m.accepts(labels.get(&m.name)))
    }
}

/// Where the samples of a range come from.
#[derive(Debug, Clone)]
pub(crate) enum Source {
    /// The sample window.
    Selector(Selector),
    /// An expression that is evaluated at several times.
    Subquery(Box<Subquery>),
}

/// An expression that is evaluated at multiples of a step.
#[derive(Debug, Clone)]
pub(crate) struct Subquery {
    /// The expression.
    pub(crate) expr: Node,
    /// How far the range is moved back.
    pub(crate) offset: RuleDuration,
    /// Distance of the times, which are multiples of it.
    pub(crate) step: RuleDuration,
}

/// A condition on one label.
#[derive(Debug, Clone)]
pub(crate) struct Matcher {
    /// Name of the label.
    pub(crate) name: String,
    /// Condition on its value.
    pub(crate) op: MatchOp,
}

impl Matcher {
    /// Tells whether the condition holds for `value`.
    pub(crate) fn accepts(&self, value: &str) -> bool {
        match &self.op {
            MatchOp::Equal(expected) => expected == value,
            MatchOp::NotEqual(expected) => expected != value,
            MatchOp::Matches(regex) => regex.is_match(value),
            MatchOp::DiffersFrom(regex) => !regex.is_match(value),
        }
    }
}

/// Kinds of conditions.
#[derive(Debug, Clone)]
pub(crate) enum MatchOp {
    /// `=`
    Equal(String),
    /// `!=`
    NotEqual(String),
    /// `=~`
    Matches(Regex),
    /// `!~`
    DiffersFrom(Regex),
}

/// A binary operation.
#[derive(Debug, Clone)]
pub(crate) struct Binary {
    /// Operator.
    pub(crate) op: BinaryOp,
    /// Left operand.
    pub(crate) lhs: Node,
    /// Right operand.
    pub(crate) rhs: Node,
    /// Whether a comparison returns 0 or 1 instead of filtering.
    pub(crate) returns_bool: bool,
    /// Labels by which vectors are matched.
    pub(crate) by: Grouping,
    /// Cardinality of the match.
    pub(crate) side: ManySide,
}

/// Binary operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BinaryOp {
    Add,
    Sub,
    Mul,
    Div,
    Mod,
    Pow,
    Atan2,
    Equal,
    NotEqual,
    Greater,
    GreaterEqual,
    Less,
    LessEqual,
    And,
    Or,
    Unless,
}

impl BinaryOp {
    /// Tells whether this is a comparison.
    pub(crate) const fn is_comparison(self) -> bool {
        use BinaryOp::{Equal, Greater, GreaterEqual, Less, LessEqual, NotEqual};
        matches!(
            self,
            Equal | NotEqual | Greater | GreaterEqual | Less | LessEqual
        )
    }
}

/// Labels by which series are grouped or matched.
#[derive(Debug, Clone)]
pub(crate) enum Grouping {
    /// Only these labels: `by` or `on`.
    By(Vec<String>),
    /// All labels but these and the metric name: `without` or `ignoring`.
    Without(Vec<String>),
}

impl Grouping {
    /// Returns the labels that identify the group of a series.
    pub(crate) fn key(&self, labels: &Labels) -> Labels {
        match self {
            Self::By(names) => labels.keep(names),
            Self::Without(names) => labels.drop(names).without_name(),
        }
    }
}

/// The side of a match that may have several series, with the labels copied
/// from the other side.
#[derive(Debug, Clone)]
pub(crate) enum ManySide {
    /// Neither side.
    Neither,
    /// The left side: `group_left`.
    Left(Vec<String>),
    /// The right side: `group_right`.
    Right(Vec<String>),
}

/// An aggregation.
#[derive(Debug, Clone)]
pub(crate) struct Aggregate {
    /// Operator.
    pub(crate) op: AggregateOp,
    /// Operand.
    pub(crate) expr: Node,
    /// Labels by which series are grouped.
    pub(crate) by: Grouping,
}

/// Aggregation operators with their parameter.
#[derive(Debug, Clone)]
pub(crate) enum AggregateOp {
    Sum,
    Avg,
    Min,
    Max,
    Count,
    Group,
    Stddev,
    Stdvar,
    TopK(Node),
    BottomK(Node),
    Quantile(Node),
    CountValues(String),
}
