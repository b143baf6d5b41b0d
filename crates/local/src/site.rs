//! Runs the entries, agents and stand-ins of a site as tasks of one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cumindeck_agent::{AgentParts, HttpBackend, run_agent};
use cumindeck_api::ConfigChange;
use cumindeck_config::{AgentSettings, EntrySettings};
use cumindeck_entry::{EntryParts, run_entry};
use cumindeck_ingress::IngressLimits;
use cumindeck_platform::{HttpClient, HttpTables, HttpUsage, HttpWorker};
use cumindeck_service::{BootClock, Shutdown, Timer, bind, spawn_timer};
use cumindeck_standins::backend::serve_backend;
use cumindeck_standins::platform::serve_platform;
use cumindeck_types::{ByteSize, ConfigVersion};
use eyre::ensure;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinHandle;

use crate::layout::{BASE, EntryLocation, LocalLayout, OVERLAYS, WorkerLocation};

/// Memory that each process may assume, since all share one machine.
const MEMORY: ByteSize = ByteSize::from_mib(256);

/// Maximum number of connections of each process.
const MAX_CONNECTIONS: usize = 1_000;

/// Largest body that a process has to read.
const MAX_BODY: ByteSize = ByteSize::from_mib(4);

/// Slots of each backend server, as in the sample settings.
const SLOTS: u32 = 8;
/// Connections of each backend server, as in the sample settings.
const CONNECTIONS: u32 = 64;
/// Maximum wait for a response of the platform stand-in.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for requests in flight to complete at a shutdown.
const DRAIN_TIME: Duration = Duration::from_secs(10);
/// Maximum number of attempts to apply the configuration, one every 100 ms.
const APPLY_ATTEMPTS: u32 = 100;

/// Options of a local site.
#[derive(Debug, Clone)]
pub struct LocalOptions {
    /// Entries and workers to start.
    pub layout: LocalLayout,
    /// First port: the platform's. Three ports for each entry follow.
    pub first_port: u16,
    /// Bearer token that the entries require in operators' calls.
    pub token: String,
}

/// Runs a site until `shutdown` starts.
///
/// Must run inside a `LocalSet`.
pub async fn run_local(options: LocalOptions, mut shutdown: Shutdown) -> eyre::Result<()> {
    let timer = spawn_timer(Arc::new(BootClock));
    let platform = SocketAddr::from((Ipv4Addr::LOCALHOST, options.first_port));
    let listener = bind("the platform stand-in", platform).await?;
    let (stop_platform, platform_shutdown) = Shutdown::manual();
    tokio::spawn(serve_platform(listener, timer.clone(), platform_shutdown));
    let mut running = Vec::new();
    let mut agent_ports = Vec::new();
    for (i, location) in options.layout.entries.iter().enumerate() {
        let settings = entry_settings(&options, location, i, platform)?;
        agent_ports.push(settings.listen_agents);
        running.push(start_entry(
            settings,
            &options.token,
            platform,
            &timer,
            &shutdown,
        ));
    }
    for location in &options.layout.workers {
        let backend = bind("a backend stand-in", (Ipv4Addr::LOCALHOST, 0).into()).await?;
        let address = backend.local_addr()?;
        tokio::spawn(serve_backend(backend, shutdown.clone()));
        let settings = agent_settings(location, address, &agent_ports, platform)?;
        running.push(start_agent(settings, &timer, &shutdown));
    }
    let operators = port(options.first_port, 2);
    apply_sample(operators, &options.token).await?;
    tracing::info!(
        event = "site_ready",
        site = %options.layout.site,
        callers = %port(options.first_port, 1),
        operators = %operators,
        platform = %platform,
        workers = options.layout.workers.len(),
    );
    shutdown.wait().await;
    for task in running {
        task.await??;
    }
    let _ = stop_platform.send(true);
    Ok(())
}

