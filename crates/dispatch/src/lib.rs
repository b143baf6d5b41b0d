//! Tasks around the state machines of the job scheduler.
//!
//! They are the tasks of the entries and agents that run the platform's jobs; the entry
//! and the agent of the request path and of a site's gangs are in `cumindeck-entry` and
//! `cumindeck-agent`.
//!
//! The entry task owns an entry's view of the store and, while the entry is the leader,
//! the scheduler. The agent task owns the agent's core. Each call to the store, to a
//! worker or to another process runs in a task of its own, which sends the outcome back
//! as a message. What depends on the platform is behind the traits of this crate.

mod agent;
mod border;
mod calls;
mod entry;
mod entry_task;
mod feed;
mod http;
mod peers;

pub use agent::{AgentHandle, AgentMessage, AgentParts, run_agent};
pub use border::{
    Adviser, FollowError, OperatorChange, OperatorChanges, RowChanges, RowStore, StoreFailure,
    WorkerControl,
};
pub use calls::CallerApi;
pub use entry::{EntryParts, run_entry};
pub use entry_task::{EntryHandle, EntryMessage};
pub use http::HttpLimits;
pub use peers::MAX_MESSAGE;
