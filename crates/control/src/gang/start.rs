//! The start of one gang attempt by the leader: record the attempt, reserve, start.

use cumindeck_types::message::{GangMember, Reserve, StartTask, TaskAnswer, TaskRef};
use cumindeck_types::{
    AgentId, Attempt, FencingToken, Incarnation, JobId, Remaining, TaskIndex, TeamId, Uptime,
    ZoneVersion,
};

use crate::gang::{RESERVATION_VALIDITY, START_TIMEOUT};
use crate::store::WriteOutcome;

/// A task with its agent and accelerators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedTask {
    /// The agent that runs the task.
    pub member: GangMember,
    /// Incarnation of the agent's process, as recorded in the attempt's row.
    pub incarnation: Incarnation,
    /// Indices of the worker's accelerators.
    pub accelerators: Vec<u32>,
    /// Version of the zone's state under which the task may start.
    pub zone_version: ZoneVersion,
}

/// An attempt as placed, before any order is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangPlan {
    /// The job that the gang runs.
    pub job: JobId,
    /// The team that the job belongs to.
    pub team: TeamId,
    /// The attempt, which is recorded before any order is sent.
    pub attempt: Attempt,
    /// Token of the leader that placed the gang.
    pub token: FencingToken,
    /// Command that the workers run.
    pub command: String,
    /// The tasks in order.
    pub tasks: Vec<PlannedTask>,
}

/// State of the attempt's row, read when the outcome of its write is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredAttempt {
    /// The row does not exist.
    Absent,
    /// The row was written by this start, as its write id shows.
    ///
    /// The token alone does not show this: a delayed write of an earlier start by the
    /// same leader contains other agents.
    Own,
    /// The row was written by another start.
    Other,
}

/// Why an attempt did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangFailure {
    /// This process may no longer act as the leader.
    DutyLost,
    /// Another start recorded this attempt; the rows must be read again.
    NotCounted,
    /// A member refused an order.
    Refused(TaskIndex, TaskAnswer),
    /// Not all members replied in time.
    TimedOut,
    /// A member restarted, so that the attempt's row contains an
    /// earlier incarnation of it.
    MemberRestarted(TaskIndex),
    /// The attempt was cancelled.
    Cancelled,
}

/// An action that the owner of a [`GangStart`] carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangEffect {
    /// Write the attempt's row, with a write id of this start, if it does not exist.
    RecordAttempt,
    /// Read the attempt's row and call [`GangStart::on_attempt_read`].
    ReadAttempt,
    /// Send a reservation order.
    Reserve(AgentId, Reserve),
    /// Send a start order.
    StartTask(AgentId, StartTask),
    /// Send a stop order.
    Stop(AgentId, TaskRef),
    /// All members are running.
    Started,
    /// The attempt ended; its stop orders precede this effect.
    Failed(GangFailure),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Recording,
    /// Waits until this time for all members to be ready.
    Reserving(Uptime),
    /// Waits until this time for all members to run.
    Starting(Uptime),
    Running,
    Ended,
}

/// The start of one attempt of a gang.
///
/// `may_act` comes from [`LeaderLease::may_act`](crate::leader::LeaderLease::may_act) at the same
/// `now`, so that a leader whose process was paused sends nothing.
#[derive(Debug, Clone)]
pub struct GangStart {
    plan: GangPlan,
    stage: Stage,
    has_replied: Vec<bool>,
    has_sent_start: bool,
    /// Why the attempt ends as soon as it is recorded.
    deferred_failure: Option<GangFailure>,
}

impl GangStart {
    /// Creates the state machine and the write that records the attempt.
    #[must_use]
    pub fn new(plan: GangPlan) -> (Self, Vec<GangEffect>) {
        let has_replied = vec![false; plan.tasks.len()];
        let start = Self {
            plan,
            stage: Stage::Recording,
            has_replied,
            has_sent_start: false,
            deferred_failure: None,
        };
        (start, vec![GangEffect::RecordAttempt])
    }

    /// Returns the plan that is being started.
    #[must_use]
    pub const fn plan(&self) -> &GangPlan {
        &self.plan
    }

    /// Returns whether all members are running.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }

    /// Returns whether the attempt has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Returns whether start orders were sent, so that task processes may run.
    #[must_use]
    pub const fn has_sent_start(&self) -> bool {
        self.has_sent_start
    }

