//! Decides which connections and requests a process has memory for.
//!
//! Load answered: many connections that stop short of the end of a request or that never
//! read their answers. Nothing here does input or output; the tasks that own the sockets
//! report to the budget and carry its decisions out.

mod body;
mod budget;
mod limits;

pub use body::{BodyBuffer, BodyError, BodyStep, BodyTimer};
pub use budget::{Admission, Budget, Claim, Client, ConnectionId, Phase};
pub use limits::{IngressLimits, LimitsError};
