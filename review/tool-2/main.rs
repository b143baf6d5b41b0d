//! The script cases of the review: each starts the project's programs as processes on
//! loopback and checks one rule from what clients, workers and the store see.
//!
//! `cases NAME RECORD` exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With `TROUBLE=0` it runs without the disruption.

mod base64;
mod cases;
mod deployment;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod worker;

use std::panic::{self, AssertUnwindSafe};
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Maximum time of a case.
const MAX_TIME: Duration = Duration::from_secs(110);

/// What a case has found.
pub enum Outcome {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, path] = args.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(path.into());
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        deployment::kill_children();
        late.note("the case takes too long");
        late.write();
        exit(2);
    });
    let result = panic::catch_unwind(AssertUnwindSafe(|| cases::play(name, &record, has_trouble)));
    deployment::kill_children();
    let (code, text) = match result {
        Ok(Ok(Outcome::Held(text))) => (0, format!("held: {text}")),
        Ok(Ok(Outcome::Broken(text))) => (1, format!("BROKEN: {text}")),
        Ok(Ok(Outcome::NotRun(text))) => (2, format!("not run: {text}")),
        Ok(Err(err)) => (2, format!("not run: {err}")),
        Err(_) => (2, "not run: the case ended with a panic".to_owned()),
    };
    record.note(text.clone());
    record.write();
    println!("{text}");
    exit(code);
}
