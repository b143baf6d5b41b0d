//! A base file with the overlays of all sites, checked together.

use std::collections::{BTreeMap, BTreeSet};

use crate::error::{ConfigError, ConfigErrors, Faults};
use crate::ini::{IniFile, IniProp, IniSection};
use crate::merge::{Effective, SettingPath};
use crate::schema::{Need, SectionName, TEMPLATE};
use crate::site::SiteSettings;
use crate::site_schema::SITE;
use crate::value::SiteName;

/// Largest bundle in bytes; escaped as JSON it stays under the 4 MiB that the
/// operators' interface accepts.
pub const MAX_BUNDLE_BYTES: usize = 3 * 1024 * 1024;
/// Most overlays of a bundle.
pub const MAX_OVERLAYS: usize = 64;

/// A file of a bundle, byte for byte.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SourceFile {
    /// Name for errors and origins.
    pub name: String,
    /// Text.
    pub text: String,
}

/// A base file with the overlays of all sites, as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bundle {
    /// Base file.
    pub base: SourceFile,
    /// Overlays by site.
    pub overlays: BTreeMap<SiteName, SourceFile>,
}

impl Bundle {
    /// Makes a bundle from texts, whose files are named `base.ini` and
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

    /// Checks the base file alone, as far as that is possible without a site.
    pub fn check_base(&self) -> Result<(), ConfigErrors> {
        let mut faults = Faults::default();
        let file = IniFile::read(&self.base.name, &self.base.text, &mut faults);
        SITE.check(&file, &mut faults);
        faults.finish()
    }
}

/// A bundle whose files were checked together.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedBundle {
    bundle: Bundle,
    sites: BTreeMap<SiteName, CheckedSite>,
}

/// The settings of a site, with origins and typed.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedSite {
    /// Values with their origins.
    pub effective: Effective,
    /// Typed settings.
    pub settings: SiteSettings,
}

impl CheckedBundle {
    /// Returns the texts.
    #[must_use]
    pub const fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the sites in order of their name.
    pub fn sites(&self) -> impl Iterator<Item = (&SiteName, &CheckedSite)> {
        self.sites.iter()
    }

    /// Returns a site.
    #[must_use]
    pub fn site(&self, name: &SiteName) -> Option<&CheckedSite> {
        self.sites.get(name)
    }

    /// Returns the values that differ between this bundle and a newer one.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Vec<Change> {
        let (old, new) = (self.texts(), newer.texts());
        let paths: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        let change = |path: &(&SiteName, &SettingPath)| {
            let text = |texts: &Texts<'_>| texts.get(path).copied().map(str::to_owned);
            let (old, new) = (text(&old), text(&new));
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

    /// Returns the texts of all values.
    fn texts(&self) -> Texts<'_> {
        let mut texts = Texts::new();
        for (name, site) in &self.sites {
            for value in site.effective.values() {
                if let Some(text) = &value.text {
                    texts.insert((name, &value.path), text);
                }
            }
        }
        texts
    }
}

/// Texts of values by site and key.
type Texts<'a> = BTreeMap<(&'a SiteName, &'a SettingPath), &'a str>;

/// A value that differs between two bundles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Site.
    pub site: SiteName,
    /// Key.
    pub path: SettingPath,
    /// Text in the older bundle, if there is one.
    pub old: Option<String>,
    /// Text in the newer bundle, if there is one.
    pub new: Option<String>,
}

impl TryFrom<Bundle> for CheckedBundle {
    type Error = ConfigErrors;

