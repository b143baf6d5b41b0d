//! Accepts rule files by compare-and-set, which any entry can do.

use std::collections::BTreeMap;

use cumindeck_api::{ErrorBody, ErrorReason, Problem, RuleFileName, RulesAccepted};
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_rules::{RuleError, RuleFile};
use cumindeck_types::IdempotencyKey;

use super::evaluation::{event_time, rule_duration};
use super::rows::RuleFileRow;
use super::{AlertsCommit, AlertsCx, AlertsEffect, AlertsRead};
use crate::event::{OperatorCallId, OperatorReply, RowAction, RowCondition, RowWrite};
use crate::operators::error;
use crate::rows::{RowKey, RowRange, RowValue, StoredRow};

/// Maximum number of rule files.
const MAX_FILES: usize = 64;
/// Number of recent changes kept in a row, to find a change whose reply was lost.
const KEPT_CHANGES: usize = 16;
/// Number of times that a write is sent before its outcome is reported as unknown.
const MAX_WRITES: u32 = 5;

/// An operator's change of a rule file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PutRules {
    /// Name of the file that the change creates or replaces.
    pub file: RuleFileName,
    /// Id of the change, by which a repetition is recognised.
    pub change_id: IdempotencyKey,
    /// Text of the file, byte for byte.
    pub text: String,
}

/// A change whose outcome is not known yet.
#[derive(Debug)]
struct Change {
    put: PutRules,
    groups: u32,
    rules: u32,
    /// Row version that the write expects and the new row, once the write was sent.
    sent: Option<(RowVersion, RuleFileRow)>,
    writes_sent: u32,
}

/// Next action for a change.
enum NextAction {
    Reply(OperatorReply),
    Commit(RowVersion, RuleFileRow),
}

/// Changes of rule files whose outcome is not known yet.
#[derive(Debug, Default)]
pub struct RuleFileChanges {
    changes: BTreeMap<OperatorCallId, Change>,
}

impl RuleFileChanges {
    /// Validates a change; returns the reply if it is rejected.
    pub fn put(
        &mut self,
        cx: AlertsCx,
        call: OperatorCallId,
        put: PutRules,
        out: &mut Vec<AlertsEffect>,
    ) -> Option<OperatorReply> {
        let name = put.file.to_string();
        let interval = rule_duration(cx.settings.interval);
        let file = match RuleFile::parse(&name, &put.text, interval) {
            Ok(file) => file,
            Err(err) => return Some(invalid(&err)),
        };
        let rules = file.groups.iter().map(|group| group.rules.len()).sum();
        let change = Change {
            put,
            groups: count(file.groups.len()),
            rules: count(rules),
            sent: None,
            writes_sent: 0,
        };
        self.changes.insert(call, change);
        let read = AlertsRead::Put(call);
        out.push(AlertsEffect::Read(read, vec![RowRange::RuleFiles]));
        None
    }

    /// Handles the rule files read before or after a write; returns the reply once
    /// the outcome of the change is known.
    pub fn on_read(
        &mut self,
        cx: AlertsCx,
        call: OperatorCallId,
        rows: Option<&[StoredRow]>,
        out: &mut Vec<AlertsEffect>,
    ) -> Option<OperatorReply> {
        let change = self.changes.get_mut(&call)?;
        match next_action(cx, change, rows) {
            NextAction::Reply(reply) => {
                self.changes.remove(&call);
                Some(reply)
            }
            NextAction::Commit(version, row) => {
                change.writes_sent += 1;
                change.sent = Some((version, row.clone()));
                let writes = writes(&change.put, version, row);
                out.push(AlertsEffect::Commit(AlertsCommit::Put(call), writes));
                None
            }
        }
    }

    /// Handles the outcome of a write; returns the reply if the outcome is certain.
    pub fn on_commit(
        &mut self,
        call: OperatorCallId,
        outcome: WriteOutcome,
        out: &mut Vec<AlertsEffect>,
    ) -> Option<OperatorReply> {
        if let WriteOutcome::Done(_) = outcome {
            let change = self.changes.remove(&call)?;
            let version = change.sent.as_ref().map_or(1, |(_, row)| row.version);
            return Some(accepted(&change, version));
        }
        // After a lost reply, a conflict may be caused by the first copy of the same
        // write, so both cases are resolved by a read.
        let read = AlertsRead::Put(call);
        out.push(AlertsEffect::Read(read, vec![RowRange::RuleFiles]));
        None
    }
}

