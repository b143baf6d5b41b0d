//! The duty `rules`: its lease, and while it is held, the evaluation of alert
//! rules; also the acceptance of rule files, which needs no duty.

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

use cumindeck_control::duty::{Duty, DutyEffect, Holder};
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::{FencingToken, Region, Uptime};

use crate::duty_rows::{check_token, duty_writes, find_duty};
use crate::rows::{RowKey, RowRange, RowValue, StoredRow};

pub use accept::{Acceptance, PutRules};
pub use event::{
    AlertNotice, AlertsCommit, AlertsCx, AlertsEffect, AlertsRead, UsageReport, UsageSample,
};
use load::Loaded;
pub use rows::{RuleFileRow, RulesStateRow, TransitionBatchRow, TransitionRow};
use running::{Progress, Running};
pub(crate) use status::rules_status;

/// Name of the duty in the tables `duties` and `tokens`; no region may have it.
pub(crate) const RULES_DUTY: &str = "rules";
/// Time between two tries to load.
const LOAD_RETRY: Duration = Duration::from_secs(1);

/// How far the holder of the duty has got.
#[derive(Debug)]
enum Stage {
    /// The duty isn't held.
    Idle,
    /// The files and the state are being read.
    Loading { is_reading: bool, retry_at: Uptime },
    /// Rules are evaluated.
    Running {
        head: RowVersion,
        running: Box<Running>,
    },
}

/// One entry's part in the duty `rules`.
#[derive(Debug)]
pub struct AlertsDuty {
    name: Region,
    origin: String,
    duty: Duty,
    token_row: Option<(RowVersion, FencingToken)>,
    head: RowVersion,
    stage: Stage,
    generation: u64,
    emitted: u64,
    is_behind: bool,
}

impl AlertsDuty {
    /// Makes the machine of an entry.
    ///
    /// # Panics
    ///
    /// Never: the name of the duty is a valid id.
    #[must_use]
    pub fn new(me: Holder) -> Self {
        Self {
            name: RULES_DUTY.parse().expect("a valid id"),
            origin: format!("{}:{}", me.entry, me.incarnation),
            duty: Duty::new(me, Duration::ZERO),
            token_row: None,
            head: RowVersion::ABSENT,
            stage: Stage::Idle,
            generation: 0,
            emitted: 0,
            is_behind: false,
        }
    }

    /// Returns the duty lease.
    #[must_use]
    pub const fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Tells whether the last step left work that should not wait.
    #[must_use]
    pub const fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Takes in the heads.
    pub fn on_heads(&mut self, now: Uptime, rows: &[StoredRow], out: &mut Vec<AlertsEffect>) {
        for row in rows {
            match (&row.key, &row.value) {
                (RowKey::Token(name), RowValue::Token(token)) if *name == self.name => {
                    self.see_token(row.version, *token);
                }
                (RowKey::RulesHead, _) => self.head = self.head.max(row.version),
                _ => {}
            }
        }
        let duty = find_duty(&self.name, rows);
        let effects = self.duty.on_row(now, &duty);
        self.duty_effects(now, effects, out);
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: AlertsCx, out: &mut Vec<AlertsEffect>) {
        self.is_behind = false;
        let effects = self.duty.tick(cx.now);
        self.duty_effects(cx.now, effects, out);
        // A freeze may outlast the lease, so it is checked before each effect.
        let Some((token_row, _)) = self.token_row.filter(|_| self.duty.may_act(cx.now)) else {
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
            Stage::Running { head, running } => {
                let token = check_token(&self.name, token_row);
                running.tick(cx, token, &self.origin, out);
                self.emitted = running.emitted();
                self.is_behind = running.is_behind();
                let is_changed = *head < self.head || running.settings() != cx.settings;
                if is_changed && !running.is_writing() {
                    self.load(cx.now);
                }
            }
        }
    }

    /// Takes in rows that were read for the duty.
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
                let head = loaded.head;
                let files = loaded.files.len();
                let running = Running::new(cx, generation, loaded, self.emitted);
                let unemitted = running.unemitted();
                out.push(AlertsEffect::Notice(AlertNotice::Loaded {
                    files,
                    unemitted,
                }));
                self.stage = Stage::Running {
                    head,
                    running: Box::new(running),
                };
            }
            (Stage::Running { running, .. }, AlertsRead::StateBack(generation))
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

    /// Takes in the outcome of a commit of the duty.
    pub fn on_commit(
        &mut self,
        cx: AlertsCx,
        commit: &AlertsCommit,
        outcome: WriteOutcome,
        out: &mut Vec<AlertsEffect>,
    ) {
        match commit {
            AlertsCommit::Duty(number, token) => {
                if let (WriteOutcome::Done(version), Some(token)) = (outcome, token) {
                    self.see_token(version, *token);
                }
                let effects = self.duty.on_write(*number, outcome);
                self.duty_effects(cx.now, effects, out);
            }
            AlertsCommit::State(generation) => {
                if let Stage::Running { running, .. } = &mut self.stage
                    && *generation == self.generation
                {
                    running.on_write(cx, outcome);
                    // A confirmed state is emitted at once.
                    self.tick(cx, out);
                }
            }
            AlertsCommit::Put(_) => {}
        }
    }

    /// Takes in usage reports; `None` means that the platform didn't answer.
    pub fn on_usage(&mut self, cx: AlertsCx, generation: u64, report: Option<UsageReport>) {
        if let Stage::Running { running, .. } = &mut self.stage
            && generation == self.generation
        {
            running.on_usage(cx, report);
        }
    }

    /// Gives the duty up, so that another entry can take it over at once.
    pub fn release(&mut self, now: Uptime, out: &mut Vec<AlertsEffect>) {
        let effects = self.duty.release(now, now);
        self.duty_effects(now, effects, out);
    }

    /// Tells whether this entry still has a part in the duty.
    #[must_use]
    pub fn is_held(&self) -> bool {
        self.duty.token().is_some()
    }

    fn load(&mut self, now: Uptime) {
        self.stage = Stage::Loading {
            is_reading: false,
            retry_at: now,
        };
    }

    fn duty_effects(&mut self, now: Uptime, effects: Vec<DutyEffect>, out: &mut Vec<AlertsEffect>) {
        for effect in effects {
            match effect {
                DutyEffect::Read => out.push(AlertsEffect::ReadHeads),
                DutyEffect::Write {
                    number,
                    expected,
                    row,
                } => {
                    let is_new = self.token_row.is_none_or(|(_, token)| token != row.token);
                    let token = is_new.then_some(row.token);
                    let writes = duty_writes(&self.name, expected, &row, token);
                    let commit = AlertsCommit::Duty(number, token);
                    out.push(AlertsEffect::Commit(commit, writes));
                }
                DutyEffect::Acquired { token, .. } => {
                    let notice = AlertNotice::DutyAcquired(token);
                    out.push(AlertsEffect::Notice(notice));
                    self.load(now);
                }
                DutyEffect::Lost => {
                    out.push(AlertsEffect::Notice(AlertNotice::DutyLost));
                    self.stage = Stage::Idle;
                }
            }
        }
    }

    fn see_token(&mut self, version: RowVersion, token: FencingToken) {
        if self.token_row.is_none_or(|(known, _)| known < version) {
            self.token_row = Some((version, token));
        }
    }
}
