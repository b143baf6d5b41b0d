//! Simulated table service of a scenario.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_control::config_version::ChangeId;
use cumindeck_control::gang::{PlacedTask, TaskId};
use cumindeck_control::leader::LeaderRow;
use cumindeck_control::store::{RowVersion, Versioned, WriteOutcome};
use cumindeck_control::zone::ZoneRow;
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, ConfigVersion, FencingToken, Incarnation, JobId, TaskIndex,
    Uptime, ZoneVersion,
};

use crate::message::Message;

#[derive(Debug, Clone)]
pub(crate) struct AttemptRow {
    pub(crate) attempt: Attempt,
    /// Identifies the write, so that a read shows whether it was applied.
    pub(crate) write: String,
    pub(crate) token: FencingToken,
    pub(crate) members: Vec<(AgentId, Incarnation)>,
}

impl AttemptRow {
    /// Returns the tasks of the attempt with their agents.
    pub(crate) fn placed(&self, job: &JobId) -> Vec<PlacedTask> {
        let placed = self
            .members
            .iter()
            .enumerate()
            .map(|(i, (agent, incarnation))| PlacedTask {
                id: TaskId {
                    job: job.clone(),
                    attempt: self.attempt,
                    task: TaskIndex::new(i as u64),
                },
                agent: agent.clone(),
                incarnation: *incarnation,
                token: self.token,
            });
        placed.collect()
    }
}

/// The stored row of a job with its attempts.
#[derive(Debug, Clone)]
pub(crate) struct JobRow {
    pub(crate) tasks: u16,
    pub(crate) run: Duration,
    pub(crate) is_done: bool,
    pub(crate) attempts: Vec<AttemptRow>,
}

/// The rows that an entry polls twice a second.
#[derive(Debug, Clone)]
pub(crate) struct PolledRows {
    pub(crate) leader_row: Versioned<LeaderRow>,
    pub(crate) zones: Vec<ZoneRow>,
    pub(crate) config: ConfigVersion,
    pub(crate) jobs: BTreeMap<JobId, JobRow>,
}

/// The state of a zone and when it was set.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneState {
    pub(crate) version: ZoneVersion,
    pub(crate) is_open: bool,
    pub(crate) since: Uptime,
}

/// The simulated table service.
#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) is_up: bool,
    /// Number of writes whose replies will be lost.
    pub(crate) lost_replies: u32,
    /// Delay of the next write, which gets no reply.
    pub(crate) delay_write: Option<Duration>,
    pub(crate) leader_row: Versioned<LeaderRow>,
    pub(crate) zones: BTreeMap<AvailabilityZone, ZoneState>,
    /// Accepted configuration changes and when they were accepted; the version is the
    /// index plus 1.
    pub(crate) changes: Vec<(ChangeId, Uptime)>,
    pub(crate) jobs: BTreeMap<JobId, JobRow>,
    delayed: Vec<(Uptime, Message)>,
}

impl Store {
    /// Creates a store with all zones in service and an initial configuration.
    pub(crate) fn new(zones: &[AvailabilityZone]) -> Self {
        let open = ZoneState {
            version: ZoneVersion::new(1),
            is_open: true,
            since: Uptime::ZERO,
        };
        Self {
            is_up: true,
            lost_replies: 0,
            delay_write: None,
            leader_row: Versioned {
                version: RowVersion::ABSENT,
                value: None,
            },
            zones: zones.iter().map(|zone| (zone.clone(), open)).collect(),
            changes: vec![(ChangeId::new("initial".into()), Uptime::ZERO)],
            jobs: BTreeMap::new(),
            delayed: Vec::new(),
        }
    }

    /// Returns the current configuration version.
    pub(crate) fn head(&self) -> ConfigVersion {
        ConfigVersion::new(self.changes.len() as u64)
    }

    /// Puts a zone in service or takes it out of service.
    pub(crate) fn set_zone(&mut self, now: Uptime, zone: &AvailabilityZone, is_open: bool) {
        if let Some(state) = self.zones.get_mut(zone) {
            *state = ZoneState {
                version: state.version.next(),
                is_open,
                since: now,
            };
        }
    }

    /// Applies writes whose delay has passed, without a reply.
    pub(crate) fn tick(&mut self, now: Uptime) {
        let delayed = std::mem::take(&mut self.delayed);
        for (at, message) in delayed {
            if at > now {
                self.delayed.push((at, message));
            } else {
                self.write(now, message);
            }
        }
    }

    /// Handles a request; returns no reply if it is lost or the write is delayed.
    pub(crate) fn on_message(&mut self, now: Uptime, message: Message) -> Option<Message> {
        if !self.is_up {
            return None;
        }
        match message {
            Message::ReadPolledRows(sent_at) => {
                Some(Message::PolledRows(sent_at, Box::new(self.polled_rows())))
            }
            Message::ReadAttempt(job, attempt, write) => {
                let row = self
                    .jobs
                    .get(&job)
                    .and_then(|job| job.attempts.iter().find(|row| row.attempt == attempt));
                let stored = row.map(|row| row.write.clone());
                Some(Message::AttemptRead { job, write, stored })
            }
            Message::ReadBack(version, change) => {
                let index = usize::try_from(version.get()).unwrap_or(usize::MAX);
                let stored = self.changes.get(index.saturating_sub(1));
                Some(Message::ReadBackReply {
                    change,
                    head: self.head(),
                    stored: stored.map(|(id, _)| id.clone()),
                })
            }
            write => {
                if let Some(delay) = self.delay_write.take() {
                    self.delayed.push((now.plus(delay), write));
                    return None;
                }
                let reply = self.write(now, write);
                if self.lost_replies > 0 {
                    self.lost_replies -= 1;
                    return None;
                }
                reply
            }
        }
    }

    fn polled_rows(&self) -> PolledRows {
        let zones = self.zones.iter().map(|(zone, state)| ZoneRow {
            zone: zone.clone(),
            version: state.version,
            is_open: state.is_open,
        });
        PolledRows {
            leader_row: self.leader_row.clone(),
            zones: zones.collect(),
            config: self.head(),
            jobs: self.jobs.clone(),
        }
    }

    fn write(&mut self, now: Uptime, message: Message) -> Option<Message> {
        match message {
            Message::WriteLeader {
                number,
                expected,
                row,
            } => {
                let outcome = if self.leader_row.version == expected {
                    self.leader_row = Versioned {
                        version: expected.next(),
                        value: Some(row),
                    };
                    WriteOutcome::Done(self.leader_row.version)
                } else {
                    WriteOutcome::Conflict
                };
                Some(Message::LeaderWritten(number, outcome))
            }
            Message::RecordAttempt(id, row) => {
                let job = self.jobs.get_mut(&id)?;
                let write = row.write.clone();
                let outcome = if row.attempt.get() == job.attempts.len() as u64 + 1 {
                    job.attempts.push(row);
                    WriteOutcome::Done(RowVersion::new(1))
                } else {
                    WriteOutcome::Conflict
                };
                Some(Message::AttemptRecorded(id, write, outcome))
            }
            Message::JobDone(id) => {
                self.jobs.get_mut(&id)?.is_done = true;
                None
            }
            Message::Commit { base, change } => {
                let outcome = if self.head() == base {
                    self.changes.push((change.clone(), now));
                    WriteOutcome::Done(RowVersion::new(1))
                } else {
                    WriteOutcome::Conflict
                };
                Some(Message::Committed(change, outcome))
            }
            _ => None,
        }
    }
}
