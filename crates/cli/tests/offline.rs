//! Guards against wrong exit statuses and messages of commands that need no server.

mod common;

/// Runs a command without input.
fn run(args: &[&str]) -> String {
    common::run(args, &[], "")
}

const PLUME_FILES: [&str; 2] = ["samples/base.ini", "samples/plume.ini"];
const INVALID_OVERLAY: &str = "crates/cli/tests/files/faulty/plume.ini";
const RULES_DIR: &str = "crates/cli/tests/files/rules";
const CHANGED_BASE: &str = "crates/cli/tests/files/changed/base.ini";

#[test]
fn check() {
    let mizani = "samples/mizani.ini";
    let runs = [
        run(&["config", "check", PLUME_FILES[0], PLUME_FILES[1], mizani]),
        run(&[
            "config",
            "check",
            PLUME_FILES[0],
            PLUME_FILES[1],
            "--output",
            "json",
        ]),
        run(&["config", "check", PLUME_FILES[0]]),
        run(&["config", "check", PLUME_FILES[0], INVALID_OVERLAY]),
        run(&[
            "config",
            "check",
            PLUME_FILES[0],
            INVALID_OVERLAY,
            "--output",
            "json",
        ]),
        run(&[
            "config",
            "check",
            PLUME_FILES[0],
            PLUME_FILES[1],
            INVALID_OVERLAY,
        ]),
        run(&["config", "check", "samples/no-such-file.ini"]),
        run(&["config", "check", PLUME_FILES[0], "samples"]),
    ];
    insta::assert_snapshot!(runs.join("\n"));
}

#[test]
fn show_and_explain() {
    let files = ["--files", PLUME_FILES[0], PLUME_FILES[1]];
    let run = |args: &[&str]| run(&[args, &files].concat());
    let runs = [
        run(&["config", "show"]),
        run(&["config", "show", "--site", "plume"]),
        run(&["config", "show", "--site", "mizani"]),
        run(&["config", "show", "--raw", "plume"]),
        run(&["config", "explain", "requests.default-timeout"]),
        run(&[
            "config",
            "explain",
            "team typesetting.rate",
            "--output",
            "json",
        ]),
        run(&["config", "explain", "requests.default-timout"]),
    ];
    insta::assert_snapshot!(runs.join("\n"));
}

#[test]
fn diff() {
    let old = ["--old", PLUME_FILES[0], PLUME_FILES[1]];
    let run = |args: &[&str]| run(&[args, &old].concat());
    let runs = [
        run(&["config", "diff", CHANGED_BASE, PLUME_FILES[1]]),
        run(&[
            "config",
            "diff",
            CHANGED_BASE,
            PLUME_FILES[1],
            "--output",
            "json",
        ]),
        run(&["config", "diff", PLUME_FILES[0], PLUME_FILES[1]]),
    ];
    insta::assert_snapshot!(runs.join("\n"));
}

#[test]
fn unusable_command_lines() {
    let runs = [
        run(&["zone", "out"]),
        run(&["--server", "localhost:7081", "status"]),
        run(&["--timeout", "30", "status"]),
        run(&["status"]),
        run(&["--token-file", "samples/no-such-file", "status"]),
        run(&["worker", "fence", "w1", "--incarnation", "3"]),
        run(&["config", "apply", PLUME_FILES[0], PLUME_FILES[1]]),
    ];
    insta::assert_snapshot!(runs.join("\n"));
}

#[test]
fn rules_check() {
    let check = |name: &str| run(&["rules", "check", &format!("{RULES_DIR}/{name}")]);
    let expression = format!("{RULES_DIR}/expression.yml");
    let runs = [
        check("good.yml"),
        run(&["rules", "check", &expression]),
        run(&["rules", "check", &expression, "--output", "json"]),
        check("function.yml"),
        check("unknown-key.yml"),
        check("duplicate-group.yml"),
        run(&["rules", "check", PLUME_FILES[0]]),
        check("no-such-file.yml"),
        run(&["rules", "check"]),
    ];
    insta::assert_snapshot!(runs.join("\n"));
}

#[test]
fn completion() {
    for shell in ["bash", "zsh", "fish"] {
        let output = run(&["completion", shell]);
        assert!(output.starts_with("exit 0\nstdout:\n"), "{shell}: {output}");
        assert!(output.contains("cumindeck"), "{shell}: {output}");
    }
}
