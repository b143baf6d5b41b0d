//! Event handling for a region's jobs while this entry is the leader.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cumindeck_api::{JobState, TeamRegion};
use cumindeck_control::agent_lease::LeaseGrants;
use cumindeck_control::gang::StoppedTasks;
use cumindeck_control::leader::LeaderLease;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_placement::{Event, Placement, TaskOutcome, WorkerSpec};
use cumindeck_types::message::{Announcement, TaskAnswer, TaskRef};
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, FencingToken, JobId, Region, Shape, TeamId, Uptime,
    WorkerId,
};

use super::accept::PendingAcceptance;
use super::job_registry::{JobRegistry, TrackedJob};
use super::ring::RingUpdater;
use super::start_limiter::StartLimiter;
use super::{OrderKind, OrderTag, RegionCommit, RegionCx, RegionEffect};
use crate::event::{Order, RowCondition, RowWrite};
use crate::rows::RowKey;

/// Delay before a failed start is retried, so that an unresponsive table service or
/// unresponsive agents do not cause a busy loop of starts that cannot succeed.
const START_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay before a commit with an unknown outcome is sent again.
const COMMIT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A worker as known to the leader.
#[derive(Debug, Clone)]
pub(crate) struct TrackedWorker {
    pub agent: AgentId,
    /// Description of the worker as last passed to the placement.
    pub spec: WorkerSpec,
    /// Whether the worker was reported to the placement as failed.
    pub is_failed: bool,
    /// Whether the end of the worker's lease was reported to the placement.
    pub is_ended: bool,
}

/// A commit that is sent again until its outcome is known.
#[derive(Debug, Clone)]
pub(crate) struct Retry {
    /// Writes of the commit, which must be idempotent.
    pub writes: Vec<RowWrite>,
    /// When to send them again.
    pub at: Uptime,
}

/// Scheduling state of a region while this entry is the leader.
pub(crate) struct ActiveRegion {
    pub region: Region,
    pub placement: Placement,
    /// Jobs that have not ended, and recently ended ones.
    pub registry: JobRegistry,
    /// Jobs whose acceptance is not confirmed yet.
    pub accepting: BTreeMap<JobId, PendingAcceptance>,
    pub workers: BTreeMap<WorkerId, TrackedWorker>,
    pub ring: RingUpdater,
    /// Commits with an unknown outcome, to be sent again.
    pub retries: BTreeMap<RegionCommit, Retry>,
    /// Writes of the commits in flight.
    pub in_flight: BTreeMap<RegionCommit, Vec<RowWrite>>,
    /// Failed starts that had sent nothing, and when to report them to the placement.
    pub failed_starts: VecDeque<(Uptime, JobId, Attempt)>,
    /// Availability zones that were reported to the placement as out of service.
    pub zones_out_of_service: Vec<AvailabilityZone>,
    /// Guarantees and permissions to borrow as last passed to the placement.
    pub teams: BTreeMap<TeamId, (Shape, bool)>,
    pub quarantined: Vec<WorkerId>,
    /// Accepted jobs that do not fit on the workers known so far.
    pub awaiting_workers: BTreeSet<JobId>,
    /// Decided starts that wait for the start rate.
    pub start_limiter: StartLimiter,
    /// Task reports of agents under the current token.
    pub stopped: StoppedTasks,
    /// Events of a takeover, passed to the placement at the first tick.
    pub takeover_events: VecDeque<Event>,
}

impl ActiveRegion {
    /// Processes an announcement: the worker's description and the task reports.
    pub fn on_announcement(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: Option<(RowVersion, FencingToken)>,
        grants: &LeaseGrants,
        announcement: &Announcement,
        out: &mut Vec<RegionEffect>,
    ) {
        let mut events = VecDeque::new();
        self.stopped.on_reports(
            cx.now,
            &announcement.agent,
            announcement.incarnation,
            announcement.newest_token,
            &announcement.tasks,
        );
        self.update_worker(cx, announcement, &mut events);
        let token = leader_lease.token().unwrap_or_default();
        for report in &announcement.tasks {
            let task = TaskRef {
                job: report.job.clone(),
                attempt: report.attempt,
                task: report.task,
                token,
            };
            let attempt = self.registry.attempt_mut(&report.job, report.attempt);
            let Some(attempt) = attempt else {
                // The attempt has ended and its end is recorded: the order acknowledges a
                // final report, or stops a task that must not run.
                if !self.registry.needs_reports(&report.job, report.attempt) {
                    out.push(task_order(task, &announcement.agent, Order::Stop));
                }
                continue;
            };
            if let Some(outcome) = attempt.on_report(report.task, report.phase, &report.detail) {
                let (job, attempt) = (report.job.clone(), report.attempt);
                events.push_back(Event::TaskEnded(job, attempt, report.task, outcome));
            }
        }
        self.on_incarnation(cx, leader_lease, token_row, announcement, out);
        let jobs = self.registry.jobs_at(&announcement.agent);
        self.end_stopped(cx.now, &jobs, grants, &mut events);
        self.run_placement(cx, leader_lease, token_row, events, out);
    }

