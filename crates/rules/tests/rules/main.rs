//! Tests of rule files, their evaluation and takeovers.

mod golden;
mod seeded;
mod support;
mod takeover;
