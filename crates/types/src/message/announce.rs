//! Announcements of agents and the replies of entries.

use std::net::SocketAddr;

use crate::message::TaskReport;
use crate::{
    AgentId, Attempt, AvailabilityZone, ConfigVersion, EntryId, FencingToken, Incarnation, JobId,
    RackId, Region, Remaining, RingVersion, WorkerId, ZoneVersion,
};

/// Version of the protocol between the system's processes; peers must agree on it.
pub const PROTOCOL_VERSION: u32 = 1;

/// The first message on a connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hello {
    /// Protocol version of the sender; a peer with another version rejects it.
    pub protocol_version: u32,
    /// Id of the sending process.
    pub sender: String,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
}

/// Whether an agent accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AgentState {
    /// The agent accepts new work.
    Serving,
    /// The agent finishes its running work and accepts no more.
    Leaving,
}

/// An agent's periodic report to an entry about itself and its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// The agent that announces itself.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
    /// The agent's availability zone.
    pub zone: AvailabilityZone,
    /// The agent's region.
    pub region: Region,
    /// Address of the agent's RPC listener.
    pub address: SocketAddr,
    /// Whether the agent accepts new work.
    pub state: AgentState,
    /// Number of requests that the backend server can run concurrently.
    pub slots: u32,
    /// Number of connections that the backend server accepts concurrently.
    pub connections: u32,
    /// Number of requests that are running.
    pub in_flight: u32,
    /// Version of the ring under which the agent serves claims.
    pub ring_version: RingVersion,
    /// The agent's worker.
    pub worker: WorkerId,
    /// The worker's rack.
    pub rack: RackId,
    /// Number of the worker's accelerators.
    pub accelerators: u32,
    /// Highest fencing token that the agent has seen.
    pub newest_token: FencingToken,
    /// Tasks that the agent holds, and ended tasks whose report is not yet acknowledged.
    pub tasks: Vec<TaskReport>,
}

/// The permission to start tasks in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRight {
    /// The zone in which the permission is valid.
    pub zone: AvailabilityZone,
    /// Accepted version of the zone's state.
    pub version: ZoneVersion,
    /// Whether tasks may start.
    pub is_open: bool,
    /// Remaining validity, counted from when the receiver sent its request.
    pub remaining: Remaining,
}

/// The lease under which an agent runs tasks and serves claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentLease {
    /// Fencing token of the leader that grants the lease.
    pub token: FencingToken,
    /// Remaining validity, counted from when the agent sent its announcement.
    pub remaining: Remaining,
    /// Whether the agent may serve claims.
    ///
    /// False while the write of a new ring is pending during an outage of the table
    /// service: the new home agents wait only a limited time for claim leases under the
    /// old ring to expire.
    pub covers_claims: bool,
}

/// A home agent in a region's hash ring.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RingMemberView {
    /// Id of the agent, unique within the ring.
    pub agent: AgentId,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
}

/// The hash ring that maps a region's keys to their home agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RingView {
    /// The region whose keys the ring maps.
    pub region: Region,
    /// Version of the ring that the table service has accepted.
    pub version: RingVersion,
    /// Members; each agent occurs once.
    pub members: Vec<RingMemberView>,
}

/// An entry and the address of its RPC listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryAddress {
    /// The entry that listens at the address.
    pub entry: EntryId,
    /// Address of the entry's RPC listener.
    pub address: SocketAddr,
}

/// A member of a gang and the address of its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangMember {
    /// The agent that runs the member's task.
    pub agent: AgentId,
    /// Address of the agent's RPC listener.
    pub address: SocketAddr,
}

/// The agents that run one attempt of a gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangView {
    /// The job that the gang runs.
    pub job: JobId,
    /// The attempt; each attempt of a job has its own members.
    pub attempt: Attempt,
    /// Agents of the tasks, in the order of the task indices.
    pub members: Vec<GangMember>,
}

/// An entry's reply to an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnnounceReply {
    /// The replying entry.
    pub entry: EntryId,
    /// Newest configuration version that the entry knows.
    pub config_version: ConfigVersion,
    /// Whether the entry recently confirmed that version with the table service.
    pub is_config_confirmed: bool,
    /// Start rights of the zones that are relevant to the agent.
    pub zone_rights: Vec<ZoneRight>,
    /// The agent's lease, if the entry is the leader of the agent's region.
    pub lease: Option<AgentLease>,
    /// Address of the leader of the agent's region, if it is known.
    pub leader: Option<SocketAddr>,
    /// Entries to which the agent can announce itself.
    pub entries: Vec<EntryAddress>,
    /// Version of the region's ring.
    pub ring_version: RingVersion,
    /// Gangs of the agent's tasks.
    pub gangs: Vec<GangView>,
    /// The region's ring, if the agent announced an older version.
    pub ring: Option<RingView>,
}
