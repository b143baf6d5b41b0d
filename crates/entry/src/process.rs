//! Starts the entry's tasks and stops them in order.

use std::rc::Rc;
use std::time::Duration;

use cumindeck_config::EntrySettings;
use cumindeck_platform::{TableStore, UsageSource};
use cumindeck_requests::{EntryConfig, EntryMachine, RoutingConfig};
use cumindeck_service::{
    Gate, Metrics, Readiness, Shutdown, Timer, admin_router, bind, serve_router,
};
use cumindeck_site::EntryIdentity;
use cumindeck_types::Incarnation;
use cumindeck_types::message::{Hello, PROTOCOL_VERSION};
use eyre::WrapErr;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::sync::{mpsc, oneshot, watch};

use crate::callers::{CallerContext, CallerLimits, caller_router};
use crate::handler::SiteHandler;
use crate::links::run_links;
use crate::operators::{OperatorContext, operator_router};
use crate::request_task::{RequestMessage, RequestTask};
use crate::site_task::{SiteMessage, SiteOutputs, SiteTask};
use crate::store_task::run_store;
use crate::usage_task::run_usage;

/// Time for which a stopping entry refuses new requests with the verdict "not run", so
/// that the load balancer sees `/readyz` fail before connections are refused.
const LEAVING_GRACE: Duration = Duration::from_secs(2);

/// Settings, platform services and timers of an entry, consumed by [`run_entry`].
pub struct EntryParts {
    /// Ids, addresses and limits, fixed until the process ends.
    pub settings: EntrySettings,
    /// Bearer token of the operators' API.
    pub token: String,
    /// The table service; reads and commits run concurrently.
    pub store: Rc<dyn TableStore>,
    /// The source of usage reports.
    pub usage: Rc<dyn UsageSource>,
    /// Clock and timers of the process.
    pub timer: Timer,
    /// Signals when to stop.
    pub shutdown: Shutdown,
}

