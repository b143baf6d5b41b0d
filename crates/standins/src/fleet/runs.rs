//! Runs of a worker under leases and fencing tokens; no I/O.
//!
//! What a task does stands in its payload: `work=800 fail=1 slots=1` works for
//! 800 ms, fails in its first run, and takes one slot.

use std::collections::BTreeMap;

use super::wire::{WireHold, WireLists, WireStart, WireStop};

/// Most ends of an answer.
const MAX_ENDS: usize = 500;

/// Percentage of true time that the worker's clock counts.
const CLOCK_PERCENT: u64 = 98;

/// Sizes and times of a worker.
#[derive(Debug, Clone, Copy)]
pub struct RunsSettings {
    /// Slots.
    pub slots: u64,
    /// Longest lease in milliseconds.
    pub max_lease_ms: u64,
    /// Time that a stop takes in milliseconds.
    pub stop_ms: u64,
}

/// Why a start is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The fencing token is lower than one that was seen.
    Fence,
    /// The run is not newer than one that ended or was stopped here.
    Old,
    /// Its lease is over.
    Late,
    /// There is no room.
    Room,
}

impl Refusal {
    /// Returns the name on the wire.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fence => "fence",
            Self::Old => "old",
            Self::Late => "late",
            Self::Room => "room",
        }
    }
}

/// A run at work.
#[derive(Debug, Clone)]
struct Run {
    begun_ms: u64,
    ends_ms: u64,
    end: &'static str,
    slots: u64,
}

/// An end that is not acknowledged.
#[derive(Debug, Clone)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// The runs of a worker's life. Times are milliseconds of the machine's clock.
#[derive(Debug)]
pub struct Runs {
    settings: RunsSettings,
    born_ms: u64,
    started_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest run of each task that ended or was stopped here.
    highest: BTreeMap<String, u64>,
    token: u64,
    /// End of the lease on the worker's clock.
    until_ms: u64,
}

impl Runs {
    /// Makes the runs of a life that begins at `now_ms`; `born_ms` is Unix time.
    #[must_use]
    pub const fn new(settings: RunsSettings, born_ms: u64, now_ms: u64) -> Self {
        Self {
            settings,
            born_ms,
            started_ms: now_ms,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            highest: BTreeMap::new(),
            token: 0,
            until_ms: 0,
        }
    }

