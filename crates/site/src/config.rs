//! The configuration in force at an entry, and the acceptance of changes.

use std::collections::BTreeMap;

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
    pending: Option<Pending>,
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
            pending: None,
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
        let row = self.row.as_ref();
        OperatorReply::Config(ConfigBundle {
            version: self.loaded,
            change_id: row.and_then(|row| row.change.parse().ok()),
            base: row.map(|row| row.base.clone()).unwrap_or_default(),
            overlays: row.map(|row| row.overlays.clone()).unwrap_or_default(),
        })
    }

    /// Checks a change and prepares its write.
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
        if self.pending.is_some() || body.expected_version != head {
            return reply(self.conflict(head, &checked));
        }
        let change = ConfigChange::new(head, ChangeId::new(change_id(&body.change_id)));
        let commit = change.commit();
        self.pending = Some(Pending {
            call,
            body,
            checked,
            change,
            head_row,
        });
        self.effects(commit)
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
        let Some(rows) = rows else {
            let reply = error(
                ErrorReason::OutcomeUnknown,
                "the change was sent, but its outcome can't be read back".to_owned(),
                "read the accepted bundle with `cumindeck config show`; \
                 if its change_id is yours, the change took effect",
            );
            let call = pending.call;
            self.pending = None;
            return vec![ConfigEffect::Reply(call, Box::new(reply))];
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
        let Some(pending) = &self.pending else {
            return Vec::new();
        };
        match effect {
            ChangeEffect::Commit {
                version, change, ..
            } => {
                vec![ConfigEffect::Commit(writes(pending, version, &change))]
            }
            ChangeEffect::ReadBack { version } => vec![ConfigEffect::ReadBack(vec![
                RowRange::Row(RowKey::ConfigHead),
                RowRange::Row(RowKey::Bundle(version)),
            ])],
            ChangeEffect::Accepted(version) => {
                let accepted = ConfigAccepted {
                    version,
                    change_id: pending.body.change_id.clone(),
                };
                self.finish(OperatorReply::ConfigAccepted(accepted))
            }
            ChangeEffect::Rejected { winner } => {
                let reply = self.conflict(winner, &pending.checked);
                self.finish(reply)
            }
        }
    }

    fn finish(&mut self, reply: OperatorReply) -> Vec<ConfigEffect> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        vec![ConfigEffect::Reply(pending.call, Box::new(reply))]
    }

    /// Makes the reply to the loser of a race, with the keys that differ.
    fn conflict(&self, version: ConfigVersion, refused: &CheckedBundle) -> OperatorReply {
        let in_force = self
            .row
            .as_ref()
            .and_then(|row| check(row.base.clone(), &row.overlays).ok());
        let keys = in_force.map_or_else(Vec::new, |accepted| {
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
}

fn writes(pending: &Pending, version: ConfigVersion, change: &ChangeId) -> Vec<RowWrite> {
    let bundle = BundleRow {
        change: change.as_str().to_owned(),
        base: pending.body.base.clone(),
        overlays: pending.body.overlays.clone(),
    };
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
