//! A TCP relay between two processes that cuts, stops and delays the forwarded bytes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;

use crate::process::free_port;

/// Maximum number of bytes per read.
const CHUNK: usize = 16 * 1024;
/// Number of bytes at the start of a connection that contain its client's hello message.
const GREETING: usize = 300;

/// Handling of the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// They are forwarded.
    Pass,
    /// They are held back until the flow is changed.
    Stop,
    /// Each chunk is forwarded after a delay.
    Delay(Duration),
    /// The connection closes after this many more bytes of this direction.
    CloseAfter(usize),
}

/// Fault that a relay injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Applies a flow to the bytes towards the server and one to the bytes back.
    Flows(Flow, Flow),
    /// Holds back what the process with this id sends. Its connections are recognized by
    /// the sender in the hello message.
    StopFrom(&'static str),
    /// Closes all connections and refuses new ones.
    Cut,
}

impl Fault {
    /// Both directions are forwarded.
    pub const NONE: Self = Self::Flows(Flow::Pass, Flow::Pass);
    /// Both directions are held back without closing a connection.
    pub const PARTITION: Self = Self::Flows(Flow::Stop, Flow::Stop);
}

/// A TCP relay; its connections close when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Relay {
    /// Starts a relay to a server, which need not be running yet.
    pub async fn start(target: SocketAddr) -> eyre::Result<Self> {
        let address = free_port()?;
        let listener = TcpListener::bind(address).await?;
        let (fault, rx) = watch::channel(Fault::NONE);
        tokio::spawn(accept(listener, target, rx));
        Ok(Self { address, fault })
    }

    /// Returns the address on which the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault to inject from now on, also on open connections.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut rx: watch::Receiver<Fault>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = Some(listener);
    loop {
        // Without a listener the kernel refuses connections.
        if *rx.borrow_and_update() == Fault::Cut {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(address).await.ok();
        }
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = rx.changed() => if changed.is_err() { return },
            accepted = accepted => {
                let Ok((client, _)) = accepted else { return };
                tokio::spawn(relay(client, target, rx.clone()));
            }
        }
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut rx: watch::Receiver<Fault>) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let to_server = forward(client_rx, server_tx, rx.clone(), |forth, _| forth);
    let back = forward(server_rx, client_tx, rx.clone(), |_, back| back);
    let cut = rx.wait_for(|fault| *fault == Fault::Cut);
    // If one side closes its half, the other half stays open until it ends too.
    let both = async {
        tokio::pin!(to_server, back);
        tokio::select! {
            end = &mut to_server => if end == FlowEnd::Closed { back.await; },
            end = &mut back => if end == FlowEnd::Closed { to_server.await; },
        }
    };
    tokio::select! {
        () = both => {}
        _ = cut => {}
    }
}

/// How a direction ended.
#[derive(PartialEq, Eq)]
enum FlowEnd {
    /// The sender closed it.
    Closed,
    /// The connection must be closed immediately.
    Broken,
}

/// Forwards the bytes of one direction.
async fn forward(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut rx: watch::Receiver<Fault>,
    flow_of: fn(Flow, Flow) -> Flow,
) -> FlowEnd {
    let flow = |fault: &Fault, greeting: &[u8]| match fault {
        Fault::Flows(forth, back) => flow_of(*forth, *back),
        Fault::StopFrom(sender) if is_from(greeting, sender) => flow_of(Flow::Stop, Flow::Pass),
        Fault::StopFrom(_) => Flow::Pass,
        Fault::Cut => Flow::Stop,
    };
    let mut chunk = vec![0; CHUNK];
    let mut greeting = Vec::new();
    let mut passed = 0;
    loop {
        let Ok(mut length) = from.read(&mut chunk).await else {
            return FlowEnd::Broken;
        };
        let missing = GREETING.saturating_sub(greeting.len()).min(length);
        greeting.extend_from_slice(&chunk[..missing]);
        let fault = rx.wait_for(|fault| flow(fault, &greeting) != Flow::Stop);
        let Ok(fault) = fault.await.map(|fault| *fault) else {
            return FlowEnd::Broken;
        };
        if length == 0 {
            let _ = to.shutdown().await;
            return FlowEnd::Closed;
        }
        let mut is_last = false;
        match flow(&fault, &greeting) {
            Flow::Pass | Flow::Stop => passed = 0,
            Flow::Delay(delay) => tokio::time::sleep(delay).await,
            Flow::CloseAfter(limit) => {
                length = length.min(limit.saturating_sub(passed));
                passed += length;
                is_last = passed >= limit;
            }
        }
        if to.write_all(&chunk[..length]).await.is_err() || is_last {
            return FlowEnd::Broken;
        }
    }
}

/// Returns whether a hello message has this sender. Cap'n Proto ends strings with a
/// zero byte.
fn is_from(greeting: &[u8], sender: &str) -> bool {
    let text = [sender.as_bytes(), &[0]].concat();
    greeting.windows(text.len()).any(|window| window == text)
}
