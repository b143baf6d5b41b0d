//! State of a worker's runs under leases and fencing tokens, without I/O.
//!
//! A task's payload sets its behaviour: `work=800 fail=1 slots=1` runs for 800 ms, fails
//! in its first run and uses one slot.

use std::collections::BTreeMap;

use super::wire::{WireLists, WireRenewal, WireStart, WireStop};

/// Maximum number of finished runs per reply.
const MAX_FINISHED_RUNS: usize = 500;

/// Rate of the worker's clock in percent of real time.
const CLOCK_PERCENT: u64 = 98;

/// Capacity and time limits of a worker.
#[derive(Debug, Clone, Copy)]
pub struct RunsSettings {
    /// Number of slots, the units of capacity for tasks; not requests in flight.
    pub slots: u64,
    /// Maximum lease in milliseconds.
    pub max_lease_ms: u64,
    /// Time that stopping a run takes, in milliseconds.
    pub stop_ms: u64,
}

/// Why a worker rejects an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The fencing token is lower than the newest one received.
    StaleToken,
    /// The run is not newer than one that has finished or was stopped here.
    StaleRun,
    /// The lease in the order has expired.
    LeaseExpired,
    /// There are too few free slots.
    NoFreeSlot,
}

impl OrderRefusal {
    /// Returns the reason in the published protocol.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::StaleToken => "fence",
            Self::StaleRun => "old",
            Self::LeaseExpired => "late",
            Self::NoFreeSlot => "room",
        }
    }
}

/// An active run. Times are milliseconds since boot.
#[derive(Debug, Clone)]
struct Run {
    started_ms: u64,
    ends_ms: u64,
    end: &'static str,
    slots: u64,
}

/// A finished run that has not been acknowledged.
#[derive(Debug, Clone)]
struct FinishedRun {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// The runs of one incarnation of a worker. Times are milliseconds since boot.
#[derive(Debug)]
pub struct Runs {
    settings: RunsSettings,
    start_unix_ms: u64,
    start_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    finished: Vec<FinishedRun>,
    last_finished: u64,
    /// Finished runs up to this number are dropped, also those that are still to come.
    acknowledged: u64,
    /// Highest run of each task that has finished or was stopped here.
    highest_runs: BTreeMap<String, u64>,
    token: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    lease_until_ms: u64,
}

impl Runs {
    /// Creates an incarnation without runs.
    ///
    /// `now_ms` and `start_unix_ms` are its start time since boot and as Unix time.
    #[must_use]
    pub const fn new(settings: RunsSettings, start_unix_ms: u64, now_ms: u64) -> Self {
        Self {
            settings,
            start_unix_ms,
            start_ms: now_ms,
            runs: BTreeMap::new(),
            finished: Vec::new(),
            last_finished: 0,
            acknowledged: 0,
            highest_runs: BTreeMap::new(),
            token: 0,
            lease_until_ms: 0,
        }
    }

    /// Returns the worker's clock, in milliseconds since its start.
    #[must_use]
    pub const fn clock(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.start_ms) * CLOCK_PERCENT / 100
    }

    /// Returns whether finished runs wait for their acknowledgement.
    #[must_use]
    pub const fn has_finished(&self) -> bool {
        !self.finished.is_empty()
    }

    /// Returns when the next run will end.
    #[must_use]
    pub fn next_end_ms(&self) -> Option<u64> {
        let lease_end_ms = self.boot_ms(self.lease_until_ms + 1);
        let ends = self.runs.values().map(|run| run.ends_ms.min(lease_end_ms));
        ends.min()
    }

    /// Ends the runs whose work is done or whose lease has expired.
    pub fn tick(&mut self, now_ms: u64) {
        let lease_end_ms = self.boot_ms(self.lease_until_ms + 1);
        let is_over = |_: &(String, u64), run: &mut Run| run.ends_ms.min(lease_end_ms) <= now_ms;
        let over: Vec<_> = self.runs.extract_if(.., is_over).collect();
        for ((task, number), run) in over {
            // A paused process runs this late, but its runs ended when the lease expired.
            let (how, at_ms) = match run.ends_ms <= lease_end_ms {
                true => (run.end, run.ends_ms),
                false => ("lapsed", lease_end_ms),
            };
            self.last_finished += 1;
            tracing::info!(event = "run_ended", task, run = number, how, at_ms);
            self.record_finished_run(&task, number);
            self.finished.push(FinishedRun {
                number: self.last_finished,
                task,
                run: number,
                how,
            });
        }
        self.drop_acknowledged(now_ms);
    }