    /// Returns when [`GangStart::tick`] is due next.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Uptime> {
        match self.stage {
            Stage::Reserving(until) | Stage::Starting(until) => Some(until),
            Stage::Recording | Stage::Running | Stage::Ended => None,
        }
    }

    /// Handles the outcome of the write that records the attempt.
    pub fn on_attempt_written(
        &mut self,
        now: Uptime,
        may_act: bool,
        outcome: WriteOutcome,
    ) -> Vec<GangEffect> {
        if self.stage != Stage::Recording {
            return Vec::new();
        }
        match outcome {
            WriteOutcome::Done(_) => self.reserve(now, may_act),
            WriteOutcome::Conflict | WriteOutcome::Unknown => vec![GangEffect::ReadAttempt],
        }
    }

    /// Handles the state of the attempt's row.
    pub fn on_attempt_read(
        &mut self,
        now: Uptime,
        may_act: bool,
        stored: StoredAttempt,
    ) -> Vec<GangEffect> {
        if self.stage != Stage::Recording {
            return Vec::new();
        }
        match stored {
            StoredAttempt::Own => self.reserve(now, may_act),
            StoredAttempt::Absent if may_act => vec![GangEffect::RecordAttempt],
            StoredAttempt::Absent => self.fail(GangFailure::DutyLost),
            StoredAttempt::Other => self.fail(GangFailure::NotCounted),
        }
    }

    /// Handles a member's reply to a reservation; `Done` means that the task is ready.
    pub fn on_reserve_reply(
        &mut self,
        now: Uptime,
        may_act: bool,
        task: TaskIndex,
        reply: TaskAnswer,
    ) -> Vec<GangEffect> {
        let Stage::Reserving(until) = self.stage else {
            return Vec::new();
        };
        if let Some(effects) = self.handle_reply(now, until, task, reply) {
            return effects;
        }
        if !may_act {
            return self.fail(GangFailure::DutyLost);
        }
        self.start_tasks(now)
    }

    /// Handles a member's reply to a start order; `Done` means
    /// that the task process runs.
    pub fn on_start_reply(
        &mut self,
        now: Uptime,
        task: TaskIndex,
        reply: TaskAnswer,
    ) -> Vec<GangEffect> {
        let Stage::Starting(until) = self.stage else {
            return Vec::new();
        };
        if let Some(effects) = self.handle_reply(now, until, task, reply) {
            return effects;
        }
        self.stage = Stage::Running;
        vec![GangEffect::Started]
    }

    /// Stops the attempt if a reply is overdue.
    pub fn tick(&mut self, now: Uptime) -> Vec<GangEffect> {
        if self.next_wakeup().is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.fail(GangFailure::TimedOut)
    }

    /// Handles an announcement of an agent; an incarnation other than the recorded one
    /// ends the attempt.
    pub fn on_incarnation(&mut self, agent: &AgentId, incarnation: Incarnation) -> Vec<GangEffect> {
        let is_restarted = |planned: &PlannedTask| {
            planned.member.agent == *agent && planned.incarnation != incarnation
        };
        let Some(task) = self.plan.tasks.iter().position(is_restarted) else {
            return Vec::new();
        };
        self.end(GangFailure::MemberRestarted(TaskIndex::new(task as u64)))
    }

    /// Stops the attempt, for example because a caller cancelled the job.
    pub fn cancel(&mut self) -> Vec<GangEffect> {
        self.end(GangFailure::Cancelled)
    }

    /// Ends the attempt, immediately or when it is known to be recorded.
    fn end(&mut self, failure: GangFailure) -> Vec<GangEffect> {
        match self.stage {
            Stage::Ended => Vec::new(),
            Stage::Recording => {
                self.deferred_failure = Some(failure);
                Vec::new()
            }
            Stage::Reserving(_) | Stage::Starting(_) | Stage::Running => self.fail(failure),
        }
    }

    fn reserve(&mut self, now: Uptime, may_act: bool) -> Vec<GangEffect> {
        if let Some(failure) = self.deferred_failure {
            return self.fail(failure);
        }
        if !may_act {
            return self.fail(GangFailure::DutyLost);
        }
        self.stage = Stage::Reserving(now.plus(RESERVATION_VALIDITY));
        let gang_size = u32::try_from(self.plan.tasks.len()).unwrap_or(u32::MAX);
        let orders = self.plan.tasks.iter().enumerate().map(|(i, planned)| {
            let order = Reserve {
                task: self.task_ref(i),
                team: self.plan.team.clone(),
                accelerators: planned.accelerators.clone(),
                gang_size,
                command: self.plan.command.clone(),
                zone_version: planned.zone_version,
                remaining: Remaining::new(RESERVATION_VALIDITY),
            };
            GangEffect::Reserve(planned.member.agent.clone(), order)
        });
        orders.collect()
    }

    fn start_tasks(&mut self, now: Uptime) -> Vec<GangEffect> {
        // The reply may take as long again as the start itself.
        self.stage = Stage::Starting(now.plus(START_TIMEOUT * 2));
        self.has_replied.fill(false);
        self.has_sent_start = true;
        let tasks = &self.plan.tasks;
        let members: Vec<_> = tasks.iter().map(|planned| planned.member.clone()).collect();
        let orders = tasks.iter().enumerate().map(|(i, planned)| {
            let order = StartTask {
                task: self.task_ref(i),
                zone_version: planned.zone_version,
                remaining: Remaining::new(START_TIMEOUT),
                members: members.clone(),
            };
            GangEffect::StartTask(planned.member.agent.clone(), order)
        });
        orders.collect()
    }

    fn fail(&mut self, failure: GangFailure) -> Vec<GangEffect> {
        let was_sent = self.stage != Stage::Recording;
        self.stage = Stage::Ended;
        let mut effects = Vec::new();
        if was_sent {
            effects.extend(self.plan.tasks.iter().enumerate().map(|(i, planned)| {
                GangEffect::Stop(planned.member.agent.clone(), self.task_ref(i))
            }));
        }
        effects.push(GangEffect::Failed(failure));
        effects
    }

    /// Records a member's reply; returns the effects of this step unless every member
    /// has now replied `Done` in time.
    fn handle_reply(
        &mut self,
        now: Uptime,
        until: Uptime,
        task: TaskIndex,
        reply: TaskAnswer,
    ) -> Option<Vec<GangEffect>> {
        if reply != TaskAnswer::Done {
            return Some(self.fail(GangFailure::Refused(task, reply)));
        }
        if now >= until {
            return Some(self.fail(GangFailure::TimedOut));
        }
        let index = usize::try_from(task.get()).ok();
        if let Some(has_replied) = index.and_then(|i| self.has_replied.get_mut(i)) {
            *has_replied = true;
        }
        let is_complete = self.has_replied.iter().all(|has_replied| *has_replied);
        (!is_complete).then(Vec::new)
    }

    fn task_ref(&self, index: usize) -> TaskRef {
        TaskRef {
            job: self.plan.job.clone(),
            attempt: self.plan.attempt,
            task: TaskIndex::new(index as u64),
            token: self.plan.token,
        }
    }
}
