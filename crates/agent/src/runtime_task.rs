//! The task that owns the connection to the worker: it carries out orders sequentially
//! and polls the state of the tasks.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_platform::{
    PrepareTask, RuntimeTaskId, RuntimeTaskPhase, RuntimeTaskState, WorkerRuntime,
};
use cumindeck_service::Timer;
use cumindeck_types::message::{GangMember, Reserve};
use cumindeck_types::{Remaining, Uptime};
use tokio::sync::{mpsc, oneshot};

use crate::core::AgentEvent;
use crate::core_task::CoreMessage;

/// Time between two polls of the worker.
const POLL_PERIOD: Duration = Duration::from_millis(250);

/// An order of the core task.
pub(crate) enum RuntimeOrder {
    /// Prepare a task.
    Prepare {
        id: TaskId,
        reserve: Reserve,
        /// Lease of the task, counted from `since`.
        lease: Remaining,
        /// When the order was given.
        since: Uptime,
    },
    /// Start a task.
    Start {
        id: TaskId,
        /// The task process starts before this time or not at all.
        not_after: Uptime,
        /// Agents of the gang, in the order of their tasks.
        members: Vec<GangMember>,
    },
    /// Write a checkpoint.
    Checkpoint(TaskId),
    /// Stop or release a task.
    Stop(TaskId),
    /// Renew the lease of all tasks.
    Renew {
        /// The lease, counted from `since`.
        lease: Remaining,
        /// When the order was given.
        since: Uptime,
    },
}

/// Carries out orders and polls the worker.
pub(crate) struct RuntimeTask {
    pub runtime: Rc<dyn WorkerRuntime>,
    /// Channel to the core task.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    pub timer: Timer,
}

impl RuntimeTask {
    /// Carries out orders until the core task has ended.
    ///
    /// `ready` is notified when no task of an earlier incarnation is left. The agent
    /// announces itself only then, so that a task that it doesn't report doesn't run.
    pub(crate) async fn run(
        self,
        mut rx: mpsc::UnboundedReceiver<RuntimeOrder>,
        ready: oneshot::Sender<()>,
    ) {
        let mut live: BTreeMap<RuntimeTaskId, TaskId> = BTreeMap::new();
        let mut poll = self.timer.every(POLL_PERIOD);
        while !self.stop_orphans().await {
            let _ = poll.recv().await;
        }
        let _ = ready.send(());
        loop {
            tokio::select! {
                order = rx.recv() => {
                    let Some(order) = order else { return };
                    self.carry_out(order, &mut live).await;
                }
                _ = poll.recv(), if !live.is_empty() => self.poll(&mut live).await,
            }
        }
    }

    /// Stops orphaned tasks: those of an earlier incarnation of this agent, which
    /// nothing monitors any more.
    ///
    /// Returns whether none is left.
    async fn stop_orphans(&self) -> bool {
        let Ok(states) = self.runtime.tasks().await else {
            return false;
        };
        let mut is_done = true;
        for state in states.into_iter().filter(|state| is_live(state.phase)) {
            tracing::info!(event = "leftover_stopped", task = %state.id);
            if let Err(err) = self.runtime.stop(&state.id).await {
                tracing::warn!(event = "stop_failed", task = %state.id, error = %err);
                is_done = false;
            }
        }
        is_done
    }

