//! Merge of a base file with an overlay, with the origin of every value.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use crate::error::{ConfigError, ConfigErrors, Faults};
use crate::ini::{IniFile, IniProp};
use crate::nearest::nearest;
use crate::schema::{KeySpec, Need, Schema, SectionName, SectionSpec, TEMPLATE};
use crate::value::ValueError;

/// Values in force, with their origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effective {
    /// Sections in the order of the schema, then by name.
    pub sections: Vec<EffectiveSection>,
}

/// A section with values in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveSection {
    /// Kind, such as `team`.
    pub kind: &'static str,
    /// Name, for sections such as `[team NAME]`.
    pub name: Option<String>,
    /// Values in the order of the schema.
    pub values: Vec<EffectiveValue>,
}

/// A value in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveValue {
    /// Key with its section.
    pub path: SettingPath,
    /// Text, or `None` if an optional value is absent.
    pub text: Option<String>,
    /// Where the value comes from.
    pub origin: Origin,
    /// Values that this one replaces, the nearest first.
    pub replaced: Vec<(String, Origin)>,
}

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A line of a file.
    File {
        /// Name of the file.
        file: String,
        /// Line from 1.
        line: u32,
    },
    /// The program's default.
    BuiltIn,
}

impl Display for Origin {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { file, line } => write!(f, "{file}:{line}"),
            Self::BuiltIn => f.write_str("built in"),
        }
    }
}

/// A section and a key, such as `requests.max-body` or `team plateau.rate`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SettingPath {
    /// Text between the section's brackets.
    pub section: String,
    /// Key.
    pub key: String,
}

impl FromStr for SettingPath {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        // Names may contain dots, keys don't.
        let parts = text.rsplit_once('.');
        let Some((section, key)) = parts.filter(|(s, k)| !s.is_empty() && !k.is_empty()) else {
            let msg = "write SECTION.KEY, such as requests.max-body or \"team plateau.rate\"";
            return Err(ValueError(format!("{text:?} is not a key; {msg}")));
        };
        Ok(Self {
            section: section.to_owned(),
            key: key.to_owned(),
        })
    }
}

impl Display for SettingPath {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section, self.key)
    }
}

impl Effective {
    /// Merges checked files; faults are added to `faults`.
    pub(crate) fn merge(
        schema: &Schema,
        base: &IniFile,
        overlay: Option<&IniFile>,
        faults: &mut Faults,
    ) -> Self {
        let mut sections = Vec::new();
        for spec in schema.sections {
            for name in names(spec, base, overlay) {
                let section = spec.section_name(name);
                let value = |key| value(spec, &section, key, base, overlay, faults);
                sections.push(EffectiveSection {
                    kind: spec.kind,
                    name: name.map(str::to_owned),
                    values: spec.keys.iter().map(value).collect(),
                });
            }
        }
        Self { sections }
    }

    /// Returns all values.
    pub fn values(&self) -> impl Iterator<Item = &EffectiveValue> {
        self.sections.iter().flat_map(|section| &section.values)
    }

    /// Returns a value.
    #[must_use]
    pub fn value(&self, path: &SettingPath) -> Option<&EffectiveValue> {
        self.values().find(|value| value.path == *path)
    }

    /// Returns the known key that is nearest to an unknown one.
    #[must_use]
    pub fn nearest(&self, unknown: &SettingPath) -> Option<String> {
        let known: Vec<_> = self.values().map(|value| value.path.to_string()).collect();
        let unknown = unknown.to_string();
        nearest(&unknown, known.iter().map(String::as_str)).map(str::to_owned)
    }

    /// Returns the section without a name.
    pub(crate) fn section(&self, kind: &str) -> &EffectiveSection {
        self.of_kind(kind)
            .next()
            .expect("each section without a name is merged")
    }

    /// Returns the sections of a kind.
    pub(crate) fn of_kind(&self, kind: &str) -> impl Iterator<Item = &EffectiveSection> {
        self.sections
            .iter()
            .filter(move |section| section.kind == kind)
    }
}

impl EffectiveSection {
    /// Returns the typed name that the schema has checked.
    pub(crate) fn typed_name<T: FromStr>(&self) -> Result<T, ConfigErrors> {
        let name = self.name.as_deref().unwrap_or("");
        name.parse().map_err(|_| {
            let first = self.values.first().expect("each section has keys");
            first.fault("a valid name of the section").into()
        })
    }

