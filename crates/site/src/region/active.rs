//! A region's jobs while this entry holds the duty.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use cumindeck_api::{JobState, TeamRegion};
use cumindeck_control::agent_lease::LeaseGrants;
use cumindeck_control::duty::Duty;
use cumindeck_control::gang::StoppedTasks;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_placement::{Event, Placement, TaskOutcome, WorkerSpec};
use cumindeck_types::message::{Announcement, TaskAnswer, TaskRef};
use cumindeck_types::{
    AgentId, Attempt, AvailabilityZone, FencingToken, JobId, Region, Shape, TeamId, Uptime,
    WorkerId,
};

use super::accept::Accepting;
use super::book::{JobBook, JobTrack};
use super::pace::StartPace;
use super::ring::RingKeeper;
use super::{OrderKind, OrderTag, RegionCommit, RegionCx, RegionEffect};
use crate::event::{Order, RowCondition, RowWrite};
use crate::rows::RowKey;

/// Wait before a failed start is tried again, so that a region whose store or
/// agents don't answer is not busy with starts that can't succeed.
const START_PAUSE: Duration = Duration::from_secs(1);
/// Wait before a commit without an outcome is sent again.
const COMMIT_RETRY: Duration = Duration::from_secs(1);

/// A worker as the duty holder sees it.
#[derive(Debug, Clone)]
pub(crate) struct WorkerTrack {
    /// The agent beside it.
    pub agent: AgentId,
    /// What the placement knows.
    pub spec: WorkerSpec,
    /// Whether the placement was told that it takes no tasks.
    pub is_failed: bool,
    /// Whether the placement was told that its tasks have ended.
    pub is_ended: bool,
}

/// A commit that is sent again until it has an outcome.
#[derive(Debug, Clone)]
pub(crate) struct Retry {
    /// The writes, which may take effect any number of times.
    pub writes: Vec<RowWrite>,
    /// When to send them again.
    pub at: Uptime,
}

/// A region's jobs while this entry holds the duty.
pub(crate) struct Active {
    /// The region.
    pub region: Region,
    /// Placement decisions.
    pub placement: Placement,
    /// Jobs that have not ended.
    pub book: JobBook,
    /// Jobs whose acceptance has no outcome yet.
    pub accepting: BTreeMap<JobId, Accepting>,
    /// Workers by name.
    pub workers: BTreeMap<WorkerId, WorkerTrack>,
    /// The ring of home agents.
    pub ring: RingKeeper,
    /// Commits to send again.
    pub retries: BTreeMap<RegionCommit, Retry>,
    /// Writes of commits that are on their way.
    pub sent: BTreeMap<RegionCommit, Vec<RowWrite>>,
    /// Starts that failed before anything was sent, and when to report them.
    pub paused: VecDeque<(Uptime, JobId, Attempt)>,
    /// Availability zones that the placement was told are closed.
    pub closed: Vec<AvailabilityZone>,
    /// Guarantees that the placement was told, and whether the teams may borrow.
    pub teams: BTreeMap<TeamId, (Shape, bool)>,
    /// Quarantined workers.
    pub quarantined: Vec<WorkerId>,
    /// Accepted jobs for which the known workers are too few.
    pub parked: BTreeSet<JobId>,
    /// Starts that wait for their turn.
    pub pace: StartPace,
    /// What the agents have reported under the current token.
    pub stopped: StoppedTasks,
    /// Events of a takeover, fed to the placement at the first tick.
    pub first_events: VecDeque<Event>,
}

