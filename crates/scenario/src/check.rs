//! The invariants, checked after every step of a simulation: P2, a gang runs whole and in
//! one attempt; P3, no task starts in a zone that is out of service; P9, configuration
//! versions only advance and come into force in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_control::config_version::ChangeId;
use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_types::{Attempt, AvailabilityZone, ConfigVersion, JobId, TaskIndex, Uptime};
use thiserror::Error;

use crate::agent::TaskName as _;
use crate::message::{Message, NodeId};
use crate::store::Store;

/// Maximum time for which only a part of a gang may run.
///
/// A start takes up to 1 s, the heartbeat monitor 5 s, and a task process whose agent
/// is paused ends with the worker's lease after 8 s; one heartbeat is added.
const MAX_PARTIAL_GANG: Duration = Duration::from_secs(1 + 5 + 8 + 1);
/// Maximum time after a zone is taken out of service within which a task starts in it.
const MAX_START_DELAY: Duration = Duration::from_secs(3);
/// Maximum time until an accepted configuration is in force on all nodes.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(5);

/// A violated invariant: P2 (gangs), P3 (zones) or P9 (configuration).
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Violation {
    /// P2: a gang ran without all its tasks for longer than allowed.
    #[error("{now} P2: only a part of {job} attempt {attempt} ran for {} s", MAX_PARTIAL_GANG.as_secs())]
    PartialGang {
        /// When it was detected.
        now: Uptime,
        /// The job that the gang runs.
        job: JobId,
        /// The attempt of which only a part ran.
        attempt: Attempt,
    },
    /// P2: a task process started before all members of its gang were ready.
    #[error("{now} P2: {task} started before its whole gang was ready")]
    NotReady {
        /// When it was detected.
        now: Uptime,
        /// The task that started, as named by `TaskId::name`.
        task: String,
    },
    /// P2: two attempts of a job ran concurrently.
    #[error("{now} P2: attempts {attempts:?} of {job} ran at once")]
    TwoAttempts {
        /// When it was detected.
        now: Uptime,
        /// The job that has more than one running attempt.
        job: JobId,
        /// Numbers of the running attempts, in ascending order.
        attempts: Vec<u64>,
    },
    /// P3: a task started in a zone that was out of service.
    #[error("{now} P3: {task} started in {zone}, taken out at {since}")]
    StartOutOfService {
        /// When it was detected.
        now: Uptime,
        /// The task that started, as named by `TaskId::name`.
        task: String,
        /// The zone in which the task started.
        zone: AvailabilityZone,
        /// When the zone was taken out of service.
        since: Uptime,
    },
    /// P9: a node went back to an older configuration version.
    #[error("{now} P9: {node} went from version {from} to {to}")]
    ViewReverted {
        /// When it was detected.
        now: Uptime,
        /// The node, which has not restarted in between.
        node: NodeId,
        /// Version in force at an earlier check.
        from: ConfigVersion,
        /// The older version in force now; 0 if there is none.
        to: ConfigVersion,
    },
    /// P9: an accepted version wasn't in force in time.
    #[error("{now} P9: {node} is at {found:?}, not at {expected}")]
    NotInForce {
        /// When it was detected.
        now: Uptime,
        /// The node on which another version or none is in force.
        node: NodeId,
        /// The version in force.
        found: Option<ConfigVersion>,
        /// The newest version that the store has accepted.
        expected: ConfigVersion,
    },
    /// P9: an operator received a reply that doesn't match the history.
    #[error(
        "{now} P9: change {change} was reported with accepted={is_accepted} but applied {applied} times"
    )]
    FalseReply {
        /// When it was detected.
        now: Uptime,
        /// Id of the change that the operator was told about.
        change: String,
        /// Whether the reply said that the change was accepted.
        is_accepted: bool,
        /// How often the change is in the history.
        applied: usize,
    },
}

/// The state of a simulation after a step.
pub(crate) struct Observation<'a> {
    pub(crate) now: Uptime,
    pub(crate) store: &'a Store,
    pub(crate) running: Vec<(TaskId, &'a AvailabilityZone)>,
    /// Running nodes with their incarnation and their configuration version.
    pub(crate) views: Vec<(NodeId, u64, Option<ConfigVersion>)>,
    pub(crate) operator_replies: &'a [(ChangeId, bool)],
    pub(crate) is_faulty: bool,
}

/// State that the checks keep from step to step.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    prepared: BTreeSet<TaskId>,
    succeeded: BTreeSet<TaskId>,
    running: BTreeSet<TaskId>,
    partial_since: BTreeMap<(JobId, Attempt), Uptime>,
    views: BTreeMap<(NodeId, u64), ConfigVersion>,
    /// When an injected fault was last active.
    last_faulty_at: Uptime,
}

impl Checker {
    /// Records what a worker has done.
    pub(crate) fn on_worker(&mut self, message: &Message) {
        match message {
            Message::Prepared(id) => {
                self.prepared.insert(id.clone());
            }
            Message::Ended(id, TaskEnd::Succeeded) => {
                self.succeeded.insert(id.clone());
            }
            _ => {}
        }
    }

