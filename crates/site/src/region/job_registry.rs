//! Jobs of a region: those that have not ended, and recently ended ones.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cumindeck_api::{JobState, JobStatus, TaskLocation};
use cumindeck_placement::{Event, TaskOutcome};
use cumindeck_types::{AgentId, Attempt, JobId};

use super::RegionEffect;
use super::attempt::TrackedAttempt;
use crate::event::{Notice, OperatorCallId, OperatorReply};
use crate::rows::{AttemptRow, AttemptTask, EndedRow, JobRow};

/// Number of recently ended jobs that are kept for status replies.
const MAX_ENDED: usize = 1_000;

/// A job whose end is not recorded yet.
#[derive(Debug)]
pub(crate) struct TrackedJob {
    /// The job as stored in the table service.
    pub row: JobRow,
    pub attempt: Option<TrackedAttempt>,
    /// Record of the job's end while its write is not confirmed.
    pub ending: Option<EndedRow>,
    /// Whether the job has used up its attempts.
    pub is_exhausted: bool,
    /// Calls that wait for the cancellation to be recorded.
    pub cancel_calls: Vec<OperatorCallId>,
    /// Description of the last event, for operators.
    pub message: String,
}

impl TrackedJob {
    pub const fn new(row: JobRow) -> Self {
        Self {
            row,
            attempt: None,
            ending: None,
            is_exhausted: false,
            cancel_calls: Vec::new(),
            message: String::new(),
        }
    }

    /// Returns the state for status replies.
    pub fn state(&self) -> JobState {
        if let Some(ending) = &self.ending {
            return ending.job.state;
        }
        match &self.attempt {
            None => JobState::Queued,
            Some(attempt) if attempt.is_stopping => JobState::Stopping,
            Some(attempt) if attempt.is_running => JobState::Running,
            Some(_) => JobState::Starting,
        }
    }

    pub fn status(&self) -> JobStatus {
        let tasks = self.attempt.iter().flat_map(|attempt| &attempt.row.tasks);
        JobStatus {
            spec: self.row.spec.clone(),
            state: self.state(),
            attempt: self.row.attempt,
            is_borrowed: self
                .attempt
                .as_ref()
                .is_some_and(|attempt| attempt.row.is_borrowed),
            places: tasks.map(place).collect(),
            message: self.message.clone(),
        }
    }
}

/// Returns the location of a task for status replies.
pub(crate) fn place(task: &AttemptTask) -> TaskLocation {
    TaskLocation {
        worker: task.worker.clone(),
        zone: task.zone.clone(),
        first_accelerator: task.accelerators.first().copied().unwrap_or(0),
    }
}

/// Returns the status of a job that has ended.
pub(crate) fn ended_status(row: &EndedRow) -> JobStatus {
    JobStatus {
        spec: row.job.spec.clone(),
        state: row.job.state,
        attempt: row.job.attempt,
        is_borrowed: false,
        places: Vec::new(),
        message: row.message.clone(),
    }
}

/// Jobs of a region, indexed by the agents of their current attempts.
#[derive(Debug, Default)]
pub(crate) struct JobRegistry {
    jobs: BTreeMap<JobId, TrackedJob>,
    /// Jobs whose current attempt has tasks at an agent; the index makes the cost of an
    /// announcement independent of the number of jobs in the region.
    by_agent: BTreeMap<AgentId, BTreeSet<JobId>>,
    ended: VecDeque<EndedRow>,
}

impl JobRegistry {
    pub fn insert(&mut self, mut tracked: TrackedJob) {
        let job = tracked.row.spec.id.clone();
        let attempt = tracked.attempt.take();
        self.jobs.insert(job.clone(), tracked);
        if let Some(attempt) = attempt {
            self.set_attempt(&job, attempt);
        }
    }

    /// Replaces the current attempt of a job.
    pub fn set_attempt(&mut self, job: &JobId, attempt: TrackedAttempt) {
        self.take_attempt(job);
        let Some(tracked) = self.jobs.get_mut(job) else {
            return;
        };
        for task in &attempt.row.tasks {
            let jobs = self.by_agent.entry(task.agent.clone()).or_default();
            jobs.insert(job.clone());
        }
        tracked.attempt = Some(attempt);
    }

