//! Connections of a process and the bytes that are held for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::net::{AddrParseError, IpAddr};
use std::str::FromStr;
use std::time::Duration;

use cumindeck_types::{ByteSize, Uptime};
use smallvec::SmallVec;

use crate::IngressLimits;

/// Time after which a body gives way to any other one that needs its memory.
const FAVOURED_BODY_TIME: Duration = Duration::from_secs(5);

/// A connection, by the order in which connections were opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

impl Display for ConnectionId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A client, which is the address at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Client(IpAddr);

impl From<IpAddr> for Client {
    fn from(address: IpAddr) -> Self {
        Self(address)
    }
}

impl Display for Client {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Client {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        text.parse().map(Self)
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It waits for a request or reads its head.
    Head,
    /// It reads a body.
    Body,
    /// Its request is being carried out; it is not closed to make room.
    Running,
    /// Its answer waits to be written.
    Answer,
}

/// Connections to close so that there is room.
type Victims = SmallVec<[ConnectionId; 4]>;

/// Decision on a new connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It may be served; the others are to be closed.
    Admitted(ConnectionId, Victims),
    /// Requests on all other connections are being carried out; the first of them that
    /// waits for its next request is closed.
    Full,
}

/// Decision on memory for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The bytes are held for the connection.
    Granted,
    /// There will be room once these and earlier victims have been closed.
    Wait(Victims),
    /// There is no room.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    client: Client,
    phase: Phase,
    held: u64,
    progressed: Uptime,
    /// When it began to read its last body.
    body_since: Uptime,
    is_closing: bool,
}

/// Returns whether a body has been open for so long that it gives way to any other.
fn is_overdue(now: Uptime, open: &Connection) -> bool {
    open.phase == Phase::Body && open.held > 0 && now.since(open.body_since) > FAVOURED_BODY_TIME
}

/// Connections of a client and the bytes held for them, without those that are closing.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    connections: u64,
    held: u64,
}

/// The budget of a process.
#[derive(Debug)]
pub struct Budget {
    limits: IngressLimits,
    connections: BTreeMap<ConnectionId, Connection>,
    next: u64,
    held: u64,
    /// Whether a new connection waits for room.
    is_wanted: bool,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub const fn new(limits: IngressLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            next: 0,
            held: 0,
            is_wanted: false,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &IngressLimits {
        &self.limits
    }

    /// Returns the bytes held for all connections.
    #[must_use]
    pub const fn held(&self) -> ByteSize {
        ByteSize::new(self.held)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now: Uptime, client: Client) -> Admission {
        let mut victims = Victims::new();
        let open = self.connections.values();
        if open.filter(|open| !open.is_closing).count() >= self.limits.connections {
            let shares = self.shares();
            let victim = self.victim(|open| {
                let share = shares.get(&open.client).copied().unwrap_or_default();
                // Answers are short-lived unless they are not read.
                let is_body = open.phase == Phase::Body;
                Some((
                    false,
                    share.connections,
                    if is_body { open.held } else { 0 },
                ))
            });
            let Some(victim) = victim else {
                self.is_wanted = true;
                return Admission::Full;
            };
            self.mark_closing(victim);
            victims.push(victim);
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        self.is_wanted = false;
        self.connections.insert(
            id,
            Connection {
                client,
                phase: Phase::Head,
                held: 0,
                progressed: now,
                body_since: now,
                is_closing: false,
            },
        );
        Admission::Admitted(id, victims)
    }

    /// Decides on memory for a request of a connection.
    pub fn claim(&mut self, now: Uptime, id: ConnectionId, size: ByteSize) -> Claim {
        let Some(claimant) = self.connections.get(&id).copied() else {
            return Claim::Refused;
        };
        if claimant.is_closing {
            return Claim::Refused;
        }
        let size = size.bytes();
        if self.held.saturating_add(size) <= self.limits.requests.bytes() {
            self.held += size;
            if let Some(claimant) = self.connections.get_mut(&id) {
                claimant.held += size;
            }
            return Claim::Granted;
        }
        let closing = self.connections.values().filter(|open| open.is_closing);
        let mut released: u64 = closing.map(|open| open.held).sum();
        let mut victims = Victims::new();
        let mut shares = self.shares();
        let wanted = shares.get(&claimant.client).copied().unwrap_or_default();
        while (self.held + size).saturating_sub(released) > self.limits.requests.bytes() {
            let victim = self.victim(|open| {
                let share = shares.get(&open.client).copied().unwrap_or_default();
                // The client that holds most may hold it all for requests that are being
                // carried out, while its other connections hold nothing.
                (open.held > 0).then(|| (is_overdue(now, open), share.held, open.held))
            });
            let victim = victim.and_then(|victim| Some((victim, *self.connections.get(&victim)?)));
            let Some((victim, open)) = victim else {
                break;
            };
            let share = shares.entry(open.client).or_default();
            let gives_way = is_overdue(now, &open)
                || match open.client == claimant.client {
                    true => open.held > claimant.held + size,
                    false => share.held > wanted.held + size,
                };
            if !gives_way || victim == id {
                break;
            }
            share.held -= open.held;
            released += open.held;
            self.mark_closing(victim);
            victims.push(victim);
        }
        if (self.held + size).saturating_sub(released) > self.limits.requests.bytes() {
            // Those marked so far would have been closed for nothing.
            for victim in victims {
                if let Some(open) = self.connections.get_mut(&victim) {
                    open.is_closing = false;
                }
            }
            return Claim::Refused;
        }
        Claim::Wait(victims)
    }

    /// Records what a connection is doing, which counts as progress. Returns whether it is
    /// to be closed for a new connection that waits for room.
    pub fn set_phase(&mut self, now: Uptime, id: ConnectionId, phase: Phase) -> bool {
        let Some(open) = self.connections.get_mut(&id) else {
            return false;
        };
        if phase == Phase::Body {
            open.body_since = now;
        }
        open.phase = phase;
        open.progressed = now;
        let gives_way = self.is_wanted && phase == Phase::Head && !open.is_closing;
        if gives_way {
            self.is_wanted = false;
            open.is_closing = true;
        }
        gives_way
    }

    /// Gives bytes of a connection back.
    pub fn release(&mut self, id: ConnectionId, size: ByteSize) {
        if let Some(open) = self.connections.get_mut(&id) {
            let size = size.bytes().min(open.held);
            open.held -= size;
            self.held -= size;
        }
    }

    /// Removes a connection that has ended, with all that is held for it.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(open) = self.connections.remove(&id) {
            self.held -= open.held;
        }
    }

    /// Returns the connection to close first: the one with the highest rank, of several
    /// the one without progress for longest. One without a rank is not closed.
    fn victim(
        &self,
        rank: impl Fn(&Connection) -> Option<(bool, u64, u64)>,
    ) -> Option<ConnectionId> {
        let open = self.connections.iter();
        open.filter(|(_, open)| !open.is_closing && open.phase != Phase::Running)
            .filter_map(|(id, open)| Some((rank(open)?, Reverse((open.progressed, *id)))))
            .max()
            .map(|(_, Reverse((_, id)))| id)
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        if let Some(open) = self.connections.get_mut(&id) {
            open.is_closing = true;
        }
    }

    fn shares(&self) -> BTreeMap<Client, Share> {
        let mut shares = BTreeMap::<_, Share>::new();
        for open in self.connections.values().filter(|open| !open.is_closing) {
            let share = shares.entry(open.client).or_default();
            share.connections += 1;
            share.held += open.held;
        }
        shares
    }
}