    /// Returns the worker's clock.
    #[must_use]
    pub const fn clock(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.started_ms) * CLOCK_PERCENT / 100
    }

    /// Tells whether ends wait for their acknowledgement.
    #[must_use]
    pub const fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Returns when a run ends next.
    #[must_use]
    pub fn next_end(&self) -> Option<u64> {
        let lapse = self.machine_ms(self.until_ms + 1);
        let ends = self.runs.values().map(|run| run.ends_ms.min(lapse));
        ends.min()
    }

    /// Ends the runs whose time or lease is over.
    pub fn tick(&mut self, now_ms: u64) {
        let lapse = self.machine_ms(self.until_ms + 1);
        let is_over = |_: &(String, u64), run: &mut Run| run.ends_ms.min(lapse) <= now_ms;
        let over: Vec<_> = self.runs.extract_if(.., is_over).collect();
        for ((task, number), run) in over {
            // A process that was frozen notices late; its runs ended with the lease.
            let (how, at_ms) = match run.ends_ms <= lapse {
                true => (run.end, run.ends_ms),
                false => ("lapsed", lapse),
            };
            self.last_end += 1;
            tracing::info!(event = "run_ended", task, run = number, how, at_ms);
            self.raise(&task, number);
            self.ends.push(End {
                number: self.last_end,
                task,
                run: number,
                how,
            });
        }
    }

    /// Starts a run.
    pub fn start(&mut self, now_ms: u64, order: &WireStart) -> Result<(), Refusal> {
        self.tick(now_ms);
        if order.fencing_token < self.token {
            return Err(Refusal::Fence);
        }
        self.token = order.fencing_token;
        let id = (order.task.clone(), order.run_id);
        if self.runs.contains_key(&id) {
            self.extend(now_ms, order.until_ms);
            return Ok(());
        }
        if order.until_ms <= self.clock(now_ms) {
            return Err(Refusal::Late);
        }
        self.extend(now_ms, order.until_ms);
        if self
            .highest
            .get(&order.task)
            .is_some_and(|run| order.run_id <= *run)
        {
            return Err(Refusal::Old);
        }
        let slots = setting(&order.task_spec, "slots").max(1);
        let taken: u64 = self.runs.values().map(|run| run.slots).sum();
        if taken + slots > self.settings.slots {
            return Err(Refusal::Room);
        }
        let fails = order.run_id <= setting(&order.task_spec, "fail");
        let run = Run {
            begun_ms: now_ms,
            ends_ms: now_ms + setting(&order.task_spec, "work"),
            end: if fails { "failed" } else { "done" },
            slots,
        };
        let (task, payload) = (&order.task, &order.task_spec);
        tracing::info!(
            event = "run_started",
            task,
            run = order.run_id,
            payload,
            at_ms = now_ms
        );
        self.runs.insert(id, run);
        Ok(())
    }

    /// Stops a run, or keeps it from starting.
    pub fn stop(&mut self, now_ms: u64, order: &WireStop) -> Result<(), Refusal> {
        self.tick(now_ms);
        if order.fencing_token < self.token {
            return Err(Refusal::Fence);
        }
        self.token = order.fencing_token;
        let stopped_ms = now_ms + self.settings.stop_ms;
        match self.runs.get_mut(&(order.task.clone(), order.run_id)) {
            Some(run) if run.ends_ms > stopped_ms => {
                run.ends_ms = stopped_ms;
                run.end = "stopped";
            }
            Some(_) => {}
            None => self.raise(&order.task, order.run_id),
        }
        Ok(())
    }

    /// Extends the lease, forgets acknowledged ends and returns the lists.
    pub fn hold(&mut self, now_ms: u64, order: &WireHold) -> Result<WireLists, Refusal> {
        self.tick(now_ms);
        if order.fencing_token < self.token {
            return Err(Refusal::Fence);
        }
        self.token = order.fencing_token;
        self.extend(now_ms, order.until_ms.unwrap_or(0));
        let is_known = |end: &mut End| end.number <= order.ack_seq;
        for end in self.ends.extract_if(.., is_known) {
            let End { task, run, how, .. } = end;
            tracing::info!(event = "end_acknowledged", task, run, how, at_ms = now_ms);
        }
        Ok(self.lists(now_ms))
    }

    /// Returns the lists.
    #[must_use]
    pub fn lists(&self, now_ms: u64) -> WireLists {
        let active = self.runs.iter().map(|((task, number), run)| {
            let total = run.ends_ms.saturating_sub(run.begun_ms).max(1);
            let percent = now_ms.saturating_sub(run.begun_ms) * 100 / total;
            (task.clone(), *number, String::new(), percent.min(99), 0)
        });
        let ends = self.ends.iter().take(MAX_ENDS).map(|end| {
            let (task, how) = (end.task.clone(), end.how.to_owned());
            (end.number, task, end.run, how, String::new())
        });
        WireLists {
            clock_ms: self.clock(now_ms),
            born: self.born_ms,
            active: active.collect(),
            finished: ends.collect(),
        }
    }

    fn extend(&mut self, now_ms: u64, until_ms: u64) {
        let most = self.clock(now_ms) + self.settings.max_lease_ms;
        self.until_ms = self.until_ms.max(until_ms.min(most));
    }

    fn raise(&mut self, task: &str, run: u64) {
        let highest = self.highest.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
    }

    /// Returns the machine's time at which the worker's clock shows a time.
    const fn machine_ms(&self, clock_ms: u64) -> u64 {
        self.started_ms + (clock_ms * 100).div_ceil(CLOCK_PERCENT)
    }
}

/// Returns a setting of a payload; 0 if it is missing.
fn setting(payload: &str, name: &str) -> u64 {
    let settings = payload.split(' ').filter_map(|word| word.split_once('='));
    let value = settings.into_iter().find(|(key, _)| *key == name);
    value.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
