//! Consistency checks between the settings of a site.

use cumindeck_types::Region;

use crate::capacity::CellSum;
use crate::error::{ConfigError, ErrorCollector};
use crate::merge::{EffectiveSettings, EffectiveValue, SettingPath};
use crate::site::SiteSettings;

/// Maximum number of regions of a site; the target size has 6.
const MAX_REGIONS: usize = 32;
/// Maximum number of availability zones of a site; the target size has 19.
const MAX_ZONES: usize = 128;
/// Maximum number of teams of a site; the target size has 360.
const MAX_TEAMS: usize = 1_000;

/// Adds an error for each exceeded limit and each pair of contradicting settings.
pub fn check(site: &SiteSettings, raw: &EffectiveSettings, errors: &mut ErrorCollector) {
    let regions = raw.section("site").value("regions");
    let counts = [
        ("regions", site.regions.len(), MAX_REGIONS),
        ("zones", site.zones.len(), MAX_ZONES),
        ("teams", site.teams.len(), MAX_TEAMS),
    ];
    for (what, found, max) in counts {
        if found > max {
            let found = format!("{found} {what}");
            let hint = format!("remove {what}, or split the site");
            errors.add(error_with_found(
                regions,
                found,
                format!("at most {max}"),
                &hint,
            ));
        }
    }
    check_regions(site, raw, errors);
    let requests = raw.section("requests");
    if site.requests.default_timeout > site.requests.max_timeout {
        let max = requests.value("max-timeout");
        let expected = format!(
            "at most max-timeout, which site {} sets at {}",
            site.name, max.origin
        );
        let hint = "lower default-timeout or raise max-timeout";
        errors.add(error_at(requests.value("default-timeout"), expected, hint));
    }
    if errors.is_empty() {
        for region in &site.regions {
            check_guarantees(site, region, raw, errors);
        }
    }
}

/// Checks that every region referred to exists, and that each region has a zone.
fn check_regions(site: &SiteSettings, raw: &EffectiveSettings, errors: &mut ErrorCollector) {
    let known: Vec<_> = site.regions.iter().map(Region::as_str).collect();
    let known = format!("one of {} at site {}", known.join(", "), site.name);
    let regions = raw.section("site").value("regions");
    let mut check_region = |value: &EffectiveValue, region: &Region| {
        if !site.regions.contains(region) {
            let hint = format!(
                "correct the region, or add it to regions at {}",
                regions.origin
            );
            errors.add(error_at(value, known.clone(), &hint));
        }
    };
    for (zone, raw) in site.zones.iter().zip(raw.sections_of_kind("zone")) {
        check_region(raw.value("region"), &zone.region);
    }
    for (team, raw) in site.teams.iter().zip(raw.sections_of_kind("team")) {
        check_region(raw.value("home-region"), &team.home_region);
        for (region, _) in team.guarantee.regions() {
            check_region(raw.value("guarantee"), region);
        }
    }
    for region in &site.regions {
        if !site.zones.iter().any(|zone| zone.region == *region) {
            let found = format!("region {region} without availability zones");
            let expected = format!("a [zone NAME] with this region at site {}", site.name);
            let hint = format!("add a zone with \"region = {region}\", or remove the region");
            errors.add(error_with_found(regions, found, expected, &hint));
        }
    }
}

/// Checks that the guarantees of a region fit its racks, if the sizes of all its
/// racks are given.
fn check_guarantees(
    site: &SiteSettings,
    region: &Region,
    raw: &EffectiveSettings,
    errors: &mut ErrorCollector,
) {
    let zones = || site.zones.iter().filter(|zone| zone.region == *region);
    let mut racks = Vec::new();
    for zone in zones() {
        let Some(workers) = &zone.rack_workers else {
            return;
        };
        racks.extend_from_slice(workers.racks());
    }
    let mut sizes = zones().map(|zone| zone.worker_accelerators);
    let Some(accelerators) = sizes.next() else {
        return;
    };
    if sizes.any(|other| other != accelerators) {
        // If worker sizes differ, which cells are free is known only at run time.
        return;
    }
    let mut sum = CellSum::default();
    for team in &site.teams {
        let Some(shape) = team.guarantee.shape(region) else {
            continue;
        };
        sum.add(shape);
        if sum.fits(&racks, accelerators) {
            continue;
        }
        let path = SettingPath {
            section: format!("team {}", team.id),
            key: "guarantee".into(),
        };
        let Some(value) = raw.value(&path) else {
            return;
        };
        let workers: u32 = racks.iter().sum();
        let found = format!("{sum} in {region}, summed up to this team");
        let expected = format!(
            "guarantees that fit {} racks with {workers} workers of {accelerators} accelerators \
             at site {}",
            racks.len(),
            site.name
        );
        let hint = "lower a guarantee, or correct rack-workers of the region's zones";
        return errors.add(error_with_found(value, found, expected, hint));
    }
}

/// Creates an error located at a value.
fn error_at(value: &EffectiveValue, expected: String, hint: &str) -> ConfigError {
    let mut error = value.error(expected);
    error.hint = hint.into();
    error
}

/// Creates an error located at a value, with its own description of what was found.
fn error_with_found(
    value: &EffectiveValue,
    found: String,
    expected: String,
    hint: &str,
) -> ConfigError {
    let mut error = error_at(value, expected, hint);
    error.found = found;
    error
}
