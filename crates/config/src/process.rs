//! Settings of the processes themselves.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cumindeck_types::{AgentId, AvailabilityZone, EntryId, RackId, Region, Remaining, WorkerId};

use crate::error::{ConfigErrors, Faults};
use crate::ini::IniFile;
use crate::merge::{Effective, EffectiveSection};
use crate::process_schema::{AGENT, ENTRY};
use crate::schema::Schema;
use crate::value::{self, LogLevel, SiteName};

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Id.
    pub id: EntryId,
    /// Site, which selects the overlay of the configuration.
    pub site: SiteName,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Region.
    pub region: Region,
    /// Listener for callers.
    pub listen_callers: SocketAddr,
    /// Listener for operators.
    pub listen_operators: SocketAddr,
    /// Listener for agents and other entries.
    pub listen_agents: SocketAddr,
    /// Address that agents are told; the bound address of `listen_agents` if
    /// `None`.
    pub advertise: Option<SocketAddr>,
    /// File with the operators' bearer token.
    pub token_file: PathBuf,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Least severe events that are logged.
    pub log_level: LogLevel,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain_time: Duration,
}

impl EntrySettings {
    /// Reads the text of a settings file.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        parse(&ENTRY, file_name, text)
    }
}

impl TryFrom<&Effective> for EntrySettings {
    type Error = ConfigErrors;

    fn try_from(raw: &Effective) -> Result<Self, ConfigErrors> {
        let (entry, listen) = (raw.section("entry"), raw.section("listen"));
        let process = raw.section("process");
        Ok(Self {
            id: entry.get("id")?,
            site: entry.get("site")?,
            zone: entry.get("zone")?,
            region: entry.get("region")?,
            listen_callers: listen.get("callers")?,
            listen_operators: listen.get("operators")?,
            listen_agents: listen.get("agents")?,
            advertise: advertise(listen)?,
            token_file: raw.section("operators").get("token-file")?,
            platform: raw.section("platform").get("address")?,
            log_level: process.get("log-level")?,
            drain_time: duration(process, "drain-time")?,
        })
    }
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Id.
    pub id: AgentId,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Region.
    pub region: Region,
    /// Worker beside the agent.
    pub worker: WorkerId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Accelerators of the worker: 0 or a power of two.
    pub accelerators: u32,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Requests that the backend server can run at once.
    pub slots: u32,
    /// Connections that the backend server accepts at once.
    pub connections: u32,
    /// Listener for entries and other agents.
    pub listen_agents: SocketAddr,
    /// Listener for health and metrics.
    pub listen_operators: SocketAddr,
    /// Address that entries are told; the bound address of `listen_agents` if
    /// `None`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of entries or of the load balancer before them.
    pub entries: Vec<SocketAddr>,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Least severe events that are logged.
    pub log_level: LogLevel,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain_time: Duration,
}

impl AgentSettings {
    /// Reads the text of a settings file.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        parse(&AGENT, file_name, text)
    }
}

impl TryFrom<&Effective> for AgentSettings {
    type Error = ConfigErrors;

    fn try_from(raw: &Effective) -> Result<Self, ConfigErrors> {
        let (agent, worker) = (raw.section("agent"), raw.section("worker"));
        let (backend, listen) = (raw.section("backend"), raw.section("listen"));
        let (entries, process) = (raw.section("entries"), raw.section("process"));
        let (slots, connections) = (backend.get("slots")?, backend.get("connections")?);
        if connections < slots {
            let mut fault = backend
                .value("connections")
                .fault(format!("at least {slots}"));
            fault.hint = "each request needs a connection; raise connections or lower slots".into();
            return Err(fault.into());
        }
        let seeds: String = entries.get("seeds")?;
        let seeds = value::items(&seeds)
            .map(str::parse)
            .collect::<Result<_, _>>();
        Ok(Self {
            id: agent.get("id")?,
            zone: agent.get("zone")?,
            region: agent.get("region")?,
            worker: worker.get("id")?,
            rack: worker.get("rack")?,
            accelerators: worker.get("accelerators")?,
            backend: backend.get("address")?,
            slots,
            connections,
            listen_agents: listen.get("agents")?,
            listen_operators: listen.get("operators")?,
            advertise: advertise(listen)?,
            entries: seeds.map_err(|_| entries.value("seeds").fault("a list of addresses"))?,
            platform: raw.section("platform").get("address")?,
            log_level: process.get("log-level")?,
            drain_time: duration(process, "drain-time")?,
        })
    }
}

/// Returns a duration that the schema has checked.
pub(crate) fn duration(section: &EffectiveSection, key: &str) -> Result<Duration, ConfigErrors> {
    section.get::<Remaining>(key).map(Remaining::as_duration)
}

/// Returns the address that peers are told, which must be one they can reach.
fn advertise(listen: &EffectiveSection) -> Result<Option<SocketAddr>, ConfigErrors> {
    let advertise: Option<SocketAddr> = listen.get_opt("advertise")?;
    let bound: SocketAddr = listen.get("agents")?;
    if advertise.is_none() && bound.ip().is_unspecified() {
        let mut fault = listen
            .value("agents")
            .fault("an address that peers can reach");
        fault.hint = "set \"advertise\" under [listen] to the address of this machine".into();
        return Err(fault.into());
    }
    if let Some(addr) = advertise.filter(|addr| addr.ip().is_unspecified()) {
        let mut fault = listen
            .value("advertise")
            .fault("an address that peers can reach");
        fault.hint = format!("replace {} by the address of this machine", addr.ip());
        return Err(fault.into());
    }
    Ok(advertise)
}

/// Reads one settings file without overlays.
fn parse<T>(schema: &Schema, file_name: &str, text: &str) -> Result<T, ConfigErrors>
where
    T: for<'a> TryFrom<&'a Effective, Error = ConfigErrors>,
{
    let mut faults = Faults::default();
    let file = IniFile::read(file_name, text, &mut faults);
    // Faults of the text would cause faults of missing keys.
    faults.finish()?;
    let mut faults = Faults::default();
    schema.check(&file, &mut faults);
    let effective = Effective::merge(schema, &file, None, &mut faults);
    faults.finish()?;
    T::try_from(&effective)
}