    async fn carry_out(&self, order: RuntimeOrder, live: &mut BTreeMap<RuntimeTaskId, TaskId>) {
        match order {
            RuntimeOrder::Prepare {
                id,
                reserve,
                lease,
                since,
            } => {
                let task = PrepareTask {
                    id: runtime_id(&id),
                    accelerators: reserve.accelerators,
                    command: reserve.command,
                    lease: Remaining::until(lease.deadline(since), self.timer.now()),
                };
                let result = self.runtime.prepare(&task).await;
                if let Err(err) = &result {
                    tracing::warn!(event = "prepare_failed", task = %task.id, error = %err);
                }
                // A refused order left no task at the worker, so its stop needs no
                // confirmation; after any other error the task may exist.
                if !matches!(result, Err(cumindeck_platform::RuntimeError::Refused(_))) {
                    live.insert(task.id, id.clone());
                }
                self.event(AgentEvent::Prepared {
                    id,
                    is_ok: result.is_ok(),
                });
            }
            RuntimeOrder::Start {
                id,
                not_after,
                members,
            } => {
                let remaining = Remaining::until(not_after, self.timer.now());
                let is_ok = !remaining.is_expired() && self.start(&id, remaining).await;
                self.event(AgentEvent::Started { id, members, is_ok });
            }
            RuntimeOrder::Checkpoint(id) => {
                let task = runtime_id(&id);
                if let Err(err) = self.runtime.checkpoint(&task).await {
                    tracing::warn!(event = "checkpoint_failed", %task, error = %err);
                }
            }
            RuntimeOrder::Stop(id) => self.stop(id, live).await,
            RuntimeOrder::Renew { lease, since } => {
                let lease = Remaining::until(lease.deadline(since), self.timer.now());
                if live.is_empty() {
                    return;
                }
                if let Err(err) = self.runtime.renew(lease).await {
                    tracing::warn!(event = "renew_failed", error = %err);
                }
            }
        }
    }

    async fn start(&self, id: &TaskId, remaining: Remaining) -> bool {
        let task = runtime_id(id);
        let result = self.runtime.start(&task, remaining).await;
        if let Err(err) = &result {
            tracing::warn!(event = "start_failed", %task, error = %err);
        }
        result.is_ok()
    }

    /// Stops a task; without a confirmation the next poll reports its end.
    async fn stop(&self, id: TaskId, live: &mut BTreeMap<RuntimeTaskId, TaskId>) {
        let task = runtime_id(&id);
        match self.runtime.stop(&task).await {
            Ok(()) => {
                live.remove(&task);
                self.event(AgentEvent::Ended {
                    id,
                    end: TaskEnd::Stopped,
                });
            }
            Err(cumindeck_platform::RuntimeError::Refused(_)) if !live.contains_key(&task) => {
                self.event(AgentEvent::Ended {
                    id,
                    end: TaskEnd::Stopped,
                });
            }
            Err(err) => tracing::warn!(event = "stop_failed", %task, error = %err),
        }
    }

    async fn poll(&self, live: &mut BTreeMap<RuntimeTaskId, TaskId>) {
        let Ok(states) = self.runtime.tasks().await else {
            return;
        };
        for state in states {
            let Some(end) = task_end(&state) else {
                continue;
            };
            let Some(id) = live.remove(&state.id) else {
                continue;
            };
            tracing::info!(event = "task_ended", task = %state.id, outcome = ?state.phase);
            self.event(AgentEvent::Ended { id, end });
        }
    }

    fn event(&self, event: AgentEvent) {
        // A closed channel means that the process is stopping.
        let _ = self.core.send(CoreMessage::Event(event));
    }
}

fn runtime_id(id: &TaskId) -> RuntimeTaskId {
    RuntimeTaskId::new(&id.job, id.attempt, id.task)
}

const fn is_live(phase: RuntimeTaskPhase) -> bool {
    matches!(
        phase,
        RuntimeTaskPhase::Prepared | RuntimeTaskPhase::Running
    )
}

fn task_end(state: &RuntimeTaskState) -> Option<TaskEnd> {
    match state.phase {
        RuntimeTaskPhase::Prepared | RuntimeTaskPhase::Running => None,
        RuntimeTaskPhase::Succeeded => Some(TaskEnd::Succeeded),
        RuntimeTaskPhase::Failed => Some(TaskEnd::Failed(state.detail.clone())),
        RuntimeTaskPhase::Stopped => Some(TaskEnd::Stopped),
    }
}