    /// Runs the periodic work.
    pub fn tick(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: Option<(RowVersion, FencingToken)>,
        grants: &LeaseGrants,
        out: &mut Vec<RegionEffect>,
    ) {
        let mut events = std::mem::take(&mut self.takeover_events);
        self.sync_teams(cx, &mut events);
        self.sync_zones(cx, &mut events);
        self.sync_workers(cx, grants, &mut events);
        let jobs = self.registry.with_attempts();
        self.end_stopped(cx.now, &jobs, grants, &mut events);
        while self
            .failed_starts
            .front()
            .is_some_and(|(at, ..)| *at <= cx.now)
        {
            if let Some((_, job, attempt)) = self.failed_starts.pop_front() {
                events.push_back(Event::StartFailed(job, attempt));
            }
        }
        events.push_back(Event::Tick);
        self.run_placement(cx, leader_lease, token_row, events, out);
        self.start_next_gangs(cx, leader_lease, token_row, out);
        self.tick_gangs(cx, leader_lease, token_row, out);
        self.send_due_stops(cx, leader_lease, out);
        self.send_retries(cx.now, token_row, out);
        self.retry_accepts(cx.now, token_row, out);
    }

    /// Handles the outcome of a commit about a job.
    pub fn on_commit(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: Option<(RowVersion, FencingToken)>,
        commit: RegionCommit,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(writes) = self.in_flight.remove(&commit) else {
            return;
        };
        match (&commit, outcome) {
            (RegionCommit::Attempt(job, attempt), outcome) => {
                let (job, attempt) = (job.clone(), *attempt);
                self.on_attempt_recorded(cx, leader_lease, token_row, &job, attempt, outcome, out);
            }
            (RegionCommit::Accept(job), outcome) => {
                let job = job.clone();
                self.on_accept_written(cx, leader_lease, token_row, &job, outcome, out);
            }
            // After a conflict, another entry is the leader or this one has a new token;
            // the next read of the polled rows shows which.
            (_, WriteOutcome::Unknown | WriteOutcome::Conflict) => {
                if outcome == WriteOutcome::Conflict {
                    out.push(RegionEffect::Poll);
                }
                let at = cx.now.plus(COMMIT_RETRY_DELAY);
                self.retries.insert(commit, Retry { writes, at });
            }
            (RegionCommit::End(job), WriteOutcome::Done(_)) => self.registry.remove_ended(job, out),
            (RegionCommit::Cancel(job), WriteOutcome::Done(_)) => {
                let job = job.clone();
                self.on_cancelled(cx, leader_lease, token_row, &job, out);
            }
            (
                RegionCommit::Leader(..) | RegionCommit::Ring | RegionCommit::State(_),
                WriteOutcome::Done(_),
            ) => {}
        }
    }

    /// Handles the reply to an order; `None` means that no reply arrived.
    pub fn on_order_reply(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: Option<(RowVersion, FencingToken)>,
        tag: &OrderTag,
        reply: Option<TaskAnswer>,
        out: &mut Vec<RegionEffect>,
    ) {
        // Without a reply the task may be running, so the attempt is stopped.
        let may_act = leader_lease.may_act(cx.now);
        let Some(tracked) = self.registry.attempt_mut(&tag.job, tag.attempt) else {
            return;
        };
        tracked.is_refused_by_worker |= reply == Some(TaskAnswer::Failed);
        let reply = reply.unwrap_or(TaskAnswer::Failed);
        let Some(start) = &mut tracked.start else {
            return;
        };
        let effects = match tag.kind {
            OrderKind::Reserve => start.on_reserve_reply(cx.now, may_act, tag.task, reply),
            OrderKind::StartTask => start.on_start_reply(cx.now, tag.task, reply),
            OrderKind::Other => return,
        };
        self.gang_effects(
            cx,
            leader_lease,
            token_row,
            &tag.job,
            tag.attempt,
            effects,
            out,
        );
    }

    /// Sends a commit and tracks it until its outcome is known.
    pub fn commit(
        &mut self,
        commit: RegionCommit,
        writes: Vec<RowWrite>,
        out: &mut Vec<RegionEffect>,
    ) {
        self.retries.remove(&commit);
        self.in_flight.insert(commit.clone(), writes.clone());
        out.push(RegionEffect::Commit(commit, writes));
    }

