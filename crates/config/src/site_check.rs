//! Checks of a site's settings against each other.

use cumindeck_types::Region;

use crate::capacity::CellSum;
use crate::error::{ConfigError, Faults};
use crate::merge::{Effective, EffectiveValue, SettingPath};
use crate::site::SiteSettings;

/// Most regions of a site; the target size has 6.
const MAX_REGIONS: usize = 32;
/// Most availability zones of a site; the target size has 19.
const MAX_ZONES: usize = 128;
/// Most teams of a site; the target size has 360.
const MAX_TEAMS: usize = 1_000;

/// Adds a fault for each pair of settings that contradict each other.
pub fn check(site: &SiteSettings, raw: &Effective, faults: &mut Faults) {
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
            faults.add(fault(regions, found, format!("at most {max}"), &hint));
        }
    }
    check_regions(site, raw, faults);
    let requests = raw.section("requests");
    if site.requests.default_timeout > site.requests.max_timeout {
        let max = requests.value("max-timeout");
        let expected = format!(
            "at most max-timeout, which site {} sets at {}",
            site.name, max.origin
        );
        let hint = "lower default-timeout or raise max-timeout";
        faults.add(faulty(requests.value("default-timeout"), expected, hint));
    }
    if faults.is_empty() {
        for region in &site.regions {
            check_guarantees(site, region, raw, faults);
        }
    }
}

/// Checks that regions that are named exist, and that each has a zone.
fn check_regions(site: &SiteSettings, raw: &Effective, faults: &mut Faults) {
    let known: Vec<_> = site.regions.iter().map(Region::as_str).collect();
    let known = format!("one of {} at site {}", known.join(", "), site.name);
    let regions = raw.section("site").value("regions");
    let mut unknown = |value: &EffectiveValue, region: &Region| {
        if !site.regions.contains(region) {
            let hint = format!(
                "correct the region, or add it to regions at {}",
                regions.origin
            );
            faults.add(faulty(value, known.clone(), &hint));
        }
    };
    for (zone, raw) in site.zones.iter().zip(raw.of_kind("zone")) {
        unknown(raw.value("region"), &zone.region);
    }
    for (team, raw) in site.teams.iter().zip(raw.of_kind("team")) {
        unknown(raw.value("home-region"), &team.home_region);
        for (region, _) in team.guarantee.regions() {
            unknown(raw.value("guarantee"), region);
        }
    }
    for region in &site.regions {
        if !site.zones.iter().any(|zone| zone.region == *region) {
            let found = format!("region {region} without availability zones");
            let expected = format!("a [zone NAME] with this region at site {}", site.name);
            let hint = format!("add a zone with \"region = {region}\", or remove the region");
            faults.add(fault(regions, found, expected, &hint));
        }
    }
}

/// Checks that the guarantees of a region fit its racks, if all are given.
fn check_guarantees(site: &SiteSettings, region: &Region, raw: &Effective, faults: &mut Faults) {
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
        // Which cells of mixed workers are free is known only at run time.
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
        return faults.add(fault(value, found, expected, hint));
    }
}

/// Makes a fault at the place of a value.
fn faulty(value: &EffectiveValue, expected: String, hint: &str) -> ConfigError {
    let mut fault = value.fault(expected);
    fault.hint = hint.into();
    fault
}

/// Makes a fault at the place of a value that doesn't show what was found.
fn fault(value: &EffectiveValue, found: String, expected: String, hint: &str) -> ConfigError {
    let mut fault = faulty(value, expected, hint);
    fault.found = found;
    fault
}