    /// Checks all invariants and adds starts and ends of task processes to the trace.
    pub(crate) fn check(
        &mut self,
        observation: &Observation<'_>,
        trace: &mut Vec<String>,
    ) -> Result<(), Violation> {
        if observation.is_faulty {
            self.last_faulty_at = observation.now;
        }
        let running: BTreeSet<_> = observation
            .running
            .iter()
            .map(|(id, _)| id.clone())
            .collect();
        for id in running.difference(&self.running) {
            trace.push(format!("{} {} starts", observation.now, id.name()));
        }
        for id in self.running.difference(&running) {
            let how = if self.succeeded.contains(id) {
                "succeeds"
            } else {
                "stops"
            };
            trace.push(format!("{} {} {how}", observation.now, id.name()));
        }
        self.check_starts(observation)?;
        self.running = running;
        self.check_gangs(observation)?;
        self.check_config(observation)
    }

    fn check_starts(&self, observation: &Observation<'_>) -> Result<(), Violation> {
        let now = observation.now;
        let started = observation
            .running
            .iter()
            .filter(|(id, _)| !self.running.contains(id));
        for (id, zone) in started {
            let size = gang_size(observation.store, &id.job);
            let is_ready = (0..size).all(|i| {
                let member = TaskId {
                    task: TaskIndex::new(i),
                    ..id.clone()
                };
                self.prepared.contains(&member)
            });
            if !is_ready {
                let task = id.name();
                return Err(Violation::NotReady { now, task });
            }
            let state = observation.store.zones.get(*zone);
            let out =
                state.filter(|state| !state.is_open && now > state.since.plus(MAX_START_DELAY));
            if let Some(state) = out {
                return Err(Violation::StartOutOfService {
                    now,
                    task: id.name(),
                    zone: (*zone).clone(),
                    since: state.since,
                });
            }
        }
        Ok(())
    }

    fn check_gangs(&mut self, observation: &Observation<'_>) -> Result<(), Violation> {
        let now = observation.now;
        let mut attempts: BTreeMap<(JobId, Attempt), u64> = BTreeMap::new();
        for id in &self.running {
            *attempts.entry((id.job.clone(), id.attempt)).or_default() += 1;
        }
        self.partial_since
            .retain(|key, _| attempts.contains_key(key));
        for ((job, attempt), count) in &attempts {
            let same_job = attempts.keys().filter(|(other, _)| other == job);
            let numbers: Vec<u64> = same_job.map(|(_, attempt)| attempt.get()).collect();
            if numbers.len() > 1 {
                return Err(Violation::TwoAttempts {
                    now,
                    job: job.clone(),
                    attempts: numbers,
                });
            }
            let succeeded = self.succeeded.iter();
            let succeeded = succeeded.filter(|id| id.job == *job && id.attempt == *attempt);
            let is_whole = count + succeeded.count() as u64 >= gang_size(observation.store, job);
            let key = (job.clone(), *attempt);
            if is_whole {
                self.partial_since.remove(&key);
            } else if now
                > self
                    .partial_since
                    .entry(key)
                    .or_insert(now)
                    .plus(MAX_PARTIAL_GANG)
            {
                let (job, attempt) = (job.clone(), *attempt);
                return Err(Violation::PartialGang { now, job, attempt });
            }
        }
        Ok(())
    }

    fn check_config(&mut self, observation: &Observation<'_>) -> Result<(), Violation> {
        let now = observation.now;
        let accepted = observation
            .store
            .changes
            .last()
            .map_or(Uptime::ZERO, |(_, at)| *at);
        let is_due = now > accepted.max(self.last_faulty_at).plus(MAX_CONFIG_DELAY);
        for (node, incarnation, found) in &observation.views {
            if is_due && *found != Some(observation.store.head()) {
                return Err(Violation::NotInForce {
                    now,
                    node: *node,
                    found: *found,
                    expected: observation.store.head(),
                });
            }
            let before = self.views.get(&(*node, *incarnation)).copied();
            let to = found.unwrap_or_default();
            if let Some(from) = before.filter(|from| to < *from) {
                let node = *node;
                return Err(Violation::ViewReverted {
                    now,
                    node,
                    from,
                    to,
                });
            }
            self.views.insert((*node, *incarnation), to);
        }
        for (change, is_accepted) in observation.operator_replies {
            let applied = observation
                .store
                .changes
                .iter()
                .filter(|(id, _)| id == change)
                .count();
            if applied != usize::from(*is_accepted) {
                return Err(Violation::FalseReply {
                    now,
                    change: change.as_str().to_owned(),
                    is_accepted: *is_accepted,
                    applied,
                });
            }
        }
        Ok(())
    }
}

fn gang_size(store: &Store, job: &JobId) -> u64 {
    store.jobs.get(job).map_or(0, |row| u64::from(row.tasks))
}