    /// Schedules the report that a start failed before anything was sent.
    pub fn defer_start_failure(&mut self, now: Uptime, job: &JobId, attempt: Attempt) {
        self.failed_starts
            .push_back((now.plus(START_RETRY_DELAY), job.clone(), attempt));
    }

    /// Ends the tasks of these jobs that are known to have stopped although no agent
    /// reports their end.
    fn end_stopped(
        &mut self,
        now: Uptime,
        jobs: &[JobId],
        grants: &LeaseGrants,
        events: &mut VecDeque<Event>,
    ) {
        for job in jobs {
            let Some(tracked) = self
                .registry
                .get_mut(job)
                .and_then(|tracked| tracked.attempt.as_mut())
            else {
                continue;
            };
            let attempt = tracked.row.attempt;
            for task in tracked.end_stopped(now, job, &self.stopped, grants) {
                let outcome = TaskOutcome::Stopped;
                events.push_back(Event::TaskEnded(job.clone(), attempt, task, outcome));
            }
        }
    }

    /// Fails the starts that depend on an earlier incarnation of an agent.
    fn on_incarnation(
        &mut self,
        cx: RegionCx<'_>,
        leader_lease: &LeaderLease,
        token_row: Option<(RowVersion, FencingToken)>,
        announcement: &Announcement,
        out: &mut Vec<RegionEffect>,
    ) {
        let (agent, incarnation) = (&announcement.agent, announcement.incarnation);
        let mut ended = Vec::new();
        for job in self.registry.jobs_at(agent) {
            let tracked = self
                .registry
                .get_mut(&job)
                .and_then(|tracked| tracked.attempt.as_mut());
            let Some(tracked) = tracked else { continue };
            let start = tracked.start.as_mut();
            let effects = start.map(|start| start.on_incarnation(agent, incarnation));
            if let Some(effects) = effects.filter(|effects| !effects.is_empty()) {
                ended.push((job, tracked.row.attempt, effects));
            }
        }
        for (job, attempt, effects) in ended {
            self.gang_effects(cx, leader_lease, token_row, &job, attempt, effects, out);
        }
    }

    /// Sends due retries again, conditional on the current version of the token row.
    fn send_retries(
        &mut self,
        now: Uptime,
        token_row: Option<(RowVersion, FencingToken)>,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some((version, _)) = token_row else {
            return;
        };
        let is_due = |retry: &Retry| retry.at <= now;
        let due = self.retries.iter().filter(|(_, retry)| is_due(retry));
        let due: Vec<_> = due.map(|(commit, _)| commit.clone()).collect();
        for commit in due {
            let Some(retry) = self.retries.remove(&commit) else {
                continue;
            };
            let mut writes = retry.writes;
            for write in &mut writes {
                if matches!(write.key, RowKey::Token(_)) {
                    write.condition = RowCondition::Version(version);
                }
            }
            self.commit(commit, writes, out);
        }
    }
}

impl ActiveRegion {
    /// Returns the job if it has not ended.
    pub fn job(&self, job: &JobId) -> Option<&TrackedJob> {
        self.registry.get(job)
    }

    /// Returns whether the job is among those that ended recently.
    pub fn has_ended(&self, job: &JobId) -> bool {
        self.registry.ended().any(|row| row.job.spec.id == *job)
    }

    /// Returns a team's use of the region's capacity.
    pub fn team_usage(&self, team: &TeamId) -> TeamRegion {
        let mut usage = TeamRegion::default();
        for gang in self
            .placement
            .state()
            .gangs()
            .filter(|gang| gang.team == team)
        {
            let accelerators: u32 = gang.placement.iter().map(|t| t.accelerators.len()).sum();
            match gang.is_borrowed {
                true => usage.borrowed += accelerators,
                false => usage.used += accelerators,
            }
        }
        for tracked in self
            .registry
            .jobs()
            .filter(|tracked| tracked.row.spec.team == *team)
        {
            match tracked.state() {
                JobState::Queued => usage.queued_jobs += 1,
                _ => usage.running_jobs += 1,
            }
        }
        usage
    }
}

/// Creates an order whose reply is ignored.
pub(crate) fn task_order(
    task: TaskRef,
    agent: &AgentId,
    order: fn(TaskRef) -> Order,
) -> RegionEffect {
    let tag = OrderTag {
        job: task.job.clone(),
        attempt: task.attempt,
        task: task.task,
        kind: OrderKind::Other,
    };
    RegionEffect::Order(tag, agent.clone(), order(task))
}
