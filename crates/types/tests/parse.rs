//! Guards against strings that are wrongly accepted or rejected, and against errors
//! that don't say what was expected.

use std::fmt::{Debug, Display};
use std::str::FromStr;

use cumindeck_types::{
    ByteSize, IdempotencyKey, PerSecond, Remaining, Shape, TeamId, TraceContext,
};

/// Parses each string and returns one line per string with its result.
fn results<T>(texts: &[&str]) -> String
where
    T: FromStr<Err: Display> + Debug + Display,
{
    let line = |text: &&str| match text.parse::<T>() {
        Ok(value) => format!("{text:?} -> {value}\n"),
        Err(err) => format!("{text:?} -> error: {err}\n"),
    };
    texts.iter().map(line).collect()
}

#[test]
fn shapes() {
    insta::assert_snapshot!(results::<Shape>(&[
        "1xrack",
        "2xhalf, 1xrack",
        "1xworker,1xworker",
        "0xworker",
        "3xnode",
        "worker",
        "",
    ]));
}

#[test]
fn sizes_rates_and_durations() {
    let sizes = results::<ByteSize>(&["64KiB", "1536KiB", "7B", "64", "5kb", "-1B"]);
    let rates = results::<PerSecond>(&["20/s", "0.5/s", "20", "-1/s", "NaN/s"]);
    let durations = results::<Remaining>(&["250ms", "2s", "75m", "3", "5 days", "99999999999999h"]);
    insta::assert_snapshot!(format!("{sizes}\n{rates}\n{durations}"));
}

#[test]
fn identifiers() {
    insta::assert_snapshot!(results::<TeamId>(&[
        "letters",
        "a.b-c_1",
        "",
        "two words",
        "Thiès"
    ]));
}

#[test]
fn trace_contexts() {
    insta::assert_snapshot!(results::<TraceContext>(&[
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-00000000000000000000000000000000-b7ad6b7169203331-01",
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
        "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
        "short",
    ]));
}

#[test]
fn time_of_idempotency_keys() {
    let keys = [
        "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
        "01ARZ3NDEKTSV4RRFFQ69G5FAV",
        "4f1c3f9e-0b1b-4b8e-9a43-0f0c5a3c2d11",
        "letter-17",
    ];
    let line = |key: &&str| {
        let parsed: IdempotencyKey = key.parse().expect("valid key");
        format!("{key} -> {:?}\n", parsed.made_at())
    };
    insta::assert_snapshot!(keys.iter().map(line).collect::<String>());
}
