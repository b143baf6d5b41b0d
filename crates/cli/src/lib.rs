//! The operators' command line.
//!
//! `args` defines the command line, `command` runs it, `outcome` decides what a
//! response or its loss means, `report` turns responses into rows, `render` formats
//! rows as text. Only `client`, `files` and `main` do input and output.

pub mod args;
mod client;
mod command;
mod failure;
mod files;
mod outcome;
mod render;
mod report;
mod rules_check;

pub use client::Client;
pub use command::run;
pub use failure::{Exit, Failure};
pub use render::{JsonRender, Render, TableRender};
pub use report::Report;
