//! A TCP relay between two processes that cuts, stops and delays what it passes on.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;

use crate::process::free_port;

/// Bytes that are read at once.
const CHUNK: usize = 16 * 1024;
/// First bytes of a connection, which hold the greeting of its client.
const GREETING: usize = 300;

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// They are passed on.
    Pass,
    /// They are held back until the flow passes again.
    Stop,
    /// Each chunk is passed on after a delay.
    Delay(Duration),
    /// The connection closes after so many more bytes of this direction.
    CloseAfter(usize),
}

/// What a relay does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Passes bytes on; the flow towards the server first, then the flow back.
    Flows(Flow, Flow),
    /// Holds back what the process with this id sends; its greeting tells the
    /// connection.
    StopFrom(&'static str),
    /// Closes all connections and refuses new ones.
    Cut,
}

impl Fault {
    /// No fault.
    pub const NONE: Self = Self::Flows(Flow::Pass, Flow::Pass);
    /// Holds back both directions without closing a connection.
    pub const PARTITION: Self = Self::Flows(Flow::Stop, Flow::Stop);
}

/// A relay; its connections close when it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    fault: watch::Sender<Fault>,
}

impl Relay {
    /// Starts a relay to a server, which needs not run yet.
    pub async fn start(target: SocketAddr) -> eyre::Result<Self> {
        let address = free_port()?;
        let listener = TcpListener::bind(address).await?;
        let (fault, rx) = watch::channel(Fault::NONE);
        tokio::spawn(accept(listener, target, rx));
        Ok(Self { address, fault })
    }

    /// Returns the address at which the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the relay does from now on, on kept connections as well.
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
                let Ok((near, _)) = accepted else { return };
                tokio::spawn(relay(near, target, rx.clone()));
            }
        }
    }
}

async fn relay(near: TcpStream, target: SocketAddr, mut rx: watch::Receiver<Fault>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let there = pump(near_rx, far_tx, rx.clone(), |forth, _| forth);
    let back = pump(far_rx, near_tx, rx.clone(), |_, back| back);
    let cut = rx.wait_for(|fault| *fault == Fault::Cut);
    // A side that closes its half leaves the other half open until it ends too.
    let both = async {
        tokio::pin!(there, back);
        tokio::select! {
            end = &mut there => if end == End::Closed { back.await; },
            end = &mut back => if end == End::Closed { there.await; },
        }
    };
    tokio::select! {
        () = both => {}
        _ = cut => {}
    }
}

/// How a direction ended.
#[derive(PartialEq, Eq)]
enum End {
    /// The sender closed it.
    Closed,
    /// The connection is to be closed at once.
    Broken,
}

/// Passes on the bytes of one direction.
async fn pump(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut rx: watch::Receiver<Fault>,
    select: fn(Flow, Flow) -> Flow,
) -> End {
    let flow = |fault: &Fault, greeting: &[u8]| match fault {
        Fault::Flows(forth, back) => select(*forth, *back),
        Fault::StopFrom(sender) if is_from(greeting, sender) => select(Flow::Stop, Flow::Pass),
        Fault::StopFrom(_) => Flow::Pass,
        Fault::Cut => Flow::Stop,
    };
    let mut chunk = vec![0; CHUNK];
    let mut greeting = Vec::new();
    let mut passed = 0;
    loop {
        let Ok(mut length) = from.read(&mut chunk).await else {
            return End::Broken;
        };
        let room = GREETING.saturating_sub(greeting.len()).min(length);
        greeting.extend_from_slice(&chunk[..room]);
        let fault = rx.wait_for(|fault| flow(fault, &greeting) != Flow::Stop);
        let Ok(fault) = fault.await.map(|fault| *fault) else {
            return End::Broken;
        };
        if length == 0 {
            let _ = to.shutdown().await;
            return End::Closed;
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
            return End::Broken;
        }
    }
}

/// Tells whether a greeting names the sender; texts of Cap'n Proto end with a zero byte.
fn is_from(greeting: &[u8], sender: &str) -> bool {
    let text = [sender.as_bytes(), &[0]].concat();
    greeting.windows(text.len()).any(|window| window == text)
}
