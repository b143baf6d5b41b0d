//! Guards against invalid settings that are accepted, and against errors without
//! file, line and hint. The cases are files in `tests/cases`.

use std::fmt::{Debug, Display};

use std::collections::BTreeMap;

use cumindeck_config::{AgentSettings, Bundle, CheckedBundle, EntrySettings, SettingPath};

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

/// In the input, each overlay of a bundle follows a line such as `== plume`. The
/// input of `explain` starts with a line such as `key site.name`. The input of
/// `diff` contains two bundles, separated by a line `==== new`.
#[test]
fn bundles() {
    datadriven::walk("tests/cases/bundle", |file| {
        file.run(|case| {
            let (key, input) = match case.input.strip_prefix("key ") {
                Some(rest) => rest.split_once('\n').unwrap_or((rest, "")),
                None => ("", case.input.as_str()),
            };
            let (old, new) = input.split_once("==== new\n").unwrap_or((input, ""));
            let checked = match CheckedBundle::try_from(bundle(old)) {
                Ok(checked) => checked,
                Err(err) => return format!("{err}\n"),
            };
            match case.directive.as_str() {
                "check" => "accepted\n".to_owned(),
                "effective" => effective(&checked),
                "explain" => explain(&checked, key),
                "diff" => match CheckedBundle::try_from(bundle(new)) {
                    Ok(new) => diff(&checked, &new),
                    Err(err) => format!("{err}\n"),
                },
                other => format!("unknown directive {other}\n"),
            }
        });
    });
}

#[test]
fn bundle_samples() {
    let base = include_str!("../../../samples/base.ini");
    let overlays = [
        ("plume", include_str!("../../../samples/plume.ini")),
        ("mizani", include_str!("../../../samples/mizani.ini")),
    ];
    let site = |(name, text): (&str, &str)| (name.parse().expect("a name"), text.to_owned());
    let bundle = Bundle::from_texts(base.to_owned(), overlays.map(site).into());
    let checked = CheckedBundle::try_from(bundle.clone()).expect("valid samples");
    assert_eq!(checked.bundle(), &bundle, "the contents are kept verbatim");
    let settings: Vec<_> = checked.sites().map(|(_, site)| &site.settings).collect();
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn limits() {
    let long_line = format!("[site]\nname = {}\n", "x".repeat(5_000));
    let many_sections: String = (0..2_100).map(|i| format!("[team t{i}]\n")).collect();
    let big_file = "; comment\n".repeat(110_000);
    let many_keys: String = (0..100).map(|i| format!("k{i} = 1\n")).collect();
    let texts = [
        long_line,
        many_sections,
        big_file,
        format!("[site]\n{many_keys}"),
    ];
    let first = |base: String| {
        let bundle = Bundle::from_texts(base, BTreeMap::from([site_overlay()]));
        let err = CheckedBundle::try_from(bundle).expect_err("a limit is exceeded");
        format!("{}\n", err.as_slice()[0])
    };
    insta::assert_snapshot!(texts.map(first).concat());
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

fn site_overlay() -> (cumindeck_config::SiteName, String) {
    ("plume".parse().expect("a name"), String::new())
}

fn bundle(input: &str) -> Bundle {
    let mut parts = input.split("== ");
    let base = parts.next().unwrap_or("").to_owned();
    let overlay = |part: &str| {
        let (name, text) = part.split_once('\n').unwrap_or((part, ""));
        (name.parse().expect("a name"), text.to_owned())
    };
    Bundle::from_texts(base, parts.map(overlay).collect())
}

fn effective(bundle: &CheckedBundle) -> String {
    let mut out = String::new();
    for (name, site) in bundle.sites() {
        out.push_str(&format!("site {name}\n"));
        for value in site.effective.values() {
            let text = value.text.as_deref().unwrap_or("(none)");
            out.push_str(&format!("  {} = {text} ({})\n", value.path, value.origin));
        }
    }
    out
}

fn explain(bundle: &CheckedBundle, key: &str) -> String {
    let path: SettingPath = key.parse().expect("a key");
    let mut out = String::new();
    for (name, site) in bundle.sites() {
        let Some(value) = site.effective.value(&path) else {
            continue;
        };
        let text = value.text.as_deref().unwrap_or("(none)");
        out.push_str(&format!("{name}: {text} ({})\n", value.origin));
        for (text, origin) in &value.replaced {
            out.push_str(&format!("  replaces {text:?} ({origin})\n"));
        }
    }
    out
}

fn diff(old: &CheckedBundle, new: &CheckedBundle) -> String {
    let line = |change: cumindeck_config::Change| {
        let (site, path) = (change.site, change.path);
        format!("{site}: {path}: {:?} -> {:?}\n", change.old, change.new)
    };
    old.diff(new).into_iter().map(line).collect()
}
