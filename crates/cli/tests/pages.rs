//! Guards against operators' pages that show outdated output or outdated commands.

use std::path::Path;
use std::process::Command;

/// Placeholder on a page for an output that needs a running site.
const TO_BE_FILLED_IN: &str = "(output: to be filled in";

#[test]
fn outputs_on_pages_match_the_commands() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let pages = root.join("docs/operators").read_dir().expect("the pages");
    let mut checked = 0;
    for page in pages {
        let path = page.expect("a page").path();
        let text = std::fs::read_to_string(&path).expect("a page as text");
        for block in text.split("```\n").filter(|block| block.starts_with("$ ")) {
            if block.contains(TO_BE_FILLED_IN) {
                continue;
            }
            let (command, expected) = block[2..].split_once('\n').expect("a command");
            let found = run(root, command);
            assert_eq!(found, expected, "{}: {command}", path.display());
            checked += 1;
        }
    }
    assert!(checked > 5, "only {checked} outputs were found");
}

/// Guards against commands on pages that the command line no longer accepts; only
/// their output needs a running site.
#[test]
fn commands_for_a_running_site_are_accepted() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    let token = Path::new(env!("CARGO_TARGET_TMPDIR")).join("pages-token");
    std::fs::write(&token, "secret-token\n").expect("the token is written");
    let folder = root.join("docs/operators").read_dir().expect("the pages");
    let pages = folder.map(|page| page.expect("a page").path());
    let mut checked = 0;
    for path in pages.chain([root.join("README.md")]) {
        let text = std::fs::read_to_string(&path).expect("a page as text");
        let blocks = text.split("```console\n").skip(1);
        let lines = blocks.flat_map(|rest| rest.split("```").next().unwrap_or("").lines());
        for command in lines.filter_map(|line| line.strip_prefix("$ ")) {
            // Nested commands need the response of a running site.
            if !command.contains("cumindeck ") || command.contains("$(") {
                continue;
            }
            let env = format!(
                "export CUMINDECK_SERVER=127.0.0.1:9 CUMINDECK_CALLERS=127.0.0.1:9 \
                 CUMINDECK_TOKEN_FILE={}; ",
                token.display()
            );
            let found = run(root, &(env + command));
            let page = path.display();
            assert!(
                found.contains("can't connect to 127.0.0.1:9"),
                "{page}: {command}\n{found}"
            );
            checked += 1;
        }
    }
    assert!(checked > 20, "only {checked} commands were found");
}

/// Runs a command as a reader of the page would, and appends its exit status.
fn run(root: &Path, command: &str) -> String {
    let binary = Path::new(env!("CARGO_BIN_EXE_cumindeck"));
    let folder = binary.parent().expect("a folder").display();
    let output = Command::new("bash")
        .args(["-c", command])
        .current_dir(root)
        .env_clear()
        .env("PATH", format!("{folder}:/usr/bin:/bin"))
        .output()
        .expect("bash starts");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    let (stdout, stderr) = (text(output.stdout), text(output.stderr));
    let status = output.status.code().expect("an exit status");
    format!("{stdout}{stderr}$ echo $?\n{status}\n")
}
