//! Handle of a process's budget of connections and request memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cumindeck_ingress::{
    Admission, BodyError, Budget, Claim, Client, ConnectionId, IngressLimits, Phase,
};
use cumindeck_types::{ByteSize, Uptime};
use tokio::sync::Notify;

use crate::{Metrics, Timer};

/// Maximum wait for connections that close to make room.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a connection is opened again that had no room.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Minimum time between two log lines with the same reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

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

/// When a reason was logged last, and how often it came up since.
#[derive(Debug, Clone, Copy, Default)]
struct Logged {
    at: Option<Uptime>,
    unlogged: u64,
}

#[derive(Debug)]
struct State {
    budget: Budget,
    /// Signals to connections that they have to close.
    signals: BTreeMap<ConnectionId, Arc<Notify>>,
    logged: BTreeMap<Reason, Logged>,
}

/// Shared by all listeners of a process; each call takes the lock for a moment.
#[derive(Clone)]
pub struct Gate {
    inner: Arc<Inner>,
}

struct Inner {
    state: Mutex<State>,
    /// Signals that bytes were given back.
    released: Notify,
    timer: Timer,
    metrics: Metrics,
}

impl Gate {
    /// Creates the gate of a process.
    #[must_use]
    pub fn new(limits: IngressLimits, timer: Timer, metrics: Metrics) -> Self {
        tracing::info!(
            event = "ingress_limits",
            connections = limits.connections,
            requests = %limits.requests,
            idle = ?limits.idle,
            min_body_rate = %limits.min_body_rate,
        );
        let state = State {
            budget: Budget::new(limits),
            signals: BTreeMap::new(),
            logged: BTreeMap::new(),
        };
        Self {
            inner: Arc::new(Inner {
                state: Mutex::new(state),
                released: Notify::new(),
                timer,
                metrics,
            }),
        }
    }

    /// Opens a connection, for which others may have to close; waits while requests are
    /// carried out on all of them.
    pub(crate) async fn open(&self, address: SocketAddr) -> ConnectionHandle {
        loop {
            if let Some(connection) = self.try_open(address) {
                return connection;
            }
            tokio::time::sleep(OPEN_RETRY_DELAY).await;
        }
    }

    fn try_open(&self, address: SocketAddr) -> Option<ConnectionHandle> {
        let now = self.now();
        let mut state = self.lock();
        let admission = state.budget.open(now, Client::from(address.ip()));
        let Admission::Admitted(id, victims) = admission else {
            drop(state);
            self.note(Reason::NoConnection, address);
            return None;
        };
        let signal = Arc::new(Notify::new());
        state.signals.insert(id, signal.clone());
        self.signal(&state, &victims);
        self.measure(&state);
        drop(state);
        Some(ConnectionHandle {
            gate: self.clone(),
            id,
            address,
            signal,
            unwritten: AtomicU64::new(0),
            is_answering: AtomicBool::new(false),
        })
    }

    pub(crate) fn limits(&self) -> IngressLimits {
        *self.lock().budget.limits()
    }

    pub(crate) fn now(&self) -> Uptime {
        self.inner.timer.now()
    }

    /// Counts a decision, and logs it unless the same reason was logged just now.
    fn note(&self, reason: Reason, address: SocketAddr) {
        self.inner.metrics.count("ingress", reason.name());
        let now = self.now();
        let mut state = self.lock();
        let logged = state.logged.entry(reason).or_default();
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
            held = %state.budget.held(),
            connections = state.budget.connections(),
        );
    }

    fn signal(&self, state: &State, victims: &[ConnectionId]) {
        for signal in victims.iter().filter_map(|id| state.signals.get(id)) {
            signal.notify_one();
        }
    }

    fn measure(&self, state: &State) {
        let held = i64::try_from(state.budget.held().bytes()).unwrap_or(i64::MAX);
        self.inner.metrics.set("request_bytes", held);
        let connections = i64::try_from(state.budget.connections()).unwrap_or(i64::MAX);
        self.inner.metrics.set("connections", connections);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state machine doesn't panic between two changes that belong together.
        let state = self.inner.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection's part of the budget, which it gives back when it is dropped.
pub(crate) struct ConnectionHandle {
    gate: Gate,
    id: ConnectionId,
    address: SocketAddr,
    signal: Arc<Notify>,
    /// Bytes of an answer that are queued and not written.
    unwritten: AtomicU64,
    /// Whether an answer is ready and not written.
    is_answering: AtomicBool,
}

impl ConnectionHandle {
    pub(crate) const fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Waits until the connection has to close so that another one has room.
    pub(crate) async fn must_close(&self) {
        self.signal.notified().await;
        self.note(Reason::ClosedForRoom);
    }

    pub(crate) fn note(&self, reason: Reason) {
        self.gate.note(reason, self.address);
    }

    pub(crate) fn note_body(&self, err: &BodyError) {
        match err {
            BodyError::TooLarge(_) => self.note(Reason::TooLarge),
            BodyError::NoRoom => self.note(Reason::NoRoom),
            BodyError::TooSlow => self.note(Reason::TooSlow),
            BodyError::Broken(_) => {}
        }
    }

    /// Claims memory; waits for connections that close for it. Returns whether there is
    /// room.
    pub(crate) async fn claim(&self, size: ByteSize) -> bool {
        if size == ByteSize::new(0) {
            return true;
        }
        let claim = async {
            loop {
                let released = self.gate.inner.released.notified();
                tokio::pin!(released);
                // Registers before the claim, so that no release in between is missed.
                released.as_mut().enable();
                {
                    let mut state = self.gate.lock();
                    match state.budget.claim(self.id, size) {
                        Claim::Granted => {
                            self.gate.measure(&state);
                            return true;
                        }
                        Claim::Refused => return false,
                        Claim::Wait(victims) => self.gate.signal(&state, &victims),
                    }
                }
                released.await;
            }
        };
        tokio::time::timeout(ROOM_TIMEOUT, claim)
            .await
            .unwrap_or(false)
    }

    pub(crate) fn release(&self, size: ByteSize) {
        if size == ByteSize::new(0) {
            return;
        }
        let mut state = self.gate.lock();
        state.budget.release(self.id, size);
        self.gate.measure(&state);
        drop(state);
        self.gate.inner.released.notify_waiters();
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        let now = self.gate.now();
        let mut state = self.gate.lock();
        if state.budget.set_phase(now, self.id, phase) {
            self.signal.notify_one();
        }
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
        let mut state = self.gate.lock();
        state.budget.close(self.id);
        state.signals.remove(&self.id);
        self.gate.measure(&state);
        drop(state);
        self.gate.inner.released.notify_waiters();
    }
}
