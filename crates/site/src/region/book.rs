//! The jobs of a region that have not ended, and those that ended lately.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use cumindeck_api::{JobPlace, JobState, JobStatus};
use cumindeck_placement::{Event, TaskOutcome};
use cumindeck_types::{AgentId, Attempt, JobId};

use super::RegionEffect;
use super::attempt::AttemptTrack;
use crate::event::{Notice, OperatorCall, OperatorReply};
use crate::rows::{AttemptRow, AttemptTask, EndedRow, JobRow};

/// Ended jobs that are kept for status replies.
const MAX_ENDED: usize = 1_000;

/// A job that has not ended for good.
#[derive(Debug)]
pub(crate) struct JobTrack {
    /// The job as recorded.
    pub row: JobRow,
    /// The current attempt.
    pub attempt: Option<AttemptTrack>,
    /// The end, while its write has no outcome.
    pub ending: Option<EndedRow>,
    /// Whether the job used up its attempts.
    pub is_exhausted: bool,
    /// Operators who wait for the cancellation to be recorded.
    pub cancel_calls: Vec<OperatorCall>,
    /// Last event in a sentence.
    pub message: String,
}

impl JobTrack {
    /// Tracks a job without an attempt.
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

    /// Returns the status.
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

/// Returns the place of a task for status replies.
pub(crate) fn place(task: &AttemptTask) -> JobPlace {
    JobPlace {
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

/// The jobs of a region.
#[derive(Debug, Default)]
pub(crate) struct JobBook {
    jobs: BTreeMap<JobId, JobTrack>,
    /// Jobs whose current attempt has tasks at an agent, so that an announcement
    /// costs the same however many jobs the region has.
    by_agent: BTreeMap<AgentId, BTreeSet<JobId>>,
    ended: VecDeque<EndedRow>,
}

impl JobBook {
    /// Adds a job.
    pub fn insert(&mut self, mut track: JobTrack) {
        let job = track.row.spec.id.clone();
        let attempt = track.attempt.take();
        self.jobs.insert(job.clone(), track);
        if let Some(attempt) = attempt {
            self.set_attempt(&job, attempt);
        }
    }

    /// Makes an attempt the current one of its job.
    pub fn set_attempt(&mut self, job: &JobId, attempt: AttemptTrack) {
        self.take_attempt(job);
        let Some(track) = self.jobs.get_mut(job) else {
            return;
        };
        for task in &attempt.row.tasks {
            let jobs = self.by_agent.entry(task.agent.clone()).or_default();
            jobs.insert(job.clone());
        }
        track.attempt = Some(attempt);
    }

    /// Removes the current attempt of a job.
    pub fn take_attempt(&mut self, job: &JobId) -> Option<AttemptTrack> {
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
            .filter(|(_, track)| track.attempt.is_some());
        jobs.map(|(job, _)| job.clone()).collect()
    }

    /// Returns a job that has not ended for good.
    pub fn get(&self, job: &JobId) -> Option<&JobTrack> {
        self.jobs.get(job)
    }

    /// Returns a job that has not ended for good.
    pub fn get_mut(&mut self, job: &JobId) -> Option<&mut JobTrack> {
        self.jobs.get_mut(job)
    }

    /// Returns all jobs that have not ended for good.
    pub fn jobs(&self) -> impl Iterator<Item = &JobTrack> {
        self.jobs.values()
    }

    /// Returns the jobs that ended lately.
    pub fn ended(&self) -> impl Iterator<Item = &EndedRow> {
        self.ended.iter()
    }

    /// Returns a job's attempt if it is the current one.
    pub fn attempt_mut(&mut self, job: &JobId, attempt: Attempt) -> Option<&mut AttemptTrack> {
        let track = self.jobs.get_mut(job)?.attempt.as_mut()?;
        (track.row.attempt == attempt).then_some(track)
    }

    /// Returns all current attempts.
    pub fn attempts_mut(&mut self) -> impl Iterator<Item = (&JobId, &mut AttemptTrack)> {
        self.jobs
            .iter_mut()
            .filter_map(|(job, track)| Some((job, track.attempt.as_mut()?)))
    }

    /// Ends the tasks of known attempts on the accelerators of a later one.
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

    /// Tells whether agents must keep their final reports about an attempt,
    /// because its end is not recorded yet.
    pub fn holds_reports(&self, job: &JobId, attempt: Attempt) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|track| track.row.attempt == attempt)
    }

    /// Forgets a job whose end is recorded.
    pub fn forget(&mut self, job: &JobId, out: &mut Vec<RegionEffect>) {
        self.take_attempt(job);
        let Some(ending) = self.jobs.remove(job).and_then(|track| {
            for call in track.cancel_calls {
                let status = track.ending.as_ref().map(ended_status);
                if let Some(status) = status {
                    out.push(RegionEffect::Reply(
                        call,
                        OperatorReply::Job(Box::new(status)),
                    ));
                }
            }
            track.ending
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
