//! Core of the request path, without I/O: routing, limits, retries and claims of
//! idempotency keys.

mod admission;
mod claims;
mod entry;
mod ring;
mod routing;

pub use admission::{AdmissionConfig, AdmissionEffect, AdmissionEvent, AdmissionMachine};
pub use claims::{ClaimConfig, ClaimTable};
pub use entry::{
    AgentView, ClaimOrder, DispatchOrder, EntryConfig, EntryEffect, EntryEvent, EntryMachine,
    EntryStats, Submission, TeamLimits, TransportFailure,
};
pub use ring::{Ring, RingMember};
pub use routing::{
    Candidate, Outcome, PowerOfTwo, RandomChoice, RoundRobin, RouteRequest, RoutingConfig,
    RoutingPolicy,
};