impl Active {
    /// Takes an announcement in: the worker and its reported tasks.
    pub fn on_announcement(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
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
        self.see_worker(cx, announcement, &mut events);
        let token = duty.token().unwrap_or_default();
        for report in &announcement.tasks {
            let task = TaskRef {
                job: report.job.clone(),
                attempt: report.attempt,
                task: report.task,
                token,
            };
            let attempt = self.book.attempt_mut(&report.job, report.attempt);
            let Some(attempt) = attempt else {
                // The report's attempt is over for good; the order acknowledges
                // a final report and stops a task that should not run.
                if !self.book.holds_reports(&report.job, report.attempt) {
                    out.push(other_order(task, &announcement.agent, Order::Stop));
                }
                continue;
            };
            if let Some(outcome) = attempt.on_report(report.task, report.phase, &report.detail) {
                let (job, attempt) = (report.job.clone(), report.attempt);
                events.push_back(Event::TaskEnded(job, attempt, report.task, outcome));
            }
        }
        self.on_incarnation(cx, duty, token_row, announcement, out);
        let jobs = self.book.jobs_at(&announcement.agent);
        self.end_stopped(cx.now, &jobs, grants, &mut events);
        self.run(cx, duty, token_row, events, out);
    }

    /// Does what is due.
    pub fn tick(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: Option<(RowVersion, FencingToken)>,
        grants: &LeaseGrants,
        out: &mut Vec<RegionEffect>,
    ) {
        let mut events = std::mem::take(&mut self.first_events);
        self.follow_settings(cx, &mut events);
        self.follow_zones(cx, &mut events);
        self.follow_workers(cx, grants, &mut events);
        let jobs = self.book.with_attempts();
        self.end_stopped(cx.now, &jobs, grants, &mut events);
        while self.paused.front().is_some_and(|(at, ..)| *at <= cx.now) {
            if let Some((_, job, attempt)) = self.paused.pop_front() {
                events.push_back(Event::StartFailed(job, attempt));
            }
        }
        events.push_back(Event::Tick);
        self.run(cx, duty, token_row, events, out);
        self.start_paced(cx, duty, token_row, out);
        self.tick_gangs(cx, duty, token_row, out);
        self.send_due_stops(cx, duty, out);
        self.send_retries(cx.now, token_row, out);
        self.retry_accepts(cx.now, token_row, out);
    }

    /// Takes in the outcome of a commit about a job.
    pub fn on_commit(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: Option<(RowVersion, FencingToken)>,
        commit: RegionCommit,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        let Some(writes) = self.sent.remove(&commit) else {
            return;
        };
        match (&commit, outcome) {
            (RegionCommit::Attempt(job, attempt), outcome) => {
                let (job, attempt) = (job.clone(), *attempt);
                self.on_counted(cx, duty, token_row, &job, attempt, outcome, out);
            }
            (RegionCommit::Accept(job), outcome) => {
                let job = job.clone();
                self.on_accepted(cx, duty, token_row, &job, outcome, out);
            }
            // After a conflict the duty has changed hands, or this holder has a
            // new token; the next read of the heads tells.
            (_, WriteOutcome::Unknown | WriteOutcome::Conflict) => {
                if outcome == WriteOutcome::Conflict {
                    out.push(RegionEffect::ReadHeads);
                }
                let at = cx.now.plus(COMMIT_RETRY);
                self.retries.insert(commit, Retry { writes, at });
            }
            (RegionCommit::End(job), WriteOutcome::Done(_)) => self.book.forget(job, out),
            (RegionCommit::Cancel(job), WriteOutcome::Done(_)) => {
                let job = job.clone();
                self.on_cancelled(cx, duty, token_row, &job, out);
            }
            (
                RegionCommit::Duty(..) | RegionCommit::Ring | RegionCommit::State(_),
                WriteOutcome::Done(_),
            ) => {}
        }
    }

    /// Takes in the answer to an order.
    pub fn on_answer(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: Option<(RowVersion, FencingToken)>,
        tag: &OrderTag,
        answer: Option<TaskAnswer>,
        out: &mut Vec<RegionEffect>,
    ) {
        // A lost answer leaves open whether the task runs, so the attempt is stopped.
        let may_act = duty.may_act(cx.now);
        let Some(track) = self.book.attempt_mut(&tag.job, tag.attempt) else {
            return;
        };
        track.is_refused_by_worker |= answer == Some(TaskAnswer::Failed);
        let answer = answer.unwrap_or(TaskAnswer::Failed);
        let Some(start) = &mut track.start else {
            return;
        };
        let effects = match tag.kind {
            OrderKind::Reserve => start.on_reserve_answer(cx.now, may_act, tag.task, answer),
            OrderKind::Go => start.on_go_answer(cx.now, tag.task, answer),
            OrderKind::Other => return,
        };
        self.gang_effects(cx, duty, token_row, &tag.job, tag.attempt, effects, out);
    }

