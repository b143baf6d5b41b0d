//! Handling of agents' reports.

use std::sync::Arc;
use std::time::Duration;

use cumindeck_types::{AgentId, Uptime};

use super::doubts::KnownEnds;
use super::pending::MAX_REPORT_AGE;
use super::{AgentReport, DecisionKind, Scheduler, TaskId, Worker, task_ids};
use crate::IncarnationId;
use crate::exchange::{EndReport, RunEnd, RunReport, RunState, WorkerIncarnation};
use crate::rows::WorkerRow;

/// Pause after a start that a worker refused.
///
/// Without it a refusal for a permanent reason would be repeated by each plan.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(200);

impl Scheduler {
    /// Applies a report; one older than the last report of its agent is ignored.
    pub fn on_report(&mut self, now: Uptime, store_ms: u64, report: &AgentReport) {
        let worker = self.workers.entry(report.agent.clone()).or_default();
        let is_older_process = report.incarnation < worker.incarnation;
        let is_older_report =
            report.incarnation == worker.incarnation && report.sequence <= worker.sequence;
        if is_older_process || is_older_report {
            return;
        }
        let has_left = report.worker_incarnation.is_none()
            && worker.worker_incarnation.is_some()
            && report.incarnation == worker.incarnation;
        self.speeds.on_report(report);
        worker.incarnation = report.incarnation;
        worker.sequence = report.sequence;
        let recorded = self.recorded_workers.get(&report.agent);
        worker
            .known_ends
            .on_report(report, &self.leader_row, recorded);
        if let Some(incarnation) = &report.worker_incarnation {
            let row = WorkerRow {
                worker: incarnation.worker.clone(),
                started_ms: incarnation.started_ms,
                is_doubted: worker.known_ends.is_doubted(),
                token: self.leader_row.token,
            };
            self.recorded_workers.on_report(&report.agent, row);
        }
        let is_inherited = worker.known_ends.is_inherited() || worker.known_ends.is_unknown();
        self.withheld_changes
            .on_report(now, report, is_inherited, &mut worker.withheld);
        let former_report = std::mem::replace(&mut worker.last_report, now);
        worker.without_worker_since = match &report.worker_incarnation {
            Some(_) => None,
            None => worker.without_worker_since.or(Some(now)),
        };
        let is_new_incarnation = match (&report.worker_incarnation, &worker.worker_incarnation) {
            (Some(new), Some(old)) => !new.is(&old.worker, old.started_ms),
            _ => true,
        };
        let known = worker.worker_incarnation.as_deref();
        let leaves_in = |incarnation: Option<&WorkerIncarnation>| incarnation?.leaves_in_ms;
        let leaves_in_ms = leaves_in(report.worker_incarnation.as_ref());
        if leaves_in_ms != leaves_in(known) {
            worker.leaves_at = leaves_in_ms.map(|millis| now.plus(Duration::from_millis(millis)));
        }
        let is_back = now.since(former_report) >= MAX_REPORT_AGE;
        let is_changed = known != report.worker_incarnation.as_ref();
        if is_changed || is_back || worker.has_lists != report.has_lists {
            self.needs_pass = true;
        }
        if is_changed {
            worker.worker_incarnation = report.worker_incarnation.clone().map(Arc::new);
        }
        worker.has_lists = report.has_lists;
        if is_new_incarnation {
            worker.ends_applied = 0;
            worker.ends_in_flight = 0;
            worker.ends_recorded = 0;
        }
        let runs = report.runs.iter();
        worker.reported = runs
            .map(|run| ((run.task.clone(), run.run), run.state.clone()))
            .collect();
        let ends = report.ends.iter();
        worker.listed_ends = ends.map(|end| (end.task.clone(), end.run)).collect();
        self.check_orders(report.agent.clone());
        if report.worker_incarnation.is_some() || has_left {
            // The agent has sent it after the takeover, and so after each placement of a
            // former leader.
            let is_after_takeover = report.known_token >= self.leader_row.token;
            self.end_runs_of_earlier_incarnations(&report.agent, is_after_takeover);
        }
        for end in &report.ends {
            self.on_end(now, store_ms, &report.agent, end);
        }
        for run in &report.runs {
            self.on_run(now, &report.agent, run);
        }
        let newest = report.ends.iter().map(|end| end.number).max();
        if let (Some(newest), Some(worker)) = (newest, self.workers.get_mut(&report.agent)) {
            worker.ends_applied = worker.ends_applied.max(newest);
        }
    }

