//! Settings files of entry and agent processes.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::time::Duration;

use cumindeck_ingress::IngressLimits;
use cumindeck_types::{
    AgentId, AvailabilityZone, ByteSize, EntryId, RackId, Region, Remaining, WorkerId,
};

use crate::error::{ConfigErrors, ErrorCollector};
use crate::ini::IniFile;
use crate::merge::{EffectiveSection, EffectiveSettings};
use crate::process_schema::{AGENT, ENTRY};
use crate::schema::Schema;
use crate::value::{self, LogLevel, SiteName};

/// Largest body that a caller or an operator may send to an entry.
const MAX_ENTRY_BODY: ByteSize = ByteSize::from_mib(4);

/// Largest body that an agent has to read.
const MAX_AGENT_BODY: ByteSize = ByteSize::from_kib(64);

/// Part of the memory of an entry's machine that bodies and answers may take, unless the
/// settings say otherwise; the requests in its queues keep their bodies.
const ENTRY_MEMORY_PER_REQUESTS: u64 = 4;

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Id of the entry, unique within the site.
    pub id: EntryId,
    /// Site of the entry, which selects the overlay of the configuration.
    pub site: SiteName,
    /// Availability zone in which the entry runs.
    pub zone: AvailabilityZone,
    /// Region in which the entry runs.
    pub region: Region,
    /// Listen address for callers.
    pub listen_callers: SocketAddr,
    /// Listen address for operators.
    pub listen_operators: SocketAddr,
    /// Listen address for agents and other entries.
    pub listen_agents: SocketAddr,
    /// Address advertised to agents; `None` means the bound address of
    /// `listen_agents`.
    pub advertise: Option<SocketAddr>,
    /// File with the operators' bearer token.
    pub token_file: PathBuf,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Limits on connections and on the memory of requests.
    pub ingress: IngressLimits,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain_time: Duration,
}

impl EntrySettings {
    /// Parses a settings file; `file_name` is used in errors.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        parse(&ENTRY, file_name, text)
    }
}

impl TryFrom<&EffectiveSettings> for EntrySettings {
    type Error = ConfigErrors;

    fn try_from(raw: &EffectiveSettings) -> Result<Self, ConfigErrors> {
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
            ingress: entry_ingress(process)?,
            drain_time: duration(process, "drain-time")?,
        })
    }
}

/// Settings of an agent process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentSettings {
    /// Id of the agent.
    pub id: AgentId,
    /// Availability zone in which the agent runs.
    pub zone: AvailabilityZone,
    /// Region in which the agent runs.
    pub region: Region,
    /// Worker that the agent serves.
    pub worker: WorkerId,
    /// Rack of the worker; jobs with `same_rack` run all their tasks in one rack.
    pub rack: RackId,
    /// Number of accelerators of the worker: 0 or a power of two.
    pub accelerators: u32,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Maximum number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the backend server accepts.
    pub connections: u32,
    /// Listen address for entries and other agents.
    pub listen_agents: SocketAddr,
    /// Listen address for health checks and metrics.
    pub listen_operators: SocketAddr,
    /// Address advertised to entries; `None` means the bound address of
    /// `listen_agents`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of entries, or of the load balancer in front of them.
    pub entries: Vec<SocketAddr>,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Limits on connections and on the memory of requests.
    pub ingress: IngressLimits,
    /// Maximum time that a planned stop waits for requests in flight.
    pub drain_time: Duration,
}

impl AgentSettings {
    /// Parses a settings file; `file_name` is used in errors.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, ConfigErrors> {
        parse(&AGENT, file_name, text)
    }
}

impl TryFrom<&EffectiveSettings> for AgentSettings {
    type Error = ConfigErrors;

    fn try_from(raw: &EffectiveSettings) -> Result<Self, ConfigErrors> {
        let (agent, worker) = (raw.section("agent"), raw.section("worker"));
        let (backend, listen) = (raw.section("backend"), raw.section("listen"));
        let (entries, process) = (raw.section("entries"), raw.section("process"));
        let (slots, connections) = (backend.get("slots")?, backend.get("connections")?);
        if connections < slots {
            let mut error = backend
                .value("connections")
                .error(format!("at least {slots}"));
            error.hint = "each request needs a connection; raise connections or lower slots".into();
            return Err(error.into());
        }
        let seeds: String = entries.get("seeds")?;
        let seeds = value::list_items(&seeds)
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
            entries: seeds.map_err(|_| entries.value("seeds").error("a list of addresses"))?,
            platform: raw.section("platform").get("address")?,
            log_level: process.get("log-level")?,
            ingress: ingress(process, None, MAX_AGENT_BODY)?,
            drain_time: duration(process, "drain-time")?,
        })
    }
}

fn entry_ingress(process: &EffectiveSection) -> Result<IngressLimits, ConfigErrors> {
    let memory: ByteSize = process.get("memory")?;
    let requests = ByteSize::new(memory.bytes() / ENTRY_MEMORY_PER_REQUESTS);
    ingress(process, Some(requests), MAX_ENTRY_BODY)
}

/// Returns the limits on connections and on the memory of requests; `requests` is that
/// memory unless the settings state it.
fn ingress(
    process: &EffectiveSection,
    requests: Option<ByteSize>,
    largest: ByteSize,
) -> Result<IngressLimits, ConfigErrors> {
    let stated: Option<ByteSize> = process.get_opt("request-memory")?;
    let connections: NonZeroUsize = process.get("connections")?;
    let requests = stated.or(requests);
    let memory = process.get("memory")?;
    IngressLimits::new(memory, requests, connections.get(), largest).map_err(|err| {
        let key = stated.map_or("memory", |_| "request-memory");
        let mut error = process.value(key).error(format!("at least {largest}"));
        error.hint = err.to_string();
        error.into()
    })
}

/// Returns a duration that the schema has validated.
pub(crate) fn duration(section: &EffectiveSection, key: &str) -> Result<Duration, ConfigErrors> {
    section.get::<Remaining>(key).map(Remaining::as_duration)
}

/// Returns the address to advertise, which must be one that peers can reach.
fn advertise(listen: &EffectiveSection) -> Result<Option<SocketAddr>, ConfigErrors> {
    let advertise: Option<SocketAddr> = listen.get_opt("advertise")?;
    let bound: SocketAddr = listen.get("agents")?;
    if advertise.is_none() && bound.ip().is_unspecified() {
        let mut error = listen
            .value("agents")
            .error("an address that peers can reach");
        error.hint = "set \"advertise\" under [listen] to the address of this machine".into();
        return Err(error.into());
    }
    if let Some(addr) = advertise.filter(|addr| addr.ip().is_unspecified()) {
        let mut error = listen
            .value("advertise")
            .error("an address that peers can reach");
        error.hint = format!("replace {} by the address of this machine", addr.ip());
        return Err(error.into());
    }
    Ok(advertise)
}

/// Parses a settings file without overlays.
fn parse<T>(schema: &Schema, file_name: &str, text: &str) -> Result<T, ConfigErrors>
where
    T: for<'a> TryFrom<&'a EffectiveSettings, Error = ConfigErrors>,
{
    let mut errors = ErrorCollector::default();
    let file = IniFile::read(file_name, text, &mut errors);
    // Syntax errors would cause follow-up errors about missing keys.
    errors.finish()?;
    let mut errors = ErrorCollector::default();
    schema.check(&file, &mut errors);
    let effective = EffectiveSettings::merge(schema, &file, None, &mut errors);
    errors.finish()?;
    T::try_from(&effective)
}
