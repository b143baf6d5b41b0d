//! Parser and evaluator of Prometheus alerting and recording rules, without I/O.
//!
//! A [`RuleFile`] is accepted only if every rule in it can be evaluated exactly
//! as Prometheus does. An [`Evaluator`] keeps a bounded window of samples and
//! evaluates the rule groups of accepted files at points in event time.

mod aggregate;
mod alert;
mod binary;
mod calendar;
mod compile;
mod error;
mod eval;
mod evaluator;
mod expr;
mod file;
mod function;
mod histogram;
mod labels;
mod number;
mod output;
mod pattern;
mod range;
mod snapshot;
mod template;
mod time;
mod window;
mod yaml;

pub use alert::{AlertState, Transition, TransitionId, TransitionKind};
pub use error::{EvalError, PushError, RuleError};
pub use evaluator::{Evaluation, Evaluator, RuleFailure, Settings};
pub use expr::Expression;
pub use file::{AlertRule, Group, RecordingRule, Rule, RuleFile, RuleKind};
pub use labels::Labels;
pub use number::SampleValue;
pub use snapshot::{ActiveAlert, GroupSnapshot, RuleSnapshot, SeriesSnapshot, Snapshot};
pub use time::{EventTime, RuleDuration};
pub use window::RangeBoundary;
