//! The configuration in force at an entry, and the writes that accept a new version.

use std::collections::{BTreeMap, VecDeque};

use cumindeck_api::{
    ConfigAccepted, ConfigBundle, ConfigChange as ChangeBody, Conflict, ErrorBody, ErrorReason,
    Problem,
};
use cumindeck_config::{Bundle, CheckedBundle, ConfigErrors, SiteName, SiteSettings};
use cumindeck_control::config_version::{ChangeEffect, ChangeId, ConfigChange, ConfigView};
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::{ConfigVersion, Region, Uptime};

use crate::alerts::RULES_LEADERSHIP;
use crate::event::{OperatorCallId, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::operators::error;
use crate::rows::{BundleRow, RowKey, RowRange, RowValue, StoredRow, change_id};

/// An action that the owner of a [`ConfigState`] performs.
#[derive(Debug)]
pub(crate) enum ConfigEffect {
    /// Commit writes, then call [`ConfigState::on_write`].
    Commit(Vec<RowWrite>),
    /// Read rows, then call [`ConfigState::on_read_back`].
    ReadBack(Vec<RowRange>),
    /// Reply to an operator.
    Reply(OperatorCallId, Box<OperatorReply>),
}

/// A change whose outcome is not known yet.
#[derive(Debug)]
struct PendingChange {
    call: OperatorCallId,
    body: ChangeBody,
    checked: CheckedBundle,
    change: ConfigChange,
    current_row: RowVersion,
    /// Whether a write was sent, so that the change may take effect.
    is_sent: bool,
    /// Version that was accepted instead; its texts are being read for the reply.
    winner: Option<ConfigVersion>,
}

/// State of the configuration at one entry.
#[derive(Debug)]
pub(crate) struct ConfigState {
    site: SiteName,
    view: ConfigView,
    /// Version whose texts are in force.
    loaded: ConfigVersion,
    row: Option<BundleRow>,
    settings: Option<SiteSettings>,
    loading: Option<ConfigVersion>,
    /// Bundle that was accepted through this entry, until its texts are in force.
    accepted: Option<(ConfigVersion, BundleRow)>,
    pending: Option<PendingChange>,
    /// Changes that arrived while another one was pending.
    queued: VecDeque<(OperatorCallId, ChangeBody)>,
}

impl ConfigState {
    /// Starts without a configuration.
    pub fn new(site: SiteName) -> Self {
        Self {
            site,
            view: ConfigView::default(),
            loaded: ConfigVersion::default(),
            row: None,
            settings: None,
            loading: None,
            accepted: None,
            pending: None,
            queued: VecDeque::new(),
        }
    }

    pub const fn settings(&self) -> Option<&SiteSettings> {
        self.settings.as_ref()
    }

    /// Returns the version in force.
    pub const fn version(&self) -> ConfigVersion {
        self.loaded
    }

    /// Returns whether a recent read of the table service confirmed the version in force.
    pub fn is_confirmed(&self, now: Uptime) -> bool {
        self.view.is_confirmed(now) && self.view.version() == Some(self.loaded)
    }

    /// Handles the current version; returns the version whose texts are to be read.
    pub fn on_current_version(
        &mut self,
        sent_at: Uptime,
        (current, _): (ConfigVersion, RowVersion),
    ) -> Option<ConfigVersion> {
        self.view.on_read(sent_at, current);
        let newest = self.view.version().unwrap_or_default();
        if newest == self.loaded || self.loading == Some(newest) {
            return None;
        }
        self.loading = Some(newest);
        self.loading
    }

    /// Applies the texts of a version; returns the settings that are now in force.
    pub fn on_bundle(
        &mut self,
        rows: Option<Vec<StoredRow>>,
    ) -> Option<(ConfigVersion, SiteSettings)> {
        self.loading = None;
        let (version, row) = rows?
            .into_iter()
            .find_map(|row| match (row.key, row.value) {
                (RowKey::Bundle(version), RowValue::Bundle(bundle)) => Some((version, bundle)),
                _ => None,
            })?;
        if version <= self.loaded {
            return None;
        }
        let checked = check(row.base.clone(), &row.overlays).ok()?;
        let settings = checked.site(&self.site)?.settings.clone();
        self.loaded = version;
        self.row = Some(row);
        self.settings = Some(settings.clone());
        Some((version, settings))
    }

    /// Returns the newest accepted bundle.
    pub fn bundle(&self) -> OperatorReply {
        let (version, row) = self.newest();
        OperatorReply::Config(ConfigBundle {
            version,
            change_id: row.and_then(|row| row.change.parse().ok()),
            base: row.map(|row| row.base.clone()).unwrap_or_default(),
            overlays: row.map(|row| row.overlays.clone()).unwrap_or_default(),
        })
    }

    /// Returns the newest bundle that this entry knows to be accepted.
    ///
    /// An accepted change is in force only after the next read of the polled rows, but
    /// operators can read it back immediately.
    fn newest(&self) -> (ConfigVersion, Option<&BundleRow>) {
        match &self.accepted {
            Some((version, row)) if *version > self.loaded => (*version, Some(row)),
            _ => (self.loaded, self.row.as_ref()),
        }
    }

    /// Validates a change and prepares its write.
    ///
    /// A change that is not based on the known version is decided by a read, because
    /// that version is polled and may be out of date.
    pub fn put(
        &mut self,
        call: OperatorCallId,
        body: ChangeBody,
        (current, current_row): (ConfigVersion, RowVersion),
    ) -> Vec<ConfigEffect> {
        let reply = |reply| vec![ConfigEffect::Reply(call, Box::new(reply))];
        let checked = match check(body.base.clone(), &body.overlays) {
            Ok(checked) => checked,
            Err(errors) => return reply(invalid(&errors)),
        };
        if checked.site(&self.site).is_none() {
            return reply(error(
                ErrorReason::Invalid,
                format!("the change has no overlay for this site, {}", self.site),
                "add an overlay for each site, even an empty one",
            ));
        }
        let reserved = |region: &Region| region.as_str() == RULES_LEADERSHIP;
        if checked
            .site(&self.site)
            .is_some_and(|site| site.settings.regions.iter().any(reserved))
        {
            return reply(error(
                ErrorReason::Invalid,
                format!("a region is named {RULES_LEADERSHIP}, which is reserved for alert rules"),
                "give the region another name",
            ));
        }
        if self.pending.is_some() {
            self.queued.push_back((call, body));
            return Vec::new();
        }
        let base = body.expected_version;
        let change = ConfigChange::new(base, ChangeId::new(change_id(&body.change_id)));
        let first = if base == current {
            change.commit()
        } else {
            change.on_write(WriteOutcome::Conflict)
        };
        self.pending = Some(PendingChange {
            call,
            body,
            checked,
            change,
            current_row,
            is_sent: false,
            winner: None,
        });
        self.effects(first)
    }

    /// Handles the outcome of the write.
    pub fn on_write(&mut self, outcome: WriteOutcome) -> Vec<ConfigEffect> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        let effect = pending.change.on_write(outcome);
        self.effects(effect)
    }

    /// Handles the current version and the bundle that were read back after the write.
    pub fn on_read_back(&mut self, rows: Option<Vec<StoredRow>>) -> Vec<ConfigEffect> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        if let Some(winner) = pending.winner {
            let bundle = rows.into_iter().flatten().find_map(bundle_of);
            let reply = conflict(winner, bundle.as_ref(), &pending.checked);
            return self.finish(reply);
        }
        let Some(rows) = rows else {
            if !pending.is_sent {
                let reply = error(
                    ErrorReason::StoreUnavailable,
                    "the table service does not answer; nothing was written".to_owned(),
                    "try again when `cumindeck status` shows the store as up",
                );
                return self.finish(reply);
            }
            let reply = error(
                ErrorReason::OutcomeUnknown,
                "the change was sent, but its outcome can't be read back".to_owned(),
                "read the accepted bundle with `cumindeck config show`; \
                 if its change_id is yours, the change took effect",
            );
            return self.finish(reply);
        };
        let (mut current, mut stored) = (ConfigVersion::default(), None);
        pending.current_row = RowVersion::ABSENT;
        for row in &rows {
            match &row.value {
                RowValue::ConfigHead(version) => {
                    current = *version;
                    pending.current_row = row.version;
                }
                RowValue::Bundle(bundle) => stored = Some(ChangeId::new(bundle.change.clone())),
                _ => {}
            }
        }
        let effect = pending.change.on_read_back(current, stored.as_ref());
        self.effects(effect)
    }

    fn effects(&mut self, effect: ChangeEffect) -> Vec<ConfigEffect> {
        let Some(pending) = &mut self.pending else {
            return Vec::new();
        };
        match effect {
            ChangeEffect::Commit {
                version, change, ..
            } => {
                pending.is_sent = true;
                vec![ConfigEffect::Commit(writes(pending, version, &change))]
            }
            ChangeEffect::ReadBack { version } => vec![read_back(version)],
            ChangeEffect::Accepted(version) => {
                let row = bundle_row(pending, pending.body.change_id.to_string());
                self.accepted = Some((version, row));
                let accepted = ConfigAccepted {
                    version,
                    change_id: pending.body.change_id.clone(),
                };
                self.finish(OperatorReply::ConfigAccepted(accepted))
            }
            ChangeEffect::Rejected { winner } => {
                pending.winner = Some(winner);
                vec![read_back(winner)]
            }
        }
    }

    /// Replies to the pending change and starts the next one.
    fn finish(&mut self, reply: OperatorReply) -> Vec<ConfigEffect> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        let mut effects = vec![ConfigEffect::Reply(pending.call, Box::new(reply))];
        while self.pending.is_none()
            && let Some((call, body)) = self.queued.pop_front()
        {
            // The known version predates the change that has just ended, so the next
            // change is decided by a read.
            let current = (ConfigVersion::default(), RowVersion::ABSENT);
            effects.extend(self.put(call, body, current));
        }
        effects
    }
}

