//! Acceptance of rule files under races and lost replies.

use std::time::Duration;

use cumindeck_config::RuleSettings;
use cumindeck_control::store::WriteOutcome;
use cumindeck_site::{
    AlertsCx, AlertsEffect, OperatorCallId, OperatorReply, PutRules, RowWrite, RuleFileChanges,
};
use cumindeck_types::Uptime;

use crate::simulation::Store;

const TEXT: &str = "groups:\n  - name: g\n    rules:\n      - alert: Up\n        expr: up\n";

const CX: AlertsCx = AlertsCx {
    now: Uptime::ZERO,
    wall: Duration::from_secs(1_800_000_000),
    settings: RuleSettings {
        lag_bound: Duration::from_secs(120),
        interval: Duration::from_secs(60),
    },
};

/// An operator's change and its writes that are not committed yet.
struct Operator {
    changes: RuleFileChanges,
    writes: Vec<RowWrite>,
    reply: Option<OperatorReply>,
}

impl Operator {
    /// Sends a change and reads the files, so that its write is ready to commit.
    fn new(store: &Store, change: &str, text: &str) -> Self {
        let mut operator = Self {
            changes: RuleFileChanges::default(),
            writes: Vec::new(),
            reply: None,
        };
        let put = PutRules {
            file: "r.yml".parse().expect("a name"),
            change_id: change.parse().expect("an id"),
            text: text.to_owned(),
        };
        let mut out = Vec::new();
        operator.reply = operator.changes.put(CX, OperatorCallId(1), put, &mut out);
        operator.carry_out(store, out);
        operator
    }

    fn carry_out(&mut self, store: &Store, effects: Vec<AlertsEffect>) {
        for effect in effects {
            match effect {
                AlertsEffect::Read(_, ranges) => {
                    let rows = store.read(&ranges);
                    let mut out = Vec::new();
                    let call = OperatorCallId(1);
                    self.reply = self.changes.on_read(CX, call, rows.as_deref(), &mut out);
                    self.carry_out(store, out);
                }
                AlertsEffect::Commit(_, writes) => self.writes = writes,
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    /// Commits the write and handles its outcome.
    fn commit(&mut self, store: &mut Store) {
        let outcome = store.commit(&std::mem::take(&mut self.writes));
        self.outcome(store, outcome);
    }

    fn outcome(&mut self, store: &Store, outcome: WriteOutcome) {
        let mut out = Vec::new();
        let call = OperatorCallId(1);
        self.reply = self.changes.on_commit(call, outcome, &mut out);
        self.carry_out(store, out);
    }

    fn print(&self) -> String {
        match &self.reply {
            Some(OperatorReply::RulesAccepted(reply)) => {
                format!("version {} with {} rules", reply.version, reply.rules)
            }
            Some(OperatorReply::Error(body)) => {
                format!("{}: {} {:?}", body.reason, body.message, body.problems)
            }
            other => format!("{other:?}"),
        }
    }
}

/// Guards against wrong replies after a lost race or a lost reply.
#[test]
fn races_and_lost_replies() {
    let mut lines = Vec::new();
    let mut note = |what: &str, operator: &Operator| {
        lines.push(format!("{what}: {}", operator.print()));
    };
    let mut store = Store::default();
    note(
        "invalid expression",
        &Operator::new(&store, "c0", &TEXT.replace("up\n", "up >\n")),
    );
    let mut first = Operator::new(&store, "c1", TEXT);
    let mut second = Operator::new(&store, "c2", TEXT);
    first.commit(&mut store);
    second.commit(&mut store);
    note("first", &first);
    note("second", &second);
    note("repeated", &Operator::new(&store, "c1", TEXT));
    note(
        "same id, other text",
        &Operator::new(&store, "c1", &TEXT.replace("expr: up", "expr: down")),
    );

    store.lose_replies = 1;
    let mut lost = Operator::new(&store, "c3", TEXT);
    lost.commit(&mut store);
    note("lost reply", &lost);

    let mut replaced = Operator::new(&store, "c4", TEXT);
    store.commit(&replaced.writes);
    Operator::new(&store, "c5", TEXT).commit(&mut store);
    replaced.outcome(&store, WriteOutcome::Unknown);
    note("lost reply, replaced meanwhile", &replaced);

    let mut delayed = Operator::new(&store, "c6", TEXT);
    delayed.outcome(&store, WriteOutcome::Unknown);
    note("lost write", &delayed);
    delayed.commit(&mut store);
    note("lost write, sent again", &delayed);

    let mut unknown = Operator::new(&store, "c7", TEXT);
    store.is_down = true;
    unknown.commit(&mut store);
    note("outage after the write", &unknown);
    note("outage", &Operator::new(&store, "c8", TEXT));
    insta::assert_snapshot!(lines.join("\n"));
}
