//! Guarantee accounting and placement decisions, without I/O.
//!
//! [`Placement`] is the state machine of one region. Its owner passes each [`Event`]
//! with the current [`Uptime`](cumindeck_types::Uptime) to [`Placement::step`], carries
//! out the returned [`Effect`]s in order, and passes [`Event::Tick`] at
//! [`Placement::next_wakeup`].
//!
//! # Capacity
//!
//! [`CellSizes`] defines the cells of a region: a worker cell is an aligned block
//! of 8 accelerators on one worker by default, a rack cell is 3 worker cells of
//! one rack; a half, a quarter and a single cell have 4, 2 and 1 accelerators.
//! Smaller workers supply smaller cells only. A rack with 6 whole workers
//! supplies two rack cells, a rack with 2 none.
//!
//! Each cell of a team's guarantee is unbound or bound to accelerators. Work within
//! the guarantee runs in bound cells. A cell is bound only where all unbound cells of
//! all teams still fit, at the same time, into the accelerators of serving workers
//! that no cell is bound to. Borrowed work may run anywhere and is not part of this
//! count, because it can be preempted.
//!
//! # Attempts
//!
//! [`Effect::Start`] asks the owner to record the attempt, then reserve and start the
//! gang. The owner responds with [`Event::GangRunning`], or with [`Event::StartFailed`]
//! if no task ran. Each task that has certainly ended is reported with
//! [`Event::TaskEnded`]; when the lease of a worker has expired,
//! [`Event::WorkerLeaseExpired`] ends all tasks there. Only these events free
//! accelerators. To preempt a gang, the state machine emits [`Effect::Checkpoint`] and,
//! 2 s later, [`Effect::Stop`]. A task that failed or stopped leads to a `Stop` for the
//! rest of its gang; after its last task has ended, the job is requeued or has ended.
//!
//! An urgent job that does not fit now, but would fit its team's guarantee beside the
//! team's other urgent work, preempts non-urgent gangs of its team in the same way.
//! These gangs are removed from the guarantee immediately and are always stopped, because
//! the owner's records still list them as guaranteed.
//!
//! # Takeover
//!
//! A new owner creates a new state machine and passes one batch to
//! [`Placement::step_batch`]: all workers, zones out of service and teams, then one
//! [`Event::Restore`] for each job in the order of submission, with the
//! placement of the attempt that may still run. Decisions are made after the
//! batch. A worker stays in the records until its lease has expired: a restored
//! task on an unknown worker counts as ended.
//!
//! # Changes of guarantees
//!
//! [`Event::TeamSet`] is applied without a check, since the records are authoritative.
//! [`State::check_guarantee`] must be called before a change is accepted.

mod accelerators;
mod admission;
mod baseline;
mod borrow;
mod cells;
mod cluster;
mod event;
mod health;
mod job;
mod machine;
mod pick;
mod policy;
mod restore;
mod review;
mod runs;
mod schedule;
mod state;
mod stops;
mod supply;
mod team;
mod urgent;
mod why;

pub use accelerators::{AcceleratorSet, MAX_ACCELERATORS};
pub use baseline::{CountQuotas, FirstFit};
pub use cells::GuaranteedCells;
pub use cluster::{WorkerHealth, WorkerSpec};
pub use event::{
    Effect, Event, JobOutcome, JobRecord, Refusal, RefusalReason, RunRecord, Shortage, StopReason,
    TaskPlacement,
};
pub use job::{GangShape, JobSpec, MAX_TASKS, TaskOutcome, TaskSize, TaskSizeError};
pub use machine::{Placement, Settings};
pub use policy::{
    AgedReservation, PlacementPolicy, PlacementRequest, Plan, PreemptedGangs, ReservedPlaces,
};
pub use state::{GangView, State, WorkerView};
pub use supply::CellSizes;
pub use team::CellRef;
pub use why::{InsufficientCapacity, PlacementStatus};
