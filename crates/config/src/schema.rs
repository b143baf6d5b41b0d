//! Schemas: which sections and keys a settings file may have.

use crate::error::{ConfigError, ErrorCollector, quoted};
use crate::ini::{IniFile, IniSection};
use crate::nearest::nearest;
use crate::value::CheckResult;

/// Name of the template section, whose values apply to all sections of its kind that
/// don't set them.
pub const TEMPLATE: &str = "*";

/// Sections that a settings file may have.
#[derive(Debug)]
pub struct Schema {
    pub sections: &'static [SectionSpec],
}

/// A section that a file may have, once or under several names.
#[derive(Debug)]
pub struct SectionSpec {
    /// First word of the section header.
    pub kind: &'static str,
    /// Validates the name; set for sections of the form `[team NAME]`.
    pub name_check: Option<fn(&str) -> CheckResult>,
    pub keys: &'static [KeySpec],
}

/// A key that a section may have.
#[derive(Debug)]
pub struct KeySpec {
    pub name: &'static str,
    /// Whether a value must be given.
    pub requirement: Requirement,
    /// Description of a valid value, for errors.
    pub expected: &'static str,
    /// Validates the value; the error is a hint for the operator.
    pub check: fn(&str) -> CheckResult,
}

/// Whether a value must be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Requirement {
    /// The value must be given.
    Mandatory,
    /// This value applies if none is given.
    Default(&'static str),
    /// The value may be absent.
    Optional,
}

/// Kind and name in a section header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SectionName<'a> {
    /// First word of the header, such as `team`.
    pub kind: &'a str,
    /// Rest of the header; set for sections of the form `[team NAME]`.
    pub name: Option<&'a str>,
}

impl<'a> SectionName<'a> {
    /// Splits the header, given without its brackets.
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
    /// Returns the specification of a section, if the schema has one.
    pub fn spec(&self, section: &str) -> Option<&'static SectionSpec> {
        let name = SectionName::split(section);
        let spec = self.sections.iter().find(|spec| spec.kind == name.kind)?;
        (spec.name_check.is_some() == name.name.is_some()).then_some(spec)
    }

    /// Validates the sections, keys and values of a file.
    pub fn check(&self, file: &IniFile, errors: &mut ErrorCollector) {
        for section in &file.sections {
            let Some(spec) = self.spec(&section.name) else {
                errors.add(self.unknown_section(file, section));
                continue;
            };
            check_name(file, section, spec, errors);
            for prop in &section.props {
                let mut error = ConfigError {
                    file: file.name.clone(),
                    line: prop.line,
                    key: format!("{}.{}", section.name, prop.key),
                    found: quoted(&prop.value),
                    expected: String::new(),
                    hint: String::new(),
                };
                let Some(key) = spec.key(&prop.key) else {
                    error.found = format!("the unknown key {:?}", prop.key);
                    error.expected = spec.known_keys();
                    error.hint = spec.hint(&prop.key);
                    errors.add(error);
                    continue;
                };
                // An empty value selects the default, or leaves an optional key unset.
                // For a mandatory key, it is reported when the files are merged.
                if prop.value.is_empty() {
                    continue;
                }
                if let Err(hint) = (key.check)(&prop.value) {
                    error.expected = key.expected.into();
                    error.hint = hint;
                    errors.add(error);
                }
            }
        }
    }

    /// Creates the error for an unknown section.
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
    /// Returns the specification of a key.
    pub fn key(&self, name: &str) -> Option<&'static KeySpec> {
        self.keys.iter().find(|key| key.name == name)
    }

    /// Returns the section header without its brackets.
    pub fn section_name(&self, name: Option<&str>) -> String {
        match name {
            Some(name) => format!("{} {name}", self.kind),
            None => self.kind.to_owned(),
        }
    }

    /// Lists the known keys, for errors.
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

fn check_name(
    file: &IniFile,
    section: &IniSection,
    spec: &SectionSpec,
    errors: &mut ErrorCollector,
) {
    let Some((name, check)) = SectionName::split(&section.name).name.zip(spec.name_check) else {
        return;
    };
    if name == TEMPLATE {
        return;
    }
    if let Err(hint) = check(name) {
        errors.add(ConfigError {
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
