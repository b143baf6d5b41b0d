//! Merges a base file with an overlay and records the origin of every value.

use std::collections::BTreeSet;
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use crate::error::{ConfigError, ConfigErrors, ErrorCollector};
use crate::ini::{IniFile, IniProp};
use crate::nearest::nearest;
use crate::schema::{KeySpec, Requirement, Schema, SectionName, SectionSpec, TEMPLATE};
use crate::value::ValueError;

/// Effective values with their origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveSettings {
    /// Sections in schema order, then by name.
    pub sections: Vec<EffectiveSection>,
}

/// A section with its effective values.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveSection {
    /// First word of the section header, such as `team`.
    pub kind: &'static str,
    /// Rest of the section header; `None` unless the section is of the form
    /// `[team NAME]`.
    pub name: Option<String>,
    /// Values in schema order.
    pub values: Vec<EffectiveValue>,
}

/// The value that a key has after merging, with the values that it overrides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveValue {
    /// Section and key of the value.
    pub path: SettingPath,
    /// Value as written, or `None` if an optional value is absent.
    pub text: Option<String>,
    /// Where the value comes from.
    pub origin: Origin,
    /// Overridden values with their origins, highest precedence first.
    pub replaced: Vec<(String, Origin)>,
}

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A line of a settings file.
    File {
        /// Name of the file, as printed in errors.
        file: String,
        /// Line number, starting at 1.
        line: u32,
    },
    /// The default built into the program.
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
    /// Section name as written between the brackets.
    pub section: String,
    /// Key within the section.
    pub key: String,
}

impl FromStr for SettingPath {
    type Err = ValueError;

    fn from_str(text: &str) -> Result<Self, ValueError> {
        // Section names may contain dots, keys can't.
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

impl EffectiveSettings {
    /// Merges validated files; errors are added to `errors`.
    pub(crate) fn merge(
        schema: &Schema,
        base: &IniFile,
        overlay: Option<&IniFile>,
        errors: &mut ErrorCollector,
    ) -> Self {
        let mut sections = Vec::new();
        for spec in schema.sections {
            for name in section_names(spec, base, overlay) {
                let section = spec.section_name(name);
                let value = |key| resolve(spec, &section, key, base, overlay, errors);
                sections.push(EffectiveSection {
                    kind: spec.kind,
                    name: name.map(str::to_owned),
                    values: spec.keys.iter().map(value).collect(),
                });
            }
        }
        Self { sections }
    }

    /// Returns the values of all sections.
    pub fn values(&self) -> impl Iterator<Item = &EffectiveValue> {
        self.sections.iter().flat_map(|section| &section.values)
    }

    /// Returns the value of a key, or `None` if the schema doesn't have the key.
    #[must_use]
    pub fn value(&self, path: &SettingPath) -> Option<&EffectiveValue> {
        self.values().find(|value| value.path == *path)
    }

    /// Returns the known key that is most similar to an unknown one.
    #[must_use]
    pub fn nearest(&self, unknown: &SettingPath) -> Option<String> {
        let known: Vec<_> = self.values().map(|value| value.path.to_string()).collect();
        let unknown = unknown.to_string();
        nearest(&unknown, known.iter().map(String::as_str)).map(str::to_owned)
    }

    /// Returns the only section of a kind whose sections have no names.
    pub(crate) fn section(&self, kind: &str) -> &EffectiveSection {
        self.sections_of_kind(kind)
            .next()
            .expect("each section without a name is merged")
    }

    /// Returns all sections of a kind.
    pub(crate) fn sections_of_kind(&self, kind: &str) -> impl Iterator<Item = &EffectiveSection> {
        self.sections
            .iter()
            .filter(move |section| section.kind == kind)
    }
}

impl EffectiveSection {
    /// Parses the section's name; the schema has validated it.
    pub(crate) fn parse_name<T: FromStr>(&self) -> Result<T, ConfigErrors> {
        let name = self.name.as_deref().unwrap_or("");
        name.parse().map_err(|_| {
            let first = self.values.first().expect("each section has keys");
            first.error("a valid name of the section").into()
        })
    }

    /// Returns the value of a key that the schema defines.
    pub(crate) fn value(&self, key: &str) -> &EffectiveValue {
        let value = self.values.iter().find(|value| value.path.key == key);
        value.expect("each key of the schema is merged")
    }

    /// Parses the value of a key; the schema has validated it.
    pub(crate) fn get<T: FromStr>(&self, key: &str) -> Result<T, ConfigErrors> {
        let value = self.value(key);
        let text = value.text.as_deref().unwrap_or("");
        text.parse()
            .map_err(|_| value.error("a value that fits the key").into())
    }

    /// Parses the value of a key; `None` if it is absent.
    pub(crate) fn get_opt<T: FromStr>(&self, key: &str) -> Result<Option<T>, ConfigErrors> {
        match self.value(key).text {
            Some(_) => self.get(key).map(Some),
            None => Ok(None),
        }
    }
}

impl EffectiveValue {
    /// Creates an error located at this value.
    pub(crate) fn error(&self, expected: impl Into<String>) -> ConfigError {
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

/// Returns the section names of a kind in both files; `None` if the kind has no names.
fn section_names<'a>(
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

/// Resolves the value of a key. A named section takes precedence over the template
/// section, and within each the overlay over the base file.
fn resolve(
    spec: &SectionSpec,
    section: &str,
    key: &KeySpec,
    base: &IniFile,
    overlay: Option<&IniFile>,
    errors: &mut ErrorCollector,
) -> EffectiveValue {
    let template = spec.section_name(Some(TEMPLATE));
    let files = || overlay.into_iter().chain([base]);
    let find = |file: &IniFile, section: &str| {
        let prop = file.prop(section, key.name)?;
        Some((prop.value.clone(), origin(file, prop)))
    };
    let named = files().filter_map(|file| find(file, section));
    let from_template = files().filter_map(|file| find(file, &template));
    let mut candidates: Vec<_> = named.chain(from_template).collect();
    let path = SettingPath {
        section: section.to_owned(),
        key: key.name.to_owned(),
    };
    let first = (!candidates.is_empty()).then(|| candidates.remove(0));
    let mut value = EffectiveValue {
        path,
        text: None,
        origin: Origin::BuiltIn,
        replaced: candidates,
    };
    match (first, key.requirement) {
        (Some((text, origin)), _) if !text.is_empty() => {
            value.text = Some(text);
            value.origin = origin;
        }
        (first, Requirement::Default(text)) => {
            value.text = Some(text.to_owned());
            value.replaced.splice(0..0, first);
        }
        (Some((_, origin)), Requirement::Optional) => value.origin = origin,
        (None, Requirement::Optional) => {}
        (first, Requirement::Mandatory) => {
            value.origin = first.map_or_else(
                || Origin::File {
                    file: overlay.unwrap_or(base).name.clone(),
                    line: section_line(section, base, overlay),
                },
                |(_, origin)| origin,
            );
            let mut error = value.error(key.expected);
            error.hint = format!("set {:?} under [{section}]", key.name);
            errors.add(error);
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

/// Returns the line of a section in the file that an error refers to, or 0.
fn section_line(section: &str, base: &IniFile, overlay: Option<&IniFile>) -> u32 {
    overlay
        .unwrap_or(base)
        .section(section)
        .map_or(0, |section| section.line)
}
