//! Variants in which one guard is left out, which the checks must catch.

use std::str::FromStr;

use crate::command::CommandError;

/// The guard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Agents treat every lease as live.
    LeaseCheck,
    /// Agents treat start rights as live for an hour.
    StartRightExpiry,
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
        Self::StartRightExpiry,
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
            "start-right-expiry" => Ok(Self::StartRightExpiry),
            "watch" => Ok(Self::Watch),
            "reassign-wait" => Ok(Self::ReassignWait),
            "monotonic-view" => Ok(Self::MonotonicView),
            _ => Err(CommandError::BadArgument {
                line: text.to_owned(),
                expected: "lease-check, start-right-expiry, watch, reassign-wait or monotonic-view",
            }),
        }
    }
}
