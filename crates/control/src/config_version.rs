//! Configuration versions: a monotonic view and acceptance by compare-and-set.

use std::time::Duration;

use cumindeck_types::{ConfigVersion, Uptime};

use crate::store::WriteOutcome;

/// Validity period of a confirmation, which a newly started agent requires.
pub const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(5);

/// The newest accepted configuration version that a process knows.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    version: Option<ConfigVersion>,
    confirmed: Option<Uptime>,
}

impl ConfigView {
    /// Handles the current version from a read that the process sent at `sent_at` (entry).
    ///
    /// Returns the version to load if it is new.
    pub fn on_read(&mut self, sent_at: Uptime, head: ConfigVersion) -> Option<ConfigVersion> {
        if self.version.is_some_and(|known| head < known) {
            // A reply that arrives out of order confirms nothing.
            return None;
        }
        self.confirmed = self.confirmed.max(Some(sent_at));
        self.advance(head)
    }

    /// Handles the version from an entry's reply to an announcement
    /// sent at `sent_at` (agent).
    pub fn on_reply(
        &mut self,
        sent_at: Uptime,
        version: ConfigVersion,
        is_confirmed: bool,
    ) -> Option<ConfigVersion> {
        if is_confirmed {
            return self.on_read(sent_at, version);
        }
        // A newly started instance trusts only confirmed versions.
        self.version?;
        self.advance(version)
    }

    /// Returns the version in effect; `None` until a read was confirmed.
    #[must_use]
    pub const fn version(&self) -> Option<ConfigVersion> {
        self.version
    }

    /// Returns whether the process has received a confirmed version and may serve.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.version.is_some()
    }

    /// Returns whether the view was confirmed with the store less than 5 s ago.
    #[must_use]
    pub fn is_confirmed(&self, now: Uptime) -> bool {
        self.confirmed
            .is_some_and(|at| now < at.plus(CONFIRMATION_VALIDITY))
    }

    fn advance(&mut self, version: ConfigVersion) -> Option<ConfigVersion> {
        if self.version.is_some_and(|known| version <= known) {
            return None;
        }
        self.version = Some(version);
        Some(version)
    }
}

/// Identifies one operator's change, so that a lost reply can be resolved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeId(String);

impl ChangeId {
    /// Wraps a string that no other change uses, such as a UUID.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Returns the id as a string.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// An action that the owner of a [`ConfigChange`] carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeEffect {
    /// Write `config/head` and the bundle in one transaction if the
    /// head has the base version.
    Commit {
        /// The version that the head must have.
        base: ConfigVersion,
        /// The version that the change creates, the one after `base`.
        version: ConfigVersion,
        /// The change's id, stored in the bundle's row.
        change: ChangeId,
    },
    /// Read the head and the change id of `bundle/{version}`.
    ReadBack {
        /// The version that the change would have.
        version: ConfigVersion,
    },
    /// The change is accepted.
    Accepted(ConfigVersion),
    /// Another change was accepted first; nothing of this one is applied.
    Rejected {
        /// The current version, which is newer than the base of the rejected change.
        winner: ConfigVersion,
    },
}

/// The acceptance of one operator's change.
#[derive(Debug, Clone)]
pub struct ConfigChange {
    base: ConfigVersion,
    change: ChangeId,
}

impl ConfigChange {
    /// Creates a change that was validated against the version `base`.
    #[must_use]
    pub const fn new(base: ConfigVersion, change: ChangeId) -> Self {
        Self { base, change }
    }

    /// Returns the write that applies the change.
    #[must_use]
    pub fn commit(&self) -> ChangeEffect {
        ChangeEffect::Commit {
            base: self.base,
            version: self.base.next(),
            change: self.change.clone(),
        }
    }

    /// Handles the outcome of the write.
    #[must_use]
    pub const fn on_write(&self, outcome: WriteOutcome) -> ChangeEffect {
        match outcome {
            WriteOutcome::Done(_) => ChangeEffect::Accepted(self.base.next()),
            WriteOutcome::Conflict | WriteOutcome::Unknown => ChangeEffect::ReadBack {
                version: self.base.next(),
            },
        }
    }

    /// Handles the current version and the change id stored under the wanted version.
    ///
    /// The current version alone is not conclusive: a later change may
    /// already follow this one.
    #[must_use]
    pub fn on_read_back(&self, head: ConfigVersion, stored: Option<&ChangeId>) -> ChangeEffect {
        if stored == Some(&self.change) {
            return ChangeEffect::Accepted(self.base.next());
        }
        if head <= self.base {
            return self.commit();
        }
        ChangeEffect::Rejected { winner: head }
    }
}