    /// Removes the finished runs that are acknowledged.
    fn drop_acknowledged(&mut self, now_ms: u64) {
        let acknowledged = self.acknowledged;
        let is_acknowledged = |end: &mut FinishedRun| end.number <= acknowledged;
        for end in self.finished.extract_if(.., is_acknowledged) {
            let FinishedRun { task, run, how, .. } = end;
            tracing::info!(event = "end_acknowledged", task, run, how, at_ms = now_ms);
        }
    }

    /// Starts a run; a repeated order for an active run only extends the lease.
    pub fn start(&mut self, now_ms: u64, order: &WireStart) -> Result<(), OrderRefusal> {
        self.tick(now_ms);
        if order.fencing_token < self.token {
            return Err(OrderRefusal::StaleToken);
        }
        self.token = order.fencing_token;
        let id = (order.task.clone(), order.run_id);
        if self.runs.contains_key(&id) {
            self.extend_lease(now_ms, order.until_ms);
            return Ok(());
        }
        if order.until_ms <= self.clock(now_ms) {
            return Err(OrderRefusal::LeaseExpired);
        }
        self.extend_lease(now_ms, order.until_ms);
        if self
            .highest_runs
            .get(&order.task)
            .is_some_and(|run| order.run_id <= *run)
        {
            return Err(OrderRefusal::StaleRun);
        }
        let slots = payload_value(&order.task_spec, "slots").max(1);
        let taken: u64 = self.runs.values().map(|run| run.slots).sum();
        if taken + slots > self.settings.slots {
            return Err(OrderRefusal::NoFreeSlot);
        }
        let fails = order.run_id <= payload_value(&order.task_spec, "fail");
        let run = Run {
            started_ms: now_ms,
            ends_ms: now_ms + payload_value(&order.task_spec, "work"),
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

    /// Stops a run, or prevents it from starting later.
    pub fn stop(&mut self, now_ms: u64, order: &WireStop) -> Result<(), OrderRefusal> {
        self.tick(now_ms);
        if order.fencing_token < self.token {
            return Err(OrderRefusal::StaleToken);
        }
        self.token = order.fencing_token;
        let stopped_ms = now_ms + self.settings.stop_ms;
        match self.runs.get_mut(&(order.task.clone(), order.run_id)) {
            Some(run) if run.ends_ms > stopped_ms => {
                run.ends_ms = stopped_ms;
                run.end = "stopped";
            }
            Some(_) => {}
            None => self.record_finished_run(&order.task, order.run_id),
        }
        Ok(())
    }

    /// Extends the lease, removes acknowledged finished runs and returns the lists.
    pub fn renew(&mut self, now_ms: u64, order: &WireRenewal) -> Result<WireLists, OrderRefusal> {
        self.tick(now_ms);
        if order.fencing_token < self.token {
            return Err(OrderRefusal::StaleToken);
        }
        self.token = order.fencing_token;
        self.extend_lease(now_ms, order.until_ms.unwrap_or(0));
        self.acknowledged = self.acknowledged.max(order.ack_seq);
        self.drop_acknowledged(now_ms);
        Ok(self.lists(now_ms))
    }

    /// Returns the run lists.
    #[must_use]
    pub fn lists(&self, now_ms: u64) -> WireLists {
        let active = self.runs.iter().map(|((task, number), run)| {
            let total = run.ends_ms.saturating_sub(run.started_ms).max(1);
            let percent = now_ms.saturating_sub(run.started_ms) * 100 / total;
            (task.clone(), *number, String::new(), percent.min(99), 0)
        });
        let finished = self.finished.iter().take(MAX_FINISHED_RUNS).map(|end| {
            let (task, how) = (end.task.clone(), end.how.to_owned());
            (end.number, task, end.run, how, String::new())
        });
        WireLists {
            clock_ms: self.clock(now_ms),
            born: self.start_unix_ms,
            active: active.collect(),
            finished: finished.collect(),
        }
    }

    fn extend_lease(&mut self, now_ms: u64, until_ms: u64) {
        let max_until_ms = self.clock(now_ms) + self.settings.max_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(max_until_ms));
    }

    fn record_finished_run(&mut self, task: &str, run: u64) {
        let highest = self.highest_runs.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
    }

    /// Returns the time since boot at which the worker's clock shows `clock_ms`.
    const fn boot_ms(&self, clock_ms: u64) -> u64 {
        self.start_ms + (clock_ms * 100).div_ceil(CLOCK_PERCENT)
    }
}

/// Returns a value of a payload; 0 if it is missing or not a number.
fn payload_value(payload: &str, name: &str) -> u64 {
    let settings = payload.split(' ').filter_map(|word| word.split_once('='));
    let value = settings.into_iter().find(|(key, _)| *key == name);
    value.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
