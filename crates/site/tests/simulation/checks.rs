//! Invariants that are checked after every step.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cumindeck_api::JobState;
use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_site::JobRow;
use cumindeck_types::{Attempt, JobId, Uptime};

use crate::agent_node::AgentNode;

/// Maximum time for which a gang may run with a part of its tasks: 8 s until the lease
/// of a lost member ends, 6 s until the others detect it, 1 s between their starts.
const MAX_PARTIAL: Duration = Duration::from_secs(15);
/// Maximum time after a zone was taken out of service in which tasks may still start.
const MAX_LATE_START: Duration = Duration::from_secs(3);

/// Facts that the checks keep between steps.
#[derive(Debug, Default)]
pub struct Checks {
    /// Number of tasks by job.
    pub sizes: BTreeMap<JobId, u32>,
    /// Zones that are out of service, and since when.
    pub out_of_service_since: BTreeMap<String, Uptime>,
    /// Jobs whose end is recorded.
    pub ended: BTreeSet<JobId>,
    partial_since: BTreeMap<(JobId, Attempt), Uptime>,
}

impl Checks {
    /// Checks the start of a task process.
    pub fn on_start(&self, now: Uptime, zone: &str, id: &TaskId) -> Result<(), String> {
        if self.ended.contains(&id.job) {
            return Err(format!(
                "{now}: {id:?} starts after its job's end was recorded"
            ));
        }
        match self.out_of_service_since.get(zone) {
            Some(since) if now.since(*since) > MAX_LATE_START => Err(format!(
                "{now}: {id:?} starts in {zone}, which has been out of service since {since}"
            )),
            _ => Ok(()),
        }
    }

    /// Checks a job whose end is recorded. Jobs succeed unless they were cancelled or
    /// rejected at submission; success means that every task of the last attempt ran
    /// to its end.
    pub fn on_end(
        &self,
        now: Uptime,
        row: &JobRow,
        may_fail: bool,
        agents: &[AgentNode],
    ) -> Result<(), String> {
        let job = &row.spec.id;
        if row.state != JobState::Succeeded {
            return match may_fail {
                true => Ok(()),
                false => Err(format!("{now}: {job} is recorded as {}", row.state)),
            };
        }
        let processes = agents.iter().flat_map(|agent| &agent.worker.processes);
        let done = processes.filter(|(id, process)| {
            let is_done = matches!(&process.end, Some((TaskEnd::Succeeded, _)));
            id.job == *job && id.attempt == row.attempt && is_done
        });
        let done: BTreeSet<u64> = done.map(|(id, _)| id.task.get()).collect();
        if done.len() != self.sizes[job] as usize {
            return Err(format!(
                "{now}: {job} is recorded as succeeded with tasks {done:?} done"
            ));
        }
        Ok(())
    }

    /// Checks all task processes.
    pub fn check(&mut self, now: Uptime, agents: &[AgentNode]) -> Result<(), String> {
        let mut running: BTreeMap<JobId, BTreeMap<Attempt, BTreeSet<u64>>> = BTreeMap::new();
        let mut done: BTreeMap<(JobId, Attempt), BTreeSet<u64>> = BTreeMap::new();
        for (id, process) in agents.iter().flat_map(|agent| &agent.worker.processes) {
            let key = (id.job.clone(), id.attempt);
            if process.is_running() {
                let attempts = running.entry(id.job.clone()).or_default();
                if !attempts
                    .entry(id.attempt)
                    .or_default()
                    .insert(id.task.get())
                {
                    return Err(format!("{now}: {id:?} runs twice"));
                }
            } else if matches!(&process.end, Some((TaskEnd::Succeeded, _))) {
                done.entry(key).or_default().insert(id.task.get());
            }
        }
        let mut partial = BTreeMap::new();
        for (job, attempts) in &running {
            if attempts.len() > 1 {
                return Err(format!(
                    "{now}: attempts {:?} of {job} run concurrently",
                    attempts.keys()
                ));
            }
            for (attempt, tasks) in attempts {
                let key = (job.clone(), *attempt);
                let done = done.get(&key).map_or(0, BTreeSet::len);
                if tasks.len() + done < self.sizes[job] as usize {
                    let since = self.partial_since.get(&key).copied().unwrap_or(now);
                    if now.since(since) > MAX_PARTIAL {
                        return Err(format!("{now}: a part of {key:?} runs since {since}"));
                    }
                    partial.insert(key, since);
                }
            }
        }
        self.partial_since = partial;
        Ok(())
    }
}
