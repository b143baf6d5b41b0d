//! Which sections and keys a file may have.

use crate::error::{ConfigError, Faults, quoted};
use crate::ini::{IniFile, IniSection};
use crate::nearest::nearest;
use crate::value::Checked;

/// Name of the section that holds the values for all names of its kind.
pub const TEMPLATE: &str = "*";

/// A kind of file.
#[derive(Debug)]
pub struct Schema {
    /// Sections.
    pub sections: &'static [SectionSpec],
}

/// A kind of section.
#[derive(Debug)]
pub struct SectionSpec {
    /// First word of the section's name.
    pub kind: &'static str,
    /// Check of the second word, for sections such as `[team NAME]`.
    pub name_check: Option<fn(&str) -> Checked>,
    /// Keys.
    pub keys: &'static [KeySpec],
}

/// A key.
#[derive(Debug)]
pub struct KeySpec {
    /// Name.
    pub name: &'static str,
    /// Whether the key needs a value.
    pub need: Need,
    /// What the value is, for errors.
    pub expected: &'static str,
    /// Check of the value's text; the error is a hint.
    pub check: fn(&str) -> Checked,
}

/// Whether a key needs a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// A value must be given.
    Mandatory,
    /// Without a value, this text is in force.
    Default(&'static str),
    /// The value may be absent.
    Optional,
}

/// A section's kind and name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SectionName<'a> {
    /// First word.
    pub kind: &'a str,
    /// Rest, for sections such as `[team NAME]`.
    pub name: Option<&'a str>,
}

impl<'a> SectionName<'a> {
    /// Splits the text between the brackets.
    pub fn split(text: &'a str) -> Self {
        match text.split_once(' ') {
            Some((kind, name)) => Self {
                kind,
                name: Some(name.trim_start()),
            },
            None => Self {
                kind: text,
                name: None,
            },
        }
    }
}

impl Schema {
    /// Returns the kind of a section.
    pub fn spec(&self, section: &str) -> Option<&'static SectionSpec> {
        let name = SectionName::split(section);
        let spec = self.sections.iter().find(|spec| spec.kind == name.kind)?;
        (spec.name_check.is_some() == name.name.is_some()).then_some(spec)
    }

    /// Checks the sections, keys and values of a file.
    pub fn check(&self, file: &IniFile, faults: &mut Faults) {
        for section in &file.sections {
            let Some(spec) = self.spec(&section.name) else {
                faults.add(self.unknown_section(file, section));
                continue;
            };
            check_name(file, section, spec, faults);
            for prop in &section.props {
                let mut fault = ConfigError {
                    file: file.name.clone(),
                    line: prop.line,
                    key: format!("{}.{}", section.name, prop.key),
                    found: quoted(&prop.value),
                    expected: String::new(),
                    hint: String::new(),
                };
                let Some(key) = spec.key(&prop.key) else {
                    fault.found = format!("the unknown key {:?}", prop.key);
                    fault.expected = spec.known_keys();
                    fault.hint = spec.hint(&prop.key);
                    faults.add(fault);
                    continue;
                };
                if prop.value.is_empty() {
                    continue;
                }
                if let Err(hint) = (key.check)(&prop.value) {
                    fault.expected = key.expected.into();
                    fault.hint = hint;
                    faults.add(fault);
                }
            }
        }
    }

    /// Makes the fault for an unknown section.
    fn unknown_section(&self, file: &IniFile, section: &IniSection) -> ConfigError {
        let form = |spec: &SectionSpec| match spec.name_check {
            Some(_) => format!("[{} NAME]", spec.kind),
            None => format!("[{}]", spec.kind),
        };
        let known: Vec<_> = self.sections.iter().map(form).collect();
        let kinds = self.sections.iter().map(|spec| spec.kind);
        let near = nearest(SectionName::split(&section.name).kind, kinds);
        let near = self.sections.iter().find(|spec| Some(spec.kind) == near);
        ConfigError {
            file: file.name.clone(),
            line: section.line,
            key: format!("[{}]", section.name),
            found: "an unknown section".into(),
            expected: format!("one of {}", known.join(", ")),
            hint: match near {
                Some(spec) => format!("did you mean {}?", form(spec)),
                None => "remove the section".into(),
            },
        }
    }
}

impl SectionSpec {
    /// Returns a key.
    pub fn key(&self, name: &str) -> Option<&'static KeySpec> {
        self.keys.iter().find(|key| key.name == name)
    }

    /// Returns the text between the brackets.
    pub fn section_name(&self, name: Option<&str>) -> String {
        match name {
            Some(name) => format!("{} {name}", self.kind),
            None => self.kind.to_owned(),
        }
    }

    /// Lists the known keys.
    fn known_keys(&self) -> String {
        let names: Vec<_> = self.keys.iter().map(|key| key.name).collect();
        format!("one of {}", names.join(", "))
    }

    /// Returns the hint for an unknown key.
    fn hint(&self, unknown: &str) -> String {
        match nearest(unknown, self.keys.iter().map(|key| key.name)) {
            Some(near) => format!("did you mean {near:?}?"),
            None => "remove the line".into(),
        }
    }
}

fn check_name(file: &IniFile, section: &IniSection, spec: &SectionSpec, faults: &mut Faults) {
    let Some((name, check)) = SectionName::split(&section.name).name.zip(spec.name_check) else {
        return;
    };
    if name == TEMPLATE {
        return;
    }
    if let Err(hint) = check(name) {
        faults.add(ConfigError {
            file: file.name.clone(),
            line: section.line,
            key: format!("[{}]", section.name),
            found: quoted(name),
            expected: format!(
                "the name of one {}, or {TEMPLATE:?} for all of them",
                spec.kind
            ),
            hint,
        });
    }
}