fn read_back(version: ConfigVersion) -> ConfigEffect {
    ConfigEffect::ReadBack(vec![
        RowRange::Row(RowKey::ConfigHead),
        RowRange::Row(RowKey::Bundle(version)),
    ])
}

fn bundle_of(row: StoredRow) -> Option<BundleRow> {
    match row.value {
        RowValue::Bundle(bundle) => Some(bundle),
        _ => None,
    }
}

/// Returns the reply to a change that lost a race, with the keys that differ.
fn conflict(
    version: ConfigVersion,
    winner: Option<&BundleRow>,
    refused: &CheckedBundle,
) -> OperatorReply {
    let accepted = winner.and_then(|row| check(row.base.clone(), &row.overlays).ok());
    let keys = accepted.map_or_else(Vec::new, |accepted| {
        let changes = accepted.diff(refused);
        changes
            .iter()
            .map(|change| format!("{}: {}", change.site, change.path))
            .collect()
    });
    let mut body = ErrorBody::new(
        ErrorReason::Conflict,
        format!("version {version} is accepted; the change was based on another version"),
        "read the accepted bundle with `cumindeck config show`, \
         apply the change to it and try again"
            .to_owned(),
    );
    body.conflict = Some(Conflict { version, keys });
    OperatorReply::Error(Box::new(body))
}

