//! Simulated worker: runs task processes under leases, even while its agent is paused.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_types::Uptime;

use crate::message::Message;

/// Time that an order takes to reach the worker; lease renewals take effect immediately.
const ORDER_DELAY: Duration = Duration::from_millis(20);

/// An order to a worker.
#[derive(Debug, Clone)]
pub(crate) enum WorkerOrder {
    Prepare(TaskId),
    Run {
        id: TaskId,
        not_after: Uptime,
        lease: Uptime,
        run: Duration,
    },
    Stop(TaskId),
}

#[derive(Debug)]
struct TaskProcess {
    ends_at: Uptime,
    lease: Uptime,
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    orders: Vec<(Uptime, WorkerOrder)>,
    processes: BTreeMap<TaskId, TaskProcess>,
}

impl Worker {
    /// Queues an order, which is executed after [`ORDER_DELAY`].
    pub(crate) fn order(&mut self, now: Uptime, order: WorkerOrder) {
        self.orders.push((now.plus(ORDER_DELAY), order));
    }

    /// Extends the leases of all task processes.
    pub(crate) fn renew(&mut self, lease: Uptime) {
        for process in self.processes.values_mut() {
            process.lease = process.lease.max(lease);
        }
    }

    /// Stops all task processes and drops queued orders.
    ///
    /// Called when a new incarnation of the agent starts; it receives no ends for these.
    pub(crate) fn clear(&mut self) {
        self.orders.clear();
        self.processes.clear();
    }

    /// Returns the tasks whose processes are running.
    pub(crate) fn running(&self) -> impl Iterator<Item = &TaskId> {
        self.processes.keys()
    }

    /// Executes orders and ends processes; returns the messages to the agent.
    pub(crate) fn tick(&mut self, now: Uptime) -> Vec<Message> {
        let mut messages = Vec::new();
        self.processes.retain(|id, process| {
            let end = if now >= process.lease {
                TaskEnd::Stopped
            } else if now >= process.ends_at {
                TaskEnd::Succeeded
            } else {
                return true;
            };
            messages.push(Message::Ended(id.clone(), end));
            false
        });
        let orders = std::mem::take(&mut self.orders);
        for (at, order) in orders {
            if at > now {
                self.orders.push((at, order));
            } else {
                messages.push(self.perform(now, order));
            }
        }
        messages
    }

    fn perform(&mut self, now: Uptime, order: WorkerOrder) -> Message {
        match order {
            WorkerOrder::Prepare(id) => Message::Prepared(id),
            WorkerOrder::Run {
                id,
                not_after,
                lease,
                run,
            } => {
                let is_ok = now < not_after;
                if is_ok {
                    let ends_at = now.plus(run);
                    self.processes
                        .insert(id.clone(), TaskProcess { ends_at, lease });
                }
                Message::Started(id, is_ok)
            }
            WorkerOrder::Stop(id) => {
                self.processes.remove(&id);
                Message::Ended(id, TaskEnd::Stopped)
            }
        }
    }
}
