//! The leader lease: lost replies, takeover, outage and release.

use std::fmt::Write as _;
use std::time::Duration;

use cumindeck_control::leader::{Leader, LeaderEffect, LeaderLease, LeaderRow};
use cumindeck_control::store::{RowVersion, Versioned, WriteOutcome};
use cumindeck_types::{Incarnation, Uptime};

/// A store with one row, and a trace of all events.
#[derive(Default)]
struct TracedStore {
    version: RowVersion,
    row: Option<LeaderRow>,
    trace: String,
}

impl TracedStore {
    fn read(&self) -> Versioned<LeaderRow> {
        Versioned {
            version: self.version,
            value: self.row.clone(),
        }
    }

    /// Applies a write if its expected version matches.
    fn apply(&mut self, effects: &[LeaderEffect]) -> Option<(u64, WriteOutcome)> {
        let [
            LeaderEffect::Write {
                number,
                expected,
                row,
            },
        ] = effects
        else {
            return None;
        };
        if *expected != self.version {
            return Some((*number, WriteOutcome::Conflict));
        }
        self.version = self.version.next();
        self.row = Some(row.clone());
        Some((*number, WriteOutcome::Done(self.version)))
    }

    fn note(
        &mut self,
        now: u64,
        text: &str,
        leader_lease: &mut LeaderLease,
        effects: &[LeaderEffect],
    ) {
        let now = Uptime::from_millis(now);
        let may_act = leader_lease.may_act(now);
        writeln!(self.trace, "{now} {text}: may_act={may_act}").unwrap();
        for effect in effects {
            writeln!(self.trace, "  {effect:?}").unwrap();
        }
    }

    /// Reads the row, ticks and carries out the write, if there is one.
    fn poll(&mut self, now: u64, name: &str, leader_lease: &mut LeaderLease) {
        let at = Uptime::from_millis(now);
        let mut effects = leader_lease.on_row(at, &self.read());
        effects.extend(leader_lease.tick(at));
        if let Some((number, outcome)) = self.apply(&effects) {
            effects.extend(leader_lease.on_write(number, outcome));
        }
        self.note(now, name, leader_lease, &effects);
    }
}

fn leader_lease(name: &str) -> LeaderLease {
    let leader = Leader {
        entry: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    LeaderLease::new(leader, Duration::ZERO)
}

/// Guards against an expired lease, or a second leader, after a lost write reply.
#[test]
fn lost_answer_is_read_back() {
    let (mut store, mut one) = (TracedStore::default(), leader_lease("entry-1"));
    store.poll(0, "acquire", &mut one);
    let renewal = one.tick(Uptime::from_millis(1000));
    let number = store.apply(&renewal).unwrap().0;
    let effects = one.on_write(number, WriteOutcome::Unknown);
    store.note(1600, "reply lost", &mut one, &effects);
    let effects = one.on_row(Uptime::from_millis(1700), &store.read());
    store.note(3500, "read back", &mut one, &effects);
    store.note(4000, "expiry counted from the first write", &mut one, &[]);
    insta::assert_snapshot!(store.trace);
}

/// Guards against applying the late outcome of a write, which a read has resolved, to
/// the next write.
#[test]
fn late_outcome_confirms_nothing() {
    let (mut store, mut one) = (TracedStore::default(), leader_lease("entry-1"));
    store.poll(0, "acquire", &mut one);
    let first = one.tick(Uptime::from_millis(1000));
    let (number, outcome) = store.apply(&first).unwrap();
    one.on_row(Uptime::from_millis(1500), &store.read());
    let second = one.tick(Uptime::from_millis(2000));
    let effects = one.on_write(number, outcome);
    store.note(3999, "late outcome", &mut one, &effects);
    store.note(4000, "second write without a reply", &mut one, &second);
    insta::assert_snapshot!(store.trace);
}

/// Guards against two leaders, and against a new leader that reassigns too early.
#[test]
fn takeover_of_a_paused_leader() {
    let (mut store, mut one, mut two) = (
        TracedStore::default(),
        leader_lease("entry-1"),
        leader_lease("entry-2"),
    );
    store.poll(0, "entry-1", &mut one);
    store.poll(500, "entry-2", &mut two);
    store.poll(3499, "entry-2", &mut two);
    store.note(3499, "entry-1", &mut one, &[]);
    store.poll(3500, "entry-2", &mut two);
    store.poll(20_000, "entry-1 resumes", &mut one);
    insta::assert_snapshot!(store.trace);
}

/// Guards against outage leases that outlast what a new leader waits for.
#[test]
fn outage_limit_stays_and_recovery_raises_the_token() {
    let (mut store, mut one) = (TracedStore::default(), leader_lease("entry-1"));
    store.poll(0, "acquire", &mut one);
    for now in [1999, 2000, 3000, 600_000] {
        let mode = one.grant_mode(Uptime::from_millis(now));
        writeln!(store.trace, "{now}ms {mode:?}").unwrap();
    }
    store.poll(601_000, "store is back", &mut one);
    insta::assert_snapshot!(store.trace);
}

/// Guards against grants after a release, and a new leader that
/// does not wait long enough.
#[test]
fn release_records_the_longest_lease() {
    let (mut store, mut one, mut two) = (
        TracedStore::default(),
        leader_lease("entry-1"),
        leader_lease("entry-2"),
    );
    store.poll(0, "entry-1", &mut one);
    let effects = one.release(Uptime::from_millis(500), Uptime::from_millis(8400));
    store.note(500, "release", &mut one, &effects);
    let mode = one.grant_mode(Uptime::from_millis(501));
    writeln!(store.trace, "501ms {mode:?}").unwrap();
    let (number, outcome) = store.apply(&effects).unwrap();
    let effects = one.on_write(number, outcome);
    store.note(510, "released", &mut one, &effects);
    store.poll(1000, "entry-2", &mut two);
    insta::assert_snapshot!(store.trace);
}

/// Guards against a release that conflicts with a renewal in flight
/// and leaves the row held.
#[test]
fn release_waits_for_the_renewal() {
    let (mut store, mut one) = (TracedStore::default(), leader_lease("entry-1"));
    store.poll(0, "acquire", &mut one);
    let renewal = one.tick(Uptime::from_millis(1000));
    let effects = one.release(Uptime::from_millis(1010), Uptime::from_millis(9000));
    store.note(1010, "release", &mut one, &effects);
    let (number, outcome) = store.apply(&renewal).unwrap();
    let effects = one.on_write(number, outcome);
    store.note(1020, "renewed", &mut one, &effects);
    let (number, outcome) = store.apply(&effects).unwrap();
    let effects = one.on_write(number, outcome);
    store.note(1030, "released", &mut one, &effects);
    insta::assert_snapshot!(store.trace);
}
