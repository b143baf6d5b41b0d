//! Identifiers of nodes and the messages between them.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::str::FromStr;

use cumindeck_control::config_version::ChangeId;
use cumindeck_control::gang::{TaskEnd, TaskId};
use cumindeck_control::leader::LeaderRow;
use cumindeck_control::store::WriteOutcome;
use cumindeck_types::message::{
    AnnounceReply, Announcement, Heartbeat, Reserve, StartTask, TaskAnswer, TaskRef,
};
use cumindeck_types::{Attempt, ConfigVersion, IdError, JobId, Uptime};

use crate::store::{AttemptRow, PolledRows};

/// A process of the simulated site, numbered from 1 within its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NodeId {
    /// The table service; there is only one.
    Store,
    /// An entry, by its number.
    Entry(u16),
    /// An agent with its worker.
    Agent(u16),
}

/// Ports above this one represent agents; lower ones represent entries.
const AGENT_PORTS: u16 = 1000;

impl NodeId {
    /// Returns the address that represents the node in messages.
    pub(crate) fn address(self) -> SocketAddr {
        let port = match self {
            Self::Store => 0,
            Self::Entry(i) => i,
            Self::Agent(i) => AGENT_PORTS + i,
        };
        ([127, 0, 0, 1], port).into()
    }

    /// Returns the node that an address represents.
    pub(crate) fn at(address: SocketAddr) -> Self {
        match address.port() {
            0 => Self::Store,
            port if port > AGENT_PORTS => Self::Agent(port - AGENT_PORTS),
            port => Self::Entry(port),
        }
    }

    /// Returns the node's name as an identifier of the given type.
    pub(crate) fn id<T: FromStr<Err = IdError>>(self) -> T {
        let id = self.to_string().parse();
        id.expect("a node's name is a valid identifier")
    }
}

impl Display for NodeId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Entry(i) => write!(f, "entry-{i}"),
            Self::Agent(i) => write!(f, "agent-{i}"),
        }
    }
}

impl FromStr for NodeId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let error = || IdError::NotANumber {
            kind: "node",
            text: text.to_owned(),
        };
        match text.split_once('-') {
            None if text == "store" => Ok(Self::Store),
            Some(("entry", i)) => i.parse().map(Self::Entry).map_err(|_| error()),
            Some(("agent", i)) => i.parse().map(Self::Agent).map_err(|_| error()),
            _ => Err(error()),
        }
    }
}

/// A message between two nodes, or from a worker to its agent.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    ReadPolledRows(Uptime),
    PolledRows(Uptime, Box<PolledRows>),
    WriteLeader {
        number: u64,
        expected: cumindeck_control::store::RowVersion,
        row: LeaderRow,
    },
    LeaderWritten(u64, WriteOutcome),
    RecordAttempt(JobId, AttemptRow),
    AttemptRecorded(JobId, String, WriteOutcome),
    ReadAttempt(JobId, Attempt, String),
    AttemptRead {
        job: JobId,
        write: String,
        stored: Option<String>,
    },
    JobDone(JobId),
    Commit {
        base: ConfigVersion,
        change: ChangeId,
    },
    Committed(ChangeId, WriteOutcome),
    ReadBack(ConfigVersion, ChangeId),
    ReadBackReply {
        change: ChangeId,
        head: ConfigVersion,
        stored: Option<ChangeId>,
    },
    Announce(Uptime, Box<Announcement>),
    Reply(Uptime, Box<AnnounceReply>),
    Reserve(Reserve),
    StartTask(StartTask),
    Stop(TaskRef),
    Answer(Order, TaskRef, TaskAnswer),
    Heartbeat(Uptime, Heartbeat),
    HeartbeatReply(Uptime, TaskId, TaskAnswer),
    Prepared(TaskId),
    Started(TaskId, bool),
    Ended(TaskId, TaskEnd),
}

/// The order that a reply belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    Reserve,
    Go,
    Stop,
}
