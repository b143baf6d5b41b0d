//! Starts the agent's tasks and stops them in order.

use std::rc::Rc;
use std::time::Duration;

use cumindeck_config::AgentSettings;
use cumindeck_platform::WorkerRuntime;
use cumindeck_requests::AdmissionConfig;
use cumindeck_service::{
    Gate, Metrics, Readiness, Shutdown, Timer, admin_router, bind, serve_router,
};
use cumindeck_types::Incarnation;
use cumindeck_types::message::{Hello, PROTOCOL_VERSION};
use tokio::sync::{mpsc, oneshot};

use crate::announcer::{Announcer, run_heartbeats};
use crate::backend::BackendTransport;
use crate::core::{AgentCore, AgentEvent, AgentIdentity};
use crate::core_task::{CoreMessage, CoreOutputs, CoreTask};
use crate::handler::CoreHandler;
use crate::runtime_task::RuntimeTask;

/// Maximum time to notify the entries that the agent leaves: a connection and a reply
/// take 1 s each.
const LEAVE_NOTICE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which dispatches that entries sent before the notice still arrive and are
/// refused; a message between regions takes 20 ms.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);

/// Settings, transports and timers of an agent, consumed by [`run_agent`].
pub struct AgentParts {
    /// Ids, addresses and limits, fixed until the process ends.
    pub settings: AgentSettings,
    /// The connections to the backend server.
    pub backend: Rc<dyn BackendTransport>,
    /// The worker's runtime.
    pub runtime: Rc<dyn WorkerRuntime>,
    /// Clock and timers of the process.
    pub timer: Timer,
    /// Signals when to stop.
    pub shutdown: Shutdown,
}

/// Runs an agent until its shutdown and the end of its drain.
///
/// Must run inside a `LocalSet`.
pub async fn run_agent(parts: AgentParts) -> eyre::Result<()> {
    let AgentParts {
        settings,
        backend,
        runtime,
        timer,
        mut shutdown,
    } = parts;
    let listener = bind("entries and agents", settings.listen_agents).await?;
    let admin = bind("health and metrics", settings.listen_operators).await?;
    let address = settings.advertise.unwrap_or(listener.local_addr()?);
    // Incarnations increase as long as the wall clock does not go back between two starts.
    let incarnation = Incarnation::new(u64::try_from(timer.wall().as_millis())?);
    let identity = identity(&settings, address, incarnation);
    let hello = Hello {
        protocol_version: PROTOCOL_VERSION,
        sender: settings.id.to_string(),
        incarnation,
    };
    tracing::info!(event = "listening", agent = %settings.id, %address, admin = %admin.local_addr()?);

    let (core_tx, core_rx) = mpsc::unbounded_channel();
    let (runtime_tx, runtime_rx) = mpsc::unbounded_channel();
    let (heartbeats_tx, heartbeats_rx) = mpsc::unbounded_channel();
    let (drained_tx, drained_rx) = oneshot::channel();
    let (ready_tx, ready_rx) = oneshot::channel();
    let readiness = Readiness::default();
    let metrics = Metrics::new("agent")?;
    let router = admin_router(readiness.clone(), metrics.clone());
    let (_stop_admin, admin_shutdown) = Shutdown::manual();
    let gate = Gate::spawn(settings.ingress, timer.clone(), metrics.clone());
    tokio::spawn(serve_router(admin, router, gate, admin_shutdown));

    let outputs = CoreOutputs {
        core: core_tx.clone(),
        runtime: runtime_tx,
        heartbeats: heartbeats_tx,
        backend,
    };
    let core = AgentCore::new(identity, timer.now(), timer.wall());
    let core_task = CoreTask::new(core, timer.clone(), outputs, readiness, metrics, drained_tx);
    tokio::task::spawn_local(core_task.run(core_rx));
    let runtime_task = RuntimeTask {
        runtime,
        core: core_tx.clone(),
        timer: timer.clone(),
    };
    tokio::task::spawn_local(runtime_task.run(runtime_rx, ready_tx));
    let heartbeats = run_heartbeats(heartbeats_rx, hello.clone(), core_tx.clone(), timer.clone());
    tokio::task::spawn_local(heartbeats);
    let handler = CoreHandler {
        hello: hello.clone(),
        core: core_tx.clone(),
    };
    let (stop_tx, stop_rx) = oneshot::channel::<()>();
    let server = tokio::task::spawn_local(async move {
        let stop = async { drop(stop_rx.await) };
        cumindeck_wire::serve_agent(listener, Rc::new(handler), stop).await;
    });
    let announcer = Announcer {
        hello,
        agent: settings.id.clone(),
        incarnation,
        core: core_tx.clone(),
        timer,
    };
    let (leaving_tx, leaving_rx) = mpsc::channel(1);
    tokio::task::spawn_local(announcer.run(ready_rx, leaving_rx));

    shutdown.wait().await;
    let _ = core_tx.send(CoreMessage::Event(AgentEvent::Drain));
    let drain = async {
        let notified = notify_entries(&leaving_tx);
        let _ = tokio::join!(drained_rx, notified);
        // The last replies are written before the process ends.
        let _ = stop_tx.send(());
        let _ = server.await;
    };
    if tokio::time::timeout(settings.drain_time, drain)
        .await
        .is_err()
    {
        tracing::warn!(event = "drain_timed_out", limit = ?settings.drain_time);
    }
    tracing::info!(event = "stopped", agent = %settings.id);
    Ok(())
}

/// Waits until the entries know that this agent leaves, so that none of them
/// dispatches to a process that has ended.
async fn notify_entries(leaving: &mpsc::Sender<oneshot::Sender<()>>) {
    let (tx, notified) = oneshot::channel();
    let notify = async {
        let _ = leaving.send(tx).await;
        let _ = notified.await;
    };
    // Entries that don't reply notice the missing announcements.
    let _ = tokio::time::timeout(LEAVE_NOTICE_TIMEOUT, notify).await;
    tokio::time::sleep(IN_FLIGHT_GRACE).await;
}

fn identity(
    settings: &AgentSettings,
    address: std::net::SocketAddr,
    incarnation: Incarnation,
) -> AgentIdentity {
    AgentIdentity {
        agent: settings.id.clone(),
        incarnation,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address,
        worker: settings.worker.clone(),
        rack: settings.rack.clone(),
        accelerators: settings.accelerators,
        admission: AdmissionConfig {
            slots: settings.slots,
            connections: settings.connections,
        },
        seeds: settings.entries.clone(),
    }
}
