//! Heartbeat monitor of a gang's members while their task processes run.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::{GangMember, Heartbeat, TaskAnswer};
use cumindeck_types::{TaskIndex, Uptime};

use crate::gang::{HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, TaskId};

/// Time for which the first task's agent replies to members that the gang was lost.
const LOST_GANG_RETENTION: Duration = Duration::from_secs(60);

/// An action that the owner of a [`GangMonitor`] carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MonitorEffect {
    /// Send a heartbeat to the agent of the gang's first task, then call
    /// [`GangMonitor::on_heartbeat_reply`].
    Heartbeat(GangMember, Heartbeat),
    /// Stop the agent's own task, because a member of the gang was lost.
    Stop(TaskId),
}

#[derive(Debug, Clone)]
enum Role {
    /// The agent of the first task: time of the last heartbeat of
    /// each other running member.
    First {
        last_seen: BTreeMap<TaskIndex, Uptime>,
        lost: Option<Uptime>,
    },
    /// Another member: the first task's agent, and when the last heartbeat that it
    /// accepted was sent.
    Other {
        first: GangMember,
        confirmed_at: Uptime,
        next_heartbeat: Uptime,
    },
}

#[derive(Debug, Clone)]
struct MonitoredGang {
    role: Role,
    is_running: bool,
}

/// The gangs of which an agent runs a task.
#[derive(Debug, Clone, Default)]
pub struct GangMonitor {
    gangs: BTreeMap<TaskId, MonitoredGang>,
}

impl GangMonitor {
    /// Starts to monitor a gang when the agent runs one of its task processes.
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
                confirmed_at: now,
                next_heartbeat: now,
            }
        };
        let gang = MonitoredGang {
            role,
            is_running: true,
        };
        self.gangs.insert(id, gang);
    }

    /// Records that the agent's own task process succeeded; the others continue.
    pub fn succeeded(&mut self, id: &TaskId) {
        let Some(gang) = self.gangs.get_mut(id) else {
            return;
        };
        gang.is_running = false;
        if matches!(&gang.role, Role::First { last_seen, .. } if last_seen.is_empty()) {
            self.gangs.remove(id);
        }
    }

    /// Records that the agent's own task process failed or was
    /// stopped, which ends the gang.
    pub fn lost(&mut self, now: Uptime, id: &TaskId) {
        match self.gangs.get_mut(id).map(|gang| &mut gang.role) {
            Some(Role::First { lost, .. }) => *lost = Some(now),
            // Without heartbeats, the first task's agent detects
            // that the member is lost.
            Some(Role::Other { .. }) => {
                self.gangs.remove(id);
            }
            None => {}
        }
    }

    /// Handles a heartbeat of another member at the agent of the first task.
    pub fn on_heartbeat(&mut self, now: Uptime, heartbeat: &Heartbeat) -> TaskAnswer {
        let id = TaskId {
            job: heartbeat.job.clone(),
            attempt: heartbeat.attempt,
            task: TaskIndex::new(0),
        };
        let Some(MonitoredGang {
            role: Role::First { last_seen, lost },
            is_running,
        }) = self.gangs.get_mut(&id)
        else {
            return TaskAnswer::UnknownTask;
        };
        let is_overdue = last_seen
            .get(&heartbeat.task)
            .is_some_and(|at| now >= at.plus(HEARTBEAT_TIMEOUT));
        // After a pause of this process, a heartbeat may be handled before the tick
        // that would have detected the loss of its sender.
        if lost.is_some() || is_overdue {
            return TaskAnswer::Failed;
        }
        if heartbeat.is_running {
            if let Some(at) = last_seen.get_mut(&heartbeat.task) {
                *at = now;
            }
        } else {
            last_seen.remove(&heartbeat.task);
        }
        if last_seen.is_empty() && !*is_running {
            self.gangs.remove(&id);
        }
        TaskAnswer::Done
    }

    /// Handles the reply to a heartbeat sent at `sent_at`, at the agent of another task
    /// than the first.
    pub fn on_heartbeat_reply(
        &mut self,
        sent_at: Uptime,
        id: &TaskId,
        reply: TaskAnswer,
    ) -> Vec<MonitorEffect> {
        let Some(gang) = self.gangs.get_mut(id) else {
            return Vec::new();
        };
        let Role::Other { confirmed_at, .. } = &mut gang.role else {
            return Vec::new();
        };
        match reply {
            TaskAnswer::Done if !gang.is_running => {
                self.gangs.remove(id);
                Vec::new()
            }
            TaskAnswer::Done => {
                *confirmed_at = sent_at.max(*confirmed_at);
                Vec::new()
            }
            TaskAnswer::Failed => {
                self.gangs.remove(id);
                vec![MonitorEffect::Stop(id.clone())]
            }
            // The first task may start later than this one, or may be unknown after a
            // restart of its agent; the timeout distinguishes the two.
            _ => Vec::new(),
        }
    }

    /// Sends heartbeats that are due and detects lost members;
    /// called after each wake-up.
    pub fn tick(&mut self, now: Uptime) -> Vec<MonitorEffect> {
        let mut effects = Vec::new();
        self.gangs.retain(|id, gang| match &mut gang.role {
            Role::First { last_seen, lost } => {
                let is_overdue = last_seen
                    .values()
                    .any(|at| now >= at.plus(HEARTBEAT_TIMEOUT));
                if lost.is_none() && is_overdue {
                    *lost = Some(now);
                    effects.push(MonitorEffect::Stop(id.clone()));
                }
                lost.is_none_or(|at| now < at.plus(LOST_GANG_RETENTION))
            }
            Role::Other { confirmed_at, .. } if now >= confirmed_at.plus(HEARTBEAT_TIMEOUT) => {
                if gang.is_running {
                    effects.push(MonitorEffect::Stop(id.clone()));
                }
                false
            }
            Role::Other {
                first,
                next_heartbeat,
                ..
            } => {
                if now >= *next_heartbeat {
                    *next_heartbeat = now.plus(HEARTBEAT_INTERVAL);
                    let heartbeat = Heartbeat {
                        job: id.job.clone(),
                        attempt: id.attempt,
                        task: id.task,
                        is_running: gang.is_running,
                    };
                    effects.push(MonitorEffect::Heartbeat(first.clone(), heartbeat));
                }
                true
            }
        });
        effects
    }

    /// Returns when [`GangMonitor::tick`] is due next.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Uptime> {
        let wakeups = self.gangs.values().filter_map(|gang| match &gang.role {
            Role::First { lost: Some(at), .. } => Some(at.plus(LOST_GANG_RETENTION)),
            Role::First {
                last_seen,
                lost: None,
            } => last_seen
                .values()
                .min()
                .map(|at| at.plus(HEARTBEAT_TIMEOUT)),
            Role::Other {
                confirmed_at,
                next_heartbeat,
                ..
            } => Some(confirmed_at.plus(HEARTBEAT_TIMEOUT).min(*next_heartbeat)),
        });
        wakeups.min()
    }
}
