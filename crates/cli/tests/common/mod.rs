//! Runs the built binary.

use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the binary in the root of the repository; returns its exit status and output.
pub fn run(args: &[&str], env: &[(&str, &str)], stdin: &str) -> String {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cumindeck"))
        .args(args)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
        .env_clear()
        .envs(env.iter().copied())
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary starts");
    let mut input = child.stdin.take().expect("a pipe");
    // The command may end without reading its input.
    let _ = input.write_all(stdin.as_bytes());
    drop(input);
    let output = child.wait_with_output().expect("the binary ends");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    format!(
        "exit {}\nstdout:\n{}stderr:\n{}",
        output.status.code().expect("an exit status"),
        text(&output.stdout),
        text(&output.stderr)
    )
}
