//! Replies to agents, with their orders.

use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};

use super::{Scheduler, TaskId};
use crate::exchange::{ExchangeReply, Order, RunState};
use crate::progress::Placement;

/// Time after which an order that has not been carried out is repeated.
const ORDER_REPEAT_DELAY: Duration = Duration::from_millis(400);

impl Scheduler {
    /// Returns the reply to an agent's last report.
    pub fn reply(&mut self, now: Uptime, agent: &AgentId, sequence: u64) -> ExchangeReply {
        let orders = self.orders(now, agent);
        let confirmed_age = self.confirmed_age(now);
        match orders.is_empty() {
            true => self.order_checks.remove(agent),
            false => {
                let repeat_at = now.plus(ORDER_REPEAT_DELAY);
                self.order_checks.insert(agent.clone(), repeat_at)
            }
        };
        let speeds = self.speeds.to_keep(agent);
        let worker = self.workers.entry(agent.clone()).or_default();
        worker.last_reply = now;
        worker.last_orders = (orders.clone(), now);
        ExchangeReply {
            sequence,
            is_leader: true,
            leader: self.leader_row.address,
            entries: Vec::new(),
            token: self.leader_row.token,
            process: Some(worker.incarnation),
            confirmed_age_ms: u64::try_from(confirmed_age.as_millis()).unwrap_or(u64::MAX),
            worker_started_ms: worker
                .worker_incarnation
                .as_ref()
                .map_or(0, |incarnation| incarnation.started_ms),
            recorded_ends: worker.ends_recorded,
            doubts_ends: worker.known_ends.is_inherited(),
            knows_incarnation: worker.known_ends.is_known(),
            speeds,
            orders,
        }
    }

    /// Returns the agents whose orders or acknowledgements may have changed since the
    /// last reply; an agent that has no updates is not returned again until a change.
    pub fn agents_to_check(&mut self, now: Uptime) -> Vec<AgentId> {
        let due = self.order_checks.iter().filter(|(_, at)| now >= **at);
        due.map(|(agent, _)| agent.clone()).collect()
    }

    /// Returns whether a reply would bring an agent new orders, acknowledgements or doubts.
    ///
    /// Orders of the last reply do not count while the agent carries them out.
    pub fn has_updates(&mut self, now: Uptime, agent: &AgentId, recorded_ends: u64) -> bool {
        let Some(worker) = self.workers.get(agent) else {
            return false;
        };
        let known = &worker.known_ends;
        if worker.ends_recorded > recorded_ends || known.is_inherited() || known.is_asked_for() {
            return true;
        }
        let orders = self.orders(now, agent);
        let (last, sent_at) = &worker.last_orders;
        let repeat_at = sent_at.plus(ORDER_REPEAT_DELAY);
        if orders.is_empty() {
            self.order_checks.remove(agent);
            return false;
        }
        if orders == *last && now < repeat_at {
            self.order_checks.insert(agent.clone(), repeat_at);
            return false;
        }
        true
    }

    /// Has the orders of an agent checked for its next reply.
    pub(super) fn check_orders(&mut self, agent: AgentId) {
        self.order_checks.insert(agent, Uptime::ZERO);
    }

    /// Has the orders of all agents checked.
    pub(super) fn check_all_orders(&mut self) {
        let agents = self.workers.keys().cloned();
        self.order_checks
            .extend(agents.map(|agent| (agent, Uptime::ZERO)));
    }

    /// Returns the number of the newest recorded end of an agent's worker.
    #[must_use]
    pub fn recorded_ends(&self, agent: &AgentId) -> u64 {
        self.workers.get(agent).map_or(0, |it| it.ends_recorded)
    }

    pub(super) fn placement(&self, task: &TaskId) -> Option<&Placement> {
        let job = self.jobs.get(&task.job)?;
        job.task(task)?.placement.as_ref()
    }

    fn orders(&self, now: Uptime, agent: &AgentId) -> Vec<Order> {
        let Some(worker) = self.workers.get(agent) else {
            return Vec::new();
        };
        let Some(incarnation) = worker
            .worker_incarnation
            .as_ref()
            .filter(|_| worker.has_lists)
        else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for id in worker.placed.tasks() {
            let (Some(run), Some(job)) = (self.runs.get(id), self.jobs.get(&id.job)) else {
                continue;
            };
            let Some(task) = job.task(id) else { continue };
            let is_here = task.placement.as_ref().is_some_and(|placement| {
                placement.agent == *agent && incarnation.is(&placement.worker, placement.started_ms)
            });
            let is_recorded = run.batch.is_some_and(|batch| batch <= self.committed);
            if !is_here || !is_recorded {
                continue;
            }
            let key = (id.clone(), task.run);
            if worker.listed_ends.contains(&key) {
                continue;
            }
            let is_known = worker.reported.contains_key(&key);
            let may_start = !incarnation.is_draining && !self.evacuated.contains(&incarnation.zone);
            let ticket = match is_known {
                true => Some(String::new()),
                false => self.ticket_of(now, id, incarnation),
            };
            let may_start = may_start && ticket.is_some();
            let is_startable = is_known && run.probe_runs == 0 || may_start;
            // A former leader has placed it, to show whether the worker lists ends or before
            // the doubt.
            let is_unsafe = !is_known && run.probe_runs == 0 && worker.known_ends.is_probing();
            if run.is_stopping || task.is_done || !is_startable || is_unsafe {
                orders.push(Order::Stop {
                    task: id.clone(),
                    run: task.run,
                });
            } else if !is_known {
                let spec = &job.row.spec.steps[id.step as usize];
                orders.push(Order::Start {
                    task: id.clone(),
                    run: task.run,
                    payload: job.row.spec.payload.clone(),
                    checkpoint: task.checkpoint.clone(),
                    ticket: ticket.unwrap_or_default(),
                    probe_runs: run.probe_runs,
                    is_best_effort: spec.is_best_effort,
                    target_ms: spec.target_ms,
                });
            }
        }
        orders.extend(self.orphan_stops(agent));
        orders
    }

    /// Returns stop orders for orphaned runs: reported by an agent, but in no placement.
    fn orphan_stops(&self, agent: &AgentId) -> Vec<Order> {
        let Some(worker) = self.workers.get(agent) else {
            return Vec::new();
        };
        let is_placed = |task: &TaskId, run| {
            self.placement(task).is_some_and(|it| it.agent == *agent)
                && self.jobs[&task.job]
                    .task(task)
                    .is_some_and(|it| it.run == run)
        };
        worker
            .reported
            .iter()
            .filter(|((task, run), state)| {
                !matches!(state, RunState::NotStarted { .. }) && !is_placed(task, *run)
            })
            .map(|((task, run), _)| Order::Stop {
                task: task.clone(),
                run: *run,
            })
            .collect()
    }
}
