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
    /// The simulated table service, called the store in this crate; there is only one.
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
    /// Entry to store; the time is that of sending.
    ReadPolledRows(Uptime),
    /// Store to entry, with the send time of the read.
    PolledRows(Uptime, Box<PolledRows>),
    WriteLeader {
        number: u64,
        expected: cumindeck_control::store::RowVersion,
        row: LeaderRow,
    },
    /// Store to entry, with the number of the write.
    LeaderWritten(u64, WriteOutcome),
    RecordAttempt(JobId, AttemptRow),
    /// Store to entry, with the id of the write ([`AttemptRow::write`]).
    AttemptRecorded(JobId, String, WriteOutcome),
    /// Entry to store: reads which write stored an attempt; the string is the id of the
    /// entry's own write.
    ReadAttempt(JobId, Attempt, String),
    /// Store to entry: `write` is the id from the request, `stored` that of the stored
    /// attempt.
    AttemptRead {
        job: JobId,
        write: String,
        stored: Option<String>,
    },
    /// Entry to store: the job has succeeded. It has no reply.
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
    /// Agent to entry; the time is that of sending.
    Announce(Uptime, Box<Announcement>),
    /// Entry to agent: reply to an announcement, with its send time.
    Reply(Uptime, Box<AnnounceReply>),
    Reserve(Reserve),
    StartTask(StartTask),
    Stop(TaskRef),
    /// Agent to entry: reply to an order.
    Answer(Order, TaskRef, TaskAnswer),
    /// Between agents of a gang; the time is that of sending.
    Heartbeat(Uptime, Heartbeat),
    /// Reply to a heartbeat, with its send time and the task that sent it.
    HeartbeatReply(Uptime, TaskId, TaskAnswer),
    /// Worker to its agent, as the next two.
    Prepared(TaskId),
    /// The flag is false if the task process did not start.
    Started(TaskId, bool),
    Ended(TaskId, TaskEnd),
}

/// The order that a reply belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    Reserve,
    /// The start order, [`Message::StartTask`].
    Go,
    Stop,
}
