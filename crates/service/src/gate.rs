//! The task that owns a process's budget of connections and request memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use cumindeck_ingress::{
    Admission, BodyError, Budget, Claim, Client, ConnectionId, IngressLimits, Phase,
};
use cumindeck_types::{ByteSize, Uptime};
use tokio::sync::{mpsc, oneshot};

use crate::{Alarm, Metrics, Timer};

/// Maximum wait for connections that close to make room.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time until waiting claims and connections are looked at again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum time between two log lines with the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of messages that are handled before the metrics are set.
const BATCH: usize = 64;

/// Why a connection or a request was turned away, as in logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reason {
    /// The connection was closed so that another one has room.
    ClosedForRoom,
    /// All connections have requests that are being carried out.
    NoConnection,
    /// There was no memory for a body.
    NoRoom,
    /// There was no memory for an answer.
    NoRoomForAnswer,
    /// A body was larger than its listener allows.
    TooLarge,
    /// A body came too slowly.
    TooSlow,
    /// An answer was not read in time.
    AnswerNotRead,
}

impl Reason {
    const fn name(self) -> &'static str {
        match self {
            Self::ClosedForRoom => "closed-for-room",
            Self::NoConnection => "no-connection",
            Self::NoRoom => "no-room",
            Self::NoRoomForAnswer => "no-room-for-answer",
            Self::TooLarge => "too-large",
            Self::TooSlow => "too-slow",
            Self::AnswerNotRead => "answer-not-read",
        }
    }
}

/// A new connection as the gate has admitted it.
struct Opened {
    id: ConnectionId,
    closing: oneshot::Receiver<()>,
}

/// Messages of connections and listeners to the gate.
enum GateMessage {
    Open(SocketAddr, oneshot::Sender<Opened>),
    Claim(ConnectionId, ByteSize, oneshot::Sender<bool>),
    Release(ConnectionId, ByteSize),
    Phase(ConnectionId, Phase),
    Close(ConnectionId),
    Note(Reason, SocketAddr),
}

/// Handle of the gate, shared by all listeners of a process.
///
/// A connection waits for the reply to a claim at least once a request, and sends a fixed
/// number of messages between two replies. This bounds the queue by the number of
/// connections.
#[derive(Clone)]
pub struct Gate {
    tx: mpsc::UnboundedSender<GateMessage>,
    limits: IngressLimits,
    timer: Timer,
}

impl Gate {
    /// Starts the gate of a process.
    #[must_use]
    pub fn spawn(limits: IngressLimits, timer: Timer, metrics: Metrics) -> Self {
        tracing::info!(
            event = "ingress_limits",
            connections = limits.connections,
            requests = %limits.requests,
            idle = ?limits.idle,
            min_body_rate = %limits.min_body_rate,
        );
        let (tx, rx) = mpsc::unbounded_channel();
        let task = GateTask {
            budget: Budget::new(limits),
            signals: BTreeMap::new(),
            openings: Vec::new(),
            claims: Vec::new(),
            logged: BTreeMap::new(),
            alarm: timer.alarm(),
            timer: timer.clone(),
            metrics,
        };
        tokio::spawn(task.run(rx));
        Self { tx, limits, timer }
    }

    /// Opens a connection, for which others may have to close; waits while requests are
    /// carried out on all of them. `None` if the process is ending.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
    ) -> Option<(ConnectionHandle, CloseSignal)> {
        let (tx, rx) = oneshot::channel();
        self.send(GateMessage::Open(address, tx));
        let Opened { id, closing } = rx.await.ok()?;
        let handle = ConnectionHandle {
            gate: self.clone(),
            id,
            address,
            unwritten: AtomicU64::new(0),
            is_answering: AtomicBool::new(false),
        };
        Some((handle, CloseSignal(closing)))
    }

    pub(crate) const fn limits(&self) -> &IngressLimits {
        &self.limits
    }

    pub(crate) fn now(&self) -> Uptime {
        self.timer.now()
    }

    fn send(&self, message: GateMessage) {
        // The gate ends only with its process.
        let _ = self.tx.send(message);
    }
}

