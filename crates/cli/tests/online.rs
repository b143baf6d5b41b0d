//! Guards against a change that is reported as done or refused although its response
//! was lost, and against a refusal that is reported as unknown.

mod common;
mod server;

use std::net::TcpListener;
use std::path::Path;

use common::run;
use server::{Script, Server};

const STORE_UNAVAILABLE: Script = Script::Answer(
    "503 Service Unavailable",
    "",
    r#"{"verdict":"not-run","reason":"store-unavailable","message":"the table service does not answer","hint":"try again later"}"#,
);
const CONFLICT: Script = Script::Answer(
    "409 Conflict",
    "",
    r#"{"verdict":"not-run","reason":"conflict","message":"version 8 was accepted first","hint":"read the accepted bundle, apply the change to it and try again","conflict":{"version":8,"keys":["requests.max-body","team typesetting.rate"]}}"#,
);
const INVALID: Script = Script::Answer(
    "422 Unprocessable Entity",
    "",
    r#"{"verdict":"not-run","reason":"invalid","message":"1 fault in alerts.yml","hint":"correct it","problems":[{"file":"alerts.yml","line":7,"key":"expr","found":"rate(x)","expected":"a range vector","hint":"write rate(x[5m])"}]}"#,
);
const OUTCOME_UNKNOWN: Script = Script::Answer(
    "504 Gateway Timeout",
    "",
    r#"{"verdict":"may-have-run","reason":"outcome-unknown","message":"the write was sent, its answer was lost","hint":"read back"}"#,
);
const ZONE: Script = Script::Answer(
    "200 OK",
    "",
    r#"{"id":"nbo-a","region":"nairobi","open":false,"version":4,"workers":5,"tasks":12,"later-field":1}"#,
);
const OTHER_SERVER: Script = Script::Answer("200 OK", "", "<html>It works!</html>");
const TRUNCATED: Script = Script::Truncate("200 OK", r#"{"id":"nbo-a""#);

/// Runs a command against a server with one scripted response; returns the output of
/// the command and, with `show_call`, what the server received.
fn call(script: Script, args: &[&str], stdin: &str, show_call: bool) -> String {
    let server = Server::start(script);
    let addr = server.addr.to_string();
    let output = with_server(&addr, args, stdin);
    let received = server.received();
    match show_call {
        true => format!("{output}received:\n{received}\n").replace(&addr, "SERVER"),
        false => output.replace(&addr, "SERVER"),
    }
}

fn with_server(addr: &str, args: &[&str], stdin: &str) -> String {
    let token =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("token-{}", std::process::id()));
    std::fs::write(&token, "secret-token\n").expect("the token is written");
    let token = token.to_str().expect("a UTF-8 path");
    let env = [
        ("CUMINDECK_TOKEN_FILE", token),
        ("CUMINDECK_SERVER", addr),
        ("CUMINDECK_CALLERS", addr),
    ];
    run(args, &env, stdin)
}

#[test]
fn changes() {
    let zone = ["zone", "out", "nbo-a"];
    let zone = |script| call(script, &zone, "", false);
    let with_timeout = ["zone", "out", "nbo-a", "--timeout", "300ms"];
    let runs = [
        (
            "done",
            call(
                ZONE,
                &["zone", "out", "nbo-a", "--expected-version", "3"],
                "",
                true,
            ),
        ),
        (
            "json",
            call(
                ZONE,
                &["zone", "out", "nbo-a", "--output", "json"],
                "",
                false,
            ),
        ),
        ("refused", zone(STORE_UNAVAILABLE)),
        ("unknown to the server", zone(OUTCOME_UNKNOWN)),
        ("answer lost", zone(Script::Close)),
        ("answer cut", zone(TRUNCATED)),
        ("another server", zone(OTHER_SERVER)),
        (
            "no answer in time",
            call(Script::Hang, &with_timeout, "", false),
        ),
    ];
    insta::assert_snapshot!(titled(&runs));
}

#[test]
fn nothing_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address").to_string();
    drop(listener);
    let output = with_server(&addr, &["zone", "out", "nbo-a"], "");
    insta::assert_snapshot!(output.replace(&addr, "SERVER"));
}

