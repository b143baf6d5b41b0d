//! A base file and the overlays of all sites, validated together.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::{ConfigError, ConfigErrors, ErrorCollector};
use crate::ini::{IniFile, IniProp, IniSection};
use crate::merge::{EffectiveSettings, SettingPath};
use crate::schema::{Requirement, SectionName, TEMPLATE};
use crate::site::SiteSettings;
use crate::site_schema::SITE;
use crate::value::SiteName;

/// Maximum total size of the files in a bundle. Escaped as JSON, a bundle of this
/// size stays under the 4 MiB that the operator interface accepts.
pub const MAX_BUNDLE_BYTES: usize = 3 * 1024 * 1024;
/// Maximum number of overlays in a bundle.
pub const MAX_OVERLAYS: usize = 64;

/// A file of a bundle, verbatim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// Name used in errors and origins.
    pub name: String,
    /// Unparsed contents of the file.
    pub text: String,
}

/// The unparsed base file and the overlays of all sites.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bundle {
    /// File with the values that all sites share.
    pub base: SourceFile,
    /// Overlay files by site.
    pub overlays: BTreeMap<SiteName, SourceFile>,
}

impl Bundle {
    /// Creates a bundle from file contents; the files are named `base.ini` and
    /// `SITE.ini`.
    #[must_use]
    pub fn from_texts(base: String, overlays: BTreeMap<SiteName, String>) -> Self {
        let file = |name: String, text| SourceFile { name, text };
        let overlay = |(site, text)| {
            let name = format!("{site}.ini");
            (site, file(name, text))
        };
        Self {
            base: file("base.ini".into(), base),
            overlays: overlays.into_iter().map(overlay).collect(),
        }
    }

    /// Validates the base file alone, as far as that is possible without a site.
    pub fn check_base(&self) -> Result<(), ConfigErrors> {
        let mut errors = ErrorCollector::default();
        let file = IniFile::read(&self.base.name, &self.base.text, &mut errors);
        SITE.check(&file, &mut errors);
        errors.finish()
    }
}

/// A bundle whose files were validated together.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedBundle {
    bundle: Bundle,
    sites: BTreeMap<SiteName, CheckedSite>,
}

/// Validated settings of a site: the base file merged with the site's overlay.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedSite {
    /// Effective values as strings, with their origins.
    pub effective: EffectiveSettings,
    /// The same values, parsed into their types.
    pub settings: SiteSettings,
}

impl CheckedBundle {
    /// Returns the unparsed files.
    #[must_use]
    pub const fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the sites in name order.
    pub fn sites(&self) -> impl Iterator<Item = (&SiteName, &CheckedSite)> {
        self.sites.iter()
    }

    /// Returns a site, or `None` if the bundle has no overlay for it.
    #[must_use]
    pub fn site(&self, name: &SiteName) -> Option<&CheckedSite> {
        self.sites.get(name)
    }

    /// Returns the values that differ between this bundle and a newer one.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        let (old, new) = (self.values(), newer.values());
        let paths: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        let change = |path: &(&SiteName, &SettingPath)| {
            let value_in = |values: &Values<'_>| values.get(path).copied().map(str::to_owned);
            let (old, new) = (value_in(&old), value_in(&new));
            let (site, path) = *path;
            (old != new).then(|| Change {
                site: site.clone(),
                path: path.clone(),
                old,
                new,
            })
        };
        paths.into_iter().filter_map(change).collect()
    }

    /// Returns the strings of all effective values.
    fn values(&self) -> Values<'_> {
        let mut values = Values::new();
        for (name, site) in &self.sites {
            for value in site.effective.values() {
                if let Some(text) = &value.text {
                    values.insert((name, &value.path), text);
                }
            }
        }
        values
    }
}

/// Effective values by site and key.
type Values<'a> = BTreeMap<(&'a SiteName, &'a SettingPath), &'a str>;

/// A value that differs between two bundles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Site that the value belongs to.
    pub site: SiteName,
    /// Section and key of the value.
    pub path: SettingPath,
    /// Value in the older bundle, or `None` if it has none.
    pub old: Option<String>,
    /// Value in the newer bundle, or `None` if it has none.
    pub new: Option<String>,
}

impl TryFrom<Bundle> for CheckedBundle {
    type Error = ConfigErrors;