fn start_entry(
    settings: EntrySettings,
    token: &str,
    platform: SocketAddr,
    timer: &Timer,
    shutdown: &Shutdown,
) -> JoinHandle<eyre::Result<()>> {
    let store = HttpTables::new(HttpClient::new(platform, PLATFORM_TIMEOUT));
    tokio::task::spawn_local(run_entry(EntryParts {
        settings,
        token: token.to_owned(),
        store: Rc::new(store),
        usage: Rc::new(HttpUsage::new(HttpClient::new(platform, PLATFORM_TIMEOUT))),
        timer: timer.clone(),
        shutdown: shutdown.clone(),
    }))
}

fn start_agent(
    settings: AgentSettings,
    timer: &Timer,
    shutdown: &Shutdown,
) -> JoinHandle<eyre::Result<()>> {
    let client = HttpClient::new(settings.platform, PLATFORM_TIMEOUT);
    tokio::task::spawn_local(run_agent(AgentParts {
        backend: Rc::new(HttpBackend::new(settings.backend, settings.connections)),
        runtime: Rc::new(HttpWorker::new(client, settings.worker.clone())),
        timer: timer.clone(),
        shutdown: shutdown.clone(),
        settings,
    }))
}

fn entry_settings(
    options: &LocalOptions,
    location: &EntryLocation,
    index: usize,
    platform: SocketAddr,
) -> eyre::Result<EntrySettings> {
    let first = u16::try_from(1 + 3 * index)?;
    Ok(EntrySettings {
        id: location.entry.clone(),
        site: options.layout.site.clone(),
        zone: location.zone.clone(),
        region: location.region.clone(),
        listen_callers: port(options.first_port, first),
        listen_operators: port(options.first_port, first + 1),
        listen_agents: port(options.first_port, first + 2),
        advertise: None,
        token_file: "".into(),
        platform,
        log_level: "info".parse()?,
        ingress: ingress()?,
        drain_time: DRAIN_TIME,
    })
}

fn agent_settings(
    location: &WorkerLocation,
    backend: SocketAddr,
    entries: &[SocketAddr],
    platform: SocketAddr,
) -> eyre::Result<AgentSettings> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Ok(AgentSettings {
        id: location.agent.clone(),
        zone: location.zone.clone(),
        region: location.region.clone(),
        worker: location.worker.clone(),
        rack: location.rack.clone(),
        accelerators: location.accelerators,
        backend,
        slots: SLOTS,
        connections: CONNECTIONS,
        listen_agents: any_port,
        listen_operators: any_port,
        advertise: None,
        entries: entries.to_vec(),
        platform,
        log_level: cumindeck_config::LogLevel::Info,
        ingress: ingress()?,
        drain_time: DRAIN_TIME,
    })
}

/// Returns the limits of each process of the site.
fn ingress() -> eyre::Result<IngressLimits> {
    Ok(IngressLimits::new(MEMORY, None, MAX_CONNECTIONS, MAX_BODY)?)
}

/// Applies the sample configuration through the operators' API.
async fn apply_sample(operators: SocketAddr, token: &str) -> eyre::Result<()> {
    let overlays = OVERLAYS
        .iter()
        .map(|(site, text)| ((*site).to_owned(), (*text).to_owned()));
    let change = ConfigChange {
        change_id: uuid::Uuid::now_v7().to_string().parse()?,
        expected_version: ConfigVersion::default(),
        base: BASE.to_owned(),
        overlays: overlays.collect(),
    };
    let body = Bytes::from(serde_json::to_vec(&change)?);
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut last = String::new();
    for _ in 0..APPLY_ATTEMPTS {
        let req = Request::put(format!("http://{operators}{}", cumindeck_api::path::CONFIG))
            .header("authorization", format!("Bearer {token}"))
            .header("content-type", "application/json")
            .body(Full::new(body.clone()))?;
        match client.request(req).await {
            Ok(rep) if rep.status().is_success() => return Ok(()),
            Ok(rep) => {
                let body = rep.into_body().collect().await?.to_bytes();
                last = String::from_utf8_lossy(&body).into_owned();
            }
            Err(err) => last = err.to_string(),
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    ensure!(false, "the sample configuration was not accepted: {last}");
    Ok(())
}

fn port(first: u16, offset: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, first + offset))
}
