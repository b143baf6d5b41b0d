//! Guards against settings that are accepted wrongly, or refused without file,
//! line and hint. The cases are files in `tests/cases`.

use std::fmt::{Debug, Display};

use cumindeck_config::{AgentSettings, EntrySettings};

#[test]
fn process_settings() {
    datadriven::walk("tests/cases/process", |file| {
        file.run(|case| match case.directive.as_str() {
            "entry" => show(EntrySettings::parse("entry.ini", &case.input)),
            "agent" => show(AgentSettings::parse("agent.ini", &case.input)),
            other => format!("unknown directive {other}\n"),
        });
    });
}

#[test]
fn process_samples() {
    let entry = |name, text| EntrySettings::parse(name, text).map(drop);
    let agent = |name, text| AgentSettings::parse(name, text).map(drop);
    macro_rules! sample {
        ($parse:ident, $path:literal) => {
            let text = include_str!(concat!("../../../samples/", $path));
            assert_eq!($parse($path, text), Ok(()));
        };
    }
    sample!(entry, "plume/entry-1.ini");
    sample!(agent, "plume/agent-1.ini");
    sample!(entry, "mizani/entry-1.ini");
    sample!(agent, "mizani/agent-1.ini");
}

fn show<T: Debug, E: Display>(result: Result<T, E>) -> String {
    match result {
        Ok(settings) => format!("{settings:#?}\n"),
        Err(err) => format!("{err}\n"),
    }
}