    /// Removes and returns the current attempt of a job.
    pub fn take_attempt(&mut self, job: &JobId) -> Option<TrackedAttempt> {
        let attempt = self.jobs.get_mut(job)?.attempt.take()?;
        for task in &attempt.row.tasks {
            if let Some(jobs) = self.by_agent.get_mut(&task.agent) {
                jobs.remove(job);
                if jobs.is_empty() {
                    self.by_agent.remove(&task.agent);
                }
            }
        }
        Some(attempt)
    }

    /// Returns the jobs whose current attempt has tasks at an agent.
    pub fn jobs_at(&self, agent: &AgentId) -> Vec<JobId> {
        let jobs = self.by_agent.get(agent);
        jobs.into_iter().flatten().cloned().collect()
    }

    /// Returns the jobs that have a current attempt.
    pub fn with_attempts(&self) -> Vec<JobId> {
        let jobs = self
            .jobs
            .iter()
            .filter(|(_, tracked)| tracked.attempt.is_some());
        jobs.map(|(job, _)| job.clone()).collect()
    }

    /// Returns a job whose end is not recorded yet.
    pub fn get(&self, job: &JobId) -> Option<&TrackedJob> {
        self.jobs.get(job)
    }

    /// Returns a job whose end is not recorded yet.
    pub fn get_mut(&mut self, job: &JobId) -> Option<&mut TrackedJob> {
        self.jobs.get_mut(job)
    }

    /// Returns all jobs whose end is not recorded yet.
    pub fn jobs(&self) -> impl Iterator<Item = &TrackedJob> {
        self.jobs.values()
    }

    /// Returns the recently ended jobs.
    pub fn ended(&self) -> impl Iterator<Item = &EndedRow> {
        self.ended.iter()
    }

    /// Returns a job's attempt if it is the current one.
    pub fn attempt_mut(&mut self, job: &JobId, attempt: Attempt) -> Option<&mut TrackedAttempt> {
        let tracked = self.jobs.get_mut(job)?.attempt.as_mut()?;
        (tracked.row.attempt == attempt).then_some(tracked)
    }

    /// Returns all current attempts.
    pub fn attempts_mut(&mut self) -> impl Iterator<Item = (&JobId, &mut TrackedAttempt)> {
        self.jobs
            .iter_mut()
            .filter_map(|(job, tracked)| Some((job, tracked.attempt.as_mut()?)))
    }

    /// Ends the tasks whose accelerators a later attempt uses; returns their events.
    pub fn end_overlapping(&mut self, later: &AttemptRow) -> Vec<Event> {
        let mut events = Vec::new();
        for (job, attempt) in self.attempts_mut() {
            for task in attempt.end_overlapping(later) {
                let outcome = TaskOutcome::Stopped;
                events.push(Event::TaskEnded(
                    job.clone(),
                    attempt.row.attempt,
                    task,
                    outcome,
                ));
            }
        }
        events
    }

    /// Returns whether agents must keep their final reports about an attempt
    /// because its end is not recorded yet.
    pub fn needs_reports(&self, job: &JobId, attempt: Attempt) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|tracked| tracked.row.attempt == attempt)
    }

    /// Removes a job whose end is recorded, and replies to the calls that cancelled it.
    pub fn remove_ended(&mut self, job: &JobId, out: &mut Vec<RegionEffect>) {
        self.take_attempt(job);
        let Some(ending) = self.jobs.remove(job).and_then(|tracked| {
            for call in tracked.cancel_calls {
                let status = tracked.ending.as_ref().map(ended_status);
                if let Some(status) = status {
                    out.push(RegionEffect::Reply(
                        call,
                        OperatorReply::Job(Box::new(status)),
                    ));
                }
            }
            tracked.ending
        }) else {
            return;
        };
        out.push(RegionEffect::Notice(Notice::JobEnded {
            job: job.clone(),
            state: ending.job.state,
            message: ending.message.clone(),
        }));
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(ending);
    }
}