fn next_action(cx: AlertsCx, change: &Change, rows: Option<&[StoredRow]>) -> NextAction {
    let Some(rows) = rows else {
        return NextAction::Reply(no_reply(change.sent.is_some()));
    };
    let is_file = |row: &&StoredRow| row.key == RowKey::RuleFile(change.put.file.clone());
    let found = rows.iter().find(is_file);
    let (version, row) = match found.map(|row| (row.version, &row.value)) {
        Some((version, RowValue::RuleFile(row))) => (version, Some(row)),
        _ => (RowVersion::ABSENT, None),
    };
    let id = change.put.change_id.to_string();
    let recorded = row.and_then(|row| row.changes.iter().find(|(_, known)| *known == id));
    if let (Some((recorded, _)), Some(row)) = (recorded, row) {
        let has_other_text = *recorded == row.version && row.text != change.put.text;
        return NextAction::Reply(if has_other_text {
            conflict("the change id was used with another text".to_owned())
        } else {
            accepted(change, *recorded)
        });
    }
    match &change.sent {
        Some((expected, _)) if *expected != version => {
            let newest = row.map_or(0, |row| row.version);
            NextAction::Reply(conflict(format!("version {newest} was accepted first")))
        }
        Some(_) if change.writes_sent >= MAX_WRITES => NextAction::Reply(no_reply(true)),
        // The condition on the row's version makes it safe to send the write again
        // even if the first copy is only delayed.
        Some((expected, row)) => NextAction::Commit(*expected, row.clone()),
        None if row.is_none() && rows.len() >= MAX_FILES => NextAction::Reply(error(
            ErrorReason::Invalid,
            format!("the site has {MAX_FILES} rule files, expected at most {MAX_FILES}"),
            "add the rules to one of the existing files",
        )),
        None => NextAction::Commit(version, new_row(cx, change, row)),
    }
}

fn new_row(cx: AlertsCx, change: &Change, previous: Option<&RuleFileRow>) -> RuleFileRow {
    let version = previous.map_or(0, |row| row.version) + 1;
    let mut changes = previous.map_or_else(Vec::new, |row| row.changes.clone());
    changes.push((version, change.put.change_id.to_string()));
    let excess = changes.len().saturating_sub(KEPT_CHANGES);
    changes.drain(..excess);
    RuleFileRow {
        version,
        changes,
        rules: change.rules,
        accepted_ms: event_time(cx.wall).as_millis(),
        text: change.put.text.clone(),
    }
}

fn writes(put: &PutRules, version: RowVersion, row: RuleFileRow) -> Vec<RowWrite> {
    vec![
        RowWrite {
            key: RowKey::RuleFile(put.file.clone()),
            condition: RowCondition::Version(version),
            action: RowAction::Put(RowValue::RuleFile(row)),
        },
        RowWrite {
            key: RowKey::RulesHead,
            condition: RowCondition::Any,
            action: RowAction::Put(RowValue::RulesHead(put.change_id.to_string())),
        },
    ]
}

fn accepted(change: &Change, version: u64) -> OperatorReply {
    OperatorReply::RulesAccepted(RulesAccepted {
        file: change.put.file.clone(),
        version,
        change_id: change.put.change_id.clone(),
        groups: change.groups,
        rules: change.rules,
    })
}

fn invalid(err: &RuleError) -> OperatorReply {
    let (found, expected) = err.found_and_expected();
    let mut body = ErrorBody::new(
        ErrorReason::Invalid,
        format!("{}:{}: {}", err.file, err.line, err.message),
        err.hint.clone(),
    );
    body.problems = vec![Problem {
        file: err.file.clone(),
        line: count(err.line),
        key: "rule".to_owned(),
        found,
        expected: expected.to_owned(),
        hint: err.hint.clone(),
    }];
    OperatorReply::Error(Box::new(body))
}

fn conflict(message: String) -> OperatorReply {
    error(
        ErrorReason::Conflict,
        message,
        "look at the file with `cumindeck rules status` and apply again with a new change id",
    )
}

fn no_reply(is_sent: bool) -> OperatorReply {
    match is_sent {
        true => error(
            ErrorReason::OutcomeUnknown,
            "the change was sent, but its outcome can't be read back".to_owned(),
            "see `cumindeck rules status --output json`; if change_id is yours, it took effect",
        ),
        false => error(
            ErrorReason::StoreUnavailable,
            "the table service does not answer; nothing was changed".to_owned(),
            "try again when it answers",
        ),
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}
