//! What the stop of a run costs, and how much an urgent step may have lost.

use std::cmp::Reverse;
use std::fmt::Debug;
use std::time::Duration;

use crate::Resources;

/// Processors that count as much as an accelerator when lost work is compared.
const ACCELERATOR_CPU_MILLIS: u64 = 8_000;

/// Work lost by a run with checkpoints: half of the usual time between two of them.
const CHECKPOINT_LOSS: Duration = Duration::from_millis(500);

/// Maximum work that may be lost for an urgent step beyond the guarantee, in percent of
/// the step's own work. Stops that lose more cost more than they bring.
const MAX_LOSS_PERCENT_OF_WORK: u64 = 75;

/// Cost of any stop as work in milliseconds: the end of the run and its next start.
///
/// Without it the stop of a run that has just started would cost nothing.
const RESTART_COST_MS: u64 = 300;

/// Maximum number of stops of a run or a gang for urgent steps beyond their guarantees.
///
/// A run that is stopped again and again occupies room and never ends.
const MAX_STOPS_OF_VICTIM: u32 = 2;

/// Maximum number of selections of runs to stop for an urgent step beyond its guarantee.
///
/// The second one answers a failed start; a step that needs more does not fit.
const MAX_ROUNDS: u32 = 2;

/// What a missed objective costs, in percent of the run's work: a late result is still worth
/// something to its caller.
const MISSED_PERCENT_OF_WORK: u64 = 50;

/// Position of a run in the order of stops; the lowest is stopped first.
pub(super) type StopRank = (Reverse<u32>, u64);

/// A run or a gang that could be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Victim {
    /// Priority of its job; 0 is the highest.
    pub priority: u32,
    /// Estimated duration of a member in milliseconds.
    pub estimate_ms: u64,
    /// Time by which the job would end before its objective; `None` if it is late, or if
    /// its end has no objective.
    pub spare: Option<Duration>,
    /// Number of stops of it for urgent steps so far.
    pub former_stops: u32,
    /// Time at work of a member.
    pub worked: Duration,
    /// Whether its work is saved in checkpoints.
    pub has_checkpoints: bool,
    /// Whether it does not end by itself.
    pub is_lasting: bool,
    /// Resources of each member.
    pub resources: Resources,
    /// Number of members; 1 for a run outside gangs.
    pub members: u64,
}

/// An urgent step that could have runs stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct UrgentStep {
    /// Estimated duration of a task in milliseconds.
    pub estimate_ms: u64,
    /// Resources of each task.
    pub resources: Resources,
    /// Number of its waiting tasks.
    pub tasks: u64,
    /// Whether its job can still be in time after a stop.
    pub is_in_time: bool,
    /// What the stops for it in earlier passes have lost.
    pub spent: Spent,
}

/// Stops for an urgent step so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Spent {
    /// Number of selections of runs to stop.
    pub rounds: u32,
    /// Loss of the stops, as weighted processor-milliseconds.
    pub loss: u64,
}

/// Weighs the stops of runs against the urgent work that they make room for.
pub(super) trait StopPolicy: Debug + Send {
    /// Returns what the stop of a run loses, as weighted processor-milliseconds.
    fn loss(&self, victim: &Victim) -> u64;

    /// Returns what may be lost for an urgent step beyond its team's guarantee.
    fn max_loss(&self, step: &UrgentStep) -> u64;

    /// Returns the position of a run in the order of stops on its worker.
    fn rank(&self, victim: &Victim) -> StopRank;

    /// Returns whether a step beyond its team's guarantee may have a run stopped.
    fn may_stop(&self, victim: &Victim) -> bool;

    /// Returns text on a stop for the log and `job why`; empty if there is none.
    fn explain(&self, victim: &Victim) -> String;
}

/// Counts the work since the last checkpoint and a constant for the restart.
///
/// Load pattern: a burst of urgent gangs on a fleet that batch work fills.
#[derive(Debug)]
pub(super) struct WorkLost;