    /// Returns a value that the schema knows.
    pub(crate) fn value(&self, key: &str) -> &EffectiveValue {
        let value = self.values.iter().find(|value| value.path.key == key);
        value.expect("each key of the schema is merged")
    }

    /// Returns a typed value that the schema has checked.
    pub(crate) fn get<T: FromStr>(&self, key: &str) -> Result<T, ConfigErrors> {
        let value = self.value(key);
        let text = value.text.as_deref().unwrap_or("");
        text.parse()
            .map_err(|_| value.fault("a value that fits the key").into())
    }

    /// Returns a typed value that may be absent.
    pub(crate) fn get_opt<T: FromStr>(&self, key: &str) -> Result<Option<T>, ConfigErrors> {
        match self.value(key).text {
            Some(_) => self.get(key).map(Some),
            None => Ok(None),
        }
    }
}

impl EffectiveValue {
    /// Makes a fault at the place of this value.
    pub(crate) fn fault(&self, expected: impl Into<String>) -> ConfigError {
        let (file, line) = match &self.origin {
            Origin::File { file, line } => (file.clone(), *line),
            Origin::BuiltIn => ("built in".into(), 0),
        };
        ConfigError {
            file,
            line,
            key: self.path.to_string(),
            found: match &self.text {
                Some(text) => crate::error::quoted(text),
                None => "no value".into(),
            },
            expected: expected.into(),
            hint: "correct the value".into(),
        }
    }
}

/// Returns the names under which a kind of section exists.
fn names<'a>(
    spec: &SectionSpec,
    base: &'a IniFile,
    overlay: Option<&'a IniFile>,
) -> BTreeSet<Option<&'a str>> {
    if spec.name_check.is_none() {
        return BTreeSet::from([None]);
    }
    let sections = base
        .sections
        .iter()
        .chain(overlay.iter().flat_map(|file| &file.sections));
    sections
        .map(|section| SectionName::split(&section.name))
        .filter(|name| name.kind == spec.kind && name.name != Some(TEMPLATE))
        .map(|name| name.name)
        .filter(Option::is_some)
        .collect()
}

/// Finds the value of a key: the overlay before the base, a name before the
/// template.
fn value(
    spec: &SectionSpec,
    section: &str,
    key: &KeySpec,
    base: &IniFile,
    overlay: Option<&IniFile>,
    faults: &mut Faults,
) -> EffectiveValue {
    let template = spec.section_name(Some(TEMPLATE));
    let files = || overlay.into_iter().chain([base]);
    let find = |file: &IniFile, section: &str| {
        let prop = file.prop(section, key.name)?;
        Some((prop.value.clone(), origin(file, prop)))
    };
    let named = files().filter_map(|file| find(file, section));
    let shared = files().filter_map(|file| find(file, &template));
    let mut found: Vec<_> = named.chain(shared).collect();
    let path = SettingPath {
        section: section.to_owned(),
        key: key.name.to_owned(),
    };
    let first = (!found.is_empty()).then(|| found.remove(0));
    let mut value = EffectiveValue {
        path,
        text: None,
        origin: Origin::BuiltIn,
        replaced: found,
    };
    match (first, key.need) {
        (Some((text, origin)), _) if !text.is_empty() => {
            value.text = Some(text);
            value.origin = origin;
        }
        (first, Need::Default(text)) => {
            value.text = Some(text.to_owned());
            value.replaced.splice(0..0, first);
        }
        (Some((_, origin)), Need::Optional) => value.origin = origin,
        (None, Need::Optional) => {}
        (first, Need::Mandatory) => {
            value.origin = first.map_or_else(
                || Origin::File {
                    file: overlay.unwrap_or(base).name.clone(),
                    line: section_line(section, base, overlay),
                },
                |(_, origin)| origin,
            );
            let mut fault = value.fault(key.expected);
            fault.hint = format!("set {:?} under [{section}]", key.name);
            faults.add(fault);
        }
    }
    value
}

fn origin(file: &IniFile, prop: &IniProp) -> Origin {
    Origin::File {
        file: file.name.clone(),
        line: prop.line,
    }
}

/// Returns the line of a section in the file that a fault names, or 0.
fn section_line(section: &str, base: &IniFile, overlay: Option<&IniFile>) -> u32 {
    overlay
        .unwrap_or(base)
        .section(section)
        .map_or(0, |section| section.line)
}
