//! The configuration in force at an entry, and the acceptance of changes.

use std::collections::{BTreeMap, VecDeque};

use cumindeck_api::{
    ConfigAccepted, ConfigBundle, ConfigChange as ChangeBody, Conflict, ErrorBody, ErrorReason,
    Problem,
};
use cumindeck_config::{Bundle, CheckedBundle, ConfigErrors, SiteName, SiteSettings};
use cumindeck_control::config_version::{ChangeEffect, ChangeId, ConfigChange, ConfigView};
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::{ConfigVersion, Region, Uptime};

use crate::alerts::RULES_DUTY;
use crate::event::{OperatorCall, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::operators::error;
use crate::rows::{BundleRow, RowKey, RowRange, RowValue, StoredRow, change_id};

/// What the owner of a [`ConfigState`] does next.
#[derive(Debug)]
pub(crate) enum ConfigEffect {
    /// Commit writes, then call [`ConfigState::on_write`].
    Commit(Vec<RowWrite>),
    /// Read rows, then call [`ConfigState::on_read_back`].
    ReadBack(Vec<RowRange>),
    /// Reply to an operator.
    Reply(OperatorCall, Box<OperatorReply>),
}

/// A change that waits for its outcome.
#[derive(Debug)]
struct Pending {
    call: OperatorCall,
    body: ChangeBody,
    checked: CheckedBundle,
    change: ConfigChange,
    head_row: RowVersion,
    /// Whether a write was sent.
    is_sent: bool,
    /// The version that won; its texts are being read for the reply.
    winner: Option<ConfigVersion>,
}

/// The configuration of one entry.
#[derive(Debug)]
pub(crate) struct ConfigState {
    site: SiteName,
    view: ConfigView,
    /// Version whose texts are in force.
    loaded: ConfigVersion,
    row: Option<BundleRow>,
    settings: Option<SiteSettings>,
    wanted: Option<ConfigVersion>,
    /// A bundle that this entry accepted, until its texts are in force.
    accepted: Option<(ConfigVersion, BundleRow)>,
    pending: Option<Pending>,
    /// Changes that came while another one was pending.
    waiting: VecDeque<(OperatorCall, ChangeBody)>,
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
            wanted: None,
            accepted: None,
            pending: None,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> Option<&SiteSettings> {
        self.settings.as_ref()
    }

    /// Returns the version in force.
    pub const fn version(&self) -> ConfigVersion {
        self.loaded
    }

    /// Tells whether the version in force was confirmed with the store lately.
    pub fn is_confirmed(&self, now: Uptime) -> bool {
        self.view.is_confirmed(now) && self.view.version() == Some(self.loaded)
    }

    /// Takes in the head; returns the version whose texts are to be read.
    pub fn on_head(
        &mut self,
        asked: Uptime,
        (head, _): (ConfigVersion, RowVersion),
    ) -> Option<ConfigVersion> {
        self.view.on_read(asked, head);
        let newest = self.view.version().unwrap_or_default();
        if newest == self.loaded || self.wanted == Some(newest) {
            return None;
        }
        self.wanted = Some(newest);
        self.wanted
    }

    /// Takes in the texts of a version; returns the settings that are now in force.
    pub fn on_bundle(
        &mut self,
        rows: Option<Vec<StoredRow>>,
    ) -> Option<(ConfigVersion, SiteSettings)> {
        self.wanted = None;
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

    /// Returns the accepted bundle.
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
    /// An accepted change is in force only after the next read of the heads,
    /// but its operator reads it back at once.
    fn newest(&self) -> (ConfigVersion, Option<&BundleRow>) {
        match &self.accepted {
            Some((version, row)) if *version > self.loaded => (*version, Some(row)),
            _ => (self.loaded, self.row.as_ref()),
        }
    }

    /// Checks a change and prepares its write.
    ///
    /// A change that isn't based on the known head is decided by a read, because
    /// the heads are read periodically only and may be behind.
    pub fn put(
        &mut self,
        call: OperatorCall,
        body: ChangeBody,
        (head, head_row): (ConfigVersion, RowVersion),
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
        let reserved = |region: &Region| region.as_str() == RULES_DUTY;
        if checked
            .site(&self.site)
            .is_some_and(|site| site.settings.regions.iter().any(reserved))
        {
            return reply(error(
                ErrorReason::Invalid,
                format!("a region is named {RULES_DUTY}, which is the duty of alert rules"),
                "give the region another name",
            ));
        }
        if self.pending.is_some() {
            self.waiting.push_back((call, body));
            return Vec::new();
        }
        let base = body.expected_version;
        let change = ConfigChange::new(base, ChangeId::new(change_id(&body.change_id)));
        let first = if base == head {
            change.commit()
        } else {
            change.on_write(WriteOutcome::Conflict)
        };
        self.pending = Some(Pending {
            call,
            body,
            checked,
            change,
            head_row,
            is_sent: false,
            winner: None,
        });
        self.effects(first)
    }

    /// Takes in the outcome of the write.
    pub fn on_write(&mut self, outcome: WriteOutcome) -> Vec<ConfigEffect> {
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        let effect = pending.change.on_write(outcome);
        self.effects(effect)
    }

    /// Takes in the head and the bundle that are stored after the write.
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
        let (mut head, mut stored) = (ConfigVersion::default(), None);
        pending.head_row = RowVersion::ABSENT;
        for row in &rows {
            match &row.value {
                RowValue::ConfigHead(version) => {
                    head = *version;
                    pending.head_row = row.version;
                }
                RowValue::Bundle(bundle) => stored = Some(ChangeId::new(bundle.change.clone())),
                _ => {}
            }
        }
        let effect = pending.change.on_read_back(head, stored.as_ref());
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

    /// Replies to the pending change and turns to the next one.
    fn finish(&mut self, reply: OperatorReply) -> Vec<ConfigEffect> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        let mut effects = vec![ConfigEffect::Reply(pending.call, Box::new(reply))];
        while self.pending.is_none()
            && let Some((call, body)) = self.waiting.pop_front()
        {
            // The known head is older than the change that has just ended.
            let head = (ConfigVersion::default(), RowVersion::ABSENT);
            effects.extend(self.put(call, body, head));
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

/// Makes the reply to the loser of a race, with the keys that differ from the winner.
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

fn writes(pending: &Pending, version: ConfigVersion, change: &ChangeId) -> Vec<RowWrite> {
    let bundle = bundle_row(pending, change.as_str().to_owned());
    vec![
        RowWrite {
            key: RowKey::ConfigHead,
            condition: RowCondition::Version(pending.head_row),
            action: RowAction::Put(RowValue::ConfigHead(version)),
        },
        RowWrite {
            key: RowKey::Bundle(version),
            condition: RowCondition::Version(RowVersion::ABSENT),
            action: RowAction::Put(RowValue::Bundle(bundle)),
        },
    ]
}

fn bundle_row(pending: &Pending, change: String) -> BundleRow {
    BundleRow {
        change,
        base: pending.body.base.clone(),
        overlays: pending.body.overlays.clone(),
    }
}

/// Checks the texts of a bundle together.
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
        "the bundle has faults; nothing was changed".to_owned(),
        "correct the lines that are named and check them with `cumindeck config check`".to_owned(),
    );
    body.problems = errors.as_slice().iter().map(problem).collect();
    OperatorReply::Error(Box::new(body))
}
