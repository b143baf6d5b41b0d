//! The order in which waiting jobs get resources.

use std::fmt::{self, Debug, Display, Formatter};
use std::time::Duration;

use cumindeck_types::Uptime;

use crate::model::MAX_OVERDUE_FACTOR;

/// Multiple of its objective after which a waiting job gets its turn before others.
const MAX_WAIT_FACTOR: u32 = 6;

/// Weight of a job of priority 0.
const URGENT_WEIGHT: u64 = 1 << 16;

/// Binary digits by which a priority weighs less than the one before.
const WEIGHT_SHIFT: u32 = 2;

/// Part of its value that a job still has when it is late, in thousandths.
const LATE_VALUE: u64 = 333;

/// Slack at which the urgency of a job is half as high as without, in mean durations of
/// what waits: one for the work in front of it, one for its own.
const SLACK_SCALE: u32 = 2;

/// Urgency of a job without slack.
const MAX_URGENCY: u64 = 1_000;

/// Work in milli-worker milliseconds below which jobs count alike: a tenth of a worker
/// for a tenth of a second.
const MIN_WORK: u64 = 10_000;

/// A job with tasks to start, as far as its rank depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WaitingJob {
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether it is urgent and its team needs no more than its guarantee.
    pub is_guaranteed: bool,
    /// Whether it is so late that it has no value.
    pub is_far_overdue: bool,
    /// Whether it can no longer end within its objective, by its estimates.
    pub is_late: bool,
    pub is_recurring: bool,
    pub accepted_at: Uptime,
    /// Time since its acceptance.
    pub age: Duration,
    /// Time from its acceptance within which it should end; `None` if it recurs or its
    /// tasks last, so that each moment counts.
    pub objective: Option<Duration>,
    /// Time from its acceptance for which its end has value.
    pub valuable_for: Duration,
    /// Time that it takes at least.
    pub least_left: Duration,
    /// Room times time that its unfinished tasks need, in milli-worker milliseconds.
    pub work: u64,
    /// Whether its team holds its share of the room and more than its guarantee.
    pub is_beyond_share: bool,
}

impl WaitingJob {
    /// Returns the time for which it can wait and still be in time; `None` if it can't.
    fn slack(&self) -> Option<Duration> {
        match self.objective {
            Some(objective) => objective.checked_sub(self.end()),
            None => Some(Duration::ZERO),
        }
    }

    /// Returns the time for which it can wait and still have value; `None` if it has none.
    fn valuable_slack(&self) -> Option<Duration> {
        match self.objective {
            Some(_) => self.valuable_for.checked_sub(self.end()),
            None => Some(Duration::ZERO),
        }
    }

    /// Returns its least age at its end.
    const fn end(&self) -> Duration {
        self.age.saturating_add(self.least_left)
    }

    /// Returns whether it has waited so long that its turn has come.
    pub fn is_due(&self) -> bool {
        let limit = self
            .objective
            .map(|objective| objective.saturating_mul(MAX_WAIT_FACTOR));
        !self.is_guaranteed && limit.is_some_and(|limit| self.age > limit)
    }
}

/// What the ranks of all waiting jobs depend on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct OrderLoad {
    /// Mean duration of what waits.
    pub mean_duration: Duration,
    /// Acceptance of the oldest job whose turn has come.
    pub oldest_due: Option<Uptime>,
}

/// Position in the order; the lowest is first.
pub(super) type Rank = [u128; 5];

/// Why a job has its rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct OrderReason {
    /// Cost of a delay for the room that the job takes.
    cost: u64,
    /// Time for which it can still wait and be in time.
    slack: Option<Duration>,
    is_beyond_share: bool,
    is_due: bool,
}

impl Display for OrderReason {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "cost of delay {}, ", self.cost)?;
        match self.slack {
            Some(slack) => write!(f, "slack {slack:?}")?,
            None => f.write_str("late")?,
        }
        if self.is_beyond_share {
            f.write_str(", team beyond its share")?;
        }
        match self.is_due {
            true => f.write_str(", waited longest"),
            false => Ok(()),
        }
    }
}

/// What the order decides on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Standing {
    pub rank: Rank,
    /// Whether it has no value any more, so that nothing is stopped for it.
    pub is_worthless: bool,
    /// Whether it can no longer be in time.
    pub is_late: bool,
    /// Why it has its rank, if the order says more than its waiting time.
    pub reason: Option<OrderReason>,
}

/// Idle room that jobs with time to spare leave to urgent work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HeadroomShare {
    /// Workers for urgent work, busy and idle ones together, in percent of its average use.
    pub percent_of_use: u64,
    /// Maximum percentage of all workers that urgent work occupies or that is kept for it.
    pub max_percent: u64,
}

