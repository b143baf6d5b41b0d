//! The start of one gang attempt by the duty holder: count, reserve all, go.

use cumindeck_types::message::{GangMember, Go, Reserve, TaskAnswer, TaskRef};
use cumindeck_types::{
    AgentId, Attempt, FencingToken, Incarnation, JobId, Remaining, TaskIndex, TeamId, Uptime,
    ZoneVersion,
};

use crate::gang::{RESERVATION, START_LIMIT};
use crate::store::WriteOutcome;

/// A task and the place that was chosen for it.
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

/// An attempt as placed, before anything is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangPlan {
    /// The job.
    pub job: JobId,
    /// The team that the job belongs to.
    pub team: TeamId,
    /// The attempt.
    pub attempt: Attempt,
    /// Token of the duty under which the gang is placed.
    pub token: FencingToken,
    /// Command that the workers run.
    pub command: String,
    /// The tasks in order.
    pub tasks: Vec<PlannedTask>,
}

/// What the attempt's row says after a lost answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoredAttempt {
    /// The row doesn't exist.
    Absent,
    /// The row was written by this start, as its own write id shows.
    ///
    /// The token alone doesn't tell: a delayed write of an earlier start by the
    /// same holder names other agents.
    Own,
    /// The row was written by another start.
    Foreign,
}

/// Why an attempt didn't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangFailure {
    /// The duty lapsed.
    DutyLost,
    /// Another start counted this attempt; the rows must be read again.
    NotCounted,
    /// A member answered an order with a refusal.
    Refused(TaskIndex, TaskAnswer),
    /// Not all members answered in time.
    TimedOut,
    /// A member restarted, so that the attempt's row names an earlier incarnation of it.
    MemberRestarted(TaskIndex),
    /// The attempt was cancelled.
    Cancelled,
}

/// What the owner of a [`GangStart`] does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GangEffect {
    /// Write the attempt's row, with a write id of this start, if it doesn't exist.
    CountAttempt,
    /// Read the attempt's row and call [`GangStart::on_attempt_read`].
    ReadAttempt,
    /// Send a reservation.
    Reserve(AgentId, Reserve),
    /// Send the order to start.
    Go(AgentId, Go),
    /// Send the order to stop.
    Stop(AgentId, TaskRef),
    /// All members run.
    Started,
    /// The attempt ended; the stop orders were sent before.
    Failed(GangFailure),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Counting,
    /// Waits for all members to be ready until the time.
    Reserving(Uptime),
    /// Waits for all members to run until the time.
    Going(Uptime),
    Running,
    Ended,
}

/// The start of one attempt of a gang.
///
/// Each method takes `may_act` from [`Duty::may_act`](crate::duty::Duty::may_act)
/// at the same `now`, so that a holder that was frozen sends nothing.
#[derive(Debug, Clone)]
pub struct GangStart {
    plan: GangPlan,
    stage: Stage,
    answered: Vec<bool>,
    has_sent_go: bool,
    /// Why the attempt ends as soon as it is counted.
    doomed: Option<GangFailure>,
}

impl GangStart {
    /// Makes the machine and the write that counts the attempt.
    #[must_use]
    pub fn new(plan: GangPlan) -> (Self, Vec<GangEffect>) {
        let answered = vec![false; plan.tasks.len()];
        let start = Self {
            plan,
            stage: Stage::Counting,
            answered,
            has_sent_go: false,
            doomed: None,
        };
        (start, vec![GangEffect::CountAttempt])
    }

    /// Returns the plan.
    #[must_use]
    pub const fn plan(&self) -> &GangPlan {
        &self.plan
    }

    /// Tells whether all members run.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }

    /// Tells whether the attempt ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Tells whether `go` was sent, so that bodies may run.
    #[must_use]
    pub const fn has_sent_go(&self) -> bool {
        self.has_sent_go
    }

    /// Returns when [`GangStart::tick`] has something to do.
    #[must_use]
    pub const fn next_wakeup(&self) -> Option<Uptime> {
        match self.stage {
            Stage::Reserving(until) | Stage::Going(until) => Some(until),
            Stage::Counting | Stage::Running | Stage::Ended => None,
        }
    }

    /// Takes in the outcome of the write that counts the attempt.
    pub fn on_attempt_written(
        &mut self,
        now: Uptime,
        may_act: bool,
        outcome: WriteOutcome,
    ) -> Vec<GangEffect> {
        if self.stage != Stage::Counting {
            return Vec::new();
        }
        match outcome {
            WriteOutcome::Done(_) => self.reserve(now, may_act),
            WriteOutcome::Conflict | WriteOutcome::Unknown => vec![GangEffect::ReadAttempt],
        }
    }