/// Tells a connection to close so that another one has room.
pub(crate) struct CloseSignal(oneshot::Receiver<()>);

impl CloseSignal {
    pub(crate) async fn wait(&mut self) {
        if (&mut self.0).await.is_err() {
            // The gate has ended with the process.
            std::future::pending::<()>().await;
        }
    }
}

/// A connection's part of the budget, which it gives back when it is dropped.
pub(crate) struct ConnectionHandle {
    gate: Gate,
    id: ConnectionId,
    address: SocketAddr,
    /// Bytes of answers that are queued and not written.
    unwritten: AtomicU64,
    /// Whether an answer is ready and not written.
    is_answering: AtomicBool,
}

impl ConnectionHandle {
    pub(crate) const fn gate(&self) -> &Gate {
        &self.gate
    }

    pub(crate) fn note(&self, reason: Reason) {
        self.gate.send(GateMessage::Note(reason, self.address));
    }

    pub(crate) fn note_body(&self, err: &BodyError) {
        match err {
            BodyError::TooLarge(_) => self.note(Reason::TooLarge),
            BodyError::NoRoom => self.note(Reason::NoRoom),
            BodyError::TooSlow => self.note(Reason::TooSlow),
            BodyError::Broken(_) => {}
        }
    }

    /// Claims memory, also none, and returns whether there is room.
    pub(crate) async fn claim(&self, size: ByteSize) -> bool {
        let (tx, rx) = oneshot::channel();
        self.gate.send(GateMessage::Claim(self.id, size, tx));
        rx.await.unwrap_or(false)
    }

    pub(crate) fn release(&self, size: ByteSize) {
        if size != ByteSize::new(0) {
            self.gate.send(GateMessage::Release(self.id, size));
        }
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.gate.send(GateMessage::Phase(self.id, phase));
    }

    /// Records that an answer is ready.
    pub(crate) fn start_answer(&self) {
        self.set_phase(Phase::Answer);
        self.is_answering.store(true, Ordering::Relaxed);
    }

    /// Records that memory was claimed for an answer that waits to be written.
    pub(crate) fn queue_answer(&self, size: ByteSize) {
        self.unwritten.fetch_add(size.bytes(), Ordering::Relaxed);
    }

    /// Gives the memory of the answers back that have been written.
    pub(crate) fn answers_written(&self) {
        let written = self.unwritten.swap(0, Ordering::Relaxed);
        self.release(ByteSize::new(written));
        if self.is_answering.swap(false, Ordering::Relaxed) {
            self.set_phase(Phase::Head);
        }
    }
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.gate.send(GateMessage::Close(self.id));
    }
}

/// When a reason was logged last, and how often it came up since.
#[derive(Debug, Clone, Copy, Default)]
struct Logged {
    at: Option<Uptime>,
    unlogged: u64,
}

/// A claim that waits for connections to close.
struct WaitingClaim {
    id: ConnectionId,
    size: ByteSize,
    until: Uptime,
    reply: oneshot::Sender<bool>,
}

struct GateTask {
    budget: Budget,
    /// Connections that have not been told to close.
    signals: BTreeMap<ConnectionId, (SocketAddr, oneshot::Sender<()>)>,
    /// Connections that wait to be opened, one for each listener.
    openings: Vec<(SocketAddr, oneshot::Sender<Opened>)>,
    claims: Vec<WaitingClaim>,
    logged: BTreeMap<Reason, Logged>,
    alarm: Alarm,
    timer: Timer,
    metrics: Metrics,
}

