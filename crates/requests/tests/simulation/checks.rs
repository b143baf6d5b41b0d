//! Invariants that hold at every step, and counts of what happened.

use std::collections::{BTreeMap, BTreeSet};

use cumindeck_types::message::Answer;
use cumindeck_types::{IdempotencyKey, RequestId, Verdict};

/// Slots of each backend server.
pub const SLOTS: usize = 2;

/// A submitted request as seen by the checks.
pub struct Submitted {
    pub key: Option<IdempotencyKey>,
    pub is_idempotent: bool,
    pub replies: u32,
    /// The request reached its entry, and the caller has no reply yet.
    pub is_waiting: bool,
    /// The caller closed its connection.
    pub is_cancelled: bool,
}

/// Records what happened and the first violated invariant.
#[derive(Default)]
pub struct Checks {
    pub submitted: BTreeMap<RequestId, Submitted>,
    runs: BTreeMap<String, u32>,
    not_run: BTreeSet<RequestId>,
    ran: BTreeSet<RequestId>,
    pub violation: Option<String>,
    pub tally: BTreeMap<String, u64>,
}

impl Checks {
    pub fn fail(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    /// Records that a backend server starts to run a request.
    pub fn ran(&mut self, id: &RequestId, running: usize, is_past_leaving: bool) {
        self.ran.insert(id.clone());
        let Some(submitted) = self.submitted.get(id) else {
            return self.fail(format!("{id} ran and was never submitted"));
        };
        let name = submitted
            .key
            .as_ref()
            .map_or(id.to_string(), |key| format!("key {key}"));
        let runs = self.runs.entry(name.clone()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > 1 && !submitted.is_idempotent {
            self.fail(format!("P6: {name} ran {runs} times"));
        }
        if self.not_run.contains(id) {
            self.fail(format!("P5: {id} ran after the verdict not-run"));
        }
        if running > SLOTS {
            self.fail(format!("{running} requests in {SLOTS} slots"));
        }
        if is_past_leaving {
            self.fail(format!("P7: {id} started more than 3 s after leaving"));
        }
    }

    /// Records the reply to a caller.
    pub fn replied(&mut self, id: &RequestId, verdict: &Verdict<Answer>) {
        let detail = match verdict {
            Verdict::Answered(answer) => {
                if answer.id != *id || answer.body != id.as_str().as_bytes() {
                    self.fail(format!("P4: {id} got the answer to {}", answer.id));
                }
                String::new()
            }
            Verdict::NotRun(reason) => {
                if self.ran.contains(id) {
                    self.fail(format!(
                        "P5: {id} ran and the verdict is not-run ({reason})"
                    ));
                }
                self.not_run.insert(id.clone());
                format!(" {reason}")
            }
            Verdict::MayHaveRun(reason) => format!(" {reason}"),
        };
        self.count(&format!("{}{detail}", verdict.name()));
        let Some(submitted) = self.submitted.get_mut(id) else {
            return self.fail(format!("{id} got a reply and was never submitted"));
        };
        if submitted.is_cancelled {
            return self.fail(format!("{id} got a reply after its caller left"));
        }
        submitted.is_waiting = false;
        submitted.replies += 1;
        let replies = submitted.replies;
        if replies > 1 {
            self.fail(format!("P4: {id} got {replies} replies"));
        }
    }

    /// Records that a request reaches its entry.
    pub fn arrived(&mut self, id: &RequestId) {
        if let Some(submitted) = self.submitted.get_mut(id) {
            submitted.is_waiting = true;
        }
    }

    /// Records that a caller closes its connection.
    pub fn cancelled(&mut self, id: &RequestId) {
        if let Some(submitted) = self.submitted.get_mut(id) {
            submitted.is_cancelled = true;
            submitted.is_waiting = false;
        }
    }

    /// Records that an incarnation of an entry reports the end of its drain.
    pub fn drained(&mut self, entry: usize, incarnation: u64) {
        self.count("entry drained");
        if let Some(id) = self.unanswered(entry, incarnation) {
            self.fail(format!("P8: entry {entry} drained without a reply to {id}"));
        }
    }

    /// Returns a request of an entry's incarnation whose caller has no reply yet.
    pub fn unanswered(&self, entry: usize, incarnation: u64) -> Option<RequestId> {
        let prefix = format!("e{entry}-{incarnation}-");
        let is_waiting = |(id, submitted): &(&RequestId, &Submitted)| {
            submitted.is_waiting && id.as_str().starts_with(&prefix)
        };
        let (id, _) = self.submitted.iter().find(is_waiting)?;
        Some(id.clone())
    }

    pub fn count(&mut self, what: &str) {
        *self.tally.entry(what.to_owned()).or_default() += 1;
    }
}