fn writes(pending: &PendingChange, version: ConfigVersion, change: &ChangeId) -> Vec<RowWrite> {
    let bundle = bundle_row(pending, change.as_str().to_owned());
    vec![
        RowWrite {
            key: RowKey::ConfigHead,
            condition: RowCondition::Version(pending.current_row),
            action: RowAction::Put(RowValue::ConfigHead(version)),
        },
        RowWrite {
            key: RowKey::Bundle(version),
            condition: RowCondition::Version(RowVersion::ABSENT),
            action: RowAction::Put(RowValue::Bundle(bundle)),
        },
    ]
}

fn bundle_row(pending: &PendingChange, change: String) -> BundleRow {
    BundleRow {
        change,
        base: pending.body.base.clone(),
        overlays: pending.body.overlays.clone(),
    }
}

/// Validates the texts of a bundle together.
fn check(base: String, overlays: &BTreeMap<String, String>) -> Result<CheckedBundle, ConfigErrors> {
    let mut checked = BTreeMap::new();
    for (site, text) in overlays {
        let name: SiteName = site.parse().map_err(|err: cumindeck_config::ValueError| {
            ConfigErrors::from(cumindeck_config::ConfigError {
                file: format!("{site}.ini"),
                line: 0,
                key: "site".to_owned(),
                found: site.clone(),
                expected: err.to_string(),
                hint: "rename the overlay".to_owned(),
            })
        })?;
        checked.insert(name, text.clone());
    }
    CheckedBundle::try_from(Bundle::from_texts(base, checked))
}

fn invalid(errors: &ConfigErrors) -> OperatorReply {
    let problem = |err: &cumindeck_config::ConfigError| Problem {
        file: err.file.clone(),
        line: err.line,
        key: err.key.clone(),
        found: err.found.clone(),
        expected: err.expected.clone(),
        hint: err.hint.clone(),
    };
    let mut body = ErrorBody::new(
        ErrorReason::Invalid,
        "the bundle has errors; nothing was changed".to_owned(),
        "correct the reported lines and check them with `cumindeck config check`".to_owned(),
    );
    body.problems = errors.as_slice().iter().map(problem).collect();
    OperatorReply::Error(Box::new(body))
}