    /// Sends a commit that is tracked until it has an outcome.
    pub fn commit(
        &mut self,
        commit: RegionCommit,
        writes: Vec<RowWrite>,
        out: &mut Vec<RegionEffect>,
    ) {
        self.retries.remove(&commit);
        self.sent.insert(commit.clone(), writes.clone());
        out.push(RegionEffect::Commit(commit, writes));
    }

    /// Reports a start that failed before anything was sent, after a pause.
    pub fn pause_start(&mut self, now: Uptime, job: &JobId, attempt: Attempt) {
        self.paused
            .push_back((now.plus(START_PAUSE), job.clone(), attempt));
    }

    /// Ends tasks of these jobs that have certainly stopped though no agent
    /// reports their end.
    fn end_stopped(
        &mut self,
        now: Uptime,
        jobs: &[JobId],
        grants: &LeaseGrants,
        events: &mut VecDeque<Event>,
    ) {
        for job in jobs {
            let Some(track) = self
                .book
                .get_mut(job)
                .and_then(|track| track.attempt.as_mut())
            else {
                continue;
            };
            let attempt = track.row.attempt;
            for task in track.end_stopped(now, job, &self.stopped, grants) {
                let outcome = TaskOutcome::Stopped;
                events.push_back(Event::TaskEnded(job.clone(), attempt, task, outcome));
            }
        }
    }

    /// Ends the starts that count on an earlier incarnation of an agent.
    fn on_incarnation(
        &mut self,
        cx: RegionCx<'_>,
        duty: &Duty,
        token_row: Option<(RowVersion, FencingToken)>,
        announcement: &Announcement,
        out: &mut Vec<RegionEffect>,
    ) {
        let (agent, incarnation) = (&announcement.agent, announcement.incarnation);
        let mut ended = Vec::new();
        for job in self.book.jobs_at(agent) {
            let track = self
                .book
                .get_mut(&job)
                .and_then(|track| track.attempt.as_mut());
            let Some(track) = track else { continue };
            let start = track.start.as_mut();
            let effects = start.map(|start| start.on_incarnation(agent, incarnation));
            if let Some(effects) = effects.filter(|effects| !effects.is_empty()) {
                ended.push((job, track.row.attempt, effects));
            }
        }
        for (job, attempt, effects) in ended {
            self.gang_effects(cx, duty, token_row, &job, attempt, effects, out);
        }
    }

    /// Sends commits again under the token that is in force now.
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

impl Active {
    /// Returns the job if it has not ended.
    pub fn job(&self, job: &JobId) -> Option<&JobTrack> {
        self.book.get(job)
    }

    /// Tells whether a job ended lately.
    pub fn has_ended(&self, job: &JobId) -> bool {
        self.book.ended().any(|row| row.job.spec.id == *job)
    }

    /// Returns a team's use of the region's capacity.
    pub fn team_use(&self, team: &TeamId) -> TeamRegion {
        let mut use_of = TeamRegion::default();
        for gang in self
            .placement
            .state()
            .gangs()
            .filter(|gang| gang.team == team)
        {
            let accelerators: u32 = gang.placement.iter().map(|t| t.accelerators.len()).sum();
            match gang.is_borrowed {
                true => use_of.borrowed += accelerators,
                false => use_of.used += accelerators,
            }
        }
        for track in self
            .book
            .jobs()
            .filter(|track| track.row.spec.team == *team)
        {
            match track.state() {
                JobState::Queued => use_of.queued_jobs += 1,
                _ => use_of.running_jobs += 1,
            }
        }
        use_of
    }
}

/// Makes an order whose answer doesn't matter.
pub(crate) fn other_order(
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
