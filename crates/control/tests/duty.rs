//! The duty lease: lost answers, takeover, outage and release.

use std::fmt::Write as _;
use std::time::Duration;

use cumindeck_control::duty::{Duty, DutyEffect, DutyRow, Holder};
use cumindeck_control::store::{RowVersion, Versioned, WriteOutcome};
use cumindeck_types::{Incarnation, Uptime};

/// A store with one row, and a trace of all that happens.
#[derive(Default)]
struct Site {
    version: RowVersion,
    row: Option<DutyRow>,
    trace: String,
}

impl Site {
    fn read(&self) -> Versioned<DutyRow> {
        Versioned {
            version: self.version,
            value: self.row.clone(),
        }
    }

    /// Applies a write if its expected version is right.
    fn apply(&mut self, effects: &[DutyEffect]) -> Option<(u64, WriteOutcome)> {
        let [
            DutyEffect::Write {
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

    fn note(&mut self, now: u64, text: &str, duty: &mut Duty, effects: &[DutyEffect]) {
        let now = Uptime::from_millis(now);
        let may_act = duty.may_act(now);
        writeln!(self.trace, "{now} {text}: may_act={may_act}").unwrap();
        for effect in effects {
            writeln!(self.trace, "  {effect:?}").unwrap();
        }
    }

    /// Reads the row, ticks and carries out the write, if there is one.
    fn turn(&mut self, now: u64, name: &str, duty: &mut Duty) {
        let at = Uptime::from_millis(now);
        let mut effects = duty.on_row(at, &self.read());
        effects.extend(duty.tick(at));
        if let Some((number, outcome)) = self.apply(&effects) {
            effects.extend(duty.on_write(number, outcome));
        }
        self.note(now, name, duty, &effects);
    }
}

fn duty(name: &str) -> Duty {
    let holder = Holder {
        entry: name.parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    Duty::new(holder, Duration::ZERO)
}

/// Guards against a lapse, or a second holder, after the answer to a write is lost.
#[test]
fn lost_answer_is_read_back() {
    let (mut site, mut one) = (Site::default(), duty("entry-1"));
    site.turn(0, "acquire", &mut one);
    let renewal = one.tick(Uptime::from_millis(1000));
    let number = site.apply(&renewal).unwrap().0;
    let effects = one.on_write(number, WriteOutcome::Unknown);
    site.note(1600, "answer lost", &mut one, &effects);
    let effects = one.on_row(Uptime::from_millis(1700), &site.read());
    site.note(3500, "read back", &mut one, &effects);
    site.note(4000, "counted from the first sending", &mut one, &[]);
    insta::assert_snapshot!(site.trace);
}

/// Guards against the outcome of a resolved write being taken for the next write's.
#[test]
fn late_outcome_confirms_nothing() {
    let (mut site, mut one) = (Site::default(), duty("entry-1"));
    site.turn(0, "acquire", &mut one);
    let first = one.tick(Uptime::from_millis(1000));
    let (number, outcome) = site.apply(&first).unwrap();
    one.on_row(Uptime::from_millis(1500), &site.read());
    let second = one.tick(Uptime::from_millis(2000));
    let effects = one.on_write(number, outcome);
    site.note(3999, "late outcome", &mut one, &effects);
    site.note(4000, "second write unanswered", &mut one, &second);
    insta::assert_snapshot!(site.trace);
}

/// Guards against two live holders, and against a successor that reassigns early.
#[test]
fn takeover_of_a_frozen_holder() {
    let (mut site, mut one, mut two) = (Site::default(), duty("entry-1"), duty("entry-2"));
    site.turn(0, "entry-1", &mut one);
    site.turn(500, "entry-2", &mut two);
    site.turn(3499, "entry-2", &mut two);
    site.note(3499, "entry-1", &mut one, &[]);
    site.turn(3500, "entry-2", &mut two);
    site.turn(20_000, "entry-1 resumes", &mut one);
    insta::assert_snapshot!(site.trace);
}

/// Guards against outage leases that outlast what a successor waits for.
#[test]
fn outage_limit_stays_and_recovery_raises_the_token() {
    let (mut site, mut one) = (Site::default(), duty("entry-1"));
    site.turn(0, "acquire", &mut one);
    for now in [1999, 2000, 3000, 600_000] {
        let mode = one.grant_mode(Uptime::from_millis(now));
        writeln!(site.trace, "{now}ms {mode:?}").unwrap();
    }
    site.turn(601_000, "store is back", &mut one);
    insta::assert_snapshot!(site.trace);
}

/// Guards against grants after a release, and a successor that waits too short.
#[test]
fn release_passes_on_the_longest_lease() {
    let (mut site, mut one, mut two) = (Site::default(), duty("entry-1"), duty("entry-2"));
    site.turn(0, "entry-1", &mut one);
    let effects = one.release(Uptime::from_millis(500), Uptime::from_millis(8400));
    site.note(500, "release", &mut one, &effects);
    let mode = one.grant_mode(Uptime::from_millis(501));
    writeln!(site.trace, "501ms {mode:?}").unwrap();
    let (number, outcome) = site.apply(&effects).unwrap();
    let effects = one.on_write(number, outcome);
    site.note(510, "released", &mut one, &effects);
    site.turn(1000, "entry-2", &mut two);
    insta::assert_snapshot!(site.trace);
}

/// Guards against a release that loses to a renewal on its way and leaves the row held.
#[test]
fn release_waits_for_the_renewal() {
    let (mut site, mut one) = (Site::default(), duty("entry-1"));
    site.turn(0, "acquire", &mut one);
    let renewal = one.tick(Uptime::from_millis(1000));
    let effects = one.release(Uptime::from_millis(1010), Uptime::from_millis(9000));
    site.note(1010, "release", &mut one, &effects);
    let (number, outcome) = site.apply(&renewal).unwrap();
    let effects = one.on_write(number, outcome);
    site.note(1020, "renewed", &mut one, &effects);
    let (number, outcome) = site.apply(&effects).unwrap();
    let effects = one.on_write(number, outcome);
    site.note(1030, "released", &mut one, &effects);
    insta::assert_snapshot!(site.trace);
}
