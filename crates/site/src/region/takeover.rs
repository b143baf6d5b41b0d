//! Rebuilds the placement from stored rows and task reports after a takeover.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cumindeck_control::gang::StoppedTasks;
use cumindeck_control::store::RowVersion;
use cumindeck_placement::{
    AcceleratorSet, CellRef, Event, GuaranteedCells, JobRecord, Placement, RunRecord, Settings,
    TaskPlacement, WorkerSpec,
};
use cumindeck_types::{FencingToken, JobId, Region, TaskIndex};

use super::active::{ActiveRegion, TrackedWorker};
use super::attempt::TrackedAttempt;
use super::job_registry::{JobRegistry, TrackedJob};
use super::ring::RingUpdater;
use super::start_limiter::StartLimiter;
use super::submit::placement_spec;
use super::{RegionCx, RegionEffect};
use crate::event::Notice;
use crate::rows::{AttemptRow, AttemptTask, JobRow, RowKey, RowValue, StoredRow};

impl ActiveRegion {
    /// Builds the state of a new leader from the region's stored rows.
    pub fn take_over(
        cx: RegionCx<'_>,
        region: &Region,
        token: FencingToken,
        rows: Vec<StoredRow>,
        out: &mut Vec<RegionEffect>,
    ) -> Self {
        let (jobs, mut attempts) = split_rows(rows);
        let settings = Settings {
            aging: cx.settings.jobs.aging,
            quarantine_jobs: cx.settings.jobs.quarantine_jobs as usize,
            ..Settings::default()
        };
        let mut active = Self {
            region: region.clone(),
            placement: Placement::new(settings, Box::new(GuaranteedCells)),
            registry: JobRegistry::default(),
            accepting: BTreeMap::new(),
            workers: BTreeMap::new(),
            ring: RingUpdater::default(),
            retries: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            failed_starts: VecDeque::new(),
            zones_out_of_service: Vec::new(),
            teams: BTreeMap::new(),
            quarantined: Vec::new(),
            awaiting_workers: BTreeSet::new(),
            start_limiter: StartLimiter::default(),
            stopped: StoppedTasks::new(cx.now, token),
            takeover_events: VecDeque::new(),
        };
        let mut events = active.restore_workers(cx, &attempts);
        active.add_teams_and_zones(cx, &mut events);
        let mut cancelled = Vec::new();
        for (row, attempt) in sorted_jobs(jobs, &mut attempts) {
            if row.is_cancelled {
                cancelled.push(Event::Cancel(row.spec.id.clone()));
            }
            let mut tracked = TrackedJob::new(row);
            if let Some((version, attempt)) = attempt {
                // A later attempt got accelerators only after the earlier tasks on them
                // were known to have ended.
                events.extend(active.registry.end_overlapping(&attempt));
                let mut attempt = TrackedAttempt::new(attempt, None);
                attempt.row_version = Some(version);
                tracked.attempt = Some(attempt);
            }
            let running = tracked.attempt.as_ref().map(|attempt| &attempt.row);
            events.push(Event::Restore(job_record(cx, &tracked.row, running)));
            active.registry.insert(tracked);
        }
        out.push(RegionEffect::Notice(Notice::RecordsLoaded {
            region: region.clone(),
            jobs: active.registry.jobs().count(),
        }));
        events.extend(cancelled);
        // The tick that follows in the same step applies these events.
        active.takeover_events = events.into();
        active
    }

    /// Adds all known workers; returns the events that pass them to the placement.
    fn restore_workers(
        &mut self,
        cx: RegionCx<'_>,
        attempts: &BTreeMap<JobId, (RowVersion, AttemptRow)>,
    ) -> Vec<Event> {
        for (announcement, _) in cx.views.present(cx.now) {
            if announcement.region == self.region {
                let spec = WorkerSpec {
                    worker: announcement.worker.clone(),
                    rack: announcement.rack.clone(),
                    zone: announcement.zone.clone(),
                    accelerators: u8::try_from(announcement.accelerators).unwrap_or(u8::MAX),
                };
                self.add_worker(spec, &announcement.agent);
            }
        }
        // Workers whose agents do not announce them may still run tasks of an attempt.
        for task in attempts.values().flat_map(|(_, attempt)| &attempt.tasks) {
            let spec = WorkerSpec {
                worker: task.worker.clone(),
                rack: task.rack.clone(),
                zone: task.zone.clone(),
                accelerators: u8::try_from(task.worker_accelerators).unwrap_or(u8::MAX),
            };
            self.add_worker(spec, &task.agent);
        }
        let specs = self.workers.values().map(|tracked| tracked.spec.clone());
        specs.map(Event::WorkerSet).collect()
    }