    fn try_from(bundle: Bundle) -> Result<Self, ConfigErrors> {
        let mut errors = ErrorCollector::default();
        check_limits(&bundle, &mut errors);
        errors.finish()?;
        let mut errors = ErrorCollector::default();
        let base = IniFile::read(&bundle.base.name, &bundle.base.text, &mut errors);
        let read = |(site, file): (&SiteName, &SourceFile)| {
            let file = IniFile::read(&file.name, &file.text, &mut errors);
            (site.clone(), file)
        };
        let overlays: Vec<_> = bundle.overlays.iter().map(read).collect();
        // Syntax errors would cause follow-up errors about missing keys.
        errors.finish()?;
        let mut errors = ErrorCollector::default();
        SITE.check(&base, &mut errors);
        let mut merged = Vec::new();
        for (site, overlay) in overlays {
            SITE.check(&overlay, &mut errors);
            check_overlay(&base, &overlay, &mut errors);
            let effective = EffectiveSettings::merge(&SITE, &base, Some(&overlay), &mut errors);
            merged.push((site, effective));
        }
        errors.finish()?;
        let mut errors = ErrorCollector::default();
        let mut sites = BTreeMap::new();
        for (site, effective) in merged {
            match SiteSettings::try_from(&effective) {
                Ok(settings) => {
                    check_site_name(&site, &settings, &effective, &mut errors);
                    sites.insert(
                        site,
                        CheckedSite {
                            effective,
                            settings,
                        },
                    );
                }
                Err(errs) => errs
                    .as_slice()
                    .iter()
                    .for_each(|err| errors.add(err.clone())),
            }
        }
        errors.finish()?;
        Ok(Self { bundle, sites })
    }
}

/// Checks the number of overlays and the size of the bundle.
fn check_limits(bundle: &Bundle, errors: &mut ErrorCollector) {
    let overlays = bundle.overlays.len();
    let texts = bundle.overlays.values().chain([&bundle.base]);
    let bytes: usize = texts.map(|file| file.text.len()).sum();
    let mut add_error = |found: String, expected: String, hint: &str| {
        errors.add(ConfigError {
            file: bundle.base.name.clone(),
            line: 0,
            key: "bundle".into(),
            found,
            expected,
            hint: hint.into(),
        });
    };
    if overlays == 0 {
        let expected = "one overlay for each site".into();
        add_error(
            "no overlay".into(),
            expected,
            "add an overlay, even an empty one",
        );
    }
    if overlays > MAX_OVERLAYS {
        let expected = format!("at most {MAX_OVERLAYS}");
        add_error(format!("{overlays} overlays"), expected, "remove overlays");
    }
    if bytes > MAX_BUNDLE_BYTES {
        let expected = format!("at most {MAX_BUNDLE_BYTES} bytes");
        add_error(format!("{bytes} bytes"), expected, "shorten the files");
    }
}

/// Checks that an overlay sets only keys that exist in the base file, and does
/// not delete a mandatory one.
fn check_overlay(base: &IniFile, overlay: &IniFile, errors: &mut ErrorCollector) {
    for section in &overlay.sections {
        let Some(spec) = SITE.spec(&section.name) else {
            continue;
        };
        let template = spec.section_name(Some(TEMPLATE));
        let has = |name: &str| base.section(name).is_some();
        if !has(&section.name) && !has(&template) {
            errors.add(missing_section(base, overlay, section));
            continue;
        }
        for prop in &section.props {
            let Some(key) = spec.key(&prop.key) else {
                continue;
            };
            let exists = |name: &str| base.prop(name, key.name).is_some();
            let mut add_error = |found: &str, expected: &str, hint: String| {
                errors.add(overlay_error(overlay, section, prop, found, expected, hint));
            };
            if !exists(&section.name) && !exists(&template) {
                let hint = format!(
                    "add {:?} under [{}] of {}, or remove the line",
                    key.name, section.name, base.name
                );
                add_error(
                    "a key that the base does not have",
                    "a key of the base",
                    hint,
                );
            }
            if prop.value.is_empty() && key.requirement == Requirement::Mandatory {
                let hint = "write a value, or remove the line to use the base's value".into();
                add_error(
                    "an empty value",
                    "a value, because the key is mandatory",
                    hint,
                );
            }
        }
    }
}

/// Creates the error for a section that the base file doesn't have.
fn missing_section(base: &IniFile, overlay: &IniFile, section: &IniSection) -> ConfigError {
    let name = SectionName::split(&section.name);
    let missing = match name.name {
        Some(_) => format!("[{}] or [{} {TEMPLATE}]", section.name, name.kind),
        None => format!("[{}]", section.name),
    };
    ConfigError {
        file: overlay.name.clone(),
        line: section.line,
        key: format!("[{}]", section.name),
        found: "a section that the base does not have".into(),
        expected: "a section of the base".into(),
        hint: format!("add {missing} to {}, or remove the section", base.name),
    }
}

fn overlay_error(
    overlay: &IniFile,
    section: &IniSection,
    prop: &IniProp,
    found: &str,
    expected: &str,
    hint: String,
) -> ConfigError {
    ConfigError {
        file: overlay.name.clone(),
        line: prop.line,
        key: format!("{}.{}", section.name, prop.key),
        found: found.into(),
        expected: expected.into(),
        hint,
    }
}

/// Checks that the site name in an overlay equals the name of the overlay.
fn check_site_name(
    site: &SiteName,
    settings: &SiteSettings,
    effective: &EffectiveSettings,
    errors: &mut ErrorCollector,
) {
    if settings.name == *site {
        return;
    }
    let mut error = effective
        .section("site")
        .value("name")
        .error(format!("{:?}", site.as_str()));
    error.hint = "the overlay's file name without .ini and the site's name must be the same".into();
    errors.add(error);
}
