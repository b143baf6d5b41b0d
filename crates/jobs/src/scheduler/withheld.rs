//! Workers that get no tasks since they may drop the ends of their runs, for operators.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};

use super::Scheduler;
use crate::exchange::AgentReport;
use crate::{IncarnationId, WithheldState};

/// Maximum number of changes kept for the log; further ones are dropped.
const MAX_LOGGED_CHANGES: usize = 200;

/// A worker that is withheld.
#[derive(Debug, Clone)]
pub(super) struct Withheld {
    incarnation: IncarnationId,
    state: WithheldState,
    since: Uptime,
}

impl Withheld {
    /// Returns for how long this leader has withheld the worker.
    pub fn lasts_for(&self, now: Uptime) -> Duration {
        now.since(self.since)
    }
}

/// Why a worker is no longer withheld.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// Its agent takes it to list all ends.
    Settled,
    /// Its agent has another worker or none.
    Gone,
    /// Its agent has not reported for so long that its runs count as lost.
    Silent,
}

impl Release {
    /// Returns the name of the reason in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Settled => "settled",
            Self::Gone => "gone",
            Self::Silent => "silent",
        }
    }
}

impl Display for Release {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What a change leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithheldStatus {
    /// The worker is withheld, in this state.
    Withheld(WithheldState),
    /// It no longer is, for this reason.
    Released(Release),
}

/// A change in whether a worker is withheld, or in its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithheldChange {
    /// Agent of the worker.
    pub agent: AgentId,
    /// The worker.
    pub incarnation: IncarnationId,
    /// State until now; `None` if the worker was not withheld.
    pub former: Option<WithheldState>,
    /// Status from now on.
    pub status: WithheldStatus,
    /// Time for which this leader has withheld it.
    pub withheld_for: Duration,
}

/// Changes that are not in the log yet.
#[derive(Debug, Default)]
pub(super) struct WithheldChanges(Vec<WithheldChange>);

impl WithheldChanges {
    pub const fn new() -> Self {
        Self(Vec::new())
    }

    /// Applies a report to the state of its worker; `is_inherited` says that the agent has
    /// to be told of a doubt of its former process.
    pub fn on_report(
        &mut self,
        now: Uptime,
        report: &AgentReport,
        is_inherited: bool,
        withheld: &mut Option<Withheld>,
    ) {
        let state = match is_inherited {
            true => Some(WithheldState::Inherited),
            false => WithheldState::of(report.end_listing),
        };
        if state.is_none() && withheld.is_none() {
            return;
        }
        let agent = &report.agent;
        let current = report.worker_incarnation.as_ref().map(IncarnationId::from);
        let is_gone = |known: &mut Withheld| current.as_ref() != Some(&known.incarnation);
        if let Some(former) = withheld.take_if(is_gone) {
            self.record_release(now, agent, former, Release::Gone);
        }
        let Some(incarnation) = current else { return };
        let Some(state) = state else {
            if let Some(former) = withheld.take() {
                self.record_release(now, agent, former, Release::Settled);
            }
            return;
        };
        let former = withheld.as_ref().map(|it| it.state);
        let since = withheld.as_ref().map_or(now, |it| it.since);
        *withheld = Some(Withheld {
            incarnation: incarnation.clone(),
            state,
            since,
        });
        if former != Some(state) {
            self.record(WithheldChange {
                agent: agent.clone(),
                incarnation,
                former,
                status: WithheldStatus::Withheld(state),
                withheld_for: now.since(since),
            });
        }
    }

    fn record_release(&mut self, now: Uptime, agent: &AgentId, former: Withheld, release: Release) {
        self.record(WithheldChange {
            agent: agent.clone(),
            incarnation: former.incarnation,
            former: Some(former.state),
            status: WithheldStatus::Released(release),
            withheld_for: now.since(former.since),
        });
    }

    fn record(&mut self, change: WithheldChange) {
        if self.0.len() < MAX_LOGGED_CHANGES {
            self.0.push(change);
        }
    }
}

impl Scheduler {
    /// Returns the changes in which workers are withheld since the last call, for the log.
    pub fn take_withheld_changes(&mut self) -> Vec<WithheldChange> {
        std::mem::take(&mut self.withheld_changes.0)
    }

    /// Returns the number of withheld workers in each state.
    #[must_use]
    pub fn withheld_workers(&self) -> BTreeMap<WithheldState, usize> {
        let mut counts: BTreeMap<_, _> = WithheldState::ALL.map(|state| (state, 0)).into();
        for withheld in self.workers.values().filter_map(|it| it.withheld.as_ref()) {
            *counts.entry(withheld.state).or_default() += 1;
        }
        counts
    }

    /// Drops the states of workers whose agents have stopped reporting.
    pub(super) fn release_silent_workers(&mut self, now: Uptime) {
        let lost = self.limits.worker_lost_after();
        for (agent, worker) in &mut self.workers {
            let is_silent = now.since(worker.last_report) > lost;
            if let Some(former) = worker.withheld.take_if(|_| is_silent) {
                self.withheld_changes
                    .record_release(now, agent, former, Release::Silent);
            }
        }
    }
}
