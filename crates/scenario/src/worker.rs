//! The worker beside an agent: it runs bodies under leases, whatever its agent does.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_types::Uptime;

use crate::message::Message;

/// Time that an order takes to reach the worker.
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
struct Body {
    ends: Uptime,
    lease: Uptime,
}

/// The worker beside an agent.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    orders: Vec<(Uptime, WorkerOrder)>,
    bodies: BTreeMap<TaskId, Body>,
}

impl Worker {
    /// Takes an order, which is performed a little later.
    pub(crate) fn order(&mut self, now: Uptime, order: WorkerOrder) {
        self.orders.push((now.plus(ORDER_DELAY), order));
    }

    /// Lengthens the lease of all bodies.
    pub(crate) fn renew(&mut self, lease: Uptime) {
        for body in self.bodies.values_mut() {
            body.lease = body.lease.max(lease);
        }
    }

    /// Stops all bodies, as the next incarnation of an agent does first.
    pub(crate) fn clear(&mut self) {
        self.orders.clear();
        self.bodies.clear();
    }

    /// Returns the tasks whose bodies run.
    pub(crate) fn running(&self) -> impl Iterator<Item = &TaskId> {
        self.bodies.keys()
    }

    /// Performs orders and ends bodies; returns the messages to the agent.
    pub(crate) fn tick(&mut self, now: Uptime) -> Vec<Message> {
        let mut messages = Vec::new();
        self.bodies.retain(|id, body| {
            let end = if now >= body.lease {
                TaskEnd::Stopped
            } else if now >= body.ends {
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
                    let ends = now.plus(run);
                    self.bodies.insert(id.clone(), Body { ends, lease });
                }
                Message::Started(id, is_ok)
            }
            WorkerOrder::Stop(id) => {
                self.bodies.remove(&id);
                Message::Ended(id, TaskEnd::Stopped)
            }
        }
    }
}
