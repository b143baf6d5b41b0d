//! Core of the request path, without I/O: routing, limits, retries and claims of
//! idempotency keys.

mod claims;
mod entry;
mod gate;
mod ring;
mod routing;

pub use claims::{ClaimConfig, ClaimTable};
pub use entry::{
    AgentView, ClaimOrder, DispatchOrder, EntryConfig, EntryEffect, EntryEvent, EntryMachine,
    EntryStats, Submission, TeamLimits, TransportFailure,
};
pub use gate::{GateConfig, GateEffect, GateEvent, GateMachine};
pub use ring::{Ring, RingMember};
pub use routing::{
    Candidate, Outcome, PowerOfTwo, RandomChoice, RoundRobin, RouteRequest, RoutingConfig,
    RoutingPolicy,
};