impl StopPolicy for WorkLost {
    fn loss(&self, victim: &Victim) -> u64 {
        let worked = match (victim.is_lasting, victim.has_checkpoints) {
            // It does not work towards an end; only its restart costs.
            (true, _) => Duration::ZERO,
            (false, true) => victim.worked.min(CHECKPOINT_LOSS),
            (false, false) => victim.worked,
        };
        u64::try_from(worked.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(RESTART_COST_MS)
            .saturating_mul(weight(&victim.resources))
            .saturating_mul(victim.members)
    }

    fn max_loss(&self, step: &UrgentStep) -> u64 {
        let task = step.estimate_ms.saturating_mul(weight(&step.resources));
        let work = task.saturating_mul(step.tasks);
        work.saturating_mul(MAX_LOSS_PERCENT_OF_WORK) / 100
    }

    fn rank(&self, victim: &Victim) -> StopRank {
        (Reverse(victim.priority), self.loss(victim))
    }

    fn may_stop(&self, _: &Victim) -> bool {
        true
    }

    fn explain(&self, _: &Victim) -> String {
        String::new()
    }
}

/// Counts what callers lose: work that is not saved, a missed objective, and former stops.
///
/// Load pattern: urgent gangs one after the other on a fleet that long batch work fills, so
/// that the same runs are stopped several times.
#[derive(Debug)]
pub(super) struct CallerCost {
    /// Duration of a stop.
    pub stop: Duration,
    /// Time that a run needs to resume from its checkpoint, which a stop brings up to date.
    pub restore: Duration,
}

impl CallerCost {
    /// Returns the time at work that a stop loses.
    fn lost_time(&self, victim: &Victim) -> Duration {
        match (victim.is_lasting, victim.has_checkpoints) {
            (true, _) => Duration::ZERO,
            (false, true) => victim.worked.min(self.restore),
            (false, false) => victim.worked,
        }
    }

    /// Returns whether the job ends within its objective only without the stop.
    fn misses_objective(&self, victim: &Victim) -> bool {
        let delay = self.lost_time(victim) + self.stop;
        victim.spare.is_some_and(|spare| spare < delay)
    }
}

impl StopPolicy for CallerCost {
    fn loss(&self, victim: &Victim) -> u64 {
        let lost = u64::try_from(self.lost_time(victim).as_millis()).unwrap_or(u64::MAX);
        let missed = match self.misses_objective(victim) {
            true => victim.estimate_ms.saturating_mul(MISSED_PERCENT_OF_WORK) / 100,
            false => 0,
        };
        lost.saturating_add(RESTART_COST_MS)
            .saturating_add(missed)
            .saturating_mul(weight(&victim.resources))
            .saturating_mul(victim.members)
            .saturating_mul(u64::from(victim.former_stops) + 1)
    }

    fn max_loss(&self, step: &UrgentStep) -> u64 {
        if !step.is_in_time || step.spent.rounds >= MAX_ROUNDS {
            return 0;
        }
        WorkLost.max_loss(step).saturating_sub(step.spent.loss)
    }

    fn rank(&self, victim: &Victim) -> StopRank {
        let is_urgent = victim.priority == 0;
        (Reverse(u32::from(!is_urgent)), self.loss(victim))
    }

    fn may_stop(&self, victim: &Victim) -> bool {
        victim.former_stops < MAX_STOPS_OF_VICTIM
    }

    fn explain(&self, victim: &Victim) -> String {
        let (lost, stops) = (self.lost_time(victim), victim.former_stops);
        let objective = match self.misses_objective(victim) {
            true => ", misses its objective",
            false => "",
        };
        format!("; loses {lost:?}, stopped {stops} times before{objective}")
    }
}

/// Returns how much processors and accelerators count when work is compared.
pub(super) fn weight(resources: &Resources) -> u64 {
    let accelerators = u64::from(resources.accelerators) * ACCELERATOR_CPU_MILLIS;
    resources.cpu_millis.saturating_add(accelerators)
}
