//! Tests of rule files, of their evaluation and of takeovers.

mod golden;
mod seeded;
mod support;
mod takeover;