    /// Takes in what the attempt's row says.
    pub fn on_attempt_read(
        &mut self,
        now: Uptime,
        may_act: bool,
        stored: StoredAttempt,
    ) -> Vec<GangEffect> {
        if self.stage != Stage::Counting {
            return Vec::new();
        }
        match stored {
            StoredAttempt::Own => self.reserve(now, may_act),
            StoredAttempt::Absent if may_act => vec![GangEffect::CountAttempt],
            StoredAttempt::Absent => self.fail(GangFailure::DutyLost),
            StoredAttempt::Foreign => self.fail(GangFailure::NotCounted),
        }
    }

    /// Takes in a member's answer to `reserve`; `Done` means that the task is ready.
    pub fn on_reserve_answer(
        &mut self,
        now: Uptime,
        may_act: bool,
        task: TaskIndex,
        answer: TaskAnswer,
    ) -> Vec<GangEffect> {
        let Stage::Reserving(until) = self.stage else {
            return Vec::new();
        };
        if let Some(effects) = self.take_answer(now, until, task, answer) {
            return effects;
        }
        if !may_act {
            return self.fail(GangFailure::DutyLost);
        }
        self.go(now)
    }

    /// Takes in a member's answer to `go`; `Done` means that the body runs.
    pub fn on_go_answer(
        &mut self,
        now: Uptime,
        task: TaskIndex,
        answer: TaskAnswer,
    ) -> Vec<GangEffect> {
        let Stage::Going(until) = self.stage else {
            return Vec::new();
        };
        if let Some(effects) = self.take_answer(now, until, task, answer) {
            return effects;
        }
        self.stage = Stage::Running;
        vec![GangEffect::Started]
    }

    /// Stops the attempt if an answer is overdue.
    pub fn tick(&mut self, now: Uptime) -> Vec<GangEffect> {
        if self.next_wakeup().is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.fail(GangFailure::TimedOut)
    }

    /// Takes in an announcement of an incarnation of an agent.
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

    /// Ends the attempt, at once or when it is known to be counted.
    fn end(&mut self, failure: GangFailure) -> Vec<GangEffect> {
        match self.stage {
            Stage::Ended => Vec::new(),
            Stage::Counting => {
                self.doomed = Some(failure);
                Vec::new()
            }
            Stage::Reserving(_) | Stage::Going(_) | Stage::Running => self.fail(failure),
        }
    }

    fn reserve(&mut self, now: Uptime, may_act: bool) -> Vec<GangEffect> {
        if let Some(failure) = self.doomed {
            return self.fail(failure);
        }
        if !may_act {
            return self.fail(GangFailure::DutyLost);
        }
        self.stage = Stage::Reserving(now.plus(RESERVATION));
        let gang_size = u32::try_from(self.plan.tasks.len()).unwrap_or(u32::MAX);
        let orders = self.plan.tasks.iter().enumerate().map(|(i, planned)| {
            let order = Reserve {
                task: self.task_ref(i),
                team: self.plan.team.clone(),
                accelerators: planned.accelerators.clone(),
                gang_size,
                command: self.plan.command.clone(),
                zone_version: planned.zone_version,
                remaining: Remaining::new(RESERVATION),
            };
            GangEffect::Reserve(planned.member.agent.clone(), order)
        });
        orders.collect()
    }

    fn go(&mut self, now: Uptime) -> Vec<GangEffect> {
        // The answer is awaited for as long again as the start may take.
        self.stage = Stage::Going(now.plus(START_LIMIT * 2));
        self.answered.fill(false);
        self.has_sent_go = true;
        let tasks = &self.plan.tasks;
        let members: Vec<_> = tasks.iter().map(|planned| planned.member.clone()).collect();
        let orders = tasks.iter().enumerate().map(|(i, planned)| {
            let order = Go {
                task: self.task_ref(i),
                zone_version: planned.zone_version,
                remaining: Remaining::new(START_LIMIT),
                members: members.clone(),
            };
            GangEffect::Go(planned.member.agent.clone(), order)
        });
        orders.collect()
    }

    fn fail(&mut self, failure: GangFailure) -> Vec<GangEffect> {
        let was_sent = self.stage != Stage::Counting;
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

    /// Notes a member's answer; returns the effects of this step unless every
    /// member has now answered `Done` in time.
    fn take_answer(
        &mut self,
        now: Uptime,
        until: Uptime,
        task: TaskIndex,
        answer: TaskAnswer,
    ) -> Option<Vec<GangEffect>> {
        if answer != TaskAnswer::Done {
            return Some(self.fail(GangFailure::Refused(task, answer)));
        }
        if now >= until {
            return Some(self.fail(GangFailure::TimedOut));
        }
        let answered = usize::try_from(task.get()).ok();
        if let Some(answered) = answered.and_then(|i| self.answered.get_mut(i)) {
            *answered = true;
        }
        let is_complete = self.answered.iter().all(|answered| *answered);
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