/// Runs an entry until its shutdown and the end of its drain.
///
/// Must run inside a `LocalSet`.
pub async fn run_entry(parts: EntryParts) -> eyre::Result<()> {
    let EntryParts {
        settings,
        token,
        store,
        usage,
        timer,
        mut shutdown,
    } = parts;
    let callers = bind("callers", settings.listen_callers).await?;
    let operators = bind("operators", settings.listen_operators).await?;
    let agents = bind("agents", settings.listen_agents).await?;
    let address = settings.advertise.unwrap_or(agents.local_addr()?);
    // Incarnations increase as long as the wall clock does not go back between two starts.
    let incarnation = Incarnation::new(u64::try_from(timer.wall().as_millis())?);
    let hello = Hello {
        protocol_version: PROTOCOL_VERSION,
        sender: settings.id.to_string(),
        incarnation,
    };
    let site_cfg = EntryIdentity {
        entry: settings.id.clone(),
        incarnation,
        site: settings.site.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        agents: address,
        operators: operators.local_addr()?,
    };
    tracing::info!(
        event = "listening",
        entry = %settings.id,
        callers = %callers.local_addr()?,
        operators = %operators.local_addr()?,
        agents = %address,
    );

    let (request_tx, request_rx) = mpsc::unbounded_channel();
    let (site_tx, site_rx) = mpsc::unbounded_channel();
    let (store_tx, store_rx) = mpsc::unbounded_channel();
    let (usage_tx, usage_rx) = mpsc::unbounded_channel();
    let (link_tx, link_rx) = mpsc::unbounded_channel();
    let (limits_tx, limits_rx) = watch::channel(CallerLimits::default());
    let readiness = Readiness::default();
    let metrics = Metrics::new("entry")?;
    let gate = Gate::spawn(settings.ingress, timer.clone(), metrics.clone());

    tokio::task::spawn_local(run_links(link_rx, hello.clone()));
    let machine = EntryMachine::new(initial_config(&site_cfg), seed(incarnation));
    let request_task = RequestTask::new(
        machine,
        timer.clone(),
        link_tx.clone(),
        request_tx.clone(),
        metrics.clone(),
    );
    tokio::task::spawn_local(request_task.run(request_rx));
    let store_task = run_store(
        store_rx,
        store,
        site_tx.clone(),
        timer.clone(),
        metrics.clone(),
    );
    tokio::task::spawn_local(store_task);
    tokio::task::spawn_local(run_usage(usage_rx, usage, site_tx.clone(), metrics.clone()));
    let outputs = SiteOutputs {
        usage: usage_tx,
        site: site_tx.clone(),
        store: store_tx,
        requests: request_tx.clone(),
        links: link_tx,
        limits: limits_tx,
    };
    let site_task = SiteTask::new(
        site_cfg,
        timer.clone(),
        outputs,
        readiness.clone(),
        metrics.clone(),
    );
    tokio::task::spawn_local(site_task.run(site_rx));
    let handler = SiteHandler {
        hello,
        entry: settings.id.clone(),
        site: site_tx.clone(),
    };
    tokio::task::spawn_local(cumindeck_wire::serve_entry(agents, Rc::new(handler)));

    let cx = CallerContext {
        entry: settings.id.clone(),
        requests: request_tx.clone(),
        timer,
        readiness: readiness.clone(),
        limits: limits_rx,
    };
    let (stop_callers, callers_shutdown) = Shutdown::manual();
    let caller_server = tokio::spawn(serve_router(
        callers,
        caller_router(cx),
        gate.clone(),
        callers_shutdown,
    ));
    let client = Client::builder(TokioExecutor::new()).build_http();
    let cx = OperatorContext {
        site: site_tx.clone(),
        token,
        client,
    };
    let (_stop_operators, operators_shutdown) = Shutdown::manual();
    let admin = admin_router(readiness.clone(), metrics);
    let router = merge(operator_router(cx), admin);
    tokio::spawn(serve_router(operators, router, gate, operators_shutdown));

    shutdown.wait().await;
    readiness.drain();
    let drain = async {
        let grace = tokio::time::sleep(LEAVING_GRACE);
        tokio::join!(drain(&request_tx, &site_tx), grace)
    };
    if tokio::time::timeout(settings.drain_time, drain)
        .await
        .is_err()
    {
        tracing::warn!(event = "drain_timed_out", limit = ?settings.drain_time);
    }
    // Replies that are still being written are finished before the listener closes.
    let _ = stop_callers.send(true);
    if tokio::time::timeout(settings.drain_time, caller_server)
        .await
        .is_err()
    {
        tracing::warn!(event = "callers_cut_off", limit = ?settings.drain_time);
    }
    tracing::info!(event = "stopped", entry = %settings.id);
    Ok(())
}

/// Reads the operators' bearer token from the file named in the settings.
pub fn read_token(settings: &EntrySettings) -> eyre::Result<String> {
    let path = settings.token_file.display();
    let text = std::fs::read_to_string(&settings.token_file)
        .wrap_err_with(|| format!("can't read token file {path}"))?;
    let token = text.trim().to_owned();
    eyre::ensure!(
        !token.is_empty(),
        "token file {path} is empty; write a token of your choice"
    );
    Ok(token)
}

async fn drain(
    requests: &mpsc::UnboundedSender<RequestMessage>,
    site: &mpsc::UnboundedSender<SiteMessage>,
) {
    let (tx, drained) = oneshot::channel();
    let _ = site.send(SiteMessage::Drain(tx));
    let _ = drained.await;
    let (tx, drained) = oneshot::channel();
    let _ = requests.send(RequestMessage::Drain(tx));
    let _ = drained.await;
}

/// Returns the settings of the request state machine before it knows any team.
fn initial_config(cfg: &EntryIdentity) -> EntryConfig {
    EntryConfig {
        entry: cfg.entry.clone(),
        region: cfg.region.clone(),
        teams: Vec::new(),
        routing: RoutingConfig::default(),
        retry_percent: 0,
    }
}

/// Returns a seed that differs between entries that start together, so that they make
/// different random choices.
fn seed(incarnation: Incarnation) -> u64 {
    incarnation.get() ^ u64::from(std::process::id())
}

fn merge(mut router: viz::Router, other: viz::Router) -> viz::Router {
    router = router.nest("/", other);
    router
}
