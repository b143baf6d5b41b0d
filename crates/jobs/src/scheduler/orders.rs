//! Answers to agents.

use cumindeck_types::{AgentId, Uptime};

use super::{Scheduler, TaskId};
use crate::exchange::{ExchangeReply, Order, RunState};
use crate::progress::Placement;

impl Scheduler {
    /// Returns the answer to an agent's last report.
    pub fn reply(&mut self, now: Uptime, agent: &AgentId, sequence: u64) -> ExchangeReply {
        let orders = self.orders(agent);
        let confirmed_age = self.confirmed_age(now);
        let worker = self.workers.entry(agent.clone()).or_default();
        worker.granted = now;
        ExchangeReply {
            sequence,
            is_holder: true,
            holder: self.duty.address,
            entries: Vec::new(),
            token: self.duty.token,
            confirmed_age_ms: u64::try_from(confirmed_age.as_millis()).unwrap_or(u64::MAX),
            life_born_ms: worker.life.as_ref().map_or(0, |life| life.born_ms),
            recorded_ends: worker.ends_recorded,
            orders,
        }
    }

    /// Tells whether an agent has orders or acknowledgements to hear of.
    #[must_use]
    pub fn has_news(&self, agent: &AgentId, recorded_ends: u64) -> bool {
        let recorded = self.workers.get(agent).map_or(0, |it| it.ends_recorded);
        recorded > recorded_ends || !self.orders(agent).is_empty()
    }

    /// Returns the ends of an agent's worker that are recorded.
    #[must_use]
    pub fn recorded_ends(&self, agent: &AgentId) -> u64 {
        self.workers.get(agent).map_or(0, |it| it.ends_recorded)
    }

    pub(super) fn placement(&self, task: &TaskId) -> Option<&Placement> {
        let job = self.jobs.get(&task.job)?;
        job.task(task)?.placement.as_ref()
    }

    fn orders(&self, agent: &AgentId) -> Vec<Order> {
        let Some(worker) = self.workers.get(agent) else {
            return Vec::new();
        };
        let Some(life) = worker.life.as_ref().filter(|_| worker.has_lists) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        for (id, run) in &self.runs {
            let Some(job) = self.jobs.get(&id.job) else {
                continue;
            };
            let Some(task) = job.task(id) else { continue };
            let is_here = task.placement.as_ref().is_some_and(|placement| {
                placement.agent == *agent && life.is(&placement.worker, placement.born_ms)
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
            let may_start = !life.is_draining && !self.evacuated.contains(&life.zone);
            if run.is_stopping || (!is_known && !may_start) {
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
                    fills: spec.fills,
                    target_ms: spec.target_ms,
                });
            }
        }
        orders.extend(self.strays(agent));
        orders
    }

    /// Returns stops for runs that an agent reports and no placement names.
    fn strays(&self, agent: &AgentId) -> Vec<Order> {
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