impl GateTask {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<GateMessage>) {
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                received = rx.recv_many(&mut batch, BATCH) => if received == 0 {
                    return;
                },
                () = self.alarm.wait() => {}
            }
            let now = self.timer.now();
            for message in batch.drain(..) {
                self.handle(now, message);
            }
            self.retry(now);
            self.measure();
            let waits = !self.openings.is_empty() || !self.claims.is_empty();
            self.alarm.set(waits.then(|| now.plus(RETRY_DELAY)));
        }
    }

    fn handle(&mut self, now: Uptime, message: GateMessage) {
        match message {
            GateMessage::Open(address, reply) => {
                let waiting = self.openings.len();
                self.open(now, address, reply);
                if self.openings.len() > waiting {
                    self.note(now, Reason::NoConnection, address);
                }
            }
            GateMessage::Claim(id, size, reply) => self.claim(
                now,
                WaitingClaim {
                    id,
                    size,
                    until: now.plus(ROOM_TIMEOUT),
                    reply,
                },
            ),
            GateMessage::Release(id, size) => self.budget.release(id, size),
            GateMessage::Phase(id, phase) => {
                if self.budget.set_phase(now, id, phase) {
                    self.signal(now, &[id]);
                }
            }
            GateMessage::Close(id) => {
                self.signals.remove(&id);
                self.budget.close(id);
            }
            GateMessage::Note(reason, address) => self.note(now, reason, address),
        }
    }

    /// Looks at what waits for room again.
    fn retry(&mut self, now: Uptime) {
        for (address, reply) in std::mem::take(&mut self.openings) {
            if !reply.is_closed() {
                self.open(now, address, reply);
            }
        }
        for claim in std::mem::take(&mut self.claims) {
            match claim.until <= now {
                true => drop(claim.reply.send(false)),
                false => self.claim(now, claim),
            }
        }
    }

    fn open(&mut self, now: Uptime, address: SocketAddr, reply: oneshot::Sender<Opened>) {
        match self.budget.open(now, Client::from(address.ip())) {
            Admission::Admitted(id, victims) => {
                self.signal(now, &victims);
                let (signal, closing) = oneshot::channel();
                self.signals.insert(id, (address, signal));
                if reply.send(Opened { id, closing }).is_err() {
                    self.signals.remove(&id);
                    self.budget.close(id);
                }
            }
            Admission::Full => self.openings.push((address, reply)),
        }
    }

    fn claim(&mut self, now: Uptime, claim: WaitingClaim) {
        match self.budget.claim(now, claim.id, claim.size) {
            Claim::Granted => drop(claim.reply.send(true)),
            Claim::Refused => drop(claim.reply.send(false)),
            Claim::Wait(victims) => {
                self.signal(now, &victims);
                self.claims.push(claim);
            }
        }
    }

    /// Tells connections to close.
    fn signal(&mut self, now: Uptime, victims: &[ConnectionId]) {
        for id in victims {
            if let Some((address, signal)) = self.signals.remove(id) {
                // The connection may have ended at the same moment.
                let _ = signal.send(());
                self.note(now, Reason::ClosedForRoom, address);
            }
        }
    }

    /// Counts a decision, and logs it unless the same reason was logged just now.
    fn note(&mut self, now: Uptime, reason: Reason, address: SocketAddr) {
        self.metrics.count("ingress", reason.name());
        let logged = self.logged.entry(reason).or_default();
        if logged.at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            logged.unlogged += 1;
            return;
        }
        let unlogged = std::mem::take(&mut logged.unlogged);
        logged.at = Some(now);
        tracing::warn!(
            event = "ingress_limited",
            reason = reason.name(),
            client = %address,
            unlogged,
            held = %self.budget.held(),
            connections = self.budget.connections(),
        );
    }

    fn measure(&self) {
        let held = i64::try_from(self.budget.held().bytes()).unwrap_or(i64::MAX);
        self.metrics.set("request_bytes", held);
        let connections = i64::try_from(self.budget.connections()).unwrap_or(i64::MAX);
        self.metrics.set("connections", connections);
    }
}
