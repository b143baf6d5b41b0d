//! What the stop of a run costs, and how much an urgent step may have lost.

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

/// A run or a gang that could be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Victim {
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
}

/// Weighs the stops of runs against the urgent work that they make room for.
pub(super) trait StopPolicy: Debug + Send {
    /// Returns what the stop of a run loses, as weighted processor-milliseconds.
    fn loss(&self, victim: &Victim) -> u64;

    /// Returns what may be lost for an urgent step beyond its team's guarantee.
    fn max_loss(&self, step: &UrgentStep) -> u64;
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
}

/// Returns how much processors and accelerators count when work is compared.
pub(super) fn weight(resources: &Resources) -> u64 {
    let accelerators = u64::from(resources.accelerators) * ACCELERATOR_CPU_MILLIS;
    resources.cpu_millis.saturating_add(accelerators)
}
