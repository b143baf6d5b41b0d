//! The forecast that the leader publishes, and how its predictions turn out.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{JobId, TeamId, Uptime};

use super::Scheduler;
use super::capacity::Capacity;
use super::forecast::{Ending, WaitingTasks, predicted_starts};
use super::headroom::share_of;
use super::pending::PendingStep;
use crate::model::MAX_OVERDUE_FACTOR;
use crate::rows::{Forecast, WaitForecast};

/// Time between two forecasts: the leader row carries each one to the entries.
const FORECAST_INTERVAL: Duration = Duration::from_millis(250);

/// Wait from which it is published: entries refuse no job for a shorter one.
const MIN_PUBLISHED_WAIT: Duration = Duration::from_millis(2_000);

/// Maximum number of outcomes kept for the metrics; further ones are dropped.
const MAX_OUTCOMES: usize = 200;

/// Difference between a predicted start and the actual one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PredictionError {
    /// The job started this long before.
    Early(Duration),
    /// The job started this long after.
    Late(Duration),
}

/// Predicted starts of waiting jobs.
#[derive(Debug, Default)]
pub(super) struct Predictions {
    made_at: Option<Uptime>,
    /// First prediction for each job that waits.
    starts: BTreeMap<JobId, Uptime>,
    errors: Vec<PredictionError>,
    published: Forecast,
}

impl Predictions {
    /// Returns what the leader row shows.
    pub fn published(&self) -> Forecast {
        self.published.clone()
    }

    /// Records that a task of a job starts.
    pub fn on_start(&mut self, now: Uptime, id: &JobId) {
        let Some(predicted) = self.starts.remove(id) else {
            return;
        };
        let error = match now < predicted {
            true => PredictionError::Early(predicted.since(now)),
            false => PredictionError::Late(now.since(predicted)),
        };
        if self.errors.len() < MAX_OUTCOMES {
            self.errors.push(error);
        }
    }
}

/// Waiting jobs of a service, team and priority.
#[derive(Debug, Default)]
struct Backlog {
    wait: Duration,
    jobs: u32,
    valuable_ms: u64,
}

impl Scheduler {
    /// Returns the errors of the predictions since the last call, for the metrics.
    pub fn take_prediction_errors(&mut self) -> Vec<PredictionError> {
        std::mem::take(&mut self.predictions.errors)
    }

    /// Updates the forecast from the steps that wait after a pass, in their order.
    pub(super) fn update_forecast(
        &mut self,
        now: Uptime,
        capacity: Option<&Capacity>,
        waiting: &[PendingStep],
    ) {
        if !self.policies.admission.is_cost_aware(self.site) {
            self.predictions = Predictions::default();
            return;
        }
        let is_due = |at: Uptime| now >= at.plus(FORECAST_INTERVAL);
        if !self.predictions.made_at.is_none_or(is_due) {
            return;
        }
        self.predictions.made_at = Some(now);
        let Some(capacity) = capacity.filter(|_| !waiting.is_empty()) else {
            self.predictions.published = Forecast::default();
            self.predictions.starts.clear();
            return;
        };
        let (worker, _) = self.mean_worker();
        let task_of = |pending: &PendingStep| {
            let step = &self.jobs[&pending.job].row.spec.steps[pending.step as usize];
            let share = share_of(&step.counted_resources(), &worker);
            let count = pending.tasks.len() as u64;
            let (unit, units) = match step.gang {
                true => (share.saturating_mul(count), 1),
                false => (share, count),
            };
            WaitingTasks {
                unit,
                units,
                duration: Duration::from_millis(step.estimate_ms),
            }
        };
        // A step waits for the workers of its service only.
        let mut by_service: BTreeMap<&str, Vec<&PendingStep>> = BTreeMap::new();
        for pending in waiting {
            let service = self.jobs[&pending.job].row.spec.service.as_str();
            by_service.entry(service).or_default().push(pending);
        }
        let starts = by_service.into_iter().flat_map(|(service, steps)| {
            let workers = capacity.workers.iter().zip(&capacity.free);
            let workers = workers.filter(|(worker, _)| worker.incarnation.service == service);
            let free = workers.map(|(_, free)| share_of(free, &worker)).sum();
            let endings = self.endings(now, service, &worker);
            let tasks: Vec<WaitingTasks> = steps.iter().map(|step| task_of(step)).collect();
            let starts = predicted_starts(free, &endings, &tasks);
            steps.into_iter().zip(starts)
        });
        let mut backlogs: BTreeMap<(String, Option<TeamId>, u32), Backlog> = BTreeMap::new();
        let mut predicted = BTreeMap::new();
        for (pending, start) in starts {
            let Some(start) = start else { continue };
            let spec = &self.jobs[&pending.job].row.spec;
            let at = self.predictions.starts.get(&pending.job).copied();
            predicted.insert(pending.job.clone(), at.unwrap_or_else(|| now.plus(start)));
            let backlog = backlogs
                .entry((spec.service.clone(), spec.team.clone(), spec.priority))
                .or_default();
            backlog.wait = backlog.wait.max(start);
            backlog.jobs += 1;
            let valuable_ms = spec
                .objective_ms()
                .saturating_mul(u64::from(MAX_OVERDUE_FACTOR));
            backlog.valuable_ms = backlog.valuable_ms.saturating_add(valuable_ms);
        }
        self.predictions.starts = predicted;
        let published = backlogs
            .into_iter()
            .filter(|(_, backlog)| backlog.wait >= MIN_PUBLISHED_WAIT);
        let published = published.map(|((service, team, priority), backlog)| WaitForecast {
            service,
            team,
            priority,
            wait_ms: u64::try_from(backlog.wait.as_millis()).unwrap_or(u64::MAX),
            jobs: backlog.jobs,
            valuable_ms: backlog.valuable_ms / u64::from(backlog.jobs.max(1)),
        });
        self.predictions.published = Forecast::new(published.collect());
    }

    /// Returns what the runs of a service that end by themselves leave, and when.
    fn endings(&self, now: Uptime, service: &str, worker: &crate::Resources) -> Vec<Ending> {
        let runs = self.runs.iter();
        runs.filter_map(|(task, run)| {
            let job = &self.jobs[&task.job].row.spec;
            let spec = &job.steps[task.step as usize];
            if spec.long_running || job.service != service {
                return None;
            }
            let estimate = Duration::from_millis(spec.estimate_ms);
            let worked = now.since(run.active_since.unwrap_or(now));
            let left = run.time_left(now);
            let left = left.unwrap_or_else(|| estimate.saturating_sub(worked));
            Some((left, share_of(&spec.counted_resources(), worker)))
        })
        .collect()
    }
}
