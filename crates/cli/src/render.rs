//! Formats reports and failures as text.

use std::fmt::Write;

use comfy_table::{ContentArrangement, Table, presets};

use crate::failure::Failure;
use crate::report::{Body, Report};

/// An output format, selected by `--output`.
pub trait Render {
    /// Returns the bytes of a report for standard output.
    fn report(&self, report: &Report) -> Vec<u8>;
    /// Returns the text of a failure for standard error.
    fn failure(&self, failure: &Failure) -> String;
}

/// Renders aligned tables for people.
#[derive(Debug, Clone, Copy)]
pub struct TableRender;

/// Renders JSON for programs.
#[derive(Debug, Clone, Copy)]
pub struct JsonRender;

impl Render for TableRender {
    fn report(&self, report: &Report) -> Vec<u8> {
        match &report.body {
            Body::Text(text) => format!("{text}\n").into_bytes(),
            Body::Raw(bytes) => bytes.clone(),
            Body::Rows { rows, .. } if rows.is_empty() => b"none\n".to_vec(),
            Body::Rows { header, rows } => {
                let mut table = new_table();
                table.set_header(header.iter().copied());
                for row in rows {
                    table.add_row(row);
                }
                lines(&table).into_bytes()
            }
            Body::Fields(fields) => {
                let mut table = new_table();
                for (name, value) in fields {
                    table.add_row([name, value]);
                }
                lines(&table).into_bytes()
            }
        }
    }

    fn failure(&self, failure: &Failure) -> String {
        let mut out = String::new();
        for p in &failure.problems {
            let place = match p.line {
                0 => p.file.clone(),
                line => format!("{}:{line}", p.file),
            };
            let (key, found, expected) = (&p.key, &p.found, &p.expected);
            let _ = writeln!(out, "{place}: {key}: found {found}, expected {expected}");
            let _ = writeln!(out, "  hint: {}", p.hint);
        }
        let (verdict, reason) = (failure.verdict, &failure.reason);
        let _ = writeln!(out, "error: {} ({verdict}, {reason})", failure.message);
        if let Some(conflict) = &failure.conflict {
            let _ = writeln!(out, "  accepted version: {}", conflict.version);
            for key in &conflict.keys {
                let _ = writeln!(out, "  differs: {key}");
            }
        }
        let _ = writeln!(out, "  hint: {}", failure.hint);
        out
    }
}

impl Render for JsonRender {
    fn report(&self, report: &Report) -> Vec<u8> {
        if let Body::Raw(bytes) = &report.body {
            return bytes.clone();
        }
        let mut out = report.json.to_string().into_bytes();
        out.push(b'\n');
        out
    }

    fn failure(&self, failure: &Failure) -> String {
        let json = serde_json::to_string(failure);
        format!("{}\n", json.unwrap_or_else(|err| err.to_string()))
    }
}

fn new_table() -> Table {
    let mut table = Table::new();
    // No borders, and no wrapping at the width of the terminal, so that each row
    // stays on one line and can be searched.
    table.load_preset(presets::NOTHING);
    table.set_content_arrangement(ContentArrangement::Disabled);
    table
}

/// Returns the lines of a table without the padding at either end.
fn lines(table: &Table) -> String {
    let trimmed = |line: String| {
        let line = line.trim_end();
        line.strip_prefix(' ').unwrap_or(line).to_owned() + "\n"
    };
    table.lines().map(trimmed).collect()
}
