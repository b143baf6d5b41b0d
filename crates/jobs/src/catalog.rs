//! The configuration in force: queues and teams with their keys.

use std::collections::BTreeSet;

use cumindeck_types::{ConfigVersion, TeamId};

/// A queue of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name, which jobs keep as [`JobSpec::queue`](crate::JobSpec::queue).
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Prefix of the paths that belong to the queue.
    pub prefix: String,
    /// Service whose workers run the jobs.
    pub service: String,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task has failed.
    pub max_attempts: u32,
    /// Allowed duration as a percentage of the critical path.
    pub slack_percent: u64,
    /// Allowed duration beyond that in milliseconds.
    pub target_ms: u64,
    /// Whether tasks need tickets of the adviser to start.
    pub needs_tickets: bool,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

/// A team and its guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name that the operator gave the team.
    pub id: TeamId,
    /// API keys of its callers.
    pub keys: BTreeSet<String>,
    /// Accelerators that are guaranteed to its urgent jobs.
    pub guaranteed: u32,
}

/// The configuration of one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Version that the operator gave it.
    pub version: ConfigVersion,
    /// Version of the store's row that holds it.
    pub row_version: u64,
    /// Queues; of those that match a request, the longest prefix wins.
    pub queues: Vec<Queue>,
    /// Teams; one that is not listed has no guarantee.
    pub teams: Vec<Team>,
}

/// A request that the configuration allows.
#[derive(Debug, Clone, PartialEq)]
pub struct Access<'a> {
    /// Queue that the request addresses.
    pub queue: &'a Queue,
    /// Team of the caller; `None` on a queue that needs no key.
    pub team: Option<TeamId>,
    /// Part of the path after the queue's prefix.
    pub rest: &'a str,
}

/// Why the configuration does not allow a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or unknown.
    BadKey,
}

impl Catalog {
    /// Finds the queue of a request and checks its key.
    pub fn access<'a>(
        &'a self,
        host: &str,
        path: &'a str,
        key: Option<&str>,
    ) -> Result<Access<'a>, Denied> {
        let host = host.split(':').next().unwrap_or(host);
        let queue = self
            .queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len());
        let Some(queue) = queue else {
            return Err(Denied::NoQueue);
        };
        let team = key.and_then(|key| self.team_of(key));
        if team.is_none() && !queue.is_anonymous {
            return Err(Denied::BadKey);
        }
        let rest = path.get(queue.prefix.len()..).unwrap_or_default();
        Ok(Access { queue, team, rest })
    }

    /// Returns the number of accelerators guaranteed to a team.
    #[must_use]
    pub fn guaranteed(&self, id: &TeamId) -> u32 {
        self.teams
            .iter()
            .find(|team| team.id == *id)
            .map_or(0, |team| team.guaranteed)
    }

    fn team_of(&self, key: &str) -> Option<TeamId> {
        self.teams
            .iter()
            .find(|team| team.keys.contains(key))
            .map(|team| team.id.clone())
    }
}
