//! Client ends of the RPC connections to agents and entries.

use std::net::SocketAddr;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use cumindeck_types::message::{
    AnnounceReply, Announcement, Claim, ClaimReply, Dispatch, DispatchReply, Heartbeat, Hello,
    PROTOCOL_VERSION, Reserve, StartTask, TaskAnswer, TaskRef,
};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::announce::{read_announce_reply, read_hello, write_announcement, write_hello};
use crate::cumindeck_capnp::{agent, entry};
use crate::error::{LinkError, WireError};
use crate::request::{claim_reply, read_dispatch_reply, write_claim, write_dispatch};
use crate::task::{task_answer, write_heartbeat, write_ref, write_reserve, write_start};
use crate::{CONNECT_TIMEOUT, reader_options};

/// A connection to an agent, closed when it is dropped.
pub struct AgentLink {
    client: agent::Client,
    system: JoinHandle<()>,
}

impl AgentLink {
    /// Connects to an agent and checks its protocol version.
    ///
    /// Must run inside a `LocalSet`.
    pub async fn connect(address: SocketAddr, hello: &Hello) -> Result<Self, LinkError> {
        let (client, system) = connect::<agent::Client>(address).await?;
        let link = Self { client, system };
        let mut req = link.client.hello_request();
        write_hello(hello, req.get().init_hello());
        let call = async move {
            let response = req.send().promise.await?;
            read_hello(response.get()?.get_hello()?)
        };
        check_hello(address, &exchange_hello(address, call).await?)?;
        Ok(link)
    }

    /// Returns whether the connection has closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.system.is_finished()
    }

    /// Dispatches a request and waits for the reply.
    pub async fn dispatch(&self, dispatch: &Dispatch) -> Result<DispatchReply, LinkError> {
        let mut req = self.client.dispatch_request();
        write_dispatch(dispatch, req.get().init_request());
        let response = req.send().promise.await?;
        Ok(read_dispatch_reply(response.get()?.get_reply()?)?)
    }

    /// Claims a key at its home agent.
    pub async fn claim(&self, claim: &Claim) -> Result<ClaimReply, LinkError> {
        let mut req = self.client.claim_request();
        write_claim(claim, req.get().init_request());
        let response = req.send().promise.await?;
        Ok(claim_reply(
            response.get()?.get_reply().map_err(WireError::from)?,
        ))
    }

    /// Releases the claim of a request that certainly did not run.
    pub async fn release(&self, claim: &Claim) -> Result<(), LinkError> {
        let mut req = self.client.settle_request();
        write_claim(claim, req.get().init_request());
        req.send().promise.await?;
        Ok(())
    }

    /// Reserves accelerators for a task.
    pub async fn reserve(&self, reserve: &Reserve) -> Result<TaskAnswer, LinkError> {
        let mut req = self.client.reserve_request();
        write_reserve(reserve, req.get().init_request());
        let response = req.send().promise.await?;
        Ok(task_answer(
            response.get()?.get_answer().map_err(WireError::from)?,
        ))
    }

    /// Sends the start order for a prepared task.
    pub async fn start_task(&self, order: &StartTask) -> Result<TaskAnswer, LinkError> {
        let mut req = self.client.go_request();
        write_start(order, req.get().init_request());
        let response = req.send().promise.await?;
        Ok(task_answer(
            response.get()?.get_answer().map_err(WireError::from)?,
        ))
    }

    /// Stops a task.
    pub async fn stop(&self, task: &TaskRef) -> Result<TaskAnswer, LinkError> {
        let mut req = self.client.stop_request();
        write_ref(task, req.get().init_ref());
        let response = req.send().promise.await?;
        Ok(task_answer(
            response.get()?.get_answer().map_err(WireError::from)?,
        ))
    }

    /// Orders a task to write a checkpoint.
    pub async fn checkpoint(&self, task: &TaskRef) -> Result<TaskAnswer, LinkError> {
        let mut req = self.client.checkpoint_request();
        write_ref(task, req.get().init_ref());
        let response = req.send().promise.await?;
        Ok(task_answer(
            response.get()?.get_answer().map_err(WireError::from)?,
        ))
    }

    /// Sends the heartbeat of a gang member; `Done` means that the gang is alive.
    pub async fn heartbeat(&self, heartbeat: &Heartbeat) -> Result<TaskAnswer, LinkError> {
        let mut req = self.client.beat_request();
        write_heartbeat(heartbeat, req.get().init_beat());
        let response = req.send().promise.await?;
        Ok(task_answer(
            response.get()?.get_answer().map_err(WireError::from)?,
        ))
    }
}

impl Drop for AgentLink {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// A connection to an entry, closed when it is dropped.
pub struct EntryLink {
    client: entry::Client,
    system: JoinHandle<()>,
}

impl EntryLink {
    /// Connects to an entry and checks its protocol version.
    ///
    /// Must run inside a `LocalSet`.
    pub async fn connect(address: SocketAddr, hello: &Hello) -> Result<Self, LinkError> {
        let (client, system) = connect::<entry::Client>(address).await?;
        let link = Self { client, system };
        let mut req = link.client.hello_request();
        write_hello(hello, req.get().init_hello());
        let call = async move {
            let response = req.send().promise.await?;
            read_hello(response.get()?.get_hello()?)
        };
        check_hello(address, &exchange_hello(address, call).await?)?;
        Ok(link)
    }

    /// Returns whether the connection has closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.system.is_finished()
    }

    /// Sends the announcement of an agent and waits for the reply.
    pub async fn announce(&self, announcement: &Announcement) -> Result<AnnounceReply, LinkError> {
        let mut req = self.client.announce_request();
        write_announcement(announcement, req.get().init_announcement());
        let response = req.send().promise.await?;
        Ok(read_announce_reply(response.get()?.get_reply()?)?)
    }
}

impl Drop for EntryLink {
    fn drop(&mut self) {
        self.system.abort();
    }
}

async fn connect<C>(address: SocketAddr) -> Result<(C, JoinHandle<()>), LinkError>
where
    C: capnp::capability::FromClientHook,
{
    let fail = |reason: String| LinkError::Connect { address, reason };
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(err)) => return Err(fail(err.to_string())),
        Err(_) => return Err(fail(format!("no response within {CONNECT_TIMEOUT:?}"))),
    };
    stream
        .set_nodelay(true)
        .map_err(|err| fail(err.to_string()))?;
    let (rx, tx) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        rx.compat(),
        tx.compat_write(),
        Side::Client,
        reader_options(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let system = tokio::task::spawn_local(async move {
        if let Err(err) = system.await {
            tracing::debug!(event = "link_closed", peer = %address, error = %err);
        }
    });
    Ok((client, system))
}

async fn exchange_hello(
    address: SocketAddr,
    call: impl Future<Output = Result<Hello, WireError>>,
) -> Result<Hello, LinkError> {
    let reason = match tokio::time::timeout(CONNECT_TIMEOUT, call).await {
        Ok(Ok(hello)) => return Ok(hello),
        Ok(Err(err)) => err.to_string(),
        Err(_) => format!("no hello message within {CONNECT_TIMEOUT:?}"),
    };
    Err(LinkError::Connect { address, reason })
}

fn check_hello(address: SocketAddr, hello: &Hello) -> Result<(), LinkError> {
    let found = hello.protocol_version;
    if found != PROTOCOL_VERSION {
        return Err(LinkError::Version {
            address,
            found,
            expected: PROTOCOL_VERSION,
        });
    }
    Ok(())
}