#[test]
fn reads_are_never_unknown() {
    let list = ["zone", "list"];
    let runs = [
        ("answer lost", call(Script::Close, &list, "", true)),
        (
            "unknown to the server",
            call(OUTCOME_UNKNOWN, &list, "", false),
        ),
        ("another server", call(OTHER_SERVER, &list, "", false)),
    ];
    insta::assert_snapshot!(titled(&runs));
}

#[test]
fn other_changes() {
    let apply = [
        "config",
        "apply",
        "--expected-version",
        "7",
        "samples/base.ini",
        "samples/plume.ini",
    ];
    let submit = [
        "job",
        "submit",
        "--id",
        "j1",
        "--team",
        "rescreens",
        "--region",
        "nairobi",
        "--tasks",
        "4",
        "--accelerators",
        "8",
        "--same-rack",
        "--deadline",
        "4h",
        "--",
        "screen",
        "--all",
    ];
    let too_many = [
        "job",
        "submit",
        "--team",
        "rescreens",
        "--region",
        "nairobi",
        "--tasks",
        "513",
        "--",
        "x",
    ];
    let rules = ["rules", "apply", "samples/base.ini", "--name", "alerts.yml"];
    let runs = [
        ("conflict", call(CONFLICT, &apply, "", false)),
        (
            "apply, answer lost",
            without_ids(call(Script::Close, &apply, "", false)),
        ),
        ("job, answer lost", call(Script::Close, &submit, "", true)),
        ("rules, faults", call(INVALID, &rules, "", false)),
        ("job out of limits", run(&too_many, &[], "")),
    ];
    insta::assert_snapshot!(titled(&runs));
}

#[test]
fn requests() {
    let answered = Script::Answer(
        "500 Internal Server Error",
        "x-verdict: answered\r\nx-request-id: r1\r\ncontent-type: text/plain\r\n",
        "the printer is out of paper\n",
    );
    let full = Script::Answer(
        "429 Too Many Requests",
        "x-verdict: not-run\r\nretry-after: 1\r\n",
        r#"{"verdict":"not-run","reason":"queue-full","message":"the team's queue is full","hint":"repeat after 1 s"}"#,
    );
    let claimed_without_body = Script::Answer("409 Conflict", "x-verdict: may-have-run\r\n", "");
    let claimed = Script::Answer(
        "409 Conflict",
        "x-verdict: may-have-run\r\n",
        r#"{"verdict":"may-have-run","reason":"already-claimed","message":"the request may have run","hint":"look it up"}"#,
    );
    let claim_unavailable = Script::Answer(
        "503 Service Unavailable",
        "x-verdict: not-run\r\nretry-after: 1\r\n",
        r#"{"verdict":"not-run","reason":"claim-unavailable","message":"no claim can be granted now","hint":"repeat it"}"#,
    );
    let args = [
        "request",
        "send",
        "--team",
        "market-stalls",
        "--key",
        "letter-17",
        "--content-type",
        "text/plain",
    ];
    let send = |script| call(script, &args, "Dear Awa", false);
    let runs = [
        (
            "answered by the backend server",
            call(answered, &args, "Dear Awa", true),
        ),
        ("refused", send(full)),
        ("claimed", send(claimed)),
        ("claimed, without a body", send(claimed_without_body)),
        ("no claim", send(claim_unavailable)),
        (
            "path at the backend server",
            call(
                full,
                &[&args[..], &["--path", "/letters/1"]].concat(),
                "",
                true,
            ),
        ),
        ("without verdict", send(OTHER_SERVER)),
        ("answer lost", send(Script::Close)),
        ("answer cut", send(Script::Truncate("200 OK", "Dear"))),
    ];
    insta::assert_snapshot!(titled(&runs));
}

fn titled(runs: &[(&str, String)]) -> String {
    let part = |(title, output): &(&str, String)| format!("== {title}\n{output}\n");
    runs.iter().map(part).collect()
}

/// Replaces the id of the change, which differs in each run.
fn without_ids(output: String) -> String {
    let Some((start, rest)) = output.split_once("shows change ") else {
        return output;
    };
    let Some((_, end)) = rest.split_once(' ') else {
        return output;
    };
    format!("{start}shows change ID {end}")
}