    /// Ends the runs of workers whose last possible lease has expired.
    pub fn expire_worker_leases(&mut self, now: Uptime) {
        self.release_silent_workers(now);
        let lost = self.limits.worker_lost_after();
        // An agent that has named no worker for that long has extended no lease since; its
        // worker may have left before this entry took over.
        let is_gone = |worker: &Worker| {
            let since = worker.without_worker_since;
            since.is_some_and(|since| worker.last_report.since(since) > lost)
        };
        let is_lost = |worker: &Worker| {
            let is_silent = now.since(worker.last_reply.max(self.taken_over_at)) > lost;
            !worker.placed.is_empty() && (is_silent || is_gone(worker))
        };
        let lost_workers = self.workers.values().filter(|worker| is_lost(worker));
        let tasks: Vec<TaskId> = lost_workers
            .flat_map(|worker| worker.placed.tasks().cloned())
            .collect();
        for task in tasks {
            let reason = "the last possible lease has expired".to_owned();
            self.record_decision(DecisionKind::Lost, &task, None, reason);
            self.end_run(&task);
        }
    }

    /// Ends the runs of earlier incarnations of a worker.
    ///
    /// A run that the agent reports is not over: the start reached a new incarnation under
    /// the worker's id, and the run is placed there now. A report from before the takeover
    /// may be older than a former leader's placement; only a later start time shows then
    /// that it is not.
    fn end_runs_of_earlier_incarnations(&mut self, agent: &AgentId, is_after_takeover: bool) {
        let Some(worker) = self.workers.get(agent) else {
            return;
        };
        let incarnation = worker.worker_incarnation.clone();
        let is_over = |task: &&TaskId| {
            let Some(placement) = self.placement(task) else {
                return false;
            };
            let is_own = self.runs.get(task).is_some_and(|run| run.batch != Some(0));
            incarnation.as_ref().is_none_or(|incarnation| {
                !incarnation.is(&placement.worker, placement.started_ms)
                    && (is_own
                        || is_after_takeover
                        || incarnation.started_ms >= placement.started_ms)
            })
        };
        let tasks: Vec<TaskId> = worker.placed.tasks().filter(is_over).cloned().collect();
        for task in tasks {
            match &incarnation {
                Some(incarnation) if self.is_reported(agent, &task) => {
                    self.move_placement(&task, incarnation);
                }
                _ => {
                    let reason = "the worker's incarnation is over".to_owned();
                    self.record_decision(DecisionKind::Lost, &task, Some(agent), reason);
                    self.end_run(&task);
                }
            }
        }
    }

    /// Returns whether an agent reports the run of a task that is placed there.
    fn is_reported(&self, agent: &AgentId, task: &TaskId) -> bool {
        let run = self.jobs.get(&task.job).and_then(|job| job.task(task));
        let (Some(worker), Some(run)) = (self.workers.get(agent), run) else {
            return false;
        };
        let key = (task.clone(), run.run);
        // An earlier run shows whether the worker lists its end, or is an orphan.
        let mut reported = worker.reported.iter();
        worker.listed_ends.contains(&key)
            || reported.any(|((of, number), state)| {
                of == task && *number <= run.run && !matches!(state, RunState::NotStarted { .. })
            })
    }

