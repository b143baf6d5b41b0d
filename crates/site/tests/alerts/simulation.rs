//! Simulation of two entries, a table service and a source of usage reports under a
//! virtual clock.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_config::RuleSettings;
use cumindeck_control::leader::Leader;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_rules::{EventTime, SampleValue};
use cumindeck_site::{
    AlertNotice, AlertsCommit, AlertsCx, AlertsEffect, AlertsLeadership, AlertsRead, RowAction,
    RowCondition, RowKey, RowRange, RowValue, RowWrite, RuleFileRow, StoredRow, UsageReport,
    UsageSample,
};
use cumindeck_types::{Incarnation, Uptime};

/// Virtual time of a step in milliseconds.
pub const STEP: u64 = 100;
/// Wall-clock time at the start; a multiple of all intervals.
const WALL: i64 = 1_800_000_000_000;
/// Delay of usage reports in milliseconds.
const LAG: i64 = 1_000;

const RULES: &str = "
groups:
  - name: heat
    interval: 1s
    rules:
      - record: heat:max
        expr: max(heat)
      - alert: Hot
        expr: heat > 30
        for: 5s
        keep_firing_for: 3s
      - alert: Peak
        expr: heat:max > 40
";

/// A table service in memory, which can be down or lose replies.
#[derive(Default)]
pub struct Store {
    rows: BTreeMap<RowKey, (RowVersion, RowValue)>,
    version: u64,
    pub is_down: bool,
    /// Number of commits that are applied, but whose reply is lost.
    pub lose_replies: u32,
}

impl Store {
    pub fn read(&self, ranges: &[RowRange]) -> Option<Vec<StoredRow>> {
        let wanted = |key: &RowKey| {
            ranges.iter().any(|range| match range {
                RowRange::Polled => {
                    matches!(
                        key,
                        RowKey::Leader(_) | RowKey::Token(_) | RowKey::RulesHead
                    )
                }
                RowRange::Rules => !matches!(key, RowKey::Leader(_) | RowKey::Token(_)),
                RowRange::RuleFiles => matches!(key, RowKey::RuleFile(_)),
                RowRange::Row(row) => key == row,
                RowRange::Jobs(_) => false,
            })
        };
        let rows = self.rows.iter().filter(|(key, _)| wanted(key));
        let row = |(key, (version, value)): (&RowKey, &(RowVersion, RowValue))| StoredRow {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        };
        (!self.is_down).then(|| rows.map(row).collect())
    }

    pub fn commit(&mut self, writes: &[RowWrite]) -> WriteOutcome {
        if self.is_down {
            return WriteOutcome::Unknown;
        }
        for write in writes {
            let found = self.rows.get(&write.key);
            let found = found.map_or(RowVersion::ABSENT, |(version, _)| *version);
            if matches!(write.condition, RowCondition::Version(expected) if expected != found) {
                return WriteOutcome::Conflict;
            }
        }
        self.version += 1;
        let version = RowVersion::new(self.version);
        for write in writes {
            match &write.action {
                RowAction::Check => {}
                RowAction::Put(value) => {
                    self.rows
                        .insert(write.key.clone(), (version, value.clone()));
                }
                RowAction::Delete => {
                    self.rows.remove(&write.key);
                }
            }
        }
        if self.lose_replies > 0 {
            self.lose_replies -= 1;
            return WriteOutcome::Unknown;
        }
        WriteOutcome::Done(version)
    }
}

enum Reply {
    Read(AlertsRead, Option<Vec<StoredRow>>),
    Commit(AlertsCommit, WriteOutcome),
    Usage(u64, Option<UsageReport>),
}

/// Leadership of rule evaluation at one entry.
pub struct Node {
    leadership: AlertsLeadership,
    inbox: Vec<Reply>,
    pub is_running: bool,
    pub is_paused: bool,
}

/// The entries, the services that they use and the virtual clock.
pub struct Simulation {
    pub now: u64,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// How far the clock of the platform is ahead, in milliseconds.
    pub platform_ahead: i64,
    /// How far the clocks of the entries are ahead, in milliseconds.
    pub entries_ahead: i64,
    /// Whether transitions are emitted when their write is sent, which disables a
    /// safeguard.
    pub emits_early: bool,
    /// Emitted transitions in order.
    pub emitted: Vec<String>,
    /// Rejected samples and rule files, and rules that failed.
    pub failures: Vec<String>,
    samples: Vec<(i64, f64)>,
}

impl Simulation {
    pub fn new() -> Self {
        let node = |name: &str| Node {
            leadership: AlertsLeadership::new(Leader {
                entry: name.parse().expect("an id"),
                incarnation: Incarnation::new(1),
            }),
            inbox: Vec::new(),
            is_running: true,
            is_paused: false,
        };
        let mut store = Store::default();
        let file = RuleFileRow {
            version: 1,
            changes: vec![(1, "change".to_owned())],
            rules: 3,
            accepted_ms: WALL,
            text: RULES.to_owned(),
        };
        let name = "heat.yml".parse().expect("a file name");
        for (key, value) in [
            (RowKey::RuleFile(name), RowValue::RuleFile(file)),
            (RowKey::RulesHead, RowValue::RulesHead("change".to_owned())),
        ] {
            store.commit(&[RowWrite {
                key,
                condition: RowCondition::Any,
                action: RowAction::Put(value),
            }]);
        }
        // The first rise is too short for Hot; keep_firing_for covers the dip at 30 s.
        let heat = |second: i64| match second {
            4..7 => 45.0,
            20 => 50.0,
            12..30 => 35.0,
            32..34 => 35.0,
            _ => 20.0,
        };
        Self {
            now: 10_000,
            store,
            nodes: vec![node("e1"), node("e2")],
            platform_ahead: 0,
            entries_ahead: 0,
            emits_early: false,
            emitted: Vec::new(),
            failures: Vec::new(),
            samples: (1..80)
                .map(|second| (second * 1_000, heat(second)))
                .collect(),
        }
    }

