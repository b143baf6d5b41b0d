//! Loads the table `rules` after a takeover or after a rule file has changed.

use cumindeck_config::RuleSettings;
use cumindeck_control::store::RowVersion;
use cumindeck_rules::{EventTime, RuleFile};

use super::evaluation::rule_duration;
use super::rows::{RulesStateRow, TransitionRow};
use super::{AlertNotice, AlertsEffect};
use crate::rows::{RowKey, RowValue, StoredRow};

/// Contents of the table `rules`.
#[derive(Debug, Default)]
pub(crate) struct Loaded {
    /// Version of the row that changes with each accepted file.
    pub rules_version: RowVersion,
    pub files: Vec<RuleFile>,
    /// When the stored version of each file was accepted.
    pub starts: Vec<(String, EventTime)>,
    /// Stored state of the evaluation and its row version; `None` if none is stored.
    pub state: Option<(RowVersion, RulesStateRow)>,
    /// Durable transitions that are not known to be emitted.
    pub unemitted: Vec<TransitionRow>,
}

impl Loaded {
    /// Decodes the rows; a file that this version of the software cannot evaluate is
    /// reported and skipped.
    pub fn new(settings: RuleSettings, rows: Vec<StoredRow>, out: &mut Vec<AlertsEffect>) -> Self {
        let mut loaded = Self::default();
        let mut transitions = Vec::new();
        for row in rows {
            match (row.key, row.value) {
                (RowKey::RulesHead, _) => loaded.rules_version = row.version,
                (RowKey::RuleFile(name), RowValue::RuleFile(file)) => {
                    let name = name.to_string();
                    let interval = rule_duration(settings.interval);
                    match RuleFile::parse(&name, &file.text, interval) {
                        Ok(parsed) => loaded.files.push(parsed),
                        Err(err) => out.push(AlertsEffect::Notice(AlertNotice::FileRefused {
                            file: name.clone(),
                            error: err.to_string(),
                        })),
                    }
                    let accepted = EventTime::from_millis(file.accepted_ms);
                    loaded.starts.push((name, accepted));
                }
                (RowKey::RulesState, RowValue::RulesState(state)) => {
                    loaded.state = Some((row.version, *state));
                }
                (RowKey::Transitions(_), RowValue::Transitions(batch)) => {
                    transitions.extend(batch.transitions);
                }
                _ => {}
            }
        }
        let emitted = loaded.state.as_ref().map_or(0, |(_, state)| state.emitted);
        transitions.retain(|transition| transition.number >= emitted);
        transitions.sort_by_key(|transition| transition.number);
        loaded.unemitted = transitions;
        loaded
    }
}
