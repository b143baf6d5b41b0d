//! Guards against invalid input from files, callers, operators and peers.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_e2e::{Process, TestSite, job, wait_for};
use googletest::prelude::*;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum time until a process that can't start has ended.
const EXIT_LIMIT: Duration = Duration::from_secs(5);
/// Maximum time until a process closes a connection after a malformed message.
const CLOSE_LIMIT: Duration = Duration::from_secs(5);
/// Maximum time until an entry of a new site is the leader.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(10);
/// Maximum length of a request body at the test site.
const MAX_BODY: usize = 1024 * 1024;
/// Maximum length of the body of an operator's call.
const MAX_CALL: usize = 4 * 1024 * 1024;

/// Starts a process with the settings of `process` in which one string is replaced. It
/// must end with an error.
async fn check_settings_rejected(
    site: &TestSite,
    process: &str,
    (old, new): (&str, &str),
    expected: &[&str],
) -> eyre::Result<()> {
    let text = std::fs::read_to_string(site.dir().join(format!("{process}.ini")))?;
    assert_that!(text, contains_substring(old));
    let text = text.replace(old, new);
    let path = site.dir().join("bad.ini");
    std::fs::write(&path, &text)?;
    let binary = if process.starts_with('e') {
        "cumindeck-entry"
    } else {
        "cumindeck-agent"
    };
    let _ = std::fs::remove_file(site.dir().join("bad.log"));
    let args = ["--settings".to_owned(), path.display().to_string()];
    let mut process = Process::start(site.dir(), "bad", binary, &args)?;
    let code = process.wait_exit(EXIT_LIMIT).await?;
    let log = process.log();
    assert_that!(code, eq(1), "{log}");
    for part in expected {
        assert_that!(log, contains_substring(*part));
    }
    assert_that!(log, not(contains_substring("panicked")));
    Ok(())
}

/// Checks that requests and calls succeed and that no process has panicked.
async fn check_unaffected(site: &TestSite) -> eyre::Result<()> {
    for entry in ["e1", "e2"] {
        let response = site.request(entry, "/echo", &[], "hello").await?;
        assert_that!(
            (response.status, response.body.as_str()),
            eq((200, "hello"))
        );
        assert_that!(site.status(entry).await, some(anything()));
    }
    for (name, process) in &site.processes {
        assert_that!(process.log(), not(contains_substring("panicked")), "{name}");
    }
    Ok(())
}

/// Guards against a process that starts with settings it misinterprets, or that ends
/// without reporting the line of the error and what to do.
#[tokio::test]
async fn bad_settings_are_rejected_with_line_and_hint() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let line = |process: &str, key: &str| -> eyre::Result<String> {
        let text = std::fs::read_to_string(site.dir().join(format!("{process}.ini")))?;
        let line = text
            .lines()
            .position(|line| line.starts_with(key))
            .ok_or_else(|| eyre::eyre!("{process}.ini has no line {key:?}"))?;
        Ok(format!("bad.ini:{}", line + 1))
    };
    for process in ["e1", "w1"] {
        let place = line(process, "drain-time")?;
        let unknown = ("drain-time = 10s", "drane-time = 10s");
        check_settings_rejected(
            &site,
            process,
            unknown,
            &[&place, "drane-time", "hint", "drain-time"],
        )
        .await?;
        let unit = ("drain-time = 10s", "drain-time = 10 lightyears");
        check_settings_rejected(
            &site,
            process,
            unit,
            &[&place, "10 lightyears", "expected", "hint"],
        )
        .await?;
        let address = format!("address = {}", site.platform);
        let named = (address.as_str(), "address = localhost:7100");
        let place = line(process, &address)?;
        check_settings_rejected(
            &site,
            process,
            named,
            &[&place, "localhost:7100", "IP number", "hint"],
        )
        .await?;
        // These settings have the addresses of a running process, whose ports are in use.
        let same = ("drain-time = 10s", "drain-time = 11s");
        let port = if process == "e1" {
            site.callers["e1"]
        } else {
            site.agent_listener("w1")
        };
        check_settings_rejected(
            &site,
            process,
            same,
            &[&port.to_string(), "no other process uses the port"],
        )
        .await?;
    }
    let token = site.dir().join("token").display().to_string();
    check_settings_rejected(
        &site,
        "e1",
        (&token, "/nonexistent/token"),
        &["/nonexistent/token"],
    )
    .await?;
    check_unaffected(&site).await
}