    fn try_from(bundle: Bundle) -> Result<Self, ConfigErrors> {
        let mut faults = Faults::default();
        check_limits(&bundle, &mut faults);
        faults.finish()?;
        let mut faults = Faults::default();
        let base = IniFile::read(&bundle.base.name, &bundle.base.text, &mut faults);
        let read = |(site, file): (&SiteName, &SourceFile)| {
            let file = IniFile::read(&file.name, &file.text, &mut faults);
            (site.clone(), file)
        };
        let overlays: Vec<_> = bundle.overlays.iter().map(read).collect();
        // Faults of the text would cause faults of missing keys.
        faults.finish()?;
        let mut faults = Faults::default();
        SITE.check(&base, &mut faults);
        let mut merged = Vec::new();
        for (site, overlay) in overlays {
            SITE.check(&overlay, &mut faults);
            check_overlay(&base, &overlay, &mut faults);
            let effective = Effective::merge(&SITE, &base, Some(&overlay), &mut faults);
            merged.push((site, effective));
        }
        faults.finish()?;
        let mut faults = Faults::default();
        let mut sites = BTreeMap::new();
        for (site, effective) in merged {
            match SiteSettings::try_from(&effective) {
                Ok(settings) => {
                    check_site_name(&site, &settings, &effective, &mut faults);
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
                    .for_each(|err| faults.add(err.clone())),
            }
        }
        faults.finish()?;
        Ok(Self { bundle, sites })
    }
}

/// Checks the size of the bundle.
fn check_limits(bundle: &Bundle, faults: &mut Faults) {
    let overlays = bundle.overlays.len();
    let texts = bundle.overlays.values().chain([&bundle.base]);
    let bytes: usize = texts.map(|file| file.text.len()).sum();
    let mut add = |found: String, expected: String, hint: &str| {
        faults.add(ConfigError {
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
        add(
            "no overlay".into(),
            expected,
            "add an overlay, even an empty one",
        );
    }
    if overlays > MAX_OVERLAYS {
        let expected = format!("at most {MAX_OVERLAYS}");
        add(format!("{overlays} overlays"), expected, "remove overlays");
    }
    if bytes > MAX_BUNDLE_BYTES {
        let expected = format!("at most {MAX_BUNDLE_BYTES} bytes");
        add(format!("{bytes} bytes"), expected, "shorten the files");
    }
}

/// Checks that an overlay sets only keys that exist in the base, and deletes
/// none that is mandatory.
fn check_overlay(base: &IniFile, overlay: &IniFile, faults: &mut Faults) {
    for section in &overlay.sections {
        let Some(spec) = SITE.spec(&section.name) else {
            continue;
        };
        let template = spec.section_name(Some(TEMPLATE));
        let has = |name: &str| base.section(name).is_some();
        if !has(&section.name) && !has(&template) {
            faults.add(missing_section(base, overlay, section));
            continue;
        }
        for prop in &section.props {
            let Some(key) = spec.key(&prop.key) else {
                continue;
            };
            let exists = |name: &str| base.prop(name, key.name).is_some();
            let mut fault = |found: &str, expected: &str, hint: String| {
                faults.add(overlay_fault(overlay, section, prop, found, expected, hint));
            };
            if !exists(&section.name) && !exists(&template) {
                let hint = format!(
                    "add {:?} under [{}] of {}, or remove the line",
                    key.name, section.name, base.name
                );
                fault(
                    "a key that the base does not have",
                    "a key of the base",
                    hint,
                );
            }
            if prop.value.is_empty() && key.need == Need::Mandatory {
                let hint = "write a value, or remove the line to use the base's value".into();
                fault(
                    "an empty value",
                    "a value, because the key is mandatory",
                    hint,
                );
            }
        }
    }
}

/// Makes the fault for a section that the base doesn't have.
fn missing_section(base: &IniFile, overlay: &IniFile, section: &IniSection) -> ConfigError {
    let name = SectionName::split(&section.name);
    let wanted = match name.name {
        Some(_) => format!("[{}] or [{} {TEMPLATE}]", section.name, name.kind),
        None => format!("[{}]", section.name),
    };
    ConfigError {
        file: overlay.name.clone(),
        line: section.line,
        key: format!("[{}]", section.name),
        found: "a section that the base does not have".into(),
        expected: "a section of the base".into(),
        hint: format!("add {wanted} to {}, or remove the section", base.name),
    }
}

fn overlay_fault(
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

/// Checks that an overlay names the site that it belongs to.
fn check_site_name(
    site: &SiteName,
    settings: &SiteSettings,
    effective: &Effective,
    faults: &mut Faults,
) {
    if settings.name == *site {
        return;
    }
    let mut fault = effective
        .section("site")
        .value("name")
        .fault(format!("{:?}", site.as_str()));
    fault.hint = "the overlay's file name without .ini and the site's name must be the same".into();
    faults.add(fault);
}
