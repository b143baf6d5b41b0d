//! Messages of another writer at the address where an agent receives its worker's
//! heartbeats.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use cumindeck_platform::HttpClient;
use http::Method;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

/// Maximum time of a call; the agent need not answer it.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A kind of message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OddMessage {
    /// Heartbeat of another worker that started now.
    LaterWorker,
    /// Heartbeat of another worker that started when the agent's worker did.
    WorkerOfSameStart,
    /// Heartbeat of another worker, of a service that is not in the configuration.
    UnknownService,
    /// Heartbeat of the agent's worker that states a later start.
    LaterStart,
    /// Message that the agent's worker shuts down.
    Exit,
    /// Heartbeat that can't be read.
    Unreadable,
}

impl OddMessage {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::LaterWorker,
        Self::WorkerOfSameStart,
        Self::UnknownService,
        Self::LaterStart,
        Self::Exit,
        Self::Unreadable,
    ];

    /// Draws a kind.
    pub fn draw(rng: &mut ChaCha8Rng) -> Self {
        *Self::ALL.choose(rng).unwrap_or(&Self::LaterWorker)
    }

    /// Sends the message to an agent; `worker` started at `started_ms`, as Unix time.
    pub async fn send(self, agent: SocketAddr, worker: &str, started_ms: u64) {
        let id = match self {
            Self::LaterStart | Self::Exit => worker,
            _ => "i-6382b9b6",
        };
        let born = match self {
            Self::LaterWorker | Self::LaterStart => unix_ms(),
            _ => started_ms,
        };
        let service = match self {
            Self::UnknownService => "parcels",
            _ => "letters",
        };
        let body = match self {
            Self::Unreadable => format!("{{\"born\":{}", "[".repeat(50_000)),
            _ => json!({
                "service": service,
                "address": "127.0.0.1:9",
                "zone": "plateau",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "warmupLeftMs": 0,
                "capacity": { "cpu": 8_000, "memMb": 8_000, "gpu": 8 },
                "labels": ["a", "r1"],
                "born": born,
                "sequence": 4,
            })
            .to_string(),
        };
        let method = match self {
            Self::Exit => Method::DELETE,
            _ => Method::PUT,
        };
        let client = HttpClient::new(agent, CALL_TIMEOUT);
        let path = format!("/instances/{id}");
        let body = Bytes::from(body);
        // The agent may be down, and it rejects what it can't read.
        let _ = client.send(method, &path, &[], body, CALL_TIMEOUT).await;
    }
}

impl fmt::Display for OddMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LaterWorker => "later worker",
            Self::WorkerOfSameStart => "worker of the same start",
            Self::UnknownService => "unknown service",
            Self::LaterStart => "later start",
            Self::Exit => "exit",
            Self::Unreadable => "unreadable",
        })
    }
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0))
}