/// Guards against invalid requests and calls that are accepted, or rejected without a
/// reason.
#[tokio::test]
async fn bad_requests_and_calls_are_refused_with_a_reason() -> eyre::Result<()> {
    let site = TestSite::start().await?;
    let large = "x".repeat(MAX_BODY + 1);
    let response = site.request("e1", "/echo", &[], &large).await?;
    assert_that!(
        (response.status, response.verdict.as_str()),
        eq((413, "not-run"))
    );
    assert_that!(response.body, contains_substring("max-body"));
    for (name, value) in [
        ("x-timeout-ms", "soon"),
        ("x-timeout-ms", "0"),
        ("x-idempotent", "maybe"),
        ("idempotency-key", "a b\u{e9}"),
    ] {
        let response = site.request("e1", "/echo", &[(name, value)], "").await?;
        assert_that!(
            (response.status, response.verdict.as_str()),
            eq((400, "not-run")),
            "{name}: {response:?}"
        );
        assert_that!(response.body, contains_substring(name));
    }
    for headers in [&[][..], &[("x-team", "no/team")][..]] {
        let address = site.callers["e1"];
        let response = site
            .client
            .call("POST", address, "/v1/requests/echo", headers, "");
        let response = response.await?;
        assert_that!(
            (response.status, response.verdict.as_str()),
            eq((400, "not-run"))
        );
        assert_that!(response.body, contains_substring("x-team"));
    }

    let operators = site.operators["e1"];
    for token in ["", "Bearer wrong", "Basic dGVzdA=="] {
        let headers = [("authorization", token)];
        let response = site
            .client
            .call(
                "PUT",
                operators,
                "/v1/zones/zone-a",
                &headers,
                "{\"open\":false}",
            )
            .await?;
        assert_that!(response.status, eq(401));
        assert_that!(
            response.json()?["hint"].as_str(),
            some(contains_substring("token-file"))
        );
    }
    let authorized = [("authorization", "Bearer test-token")];
    let too_large = "x".repeat(MAX_CALL + 1);
    let nested = "[".repeat(100_000);
    for (status, body) in [
        (413, too_large.as_str()),
        (400, nested.as_str()),
        (400, "{"),
        (400, "{\"open\":1}"),
        (400, "{\"open\":false,\"other\":1}"),
        (400, ""),
    ] {
        let response = site
            .client
            .call(
                "PUT",
                operators,
                "/v1/zones/zone-a",
                &authorized,
                body.to_owned(),
            )
            .await?;
        assert_that!(response.status, eq(status), "{:.80}", body);
        assert_that!(response.json()?["verdict"].as_str(), some(eq("not-run")));
        assert_that!(response.json()?["hint"].as_str(), some(not(eq(""))));
    }
    let response = site
        .operator(
            "e1",
            "PUT",
            "/v1/zones/nowhere",
            Some(&json!({"open": false})),
        )
        .await?;
    assert_that!(response.status, eq(404), "{response:?}");
    // Without a leader the entry refuses jobs with another reason.
    let huge = job("huge", 513, &["forever"]);
    let response = wait_for("the response of a leader", TAKEOVER_LIMIT, async || {
        let response = site.operator("e1", "POST", "/v1/jobs", Some(&huge)).await;
        response.ok().filter(|response| response.status != 503)
    })
    .await?;
    assert_that!(response.status, eq(422), "{response:?}");
    let change = site.change("bad", 1, "max-bodie", "1MiB");
    let response = site
        .operator("e1", "PUT", "/v1/config", Some(&change))
        .await?;
    assert_that!(response.status, eq(422), "{response:?}");
    let problem = response.json()?["problems"][0].clone();
    assert_that!(problem["line"].as_u64(), some(gt(0)), "{problem}");
    assert_that!(
        problem["key"].as_str(),
        some(contains_substring("max-bodie"))
    );
    for key in ["found", "expected", "hint"] {
        assert_that!(problem[key].as_str(), some(not(eq(""))), "{problem}");
    }
    let zones = site.operator("e1", "GET", "/v1/zones/zone-a", None).await?;
    assert_that!(zones.json()?["open"].as_bool(), some(eq(true)));
    check_unaffected(&site).await
}

/// Sends bytes and reads until the peer closes the connection.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let mut response = Vec::new();
    // A peer that has already closed the connection rejects the remaining bytes.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let read = tokio::time::timeout(CLOSE_LIMIT, stream.read_to_end(&mut response));
    // A reset also closes the connection.
    let _ = read.await?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Guards against malformed messages that end a process or disturb other peers.
#[tokio::test]
async fn malformed_frames_disturb_no_other_peer() -> eyre::Result<()> {
    let mut site = TestSite::start().await?;
    let listeners = [site.entry_listener("e1"), site.agent_listener("w1")];
    let frames: [&[u8]; 5] = [
        b"GET / HTTP/1.1\r\n\r\n",
        // One segment of 2^32-1 words.
        &[0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        // 2^32 segments.
        &[0xff; 64],
        // A complete frame of zeros, which is not a message of the protocol.
        &[0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
        // A truncated frame.
        &[0, 0, 0, 0, 16, 0, 0, 0, 1, 2, 3],
    ];
    for address in listeners {
        for frame in frames {
            send_raw(address, frame).await?;
        }
    }
    for name in ["e1", "w1"] {
        wait_for(
            "the closed connection to be logged",
            CLOSE_LIMIT,
            async || {
                let log = site.process(name).ok()?.log();
                log.contains("event=connection_closed").then_some(())
            },
        )
        .await?;
    }
    for address in [
        site.callers["e1"],
        site.operators["e1"],
        site.agent_admin("w1"),
    ] {
        for bytes in [
            &b"\x00\x01\x02\r\n\r\n"[..],
            b"POST /v1/requests HTTP/1.1\r\ncontent-length: x\r\n\r\n",
        ] {
            let response = send_raw(address, bytes).await?;
            assert_that!(response, any![eq(""), starts_with("HTTP/1.1 400")]);
        }
        let many = format!("GET /healthz HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(2_000));
        let response = send_raw(address, many.as_bytes()).await?;
        assert_that!(response, any![eq(""), starts_with("HTTP/1.1 4")]);
    }
    // A request with a truncated body must not run.
    let half = b"POST /v1/requests/count/half HTTP/1.1\r\nhost: x\r\nx-team: letters\r\ncontent-length: 10\r\n\r\nabc";
    send_raw(site.callers["e1"], half).await?;
    assert_that!(site.calls("half").await?, eq(0));
    check_unaffected(&site).await
}