/// Ranks the waiting jobs.
pub(super) trait OrderPolicy: Debug + Send {
    /// Returns how much room jobs with time to spare leave to urgent work.
    fn headroom(&self) -> HeadroomShare;

    /// Returns whether ranks depend on the work, the shares and the load.
    fn uses_load(&self) -> bool;

    /// Decides on a job; of equal ranks the id decides.
    fn decide(&self, job: &WaitingJob, load: &OrderLoad) -> Standing;
}

/// Ranks by priority, guarantee, lateness and arrival.
///
/// Load pattern: more work than room for seconds, all of a priority worth the same.
#[derive(Debug)]
pub(super) struct ArrivalOrder;

impl OrderPolicy for ArrivalOrder {
    fn headroom(&self) -> HeadroomShare {
        HeadroomShare {
            percent_of_use: 150,
            max_percent: 30,
        }
    }

    fn uses_load(&self) -> bool {
        false
    }

    fn decide(&self, job: &WaitingJob, _: &OrderLoad) -> Standing {
        let rank = [
            u128::from(job.is_far_overdue),
            u128::from(job.priority),
            u128::from(!job.is_guaranteed),
            u128::from(job.is_late && !job.is_recurring),
            job.accepted_at.as_duration().as_nanos(),
        ];
        Standing {
            rank,
            is_worthless: job.is_far_overdue,
            is_late: job.is_late,
            reason: None,
        }
    }
}

/// Ranks by what a delay costs callers for the room that the job takes.
///
/// Load pattern: more work than room for long, from few large teams and many small ones.
#[derive(Debug)]
pub(super) struct LeastCostOrder;

/// Classes of [`LeastCostOrder`], in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Guaranteed,
    /// The one job that has waited longest, beyond all bounds.
    Due,
    /// Urgent jobs that can be in time.
    Urgent,
    Valuable,
    Worthless,
}

impl LeastCostOrder {
    /// Returns the cost of a delay of a job for the room that it takes.
    fn cost(job: &WaitingJob, load: &OrderLoad) -> u64 {
        let weight = URGENT_WEIGHT
            .checked_shr(job.priority.saturating_mul(WEIGHT_SHIFT))
            .unwrap_or(0)
            .max(1);
        let in_time = urgency(job.slack(), load.mean_duration) * (1_000 - LATE_VALUE);
        let late = urgency(job.valuable_slack(), load.mean_duration) * LATE_VALUE;
        let share = if job.is_beyond_share { 3 } else { 4 };
        // A task that lasts never ends its work, whatever its estimate.
        let work = match job.objective {
            Some(_) => job.work.max(MIN_WORK).isqrt(),
            None => MIN_WORK.isqrt(),
        };
        weight * (in_time + late) * share / work
    }
}

impl OrderPolicy for LeastCostOrder {
    /// A burst of one large team's urgent work is a larger part of the room than one of many
    /// even teams.
    fn headroom(&self) -> HeadroomShare {
        HeadroomShare {
            percent_of_use: 200,
            max_percent: 45,
        }
    }

    fn uses_load(&self) -> bool {
        true
    }

    fn decide(&self, job: &WaitingJob, load: &OrderLoad) -> Standing {
        let is_due = job.is_due() && load.oldest_due == Some(job.accepted_at);
        let has_value = job.valuable_slack().is_some();
        let is_urgent = job.priority == 0 && job.slack().is_some();
        let class = if job.is_guaranteed {
            Class::Guaranteed
        } else if is_due {
            Class::Due
        } else if is_urgent {
            Class::Urgent
        } else if has_value {
            Class::Valuable
        } else {
            Class::Worthless
        };
        let cost = Self::cost(job, load);
        let rank = [
            class as u128,
            u128::from(u64::MAX - cost),
            u128::from(job.priority),
            job.accepted_at.as_duration().as_nanos(),
            0,
        ];
        let reason = OrderReason {
            cost,
            slack: job.slack(),
            is_beyond_share: job.is_beyond_share,
            is_due,
        };
        Standing {
            rank,
            is_worthless: class == Class::Worthless,
            is_late: job.slack().is_none(),
            reason: Some(reason),
        }
    }
}

/// Returns how much a delay matters with this slack, in thousandths; 0 if it is too late.
fn urgency(slack: Option<Duration>, mean_duration: Duration) -> u64 {
    let Some(slack) = slack else {
        return 0;
    };
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let scale = millis(mean_duration.saturating_mul(SLACK_SCALE));
    let scale = scale.clamp(1, u64::MAX / MAX_URGENCY);
    MAX_URGENCY * scale / scale.saturating_add(millis(slack))
}

/// Returns whether a job that is `age` old has no value any more.
pub(super) fn is_far_overdue(age: Duration, objective: Duration) -> bool {
    age > objective * MAX_OVERDUE_FACTOR
}
