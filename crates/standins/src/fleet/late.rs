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

/// Every n-th call that a former incarnation has received is carried out as soon as the next
/// one is up, the others at their times.
const AT_ONCE_EVERY: u64 = 2;

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

impl LateCall {
    /// Returns the number up to which the call acknowledges ends; 0 if it acknowledges none.
    #[must_use]
    pub const fn acknowledged(&self) -> u64 {
        match self {
            Self::Renew(order) => order.ack_seq,
            Self::Start(_) | Self::Stop(_) => 0,
        }
    }
}

/// A line of the file; times are milliseconds since boot.
#[derive(Debug, Serialize, Deserialize)]
enum Entry {
    /// A call, with the time at which it is carried out and the time after which it is not.
    Due(u64, u64, LateCall),
    /// The call that was due at this time has been carried out.
    Done(u64),
}

/// A call that is to be carried out late. Times are milliseconds since boot.
#[derive(Debug)]
struct Delayed {
    /// Time that identifies it in the file.
    key_ms: u64,
    /// When it is carried out.
    due_ms: u64,
    /// Time after which it isn't carried out.
    until_ms: u64,
    call: LateCall,
}

/// The calls that are carried out late; a file hands them on to the next incarnation.
#[derive(Debug)]
pub struct LateCalls {
    path: PathBuf,
    /// Every n-th call is late; 0 for none.
    every: u64,
    calls: u64,
    /// Calls to carry out.
    delayed: Vec<Delayed>,
}

impl LateCalls {
    /// Reads the calls that the former incarnation has left in the file, if there is one.
    pub fn open(path: PathBuf, every: u64, now_ms: u64) -> io::Result<Self> {
        let text = match fs::read_to_string(&path) {
            Err(err) if err.kind() == io::ErrorKind::NotFound => String::new(),
            text => text?,
        };
        let mut delayed = Vec::new();
        for entry in text.lines().map(serde_json::from_str) {
            match entry? {
                Entry::Due(key_ms, until_ms, call) => delayed.push(Delayed {
                    key_ms,
                    due_ms: match key_ms.is_multiple_of(AT_ONCE_EVERY) {
                        true => now_ms,
                        false => key_ms,
                    },
                    until_ms,
                    call,
                }),
                Entry::Done(key_ms) => delayed.retain(|it: &Delayed| it.key_ms != key_ms),
            }
        }
        Ok(Self {
            path,
            every,
            calls: 0,
            delayed,
        })
    }

    /// Keeps a call for the next incarnation, which carries it out as soon as it is up.
    pub fn keep(&mut self, now_ms: u64, call: &LateCall) -> io::Result<()> {
        self.write(&Entry::Due(now_ms, now_ms + DELAY_MS.1, call.clone()))
    }

    /// Returns whether a call is carried out late instead of now.
    pub fn take(&mut self, now_ms: u64, call: &LateCall) -> io::Result<bool> {
        self.calls += 1;
        if self.every == 0 || !self.calls.is_multiple_of(self.every) {
            return Ok(false);
        }
        // The times differ, so that a time identifies a call.
        let spread = DELAY_MS.1 - DELAY_MS.0;
        let due_ms = now_ms + DELAY_MS.0 + (now_ms * 31 + self.calls * 977) % spread;
        let until_ms = now_ms + DELAY_MS.1;
        self.write(&Entry::Due(due_ms, until_ms, call.clone()))?;
        self.delayed.push(Delayed {
            key_ms: due_ms,
            due_ms,
            until_ms,
            call: call.clone(),
        });
        Ok(true)
    }

    /// Returns the calls that are due.
    pub fn take_due(&mut self, now_ms: u64) -> io::Result<Vec<LateCall>> {
        let is_due = |it: &mut Delayed| it.due_ms <= now_ms;
        let due: Vec<_> = self.delayed.extract_if(.., is_due).collect();
        for it in &due {
            self.write(&Entry::Done(it.key_ms))?;
        }
        let in_time = due.into_iter().filter(|it| now_ms <= it.until_ms);
        Ok(in_time.map(|it| it.call).collect())
    }

    /// Returns the time since boot at which the next call is due.
    #[must_use]
    pub fn next_due_ms(&self) -> Option<u64> {
        self.delayed.iter().map(|it| it.due_ms).min()
    }

    fn write(&self, entry: &Entry) -> io::Result<()> {
        let mut options = OpenOptions::new();
        let mut file = options.create(true).append(true).open(&self.path)?;
        writeln!(file, "{}", serde_json::to_string(entry)?)
    }
}

/// Time for which a call that gets no answer keeps its connection; callers give up before.
pub(super) const NO_ANSWER_TIME: Duration = Duration::from_secs(3);
