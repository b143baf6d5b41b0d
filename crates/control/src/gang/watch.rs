//! The watch of a gang's members over each other while their bodies run.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::{Beat, GangMember, TaskAnswer};
use cumindeck_types::{TaskIndex, Uptime};

use crate::gang::{BEAT_EXPIRY, BEAT_PERIOD, TaskId};

/// How long the first task's agent keeps telling members that the gang was lost.
const LOST_LIFE: Duration = Duration::from_secs(60);

/// What the owner of a [`GangWatches`] does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchEffect {
    /// Send a beat to the agent of the gang's first task, then call
    /// [`GangWatches::on_beat_answer`].
    Beat(GangMember, Beat),
    /// Stop the agent's own task, because a part of the gang was lost.
    Stop(TaskId),
}

#[derive(Debug, Clone)]
enum Role {
    /// The agent of the first task: when each other running member was last seen.
    First {
        last_seen: BTreeMap<TaskIndex, Uptime>,
        lost: Option<Uptime>,
    },
    /// Another member: the first task's agent and when its last good answer was asked for.
    Other {
        first: GangMember,
        confirmed: Uptime,
        next_beat: Uptime,
    },
}

#[derive(Debug, Clone)]
struct Watch {
    role: Role,
    is_running: bool,
}

/// The gangs of which an agent runs a task.
#[derive(Debug, Clone, Default)]
pub struct GangWatches {
    watches: BTreeMap<TaskId, Watch>,
}

impl GangWatches {
    /// Starts the watch when the agent runs a body of a gang.
    pub fn start(&mut self, now: Uptime, id: TaskId, members: &[GangMember]) {
        let Some(first) = members.first() else { return };
        if members.len() < 2 {
            return;
        }
        let role = if id.task == TaskIndex::new(0) {
            let others = (1..members.len() as u64).map(|i| (TaskIndex::new(i), now));
            Role::First {
                last_seen: others.collect(),
                lost: None,
            }
        } else {
            Role::Other {
                first: first.clone(),
                confirmed: now,
                next_beat: now,
            }
        };
        let watch = Watch {
            role,
            is_running: true,
        };
        self.watches.insert(id, watch);
    }

    /// Notes that the agent's own body ended well; the others go on.
    pub fn succeeded(&mut self, id: &TaskId) {
        let Some(watch) = self.watches.get_mut(id) else {
            return;
        };
        watch.is_running = false;
        if matches!(&watch.role, Role::First { last_seen, .. } if last_seen.is_empty()) {
            self.watches.remove(id);
        }
    }

    /// Notes that the agent's own body failed or was stopped, which ends the whole gang.
    pub fn lost(&mut self, now: Uptime, id: &TaskId) {
        match self.watches.get_mut(id).map(|watch| &mut watch.role) {
            Some(Role::First { lost, .. }) => *lost = Some(now),
            // Without beats the first task's agent finds the member lost.
            Some(Role::Other { .. }) => {
                self.watches.remove(id);
            }
            None => {}
        }
    }

    /// Answers a beat of another member (agent of the first task).
    pub fn on_beat(&mut self, now: Uptime, beat: &Beat) -> TaskAnswer {
        let id = TaskId {
            job: beat.job.clone(),
            attempt: beat.attempt,
            task: TaskIndex::new(0),
        };
        let Some(Watch {
            role: Role::First { last_seen, lost },
            is_running,
        }) = self.watches.get_mut(&id)
        else {
            return TaskAnswer::UnknownTask;
        };
        let is_overdue = last_seen
            .get(&beat.task)
            .is_some_and(|at| now >= at.plus(BEAT_EXPIRY));
        // After a freeze of this agent a beat may come before the tick that
        // would have found its sender lost.
        if lost.is_some() || is_overdue {
            return TaskAnswer::Failed;
        }
        if beat.is_running {
            if let Some(at) = last_seen.get_mut(&beat.task) {
                *at = now;
            }
        } else {
            last_seen.remove(&beat.task);
        }
        if last_seen.is_empty() && !*is_running {
            self.watches.remove(&id);
        }
        TaskAnswer::Done
    }

    /// Takes in the answer to a beat that was sent at `asked` (other members).
    pub fn on_beat_answer(
        &mut self,
        asked: Uptime,
        id: &TaskId,
        answer: TaskAnswer,
    ) -> Vec<WatchEffect> {
        let Some(watch) = self.watches.get_mut(id) else {
            return Vec::new();
        };
        let Role::Other { confirmed, .. } = &mut watch.role else {
            return Vec::new();
        };
        match answer {
            TaskAnswer::Done if !watch.is_running => {
                self.watches.remove(id);
                Vec::new()
            }
            TaskAnswer::Done => {
                *confirmed = asked.max(*confirmed);
                Vec::new()
            }
            TaskAnswer::Failed => {
                self.watches.remove(id);
                vec![WatchEffect::Stop(id.clone())]
            }
            // The first task may start later than this one, or may have been
            // forgotten in a restart; the expiry tells the two apart.
            _ => Vec::new(),
        }
    }

    /// Sends beats that are due and finds lost members; called after each wake.
    pub fn tick(&mut self, now: Uptime) -> Vec<WatchEffect> {
        let mut effects = Vec::new();
        self.watches.retain(|id, watch| match &mut watch.role {
            Role::First { last_seen, lost } => {
                let is_overdue = last_seen.values().any(|at| now >= at.plus(BEAT_EXPIRY));
                if lost.is_none() && is_overdue {
                    *lost = Some(now);
                    effects.push(WatchEffect::Stop(id.clone()));
                }
                lost.is_none_or(|at| now < at.plus(LOST_LIFE))
            }
            Role::Other { confirmed, .. } if now >= confirmed.plus(BEAT_EXPIRY) => {
                if watch.is_running {
                    effects.push(WatchEffect::Stop(id.clone()));
                }
                false
            }
            Role::Other {
                first, next_beat, ..
            } => {
                if now >= *next_beat {
                    *next_beat = now.plus(BEAT_PERIOD);
                    let beat = Beat {
                        job: id.job.clone(),
                        attempt: id.attempt,
                        task: id.task,
                        is_running: watch.is_running,
                    };
                    effects.push(WatchEffect::Beat(first.clone(), beat));
                }
                true
            }
        });
        effects
    }

    /// Returns when [`GangWatches::tick`] has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        let wakeups = self.watches.values().filter_map(|watch| match &watch.role {
            Role::First { lost: Some(at), .. } => Some(at.plus(LOST_LIFE)),
            Role::First {
                last_seen,
                lost: None,
            } => last_seen.values().min().map(|at| at.plus(BEAT_EXPIRY)),
            Role::Other {
                confirmed,
                next_beat,
                ..
            } => Some(confirmed.plus(BEAT_EXPIRY).min(*next_beat)),
        });
        wakeups.min()
    }
}
