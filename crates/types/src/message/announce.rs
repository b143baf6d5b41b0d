//! Announcements of agents and the replies of entries.

use std::net::SocketAddr;

use crate::message::TaskReport;
use crate::{
    AgentId, Attempt, AvailabilityZone, ConfigVersion, EntryId, FencingToken, Incarnation, JobId,
    RackId, Region, Remaining, RingVersion, WorkerId, ZoneVersion,
};

/// Version of the protocol between the system's processes.
pub const PROTOCOL_VERSION: u32 = 1;

/// The first message on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Version of the protocol that the sender speaks.
    pub protocol_version: u32,
    /// Id of the sending process.
    pub sender: String,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
}

/// Whether an agent takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AgentState {
    /// The agent takes new work.
    Serving,
    /// The agent finishes its work and takes no more.
    Leaving,
}

/// What an agent tells an entry about itself and its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The agent.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The agent's availability zone.
    pub zone: AvailabilityZone,
    /// The agent's region.
    pub region: Region,
    /// Address of the agent's RPC listener.
    pub address: SocketAddr,
    /// Whether the agent takes new work.
    pub state: AgentState,
    /// Requests that the backend server can run at once.
    pub slots: u32,
    /// Connections that the backend server accepts at once.
    pub connections: u32,
    /// Requests that run now.
    pub in_flight: u32,
    /// Version of the ring under which the agent serves claims.
    pub ring_version: RingVersion,
    /// The worker beside the agent.
    pub worker: WorkerId,
    /// The worker's rack.
    pub rack: RackId,
    /// Number of the worker's accelerators.
    pub accelerators: u32,
    /// Highest fencing token that the agent has seen.
    pub newest_token: FencingToken,
    /// Tasks that the agent holds or that ended and are not yet acknowledged.
    pub tasks: Vec<TaskReport>,
}

/// The right to start tasks in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRight {
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// Accepted version of the zone's state.
    pub version: ZoneVersion,
    /// Whether tasks may start.
    pub is_open: bool,
    /// What is left of the right, counted from when the receiver asked.
    pub remaining: Remaining,
}

/// The lease under which an agent runs tasks and serves claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLease {
    /// Fencing token of the duty that grants the lease.
    pub token: FencingToken,
    /// What is left of the lease, counted from when the agent asked.
    pub remaining: Remaining,
    /// Whether claims may be served; false once the holder's duty has expired.
    pub covers_claims: bool,
}

/// A member of a ring of home agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RingMemberView {
    /// The agent.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
}

/// The home agents of a region's keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RingView {
    /// The region.
    pub region: Region,
    /// Accepted version.
    pub version: RingVersion,
    /// Members, each agent once.
    pub members: Vec<RingMemberView>,
}

/// An entry and the address of its RPC listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryAddress {
    /// The entry.
    pub entry: EntryId,
    /// Address of the entry's RPC listener.
    pub address: SocketAddr,
}

/// A member of a gang and the address of its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangMember {
    /// The agent.
    pub agent: AgentId,
    /// Address of the agent's RPC listener.
    pub address: SocketAddr,
}

/// The members of a gang's attempt, in the order of their tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangView {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: Attempt,
    /// Agents of the tasks, in the order of the tasks.
    pub members: Vec<GangMember>,
}

/// What an entry answers to an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnounceReply {
    /// The entry that answers.
    pub entry: EntryId,
    /// Newest configuration version that the entry knows.
    pub config_version: ConfigVersion,
    /// Whether the entry confirmed that version with the table service lately.
    pub is_config_confirmed: bool,
    /// Start rights of the zones that concern the agent.
    pub zone_rights: Vec<ZoneRight>,
    /// The agent's lease, if the entry holds the duty of the agent's region.
    pub lease: Option<AgentLease>,
    /// Address of the entry that holds the duty of the agent's region.
    pub holder: Option<SocketAddr>,
    /// Entries to which the agent may announce itself.
    pub entries: Vec<EntryAddress>,
    /// Version of the region's ring.
    pub ring_version: RingVersion,
    /// Gangs of the agent's tasks.
    pub gangs: Vec<GangView>,
    /// The region's ring, if the agent announced an older version.
    pub ring: Option<RingView>,
}
