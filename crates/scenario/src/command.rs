//! Parser for the commands of scenario files, one per line.

use std::str::FromStr;
use std::time::Duration;

use cumindeck_types::{AgentId, AvailabilityZone, JobId, parse_duration};
use thiserror::Error;

use crate::message::NodeId;
use crate::safeguard::Safeguard;

/// A line that can't be parsed as a command.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CommandError {
    /// There is no such command.
    #[error("{0:?} is not a command; see the documentation of Command")]
    Unknown(String),
    /// An argument is missing or invalid.
    #[error("{line:?} has a wrong argument; expected {expected}")]
    BadArgument {
        /// The line as written.
        line: String,
        /// Description of the expected form, printed in the error message.
        expected: &'static str,
    },
}

/// A command of the scenario language.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// `site entries=2 agents=3`: replaces the site by a new one.
    Site {
        /// Number of entries.
        entries: u16,
        /// Number of agents.
        agents: u16,
    },
    /// `advance 3s`: advances the virtual clock.
    Advance(Duration),
    /// `freeze NODE 20s`: pauses the process for this time.
    Freeze(NodeId, Duration),
    /// `kill NODE`: terminates the process, which loses its state.
    Kill(NodeId),
    /// `restart NODE`: a killed process starts with a new incarnation.
    Restart(NodeId),
    /// `release entry-1`: the entry steps down and releases its leader lease.
    Release(NodeId),
    /// `cut A B`: no message passes between two nodes; `cut A > B`: in one direction.
    Cut(NodeId, NodeId, bool),
    /// `heal`: restores all cut and slow links.
    Heal,
    /// `slow A B 2s`: messages between two nodes take this time.
    Slow(NodeId, NodeId, Duration),
    /// `store down` and `store up`.
    Store(bool),
    /// `store lose-answer`: the store applies the next write but doesn't reply.
    LoseAnswer,
    /// `store delay-write 2s`: the store applies the next write after this delay and
    /// doesn't reply.
    DelayWrite(Duration),
    /// `zone out ZONE` and `zone in ZONE`.
    Zone(AvailabilityZone, bool),
    /// `submit job-1 tasks=2 [run=5s]`: stores a job.
    Submit {
        /// Id under which the job is stored.
        job: JobId,
        /// Number of tasks.
        tasks: u16,
        /// How long each task process runs; an hour if not given.
        run: Duration,
    },
    /// `change entry-1`: an operator changes the configuration through an entry.
    Change(NodeId),
    /// `fence agent-2`: the operator confirms that the agent's instance has terminated.
    Fence(AgentId),
    /// `break lease-check`: disables a safeguard in processes that start later.
    Break(Safeguard),
    /// `show`: prints the state of all nodes.
    Show,
}

impl FromStr for Command {
    type Err = CommandError;

    fn from_str(line: &str) -> Result<Self, CommandError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let line = Line(line);
        match words.as_slice() {
            ["site", entries, agents] => Ok(Self::Site {
                entries: line.number(entries, "entries=")?,
                agents: line.number(agents, "agents=")?,
            }),
            ["advance", time] => Ok(Self::Advance(line.time(time)?)),
            ["freeze", node, time] => Ok(Self::Freeze(line.node(node)?, line.time(time)?)),
            ["kill", node] => Ok(Self::Kill(line.node(node)?)),
            ["restart", node] => Ok(Self::Restart(line.node(node)?)),
            ["release", node] => Ok(Self::Release(line.node(node)?)),
            ["cut", from, ">", to] => Ok(Self::Cut(line.node(from)?, line.node(to)?, false)),
            ["cut", from, to] => Ok(Self::Cut(line.node(from)?, line.node(to)?, true)),
            ["heal"] => Ok(Self::Heal),
            ["slow", from, to, time] => Ok(Self::Slow(
                line.node(from)?,
                line.node(to)?,
                line.time(time)?,
            )),
            ["store", "down"] => Ok(Self::Store(false)),
            ["store", "up"] => Ok(Self::Store(true)),
            ["store", "lose-answer"] => Ok(Self::LoseAnswer),
            ["store", "delay-write", time] => Ok(Self::DelayWrite(line.time(time)?)),
            ["zone", "out", zone] => Ok(Self::Zone(line.parse(zone, "a zone")?, false)),
            ["zone", "in", zone] => Ok(Self::Zone(line.parse(zone, "a zone")?, true)),
            ["submit", job, tasks, rest @ ..] => {
                let run = match rest {
                    [] => Duration::from_secs(3600),
                    [run, ..] => line.time(line.value(run, "run=")?)?,
                };
                Ok(Self::Submit {
                    job: line.parse(job, "a job id")?,
                    tasks: line.number(tasks, "tasks=")?,
                    run,
                })
            }
            ["change", node] => Ok(Self::Change(line.node(node)?)),
            ["fence", agent] => Ok(Self::Fence(line.parse(agent, "an agent id")?)),
            ["break", safeguard] => Ok(Self::Break(safeguard.parse()?)),
            ["show"] => Ok(Self::Show),
            _ => Err(CommandError::Unknown(line.0.to_owned())),
        }
    }
}

/// The line being parsed, kept for error messages.
#[derive(Clone, Copy)]
struct Line<'a>(&'a str);

impl<'a> Line<'a> {
    fn error(self, expected: &'static str) -> CommandError {
        CommandError::BadArgument {
            line: self.0.to_owned(),
            expected,
        }
    }

    fn parse<T: FromStr>(self, word: &str, expected: &'static str) -> Result<T, CommandError> {
        word.parse().map_err(|_| self.error(expected))
    }

    fn node(self, word: &str) -> Result<NodeId, CommandError> {
        self.parse(word, "store, entry-N or agent-N")
    }

    fn time(self, word: &str) -> Result<Duration, CommandError> {
        parse_duration(word).map_err(|_| self.error("a duration such as 3s"))
    }

    fn value(self, word: &'a str, name: &'static str) -> Result<&'a str, CommandError> {
        word.strip_prefix(name).ok_or_else(|| self.error(name))
    }

    fn number(self, word: &'a str, name: &'static str) -> Result<u16, CommandError> {
        self.parse(self.value(word, name)?, name)
    }
}