    fn elapsed(&self) -> i64 {
        i64::try_from(self.now).expect("a short run") - 10_000
    }

    fn usage(&self, after: u64) -> UsageReport {
        let passed = self.elapsed() - LAG;
        let arrived = self.samples.iter().filter(|(at, _)| *at <= passed);
        let sample = |(sequence, (at, heat)): (u64, &(i64, f64))| UsageSample {
            sequence,
            labels: [("__name__", "heat"), ("worker", "w1")]
                .into_iter()
                .collect(),
            at: EventTime::from_millis(WALL + at),
            value: SampleValue::new(*heat),
        };
        let samples = (1..).zip(arrived).map(sample);
        UsageReport {
            watermark: EventTime::from_millis(WALL + passed + self.platform_ahead),
            samples: samples.filter(|s| s.sequence > after).collect(),
        }
    }

    /// Runs one step of all entries.
    pub fn step(&mut self) {
        self.now += STEP;
        let wall = u64::try_from(WALL + self.elapsed() + self.entries_ahead);
        let cx = AlertsCx {
            now: Uptime::from_millis(self.now),
            wall: Duration::from_millis(wall.expect("a positive time")),
            settings: RuleSettings {
                lag_bound: Duration::from_secs(2),
                interval: Duration::from_secs(60),
            },
        };
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if !node.is_running || node.is_paused {
                continue;
            }
            let mut out = Vec::new();
            for reply in std::mem::take(&mut node.inbox) {
                match reply {
                    Reply::Read(read, rows) => node.leadership.on_read(cx, read, rows, &mut out),
                    Reply::Commit(commit, outcome) => {
                        node.leadership.on_commit(cx, &commit, outcome, &mut out);
                    }
                    Reply::Usage(generation, report) => {
                        node.leadership.on_usage(cx, generation, report);
                    }
                }
            }
            if self.now.is_multiple_of(500)
                && let Some(rows) = self.store.read(&[RowRange::Polled])
            {
                node.leadership.on_polled_rows(cx.now, &rows, &mut out);
            }
            node.leadership.tick(cx, &mut out);
            for effect in out {
                self.carry_out(index, effect);
            }
        }
    }

    fn carry_out(&mut self, index: usize, effect: AlertsEffect) {
        let reply = match effect {
            AlertsEffect::Poll => return,
            AlertsEffect::Read(read, ranges) => Reply::Read(read, self.store.read(&ranges)),
            AlertsEffect::Commit(commit, writes) => {
                if self.emits_early {
                    self.emit_early(&writes);
                }
                Reply::Commit(commit, self.store.commit(&writes))
            }
            AlertsEffect::ReadUsage { generation, after } => {
                Reply::Usage(generation, Some(self.usage(after)))
            }
            AlertsEffect::Notice(notice) => return self.note(notice),
        };
        self.nodes[index].inbox.push(reply);
    }

    fn note(&mut self, notice: AlertNotice) {
        match notice {
            AlertNotice::Transition(row) if !self.emits_early => {
                self.emitted.push(format!("{} {}", row.number, row.id));
            }
            AlertNotice::RuleFailed { .. }
            | AlertNotice::SamplesRefused { .. }
            | AlertNotice::FileRefused { .. } => self.failures.push(format!("{notice:?}")),
            _ => {}
        }
    }

    fn emit_early(&mut self, writes: &[RowWrite]) {
        for write in writes {
            if let RowAction::Put(RowValue::Transitions(batch)) = &write.action {
                let rows = batch.transitions.iter();
                let lines = rows.map(|row| format!("{} {}", row.number, row.id));
                self.emitted.extend(lines);
            }
        }
    }

    /// Runs until the last sample was evaluated.
    pub fn finish(&mut self) {
        while self.elapsed() < 75_000 {
            self.step();
        }
    }

    /// Returns the transitions that are stored in the table.
    pub fn recorded(&self) -> Vec<String> {
        let batches = self
            .store
            .rows
            .values()
            .filter_map(|(_, value)| match value {
                RowValue::Transitions(batch) => Some(&batch.transitions),
                _ => None,
            });
        let rows = batches.flatten();
        rows.map(|row| format!("{} {}", row.number, row.id))
            .collect()
    }

    /// Returns the entry that is the leader.
    pub fn leader(&mut self) -> Option<&mut Node> {
        let now = Uptime::from_millis(self.now);
        self.nodes
            .iter_mut()
            .find(|node| node.leadership.leader_lease().may_act(now))
    }
}
