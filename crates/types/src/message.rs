//! Validated messages between the system's processes, independent of their encoding.

mod announce;
mod request;
mod task;

pub use announce::{
    AgentLease, AgentState, AnnounceReply, Announcement, EntryAddress, GangMember, GangView, Hello,
    PROTOCOL_VERSION, RingMemberView, RingView, ZoneRight,
};
pub use request::{Answer, Claim, ClaimReply, Dispatch, DispatchReply, Load, MAX_REQUEST_TIMEOUT};
pub use task::{Heartbeat, Reserve, StartTask, TaskAnswer, TaskPhase, TaskRef, TaskReport};
