//! Server ends of the RPC connections from other processes.

use std::rc::Rc;

use async_trait::async_trait;
use capnp::capability::Rc as CapRc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use cumindeck_types::message::{
    AnnounceReply, Announcement, Claim, ClaimReply, Dispatch, DispatchReply, Heartbeat, Hello,
    PROTOCOL_VERSION, Reserve, StartTask, TaskAnswer, TaskRef,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::announce::{read_announcement, read_hello, write_announce_reply, write_hello};
use crate::cumindeck_capnp::{agent, entry};
use crate::reader_options;
use crate::request::{claim_reply_code, read_claim, read_dispatch, write_dispatch_reply};
use crate::task::{read_heartbeat, read_ref, read_reserve, read_start, task_answer_code};

/// The handlers of the calls that an agent receives.
#[async_trait(?Send)]
pub trait AgentHandler {
    /// Returns the hello message of this process.
    fn hello(&self) -> Hello;
    /// Forwards a request to the backend server and returns its verdict.
    async fn dispatch(&self, dispatch: Dispatch) -> DispatchReply;
    /// Decides whether a request gets the claim of its key.
    async fn claim(&self, claim: Claim) -> ClaimReply;
    /// Releases the claim of a request that certainly did not run.
    async fn release(&self, claim: Claim);
    /// Reserves accelerators and prepares a task.
    async fn reserve(&self, reserve: Reserve) -> TaskAnswer;
    /// Handles the start order for a prepared task.
    async fn start_task(&self, order: StartTask) -> TaskAnswer;
    /// Stops a task.
    async fn stop(&self, task: TaskRef) -> TaskAnswer;
    /// Orders a task to write a checkpoint.
    async fn checkpoint(&self, task: TaskRef) -> TaskAnswer;
    /// Records the heartbeat of a gang member. `Done` means that it was recorded and no
    /// loss of a member is known; `Failed` means that a member was lost.
    async fn heartbeat(&self, heartbeat: Heartbeat) -> TaskAnswer;
}

/// The handlers of the calls that an entry receives.
#[async_trait(?Send)]
pub trait EntryHandler {
    /// Returns the hello message of this process.
    fn hello(&self) -> Hello;
    /// Handles the announcement of an agent.
    async fn announce(&self, announcement: Announcement) -> AnnounceReply;
}

/// Serves an agent's listener until `stop` completes, then sends the replies that are
/// ready and closes the connections.
///
/// Must run inside a `LocalSet`.
pub async fn serve_agent(
    listener: TcpListener,
    handler: Rc<dyn AgentHandler>,
    stop: impl Future<Output = ()>,
) {
    let client: agent::Client = capnp_rpc::new_client(AgentServer { handler });
    let (tx, rx) = watch::channel(false);
    let mut connections = JoinSet::new();
    tokio::select! {
        () = accept_loop(listener, client.client, rx, &mut connections) => {}
        () = stop => {}
    }
    let _ = tx.send(true);
    while connections.join_next().await.is_some() {}
}

/// Serves an entry's listener until the returned future is dropped.
///
/// Must run inside a `LocalSet`.
pub async fn serve_entry(listener: TcpListener, handler: Rc<dyn EntryHandler>) {
    let client: entry::Client = capnp_rpc::new_client(EntryServer { handler });
    let (_tx, rx) = watch::channel(false);
    accept_loop(listener, client.client, rx, &mut JoinSet::new()).await;
}

struct AgentServer {
    handler: Rc<dyn AgentHandler>,
}

impl agent::Server for AgentServer {
    async fn hello(
        self: CapRc<Self>,
        params: agent::HelloParams,
        mut results: agent::HelloResults,
    ) -> Result<(), capnp::Error> {
        check_version(&read_hello(params.get()?.get_hello()?)?)?;
        write_hello(&self.handler.hello(), results.get().init_hello());
        Ok(())
    }

    async fn dispatch(
        self: CapRc<Self>,
        params: agent::DispatchParams,
        mut results: agent::DispatchResults,
    ) -> Result<(), capnp::Error> {
        let dispatch = read_dispatch(params.get()?.get_request()?)?;
        let reply = self.handler.dispatch(dispatch).await;
        write_dispatch_reply(&reply, results.get().init_reply());
        Ok(())
    }

    async fn claim(
        self: CapRc<Self>,
        params: agent::ClaimParams,
        mut results: agent::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let claim = read_claim(params.get()?.get_request()?)?;
        let reply = self.handler.claim(claim).await;
        results.get().set_reply(claim_reply_code(reply));
        Ok(())
    }

    async fn settle(
        self: CapRc<Self>,
        params: agent::SettleParams,
        _results: agent::SettleResults,
    ) -> Result<(), capnp::Error> {
        let claim = read_claim(params.get()?.get_request()?)?;
        self.handler.release(claim).await;
        Ok(())
    }

    async fn reserve(
        self: CapRc<Self>,
        params: agent::ReserveParams,
        mut results: agent::ReserveResults,
    ) -> Result<(), capnp::Error> {
        let reserve = read_reserve(params.get()?.get_request()?)?;
        let answer = self.handler.reserve(reserve).await;
        results.get().set_answer(task_answer_code(answer));
        Ok(())
    }

    async fn go(
        self: CapRc<Self>,
        params: agent::GoParams,
        mut results: agent::GoResults,
    ) -> Result<(), capnp::Error> {
        let order = read_start(params.get()?.get_request()?)?;
        let answer = self.handler.start_task(order).await;
        results.get().set_answer(task_answer_code(answer));
        Ok(())
    }

    async fn stop(
        self: CapRc<Self>,
        params: agent::StopParams,
        mut results: agent::StopResults,
    ) -> Result<(), capnp::Error> {
        let task = read_ref(params.get()?.get_ref()?)?;
        let answer = self.handler.stop(task).await;
        results.get().set_answer(task_answer_code(answer));
        Ok(())
    }

    async fn checkpoint(
        self: CapRc<Self>,
        params: agent::CheckpointParams,
        mut results: agent::CheckpointResults,
    ) -> Result<(), capnp::Error> {
        let task = read_ref(params.get()?.get_ref()?)?;
        let answer = self.handler.checkpoint(task).await;
        results.get().set_answer(task_answer_code(answer));
        Ok(())
    }

    async fn beat(
        self: CapRc<Self>,
        params: agent::BeatParams,
        mut results: agent::BeatResults,
    ) -> Result<(), capnp::Error> {
        let heartbeat = read_heartbeat(params.get()?.get_beat()?)?;
        let answer = self.handler.heartbeat(heartbeat).await;
        results.get().set_answer(task_answer_code(answer));
        Ok(())
    }
}

struct EntryServer {
    handler: Rc<dyn EntryHandler>,
}

impl entry::Server for EntryServer {
    async fn hello(
        self: CapRc<Self>,
        params: entry::HelloParams,
        mut results: entry::HelloResults,
    ) -> Result<(), capnp::Error> {
        check_version(&read_hello(params.get()?.get_hello()?)?)?;
        write_hello(&self.handler.hello(), results.get().init_hello());
        Ok(())
    }

    async fn announce(
        self: CapRc<Self>,
        params: entry::AnnounceParams,
        mut results: entry::AnnounceResults,
    ) -> Result<(), capnp::Error> {
        let announcement = read_announcement(params.get()?.get_announcement()?)?;
        let reply = self.handler.announce(announcement).await;
        write_announce_reply(&reply, results.get().init_reply());
        Ok(())
    }
}

async fn accept_loop(
    listener: TcpListener,
    client: capnp::capability::Client,
    stop: watch::Receiver<bool>,
    connections: &mut JoinSet<()>,
) {
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (client, stop) = (client.clone(), stop.clone());
                connections.spawn_local(async move {
                    if let Err(err) = serve_connection(stream, client, stop).await {
                        tracing::info!(event = "connection_closed", %peer, error = %err);
                    }
                });
            }
            Err(err) => {
                // Errors such as a lack of file descriptors persist: wait, then retry.
                tracing::warn!(event = "accept_failed", error = %err);
                tokio::time::sleep(crate::CONNECT_TIMEOUT).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    client: capnp::capability::Client,
    mut stop: watch::Receiver<bool>,
) -> Result<(), capnp::Error> {
    stream.set_nodelay(true)?;
    let (rx, tx) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        rx.compat(),
        tx.compat_write(),
        Side::Server,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), Some(client));
    let disconnector = system.get_disconnector();
    tokio::select! {
        // Polls the RPC system first, so that it queues the replies that are ready.
        biased;
        result = &mut system => return result,
        _ = stop.wait_for(|is_stopping| *is_stopping) => {}
    }
    // Writes the queue of outgoing messages before the connection closes.
    let (closed, _) = futures::join!(disconnector, system);
    closed
}

fn check_version(hello: &Hello) -> Result<(), capnp::Error> {
    if hello.protocol_version == PROTOCOL_VERSION {
        return Ok(());
    }
    Err(capnp::Error::failed(format!(
        "peer {:?} speaks protocol version {}; expected {PROTOCOL_VERSION}",
        hello.sender, hello.protocol_version
    )))
}
