//! Calls that get no answer and are carried out late, by the incarnation of the worker that
//! is there then.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::wire::{WireRenewal, WireStart, WireStop};

/// Range of the delays of late calls in milliseconds, as the platform's bench has them.
const DELAY_MS: (u64, u64) = (2_000, 12_000);

/// Minimum time from the start of an incarnation until it carries out calls that its former
/// one has received; heartbeats come more often.
const MIN_DELAY_AFTER_START_MS: u64 = 1_200;

/// A call, as the file of late calls keeps it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LateCall {
    /// Order to start a run.
    Start(WireStart),
    /// Order to stop a run.
    Stop(WireStop),
    /// Lease renewal and acknowledgement.
    Renew(WireRenewal),
}

/// A line of the file; times are milliseconds since boot.
#[derive(Debug, Serialize, Deserialize)]
enum Entry {
    /// A call, with the time at which it is carried out and the time after which it is not.
    Due(u64, u64, LateCall),
    /// The call that was due at this time has been carried out.
    Done(u64),
}

/// The calls that are carried out late; a file hands them on to the next incarnation.
#[derive(Debug)]
pub struct LateCalls {
    path: PathBuf,
    /// Every n-th call is late; 0 for none.
    every: u64,
    calls: u64,
    /// Calls to carry out, with the times from and until which they are.
    due: Vec<(u64, u64, LateCall)>,
    /// Time since boot before which none is carried out.
    first_ms: u64,
}

impl LateCalls {
    /// Reads the calls that the former incarnation has left in the file, if there is one.
    pub fn open(path: PathBuf, every: u64, now_ms: u64) -> io::Result<Self> {
        let text = match fs::read_to_string(&path) {
            Err(err) if err.kind() == io::ErrorKind::NotFound => String::new(),
            text => text?,
        };
        let mut due = Vec::new();
        for entry in text.lines().map(serde_json::from_str) {
            match entry? {
                Entry::Due(at, until, call) => due.push((at, until, call)),
                Entry::Done(done) => due.retain(|(at, ..)| *at != done),
            }
        }
        Ok(Self {
            path,
            every,
            calls: 0,
            due,
            first_ms: now_ms + MIN_DELAY_AFTER_START_MS,
        })
    }

    /// Returns whether a call is carried out late instead of now.
    pub fn take(&mut self, now_ms: u64, call: &LateCall) -> io::Result<bool> {
        self.calls += 1;
        if self.every == 0 || !self.calls.is_multiple_of(self.every) {
            return Ok(false);
        }
        // The times differ, so that a time identifies a call.
        let spread = DELAY_MS.1 - DELAY_MS.0;
        let at = now_ms + DELAY_MS.0 + (now_ms * 31 + self.calls * 977) % spread;
        let until = now_ms + DELAY_MS.1;
        self.write(&Entry::Due(at, until, call.clone()))?;
        self.due.push((at, until, call.clone()));
        Ok(true)
    }

    /// Returns the calls that are due.
    pub fn take_due(&mut self, now_ms: u64) -> io::Result<Vec<LateCall>> {
        let first_ms = self.first_ms;
        let is_due = |(at, ..): &mut (u64, u64, LateCall)| first_ms.max(*at) <= now_ms;
        let due: Vec<_> = self.due.extract_if(.., is_due).collect();
        for (at, ..) in &due {
            self.write(&Entry::Done(*at))?;
        }
        let in_time = due.into_iter().filter(|(_, until, _)| now_ms <= *until);
        Ok(in_time.map(|(.., call)| call).collect())
    }

    /// Returns the time since boot at which the next call is due.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<u64> {
        let times = self.due.iter().map(|(at, ..)| self.first_ms.max(*at));
        times.min()
    }

    fn write(&self, entry: &Entry) -> io::Result<()> {
        let mut options = OpenOptions::new();
        let mut file = options.create(true).append(true).open(&self.path)?;
        writeln!(file, "{}", serde_json::to_string(entry)?)
    }
}

/// Time for which a call that gets no answer keeps its connection; callers give up before.
pub(super) const NO_ANSWER_TIME: Duration = Duration::from_secs(3);
