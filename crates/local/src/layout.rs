//! Names and locations of the entries and workers of a sample site, without I/O.

use std::collections::BTreeMap;

use cumindeck_config::{Bundle, CheckedBundle, SiteName, SiteSettings};
use cumindeck_types::{AgentId, AvailabilityZone, EntryId, RackId, Region, WorkerId};
use eyre::{ContextCompat, WrapErr};

/// Base file of the sample sites.
pub(crate) const BASE: &str = include_str!("../../../samples/base.ini");
/// Overlays of the sample sites by site name.
pub(crate) const OVERLAYS: [(&str, &str); 2] = [
    ("plume", include_str!("../../../samples/plume.ini")),
    ("mizani", include_str!("../../../samples/mizani.ini")),
];

/// Location of an entry of the sample site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryLocation {
    /// Id with the number of the region, such as `entry-1` for the first one.
    pub entry: EntryId,
    /// First availability zone of the region in the configuration.
    pub zone: AvailabilityZone,
    /// Region, which has no other entry.
    pub region: Region,
}

/// Location of a worker of the sample site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerLocation {
    /// Id of the agent: zone, rack and number, such as `nbo-a-r1-w1`.
    pub agent: AgentId,
    /// Id of the worker; the same as that of its agent.
    pub worker: WorkerId,
    /// Zone and number of the rack, such as `nbo-a-r1`.
    pub rack: RackId,
    /// Availability zone whose `rack-workers` setting lists the rack.
    pub zone: AvailabilityZone,
    /// Region to which the configuration assigns the zone.
    pub region: Region,
    /// Number of accelerators, the same for all workers of a zone.
    pub accelerators: u32,
}

/// The entries and workers of a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalLayout {
    /// Sample site, whose overlay the entries use.
    pub site: SiteName,
    /// Entries, one in each region.
    pub entries: Vec<EntryLocation>,
    /// Workers that the configuration expects in its racks.
    pub workers: Vec<WorkerLocation>,
}

impl LocalLayout {
    /// Creates the layout of a sample site, such as `plume`.
    pub fn from_sample(site: &str) -> eyre::Result<Self> {
        let name: SiteName = site.parse()?;
        let overlays = OVERLAYS
            .iter()
            .map(|(site, text)| Ok((site.parse()?, (*text).to_owned())))
            .collect::<Result<BTreeMap<_, _>, cumindeck_config::ValueError>>()?;
        let bundle = CheckedBundle::try_from(Bundle::from_texts(BASE.to_owned(), overlays))?;
        let checked = bundle.site(&name).wrap_err_with(|| {
            format!("there is no sample site {site}; expected plume or mizani")
        })?;
        Self::from_settings(name, &checked.settings)
            .wrap_err("the layout of the sample site is invalid")
    }

    fn from_settings(site: SiteName, settings: &SiteSettings) -> eyre::Result<Self> {
        let mut entries = Vec::new();
        for (i, region) in settings.regions.iter().enumerate() {
            let zone = settings.zones.iter().find(|zone| zone.region == *region);
            let zone = zone.wrap_err_with(|| format!("region {region} has no zone"))?;
            entries.push(EntryLocation {
                entry: format!("entry-{}", i + 1).parse()?,
                zone: zone.id.clone(),
                region: region.clone(),
            });
        }
        let mut workers = Vec::new();
        for zone in &settings.zones {
            let racks = zone
                .rack_workers
                .as_ref()
                .map_or(&[][..], |racks| racks.racks());
            for (rack, count) in racks.iter().enumerate() {
                for i in 0..*count {
                    let name = format!("{}-r{}-w{}", zone.id, rack + 1, i + 1);
                    workers.push(WorkerLocation {
                        agent: name.parse()?,
                        worker: name.parse()?,
                        rack: format!("{}-r{}", zone.id, rack + 1).parse()?,
                        zone: zone.id.clone(),
                        region: zone.region.clone(),
                        accelerators: zone.worker_accelerators,
                    });
                }
            }
        }
        Ok(Self {
            site,
            entries,
            workers,
        })
    }
}
