//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a stand-in or a client saw.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// A worker has begun a task.
    Started {
        worker: String,
        task: String,
        run: u64,
    },
    /// A run has ended.
    Ended {
        worker: String,
        task: String,
        run: u64,
        how: String,
    },
    /// Anything else, as text.
    Note(String),
}

#[derive(Debug, Clone)]
pub struct Event {
    pub at: Duration,
    pub what: What,
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    path: PathBuf,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self {
            start: Instant::now(),
            path,
            events: Arc::default(),
        }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, what: What) -> Duration {
        // The time is taken under the lock, so that the events are in order.
        let mut events = self.events.lock().unwrap();
        let at = self.now();
        events.push(Event { at, what });
        at
    }

    pub fn note(&self, text: impl Into<String>) -> Duration {
        self.add(What::Note(text.into()))
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Returns the starts of the tasks of a job, in order.
    pub fn starts(&self, job: &str) -> Vec<(Duration, String, String)> {
        let of_job = |event: Event| match event.what {
            What::Started { worker, task, .. } if task.starts_with(job) => {
                Some((event.at, worker, task))
            }
            _ => None,
        };
        self.events().into_iter().filter_map(of_job).collect()
    }

    /// Returns whether a run of a job has ended in this way.
    pub fn has_ended(&self, job: &str, how: &str) -> bool {
        let is_end = |event: &Event| matches!(&event.what, What::Ended { task, how: found, .. } if task.starts_with(job) && found == how);
        self.events().iter().any(is_end)
    }

    /// Writes the record to its file.
    pub fn write(&self) {
        let mut text = String::new();
        for Event { at, what } in self.events() {
            let line = match what {
                What::Started { worker, task, run } => format!("{worker} started {task} run {run}"),
                What::Ended {
                    worker,
                    task,
                    run,
                    how,
                } => {
                    format!("{worker} ended {task} run {run}: {how}")
                }
                What::Note(text) => text,
            };
            text += &format!("{:9.3} {line}\n", at.as_secs_f64());
        }
        if let Err(err) = fs::write(&self.path, text) {
            eprintln!("can't write {}: {err}", self.path.display());
        }
    }
}
