//! Leadership of rule evaluation: the leader lease and, while this entry holds it, the
//! evaluation of alert rules; also the acceptance of rule files, which needs no lease.

mod accept;
mod evaluation;
mod event;
mod load;
mod rows;
mod running;
mod site;
mod status;
mod watermark;

use std::time::Duration;

use cumindeck_control::leader::{Leader, LeaderEffect, LeaderLease};
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::{FencingToken, Region, Uptime};

use crate::leader_rows::{check_token, find_leader_lease, leader_lease_writes};
use crate::rows::{RowKey, RowRange, RowValue, StoredRow};

pub use accept::{PutRules, RuleFileChanges};
pub use event::{
    AlertNotice, AlertsCommit, AlertsCx, AlertsEffect, AlertsRead, UsageReport, UsageSample,
};
use load::Loaded;
pub use rows::{RuleFileRow, RulesStateRow, TransitionBatchRow, TransitionRow};
use running::{Progress, Running};
pub(crate) use status::rules_status;

/// Name of the leadership in the tables `duties` and `tokens`; no region may have it.
pub(crate) const RULES_LEADERSHIP: &str = "rules";
/// Delay between two attempts to load the rules.
const LOAD_RETRY: Duration = Duration::from_secs(1);

/// Whether this entry leads rule evaluation and has loaded the rules.
#[derive(Debug)]
enum Stage {
    /// This entry is not the leader.
    Idle,
    /// The rule files and the state are being read.
    Loading { is_reading: bool, retry_at: Uptime },
    /// Rules are evaluated.
    Running {
        /// Version of the row [`RowKey::RulesHead`] when the rules were loaded.
        rules_version: RowVersion,
        running: Box<Running>,
    },
}

/// State of the leadership of rule evaluation at one entry.
#[derive(Debug)]
pub struct AlertsLeadership {
    name: Region,
    writer_id: String,
    leader_lease: LeaderLease,
    token_row: Option<(RowVersion, FencingToken)>,
    /// Newest known version of the row [`RowKey::RulesHead`].
    rules_version: RowVersion,
    stage: Stage,
    /// Number of the last load of the rules; replies for an earlier one are ignored.
    generation: u64,
    /// Number after the last transition that this process emitted.
    emitted: u64,
    is_behind: bool,
}

impl AlertsLeadership {
    /// Creates the state of an entry that is not the leader yet.
    ///
    /// # Panics
    ///
    /// Never: the name of the leadership is a valid id.
    #[must_use]
    pub fn new(this_process: Leader) -> Self {
        Self {
            name: RULES_LEADERSHIP.parse().expect("a valid id"),
            writer_id: format!("{}:{}", this_process.entry, this_process.incarnation),
            leader_lease: LeaderLease::new(this_process, Duration::ZERO),
            token_row: None,
            rules_version: RowVersion::ABSENT,
            stage: Stage::Idle,
            generation: 0,
            emitted: 0,
            is_behind: false,
        }
    }

    /// Returns the leader lease.
    #[must_use]
    pub const fn leader_lease(&self) -> &LeaderLease {
        &self.leader_lease
    }

    /// Returns whether the last step left a backlog that must be processed immediately.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Updates the leader lease, its token and the version of the row that changes with
    /// each accepted rule file.
    pub fn on_polled_rows(&mut self, now: Uptime, rows: &[StoredRow], out: &mut Vec<AlertsEffect>) {
        for row in rows {
            match (&row.key, &row.value) {
                (RowKey::Token(name), RowValue::Token(token)) if *name == self.name => {
                    self.update_token(row.version, *token);
                }
                (RowKey::RulesHead, _) => self.rules_version = self.rules_version.max(row.version),
                _ => {}
            }
        }
        let leader_lease = find_leader_lease(&self.name, rows);
        let effects = self.leader_lease.on_row(now, &leader_lease);
        self.lease_effects(now, effects, out);
    }

    /// Runs the periodic work of the leader lease and of the evaluation.
    pub fn tick(&mut self, cx: AlertsCx, out: &mut Vec<AlertsEffect>) {
        self.is_behind = false;
        let effects = self.leader_lease.tick(cx.now);
        self.lease_effects(cx.now, effects, out);
        // A pause of the process may outlast the lease, so the lease is checked
        // before each effect.
        let Some((token_row, _)) = self.token_row.filter(|_| self.leader_lease.may_act(cx.now))
        else {
            return;
        };
        match &mut self.stage {
            Stage::Idle => {}
            Stage::Loading {
                is_reading,
                retry_at,
            } => {
                if !*is_reading && cx.now >= *retry_at {
                    *is_reading = true;
                    self.generation += 1;
                    let read = AlertsRead::Load(self.generation);
                    out.push(AlertsEffect::Read(read, vec![RowRange::Rules]));
                }
            }
            Stage::Running {
                rules_version,
                running,
            } => {
                let token = check_token(&self.name, token_row);
                running.tick(cx, token, &self.writer_id, out);
                self.emitted = running.emitted();
                self.is_behind = running.is_behind();
                let is_changed =
                    *rules_version < self.rules_version || running.settings() != cx.settings;
                if is_changed && !running.is_writing() {
                    self.load(cx.now);
                }
            }
        }
    }

