//! Parsed settings of a site.

use std::time::Duration;

use cumindeck_types::{AvailabilityZone, ByteSize, PerSecond, Region, TeamId};

use crate::capacity::{Guarantee, RackWorkers};
use crate::error::{ConfigErrors, ErrorCollector};
use crate::merge::{EffectiveSection, EffectiveSettings};
use crate::process::duration;
use crate::site_check;
use crate::value::{BitRate, Percent, SiteName, list_items};

/// Settings of a site, parsed and checked against each other.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteSettings {
    /// Name of the site, from the key `name` of `[site]`.
    pub name: SiteName,
    /// Distinct regions, each with at least one availability zone.
    pub regions: Vec<Region>,
    /// Availability zones in id order.
    pub zones: Vec<ZoneSettings>,
    /// Teams in id order.
    pub teams: Vec<TeamSettings>,
    /// Limits of requests.
    pub requests: RequestSettings,
    /// Capacity of the link between regions, in each direction.
    pub link_capacity: BitRate,
    /// Limits of jobs.
    pub jobs: JobSettings,
    /// Settings of alert rule evaluation.
    pub rules: RuleSettings,
}

/// Settings of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Id of the zone: NAME of its section `[zone NAME]`.
    pub id: AvailabilityZone,
    /// Region that the zone belongs to.
    pub region: Region,
    /// Number of workers expected in each rack, to check guarantees against.
    pub rack_workers: Option<RackWorkers>,
    /// Number of accelerators expected on each worker.
    pub worker_accelerators: u32,
}

/// Settings of a team; values that `[team NAME]` doesn't set come from `[team *]`.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// Id of the team: NAME of its section `[team NAME]`.
    pub id: TeamId,
    /// Region whose agents store the claims on the team's idempotency keys.
    pub home_region: Region,
    /// Guaranteed shape by region; empty if the team has none.
    pub guarantee: Guarantee,
    /// Maximum number of queued requests.
    pub queue_limit: u32,
    /// Maximum number of requests accepted per second; `None` means unlimited.
    pub rate: Option<PerSecond>,
    /// Relative weight of the team when requests of several teams are queued.
    pub weight: u32,
    /// Whether the team may use capacity beyond its guarantee.
    pub may_borrow: bool,
}

/// Limits of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSettings {
    /// Maximum size of a request body.
    pub max_body: ByteSize,
    /// Timeout of a request that doesn't specify one.
    pub default_timeout: Duration,
    /// Maximum timeout that a request may specify.
    pub max_timeout: Duration,
    /// Maximum number of retries, as a percentage of first attempts.
    pub retry_budget: Percent,
    /// Percentage of the link between regions that requests may use.
    pub link_share: Percent,
}

/// Limits of jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobSettings {
    /// Maximum number of attempts of a job that doesn't specify one.
    pub max_attempts: u32,
    /// Waiting time after which a large job gets a reservation.
    pub aging: Duration,
    /// Maximum number of queued jobs per region.
    pub queue_limit: u32,
    /// Maximum number of tasks started per second in a region, also when a zone
    /// returns to service.
    pub start_rate: PerSecond,
    /// Number of different jobs that must fail on a worker before it is quarantined.
    pub quarantine_jobs: u32,
}

/// Settings of alert rule evaluation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleSettings {
    /// Maximum lag of usage reports that the evaluation waits for.
    pub lag_bound: Duration,
    /// Evaluation interval of groups that don't specify one.
    pub interval: Duration,
}

impl TryFrom<&EffectiveSettings> for SiteSettings {
    type Error = ConfigErrors;

    fn try_from(raw: &EffectiveSettings) -> Result<Self, ConfigErrors> {
        let site = raw.section("site");
        let regions: String = site.get("regions")?;
        let regions = list_items(&regions)
            .map(str::parse)
            .collect::<Result<_, _>>();
        let settings = Self {
            name: site.get("name")?,
            regions: regions.map_err(|_| site.value("regions").error("a list of regions"))?,
            zones: raw
                .sections_of_kind("zone")
                .map(zone)
                .collect::<Result<_, _>>()?,
            teams: raw
                .sections_of_kind("team")
                .map(team)
                .collect::<Result<_, _>>()?,
            requests: requests(raw.section("requests"))?,
            link_capacity: raw.section("link").get("capacity")?,
            jobs: jobs(raw.section("jobs"))?,
            rules: rules(raw.section("rules"))?,
        };
        let mut errors = ErrorCollector::default();
        site_check::check(&settings, raw, &mut errors);
        errors.finish()?;
        Ok(settings)
    }
}

fn zone(raw: &EffectiveSection) -> Result<ZoneSettings, ConfigErrors> {
    Ok(ZoneSettings {
        id: raw.parse_name()?,
        region: raw.get("region")?,
        rack_workers: raw.get_opt("rack-workers")?,
        worker_accelerators: raw.get("worker-accelerators")?,
    })
}

fn team(raw: &EffectiveSection) -> Result<TeamSettings, ConfigErrors> {
    Ok(TeamSettings {
        id: raw.parse_name()?,
        home_region: raw.get("home-region")?,
        guarantee: raw.get_opt("guarantee")?.unwrap_or_default(),
        queue_limit: raw.get("queue-limit")?,
        rate: raw.get_opt("rate")?,
        weight: raw.get("weight")?,
        may_borrow: raw.get("may-borrow")?,
    })
}

fn requests(raw: &EffectiveSection) -> Result<RequestSettings, ConfigErrors> {
    Ok(RequestSettings {
        max_body: raw.get("max-body")?,
        default_timeout: duration(raw, "default-timeout")?,
        max_timeout: duration(raw, "max-timeout")?,
        retry_budget: raw.get("retry-budget")?,
        link_share: raw.get("link-share")?,
    })
}

fn jobs(raw: &EffectiveSection) -> Result<JobSettings, ConfigErrors> {
    Ok(JobSettings {
        max_attempts: raw.get("max-attempts")?,
        aging: duration(raw, "aging")?,
        queue_limit: raw.get("queue-limit")?,
        start_rate: raw.get("start-rate")?,
        quarantine_jobs: raw.get("quarantine-jobs")?,
    })
}

fn rules(raw: &EffectiveSection) -> Result<RuleSettings, ConfigErrors> {
    Ok(RuleSettings {
        lag_bound: duration(raw, "lag-bound")?,
        interval: duration(raw, "interval")?,
    })
}