    fn add_worker(&mut self, spec: WorkerSpec, agent: &cumindeck_types::AgentId) {
        let tracked = TrackedWorker {
            agent: agent.clone(),
            spec,
            is_failed: false,
            is_ended: false,
        };
        self.workers
            .entry(tracked.spec.worker.clone())
            .or_insert(tracked);
    }

    fn add_teams_and_zones(&mut self, cx: RegionCx<'_>, events: &mut Vec<Event>) {
        for team in &cx.settings.teams {
            let shape = team
                .guarantee
                .shape(&self.region)
                .cloned()
                .unwrap_or_default();
            self.teams
                .insert(team.id.clone(), (shape.clone(), team.may_borrow));
            events.push(Event::TeamSet(team.id.clone(), shape));
            events.push(Event::TeamBorrowing(team.id.clone(), team.may_borrow));
        }
        let zones = cx
            .settings
            .zones
            .iter()
            .filter(|zone| zone.region == self.region);
        for zone in zones.filter(|zone| !cx.polled.is_zone_open(&zone.id)) {
            self.zones_out_of_service.push(zone.id.clone());
            events.push(Event::ZoneClosed(zone.id.clone()));
        }
    }
}

type Jobs = BTreeMap<JobId, JobRow>;
type Attempts = BTreeMap<JobId, (RowVersion, AttemptRow)>;

fn split_rows(rows: Vec<StoredRow>) -> (Jobs, Attempts) {
    let (mut jobs, mut attempts) = (Jobs::new(), Attempts::new());
    for row in rows {
        match (row.key, row.value) {
            (RowKey::Job(_, job), RowValue::Job(value)) => drop(jobs.insert(job, value)),
            (RowKey::Attempt(_, job), RowValue::Attempt(value)) => {
                attempts.insert(job, (row.version, value));
            }
            _ => {}
        }
    }
    (jobs, attempts)
}

/// Returns the jobs with attempts in the order in which these were recorded, then
/// the others in the order of submission.
fn sorted_jobs(
    jobs: Jobs,
    attempts: &mut Attempts,
) -> Vec<(JobRow, Option<(RowVersion, AttemptRow)>)> {
    let with_attempt = |row: JobRow| {
        let attempt = attempts.remove(&row.spec.id);
        let attempt = attempt.filter(|(_, attempt)| attempt.attempt == row.attempt);
        (row, attempt)
    };
    let mut jobs: Vec<_> = jobs.into_values().map(with_attempt).collect();
    jobs.sort_by(|(a, a_attempt), (b, b_attempt)| {
        let order = |attempt: &Option<(RowVersion, AttemptRow)>| {
            attempt
                .as_ref()
                .map_or((true, RowVersion::ABSENT), |(version, _)| (false, *version))
        };
        let submitted = |row: &JobRow| (row.submitted_ms, row.spec.id.clone());
        (order(a_attempt), submitted(a)).cmp(&(order(b_attempt), submitted(b)))
    });
    jobs
}

/// Builds the placement's record of a job that was accepted earlier.
pub(super) fn job_record(
    cx: RegionCx<'_>,
    row: &JobRow,
    attempt: Option<&AttemptRow>,
) -> JobRecord {
    let wall_ms = u64::try_from(cx.wall.as_millis()).unwrap_or(u64::MAX);
    let age = |since_ms: u64| Duration::from_millis(wall_ms.saturating_sub(since_ms));
    let running = attempt.map(|attempt| RunRecord {
        placement: attempt
            .tasks
            .iter()
            .enumerate()
            .map(task_placement)
            .collect(),
        is_borrowed: attempt.is_borrowed,
        age: age(attempt.started_ms),
    });
    JobRecord {
        spec: placement_spec(&row.spec),
        age: age(row.submitted_ms),
        last_attempt: row.attempt,
        attained_service: 0,
        running,
    }
}

fn task_placement((i, task): (usize, &AttemptTask)) -> TaskPlacement {
    let cell = task.cell.as_ref().and_then(|(level, ordinal)| {
        Some(CellRef {
            level: level.parse().ok()?,
            ordinal: *ordinal,
        })
    });
    TaskPlacement {
        task: TaskIndex::new(i as u64),
        worker: task.worker.clone(),
        accelerators: AcceleratorSet::from_indices(&task.accelerators).unwrap_or_default(),
        cell,
    }
}
