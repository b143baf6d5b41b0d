//! Where the entries and workers of the sample site stand, without I/O.

use std::collections::BTreeMap;

use cumindeck_config::{Bundle, CheckedBundle, SiteName, SiteSettings};
use cumindeck_types::{AgentId, AvailabilityZone, EntryId, RackId, Region, WorkerId};
use eyre::{ContextCompat, WrapErr};

/// Base file shared by all sites.
pub(crate) const BASE: &str = include_str!("../../../samples/base.ini");
/// Overlays of all sites.
pub(crate) const OVERLAYS: [(&str, &str); 2] = [
    ("plume", include_str!("../../../samples/plume.ini")),
    ("mizani", include_str!("../../../samples/mizani.ini")),
];

/// An entry of the sample site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPlace {
    /// The entry.
    pub entry: EntryId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Its region.
    pub region: Region,
}

/// A worker of the sample site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerPlace {
    /// The agent beside it.
    pub agent: AgentId,
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Its region.
    pub region: Region,
    /// Number of its accelerators.
    pub accelerators: u32,
}

/// The entries and workers of a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalLayout {
    /// The site.
    pub site: SiteName,
    /// One entry in each region.
    pub entries: Vec<EntryPlace>,
    /// The workers that the configuration expects.
    pub workers: Vec<WorkerPlace>,
}

impl LocalLayout {
    /// Makes the layout of a sample site, such as `plume`.
    pub fn of_sample(site: &str) -> eyre::Result<Self> {
        let name: SiteName = site.parse()?;
        let overlays = OVERLAYS
            .iter()
            .map(|(site, text)| Ok((site.parse()?, (*text).to_owned())))
            .collect::<Result<BTreeMap<_, _>, cumindeck_config::ValueError>>()?;
        let bundle = CheckedBundle::try_from(Bundle::from_texts(BASE.to_owned(), overlays))?;
        let checked = bundle.site(&name).wrap_err_with(|| {
            format!("there is no sample site {site}; expected plume or mizani")
        })?;
        Self::of_settings(name, &checked.settings).wrap_err("the sample site has no valid names")
    }

    fn of_settings(site: SiteName, settings: &SiteSettings) -> eyre::Result<Self> {
        let mut entries = Vec::new();
        for (i, region) in settings.regions.iter().enumerate() {
            let zone = settings.zones.iter().find(|zone| zone.region == *region);
            let zone = zone.wrap_err_with(|| format!("region {region} has no zone"))?;
            entries.push(EntryPlace {
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
                    workers.push(WorkerPlace {
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