    /// Records that a task's run is on another incarnation of its worker.
    fn move_placement(&mut self, task: &TaskId, incarnation: &WorkerIncarnation) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(placement) = job.task_mut(task).and_then(|it| it.placement.as_mut()) {
            let former = IncarnationId::from(&*placement);
            placement.worker = incarnation.worker.clone();
            placement.started_ms = incarnation.started_ms;
            self.mark_task_dirty(task);
            let reason = format!("its start was meant for {former} and may have reached this one");
            self.record_decision(DecisionKind::Moved, task, None, reason);
        }
    }

    /// Ends a run without a result, and stops its gang.
    pub(super) fn end_run(&mut self, task: &TaskId) {
        self.clear_placement(task);
        self.stop_gang(task);
    }

    fn on_end(&mut self, now: Uptime, store_ms: u64, agent: &AgentId, end: &EndReport) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else {
            return;
        };
        let spec = job.row.spec.steps.get(end.task.step as usize).cloned();
        let max_attempts = job.row.spec.max_attempts;
        let was_final = job.state().is_final();
        let has_gang_failed = job
            .step(&end.task)
            .is_some_and(|step| step.has_gang_failed_in(end.run));
        let Some((task, spec)) = job.task_mut(&end.task).zip(spec) else {
            return;
        };
        let is_current = task.run == end.run;
        let is_placed = is_current && task.placement.as_ref().is_some_and(|it| it.agent == *agent);
        // The acknowledgement of a run that was given up, or that has shown whether its
        // worker lists ends, stands for good as well.
        let is_new = match end.end {
            RunEnd::Done => !task.is_done,
            RunEnd::Failed => !task.has_failed_in(end.run),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => false,
        };
        let is_earlier = end.run < task.run && !spec.long_running;
        // Otherwise the end was applied before; only its acknowledgement is missing.
        if !is_placed && !(is_new && (is_current || is_earlier)) {
            return;
        }
        let is_too_long = is_current && task.record_checkpoint(&end.checkpoint);
        let is_success = end.end == RunEnd::Done && !spec.long_running;
        task.is_done |= is_success;
        // Members that fail in one run are one failed attempt. Several of them speak
        // against the job rather than against each of their workers.
        let is_failure = end.end == RunEnd::Failed && !(spec.gang && has_gang_failed);
        if is_failure {
            task.record_failed_run(end.run, !spec.gang && !spec.long_running);
            self.health.on_failure(now, agent, &end.task.job);
            let failed_on = job.failed_on.entry(end.task.clone()).or_default();
            failed_on.push(agent.clone());
        }
        let Some(step) = job.step_mut(&end.task) else {
            return;
        };
        // An earlier version drops the number of the last failed run, and the number of failed
        // runs is then at least that of one member.
        let counted_at = match spec.gang {
            true => 0,
            false => end.task.index as usize,
        };
        step.tasks[counted_at].failures += u32::from(is_failure);
        if is_success {
            let is_slow = self.runs.get(&end.task).is_some_and(|run| run.is_slow);
            if !is_slow {
                self.health.on_success(agent);
            }
            if spec.gang {
                // The success of one member counts for the whole gang.
                step.tasks.iter_mut().for_each(|task| task.is_done = true);
            }
        }
        let failures = match spec.gang {
            true => step.gang_failures(),
            false => step.tasks[end.task.index as usize].failures,
        };
        if failures >= max_attempts && !spec.long_running && !was_final && !step.is_done() {
            job.progress.has_failed = true;
        }
        let is_final = job.state().is_final();
        if is_final && !was_final {
            job.progress.ended_store_ms = Some(store_ms);
        }
        let changed = match spec.gang {
            true => job.gang_rows(&end.task),
            false => vec![job.row_of(&end.task)],
        };
        for row in changed {
            self.dirty.insert(row);
        }
        if is_final && !was_final {
            self.mark_job_dirty(&end.task.job);
        }
        let mut reason = format!("{:?}, end {} of the worker", end.end, end.number);
        if is_too_long {
            reason.push_str("; its checkpoint is too long to be stored");
        }
        self.record_decision(DecisionKind::End, &end.task, Some(agent), reason);
        if is_placed {
            self.clear_placement(&end.task);
        }
        if is_final && !was_final {
            self.stop_all(&end.task.job);
        } else if is_success && !is_current {
            self.stop_run(&end.task);
            self.stop_gang(&end.task);
        } else if !is_success && is_current {
            self.stop_gang(&end.task);
        }
        self.drop_ended(&end.task.job);
    }

    fn on_run(&mut self, now: Uptime, agent: &AgentId, report: &RunReport) {
        let Some(job) = self.jobs.get_mut(&report.task.job) else {
            return;
        };
        let Some(task) = job.task_mut(&report.task) else {
            return;
        };
        let is_placed = task.placement.as_ref().is_some_and(|it| it.agent == *agent);
        if task.run != report.run || !is_placed {
            return;
        }
        match &report.state {
            RunState::Starting => {}
            RunState::NotStarted { reason } => {
                let reason = reason.clone();
                let worker = task.placement.as_ref().map(|it| it.worker.clone());
                let step = (report.task.occurrence, report.task.step);
                let known_ends = self.workers.get(agent).map(|it| &it.known_ends);
                let is_doubted = known_ends.is_some_and(KnownEnds::is_doubted);
                let run = self.runs.get(&report.task);
                let is_called_off = run.is_some_and(|run| run.probes_over_at.is_some());
                let is_probe = run.is_some_and(|run| run.probe_runs > 0);
                if (is_doubted || !is_probe) && !is_called_off {
                    job.retry_at.insert(step, now.plus(REFUSAL_BACKOFF));
                }
                self.record_decision(DecisionKind::NotStarted, &report.task, Some(agent), reason);
                if let Some(worker) = worker {
                    self.remove_ticket(&report.task, &worker);
                }
                self.end_run(&report.task);
            }
            RunState::Active {
                percent,
                checkpoint,
            } => {
                // The end of the run logs one that is too long.
                task.record_checkpoint(checkpoint);
                let Some(run) = self.runs.get_mut(&report.task) else {
                    return;
                };
                if run.active_since.is_none() || run.percent != *percent {
                    run.percent_changed_at = now;
                }
                run.active_since.get_or_insert(now);
                run.percent = *percent;
            }
        }
    }

    /// Stops the other members of a task's gang.
    fn stop_gang(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let spec = job.row.spec.steps.get(task.step as usize);
        if !spec.is_some_and(|spec| spec.gang) {
            return;
        }
        let members = task_ids(&task.job, &job.progress);
        for member in members {
            if member.occurrence == task.occurrence && member.step == task.step {
                self.stop_run(&member);
            }
        }
    }
}