    /// Handles rows that were read for the evaluation.
    pub fn on_read(
        &mut self,
        cx: AlertsCx,
        read: AlertsRead,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<AlertsEffect>,
    ) {
        match (&mut self.stage, read) {
            (
                Stage::Loading {
                    is_reading,
                    retry_at,
                },
                AlertsRead::Load(generation),
            ) if generation == self.generation => {
                *is_reading = false;
                *retry_at = cx.now.plus(LOAD_RETRY);
                let Some(rows) = rows else { return };
                let loaded = Loaded::new(cx.settings, rows, out);
                let rules_version = loaded.rules_version;
                let files = loaded.files.len();
                let running = Running::new(cx, generation, loaded, self.emitted);
                let unemitted = running.unemitted();
                out.push(AlertsEffect::Notice(AlertNotice::Loaded {
                    files,
                    unemitted,
                }));
                self.stage = Stage::Running {
                    rules_version,
                    running: Box::new(running),
                };
            }
            (Stage::Running { running, .. }, AlertsRead::StateReadBack(generation))
                if generation == self.generation =>
            {
                let progress = running.on_read_back(cx, rows, out);
                if progress == Progress::Superseded {
                    self.load(cx.now);
                }
            }
            _ => {}
        }
    }

    /// Handles the outcome of a commit of the leader lease or of the evaluation.
    pub fn on_commit(
        &mut self,
        cx: AlertsCx,
        commit: &AlertsCommit,
        outcome: WriteOutcome,
        out: &mut Vec<AlertsEffect>,
    ) {
        match commit {
            AlertsCommit::Leader(number, token) => {
                if let (WriteOutcome::Done(version), Some(token)) = (outcome, token) {
                    self.update_token(version, *token);
                }
                let effects = self.leader_lease.on_write(*number, outcome);
                self.lease_effects(cx.now, effects, out);
            }
            AlertsCommit::State(generation) => {
                if let Stage::Running { running, .. } = &mut self.stage
                    && *generation == self.generation
                {
                    running.on_write(cx, outcome);
                    // The transitions of a confirmed state are emitted immediately.
                    self.tick(cx, out);
                }
            }
            AlertsCommit::Put(_) => {}
        }
    }

    /// Handles usage reports; `None` means that the platform did not reply.
    pub fn on_usage(&mut self, cx: AlertsCx, generation: u64, report: Option<UsageReport>) {
        if let Stage::Running { running, .. } = &mut self.stage
            && generation == self.generation
        {
            running.on_usage(cx, report);
        }
    }

    /// Releases leadership, so that another entry can take it over immediately.
    pub fn release(&mut self, now: Uptime, out: &mut Vec<AlertsEffect>) {
        let effects = self.leader_lease.release(now, now);
        self.lease_effects(now, effects, out);
    }

    /// Returns whether this entry acquired leadership and has not lost or released it.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.leader_lease.token().is_some()
    }

    fn load(&mut self, now: Uptime) {
        self.stage = Stage::Loading {
            is_reading: false,
            retry_at: now,
        };
    }

    fn lease_effects(
        &mut self,
        now: Uptime,
        effects: Vec<LeaderEffect>,
        out: &mut Vec<AlertsEffect>,
    ) {
        for effect in effects {
            match effect {
                LeaderEffect::Read => out.push(AlertsEffect::Poll),
                LeaderEffect::Write {
                    number,
                    expected,
                    row,
                } => {
                    let is_new = self.token_row.is_none_or(|(_, token)| token != row.token);
                    let token = is_new.then_some(row.token);
                    let writes = leader_lease_writes(&self.name, expected, &row, token);
                    let commit = AlertsCommit::Leader(number, token);
                    out.push(AlertsEffect::Commit(commit, writes));
                }
                LeaderEffect::Acquired { token, .. } => {
                    let notice = AlertNotice::LeadershipAcquired(token);
                    out.push(AlertsEffect::Notice(notice));
                    self.load(now);
                }
                LeaderEffect::Lost => {
                    out.push(AlertsEffect::Notice(AlertNotice::LeadershipLost));
                    self.stage = Stage::Idle;
                }
            }
        }
    }

    fn update_token(&mut self, version: RowVersion, token: FencingToken) {
        if self.token_row.is_none_or(|(known, _)| known < version) {
            self.token_row = Some((version, token));
        }
    }
}
