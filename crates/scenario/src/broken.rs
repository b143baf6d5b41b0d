//! Variants in which one guard is left out, which the checks must catch.

use std::str::FromStr;

use crate::command::CommandError;

/// The guard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Agents treat every lease as live.
    LeaseCheck,
    /// Rights to start are never withdrawn and don't expire.
    ///
    /// Expiry alone isn't reached by two failures, since duties, reservations and
    /// `go` end within 3 s as well; `specs/zone.pml` has that variant.
    StartRight,
    /// Members of a gang don't watch each other.
    Watch,
    /// A duty holder doesn't wait for leases before it places work again.
    ReassignWait,
    /// Views take any configuration version.
    MonotonicView,
}

impl Broken {
    /// All variants.
    pub const ALL: [Self; 5] = [
        Self::LeaseCheck,
        Self::StartRight,
        Self::Watch,
        Self::ReassignWait,
        Self::MonotonicView,
    ];
}

impl FromStr for Broken {
    type Err = CommandError;

    fn from_str(text: &str) -> Result<Self, CommandError> {
        match text {
            "lease-check" => Ok(Self::LeaseCheck),
            "start-right" => Ok(Self::StartRight),
            "watch" => Ok(Self::Watch),
            "reassign-wait" => Ok(Self::ReassignWait),
            "monotonic-view" => Ok(Self::MonotonicView),
            _ => Err(CommandError::BadArgument {
                line: text.to_owned(),
                expected: "lease-check, start-right, watch, reassign-wait or monotonic-view",
            }),
        }
    }
}
