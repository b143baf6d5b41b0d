//! Safeguards that tests disable, to show that the invariant checks detect their absence.

use std::str::FromStr;

use crate::command::CommandError;

/// A safeguard that a test disables; each variant states the effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Agents treat every lease as valid.
    LeaseCheck,
    /// Rights to start tasks are never withdrawn and don't expire.
    ///
    /// Disabling the expiry alone can't be caught by two failures, since leader
    /// leases, reservations and start orders also expire within 3 s; `specs/zone.pml`
    /// has that variant.
    StartRight,
    /// Members of a gang don't send heartbeats to each other.
    HeartbeatMonitor,
    /// A new leader places work again before the former leases have expired.
    ReassignWait,
    /// Configuration views also apply older versions.
    MonotonicView,
}

impl Safeguard {
    /// All variants.
    pub const ALL: [Self; 5] = [
        Self::LeaseCheck,
        Self::StartRight,
        Self::HeartbeatMonitor,
        Self::ReassignWait,
        Self::MonotonicView,
    ];
}

impl FromStr for Safeguard {
    type Err = CommandError;

    fn from_str(text: &str) -> Result<Self, CommandError> {
        match text {
            "lease-check" => Ok(Self::LeaseCheck),
            "start-right" => Ok(Self::StartRight),
            "watch" => Ok(Self::HeartbeatMonitor),
            "reassign-wait" => Ok(Self::ReassignWait),
            "monotonic-view" => Ok(Self::MonotonicView),
            _ => Err(CommandError::BadArgument {
                line: text.to_owned(),
                expected: "lease-check, start-right, watch, reassign-wait or monotonic-view",
            }),
        }
    }
}
