//! Tree of a compiled expression.

use regex::Regex;

use crate::function::Function;
use crate::labels::Labels;
use crate::range::RangeFunction;
use crate::time::RuleDuration;

/// An expression that can be evaluated exactly, with its compiled tree.
#[derive(Debug, Clone)]
pub struct Expression {
    /// The expression as written in the rule file.
    pub text: String,
    /// Root of the compiled tree.
    pub(crate) node: Node,
    /// How far back from the evaluation time the expression reads samples.
    pub(crate) lookback: RuleDuration,
}

/// A node of the compiled tree.
#[derive(Debug, Clone)]
pub(crate) enum Node {
    Number(f64),
    /// An instant vector selector.
    Selector(Selector),
    /// A function of a range vector: source and length of the range, scalar argument.
    Range(RangeFunction, Source, RuleDuration, Option<Box<Node>>),
    /// A function of instant vectors, scalars or strings.
    Call(Function, Vec<Node>),
    Negate(Box<Node>),
    Binary(Box<Binary>),
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

#[derive(Debug, Clone)]
pub(crate) struct Selector {
    /// All matchers, including the one for the metric name.
    pub(crate) matchers: Vec<Matcher>,
    /// How far the selection is shifted into the past.
    pub(crate) offset: RuleDuration,
}

impl Selector {
    /// Returns whether all matchers accept `labels`.
    pub(crate) fn accepts(&self, labels: &Labels) -> bool {
        self.matchers.iter().all(|m| m.accepts(labels.get(&m.name)))
    }
}

/// Source of the samples of a range.
#[derive(Debug, Clone)]
pub(crate) enum Source {
    /// Series of the sample window.
    Selector(Selector),
    /// Results of an expression at several times.
    Subquery(Box<Subquery>),
}

/// An expression that is evaluated at the multiples of a step.
#[derive(Debug, Clone)]
pub(crate) struct Subquery {
    pub(crate) expr: Node,
    /// How far the range is shifted into the past.
    pub(crate) offset: RuleDuration,
    /// Time between two evaluations, which lie at multiples of it.
    pub(crate) step: RuleDuration,
}

/// A condition on one label.
#[derive(Debug, Clone)]
pub(crate) struct Matcher {
    pub(crate) name: String,
    /// Condition on the label's value.
    pub(crate) op: MatchOp,
}

impl Matcher {
    /// Returns whether the condition holds for `value`.
    pub(crate) fn accepts(&self, value: &str) -> bool {
        match &self.op {
            MatchOp::Equal(expected) => expected == value,
            MatchOp::NotEqual(expected) => expected != value,
            MatchOp::Matches(regex) => regex.is_match(value),
            MatchOp::NotMatches(regex) => !regex.is_match(value),
        }
    }
}

/// Condition on a label value.
#[derive(Debug, Clone)]
pub(crate) enum MatchOp {
    /// `=`
    Equal(String),
    /// `!=`
    NotEqual(String),
    /// `=~`
    Matches(Regex),
    /// `!~`
    NotMatches(Regex),
}

#[derive(Debug, Clone)]
pub(crate) struct Binary {
    pub(crate) op: BinaryOp,
    pub(crate) lhs: Node,
    pub(crate) rhs: Node,
    /// Whether a comparison returns 0 or 1 instead of filtering (`bool`).
    pub(crate) returns_bool: bool,
    /// Labels by which the elements of two vectors are matched.
    pub(crate) matching: Grouping,
    /// Side of the match that may have several series per match.
    pub(crate) many_side: ManySide,
}

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
    /// Returns whether this is a comparison.
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
    /// Neither side: one-to-one.
    Neither,
    /// The left side: `group_left`.
    Left(Vec<String>),
    /// The right side: `group_right`.
    Right(Vec<String>),
}

#[derive(Debug, Clone)]
pub(crate) struct Aggregate {
    pub(crate) op: AggregateOp,
    pub(crate) expr: Node,
    /// Labels by which series are grouped.
    pub(crate) group_by: Grouping,
}

/// An aggregation operator with its parameter.
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
