//! Typed settings of a site.

use std::time::Duration;

use cumindeck_types::{AvailabilityZone, ByteSize, PerSecond, Region, TeamId};

use crate::capacity::{Guarantee, RackWorkers};
use crate::error::{ConfigErrors, Faults};
use crate::merge::{Effective, EffectiveSection};
use crate::process::duration;
use crate::site_check;
use crate::value::{BitRate, Percent, SiteName, items};

/// Settings of a site.
#[derive(Debug, Clone, PartialEq)]
pub struct SiteSettings {
    /// Name.
    pub name: SiteName,
    /// Regions.
    pub regions: Vec<Region>,
    /// Availability zones in order of their id.
    pub zones: Vec<ZoneSettings>,
    /// Teams in order of their id.
    pub teams: Vec<TeamSettings>,
    /// Limits of requests.
    pub requests: RequestSettings,
    /// Capacity of the link between regions, each way.
    pub link_capacity: BitRate,
    /// Limits of jobs.
    pub jobs: JobSettings,
    /// Evaluation of alert rules.
    pub rules: RuleSettings,
}

/// Settings of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneSettings {
    /// Id.
    pub id: AvailabilityZone,
    /// Region.
    pub region: Region,
    /// Workers that are expected in each rack, for checks of guarantees.
    pub rack_workers: Option<RackWorkers>,
    /// Accelerators that are expected at each worker.
    pub worker_accelerators: u32,
}

/// Settings of a team.
#[derive(Debug, Clone, PartialEq)]
pub struct TeamSettings {
    /// Id.
    pub id: TeamId,
    /// Region whose agents hold the claims of the team's keys.
    pub home_region: Region,
    /// Guaranteed shape by region; empty if the team has none.
    pub guarantee: Guarantee,
    /// Most requests that may wait.
    pub queue_limit: u32,
    /// Most requests that are accepted for each second, if limited.
    pub rate: Option<PerSecond>,
    /// Share of the team when requests of several teams wait.
    pub weight: u32,
    /// Whether the team may use capacity beyond its guarantee.
    pub may_borrow: bool,
}

/// Limits of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSettings {
    /// Largest body.
    pub max_body: ByteSize,
    /// Time limit of a request that names none.
    pub default_timeout: Duration,
    /// Longest time limit that a request may name.
    pub max_timeout: Duration,
    /// Share of retries in first attempts.
    pub retry_budget: Percent,
    /// Share of the link between regions that requests may use.
    pub link_share: Percent,
}

/// Limits of jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct JobSettings {
    /// Attempts of a job that names no number.
    pub max_attempts: u32,
    /// Wait after which a large job gets a reservation.
    pub aging: Duration,
    /// Most jobs that may wait in a region.
    pub queue_limit: u32,
    /// Most tasks that start for each second in a region, also when a zone
    /// comes back.
    pub start_rate: PerSecond,
    /// Different jobs that fail on a worker before it is quarantined.
    pub quarantine_jobs: u32,
}

/// Evaluation of alert rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleSettings {
    /// Longest lag of usage reports that the evaluation waits for.
    pub lag_bound: Duration,
    /// Interval of groups that name none.
    pub interval: Duration,
}

impl TryFrom<&Effective> for SiteSettings {
    type Error = ConfigErrors;

    fn try_from(raw: &Effective) -> Result<Self, ConfigErrors> {
        let site = raw.section("site");
        let regions: String = site.get("regions")?;
        let regions = items(&regions).map(str::parse).collect::<Result<_, _>>();
        let settings = Self {
            name: site.get("name")?,
            regions: regions.map_err(|_| site.value("regions").fault("a list of regions"))?,
            zones: raw.of_kind("zone").map(zone).collect::<Result<_, _>>()?,
            teams: raw.of_kind("team").map(team).collect::<Result<_, _>>()?,
            requests: requests(raw.section("requests"))?,
            link_capacity: raw.section("link").get("capacity")?,
            jobs: jobs(raw.section("jobs"))?,
            rules: rules(raw.section("rules"))?,
        };
        let mut faults = Faults::default();
        site_check::check(&settings, raw, &mut faults);
        faults.finish()?;
        Ok(settings)
    }
}

fn zone(raw: &EffectiveSection) -> Result<ZoneSettings, ConfigErrors> {
    Ok(ZoneSettings {
        id: raw.typed_name()?,
        region: raw.get("region")?,
        rack_workers: raw.get_opt("rack-workers")?,
        worker_accelerators: raw.get("worker-accelerators")?,
    })
}

fn team(raw: &EffectiveSection) -> Result<TeamSettings, ConfigErrors> {
    Ok(TeamSettings {
        id: raw.typed_name()?,
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
