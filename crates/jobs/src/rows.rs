//! Rows of the table service that the system reads and writes.

use std::cmp::Reverse;
use std::net::SocketAddr;

use cumindeck_types::{AgentId, AvailabilityZone, EntryId, FencingToken, JobId, TeamId, WorkerId};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::stored_progress::TASKS_PER_PART;
use crate::{JobProgress, JobSpec, MAX_JOB_TASKS, TaskProgress};

/// Maximum size of a value that the store accepts, in bytes.
pub(crate) const MAX_VALUE_BYTES: usize = 65_536;

/// A row that the system reads or makes conditions on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowName {
    /// The operator's configuration.
    Config,
    /// The operator's evacuation of a zone.
    Evacuation(AvailabilityZone),
    /// One of the system's own rows.
    System(RowKey),
}

/// A row as the store returned it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreRow {
    /// Name of the row that was read, which need not exist.
    pub name: RowName,
    /// Version; 0 if the row doesn't exist.
    pub version: u64,
    /// Value; `None` if the row doesn't exist.
    pub value: Option<Vec<u8>>,
}

/// A condition of a transaction on the version of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Name of the row whose version is checked.
    pub name: RowName,
    /// Expected version; 0 if the row must not exist.
    pub version: u64,
}

/// A write or, without a value, a removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Key in the system's table.
    pub key: RowKey,
    /// New value; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// Changes that are applied together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Transaction {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Changes of the system's rows.
    pub changes: Vec<Change>,
}

/// A key of the system's table.
///
/// The kinds sort in the order in which the rows of a job are applied.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowKey {
    /// The leader lease of the scheduler, under the key `duty`.
    Leader,
    /// An entry and its address.
    Entry(EntryId),
    /// An accepted job, under `j/JOB`.
    Job(JobId),
    /// The cancel of a job, under `c/JOB`.
    Cancel(JobId),
    /// The progress of a job, under `p/JOB`.
    Progress(JobId),
    /// The tasks of a part of an occurrence of a job, under `t/JOB/OCCURRENCE/PART`.
    Part(JobId, u32, u32),
    /// The last worker of an agent, under `w/AGENT`.
    Worker(AgentId),
}

impl RowKey {
    /// Returns the key as a string.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Leader => "duty".to_owned(),
            Self::Entry(entry) => format!("e/{entry}"),
            Self::Job(job) => format!("j/{job}"),
            Self::Cancel(job) => format!("c/{job}"),
            Self::Progress(job) => format!("p/{job}"),
            Self::Part(job, occurrence, part) => format!("t/{job}/{occurrence}/{part}"),
            Self::Worker(agent) => format!("w/{agent}"),
        }
    }

    /// Parses a key; returns `None` for one that this version doesn't know.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        if text == "duty" {
            return Some(Self::Leader);
        }
        let (kind, id) = text.split_once('/')?;
        match kind {
            "e" => id.parse().ok().map(Self::Entry),
            "j" => id.parse().ok().map(Self::Job),
            "c" => id.parse().ok().map(Self::Cancel),
            "p" => id.parse().ok().map(Self::Progress),
            "t" => {
                let mut numbers = id.rsplitn(3, '/');
                let part = numbers.next()?.parse().ok()?;
                let occurrence = numbers.next()?.parse().ok()?;
                Some(Self::Part(numbers.next()?.parse().ok()?, occurrence, part))
            }
            "w" => id.parse().ok().map(Self::Worker),
            _ => None,
        }
    }
}

/// Value of the leader row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRow {
    /// The leader; `None` after it stepped down.
    #[serde(rename = "holder")]
    pub leader: Option<EntryId>,
    /// Address at which agents reach the leader.
    pub address: Option<SocketAddr>,
    /// Fencing token, which increases with each takeover.
    pub token: FencingToken,
    /// Number of the leader's transaction; distinguishes a lost reply from a lost write.
    pub commit: u64,
    /// Workers that may drop ends of their runs, for the next leader.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub doubted: Vec<DoubtedWorker>,
    /// Token of the first leader since which each one has recorded the workers of agents. One
    /// of an earlier version drops it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workers_since: Option<FencingToken>,
    /// Predicted waits of new jobs, for the entries.
    #[serde(default, skip_serializing_if = "Forecast::is_empty")]
    pub forecast: Forecast,
}

/// Value of the row of an agent's last worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Identifier of the worker, which its later incarnations keep.
    pub worker: WorkerId,
    /// Start time of the incarnation in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Whether it may drop ends of its runs.
    pub is_doubted: bool,
    /// Token of the leader that recorded it.
    pub token: FencingToken,
}

/// Predicted waits by service, team and priority; one that is not listed has room soon.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Forecast {
    items: Vec<WaitForecast>,
    /// Why what another writer wrote is ignored.
    ignored: Option<String>,
}

/// Predicted wait of the jobs of a team with a priority for the workers of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitForecast {
    /// Service whose workers run the jobs. A leader of an earlier version names none, so that
    /// its item matches no job.
    #[serde(rename = "s", default)]
    pub service: String,
    /// Team; `None` for jobs without one.
    #[serde(rename = "t")]
    pub team: Option<TeamId>,
    /// Priority; 0 is the highest.
    #[serde(rename = "p")]
    pub priority: u32,
    /// Predicted wait of the last one in milliseconds.
    #[serde(rename = "w")]
    pub wait_ms: u64,
    /// Number of those that wait.
    #[serde(rename = "n")]
    pub jobs: u32,
    /// Mean time in milliseconds for which their ends have value.
    #[serde(rename = "v")]
    pub valuable_ms: u64,
}

impl Forecast {
    /// Maximum number of items; the leader row is read by all entries.
    pub(crate) const MAX_ITEMS: usize = 64;

    /// Longest wait that is predicted; clients don't return after hours.
    const MAX_WAIT_MS: u64 = 3_600_000;

    /// Creates the forecast of these waits, the longest ones if there are too many.
    pub(crate) fn new(mut items: Vec<WaitForecast>) -> Self {
        items.sort_by_key(|item| Reverse(item.wait_ms));
        items.truncate(Self::MAX_ITEMS);
        for item in &mut items {
            item.wait_ms = item.wait_ms.min(Self::MAX_WAIT_MS);
        }
        Self {
            items,
            ignored: None,
        }
    }

    /// Returns whether no wait is predicted.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the prediction for a service, team and priority.
    #[must_use]
    pub fn wait(
        &self,
        service: &str,
        team: Option<&TeamId>,
        priority: u32,
    ) -> Option<&WaitForecast> {
        let mut items = self.items.iter();
        items.find(|item| {
            item.service == service && item.team.as_ref() == team && item.priority == priority
        })
    }

    /// Returns why the forecast of another writer is ignored.
    #[must_use]
    pub fn ignored(&self) -> Option<&str> {
        self.ignored.as_deref()
    }

    fn checked(items: Vec<WaitForecast>) -> Result<Self, String> {
        if items.len() > Self::MAX_ITEMS {
            let most = Self::MAX_ITEMS;
            return Err(format!("{} items; expected at most {most}", items.len()));
        }
        let longest = items.iter().map(|item| item.wait_ms).max();
        if let Some(longest) = longest.filter(|wait| *wait > Self::MAX_WAIT_MS) {
            let most = Self::MAX_WAIT_MS;
            return Err(format!("wait of {longest} ms; expected at most {most} ms"));
        }
        Ok(Self {
            items,
            ignored: None,
        })
    }
}

impl Serialize for Forecast {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.items.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Forecast {
    /// Reads a forecast; an odd one is empty, so that the row that has it stays readable.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = serde_json::Value::deserialize(deserializer)?;
        let items = serde_json::from_value(value).map_err(|err| err.to_string());
        let forecast = items.and_then(Self::checked);
        Ok(forecast.unwrap_or_else(|reason| Self {
            items: Vec::new(),
            ignored: Some(reason),
        }))
    }
}

/// A worker that may drop ends of its runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtedWorker {
    /// Identifier of the worker, which its later incarnations keep.
    pub worker: WorkerId,
    /// Start time of the incarnation in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl WorkerRow {
    /// Returns whether a row says the same of the worker.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        let facts = |row: &Self| (row.started_ms, row.is_doubted);
        self.worker == other.worker && facts(self) == facts(other)
    }
}

/// Value of an entry's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Address at which other processes of the system reach it.
    pub address: SocketAddr,
}

/// Value of a job's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job as it was accepted.
    pub spec: JobSpec,
    /// Entry that accepted it.
    pub entry: EntryId,
    /// Estimated store time of its acceptance in milliseconds.
    pub accepted_store_ms: u64,
}

/// Value of a cancel's row.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct CancelRow {
    /// Team that cancelled the job.
    pub team: Option<TeamId>,
    /// Estimated store time of the cancel in milliseconds; an earlier version has none.
    pub cancelled_store_ms: Option<u64>,
}

/// A decoded row of the system's table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// The leader row, which stays when the leader steps down.
    Leader(LeaderRow),
    /// An entry, with the address at which other processes reach it.
    Entry(EntryId, EntryRow),
    /// A job that an entry accepted.
    Job(JobId, Box<JobRow>),
    /// The cancel of a job, which may not be accepted; a value that can't be decoded counts as
    /// one without a time.
    Cancel(JobId, CancelRow),
    /// The progress of a job, which the scheduler's leader writes.
    Progress(JobId, JobProgress),
    /// Tasks of a part of an occurrence of a job.
    Part {
        /// Job that the tasks belong to.
        job: JobId,
        /// Occurrence, counted from 0.
        occurrence: u32,
        /// Part of the occurrence, counted from 0.
        part: u32,
        /// Progress of the tasks.
        tasks: Vec<TaskProgress>,
    },
    /// The last worker of an agent.
    Worker(AgentId, WorkerRow),
    /// A row that no longer exists.
    Removed(RowKey),
}

impl Row {
    /// Decodes one of the system's rows.
    pub fn decode(key: &RowKey, value: Option<&[u8]>) -> Result<Self, serde_json::Error> {
        let Some(value) = value else {
            return Ok(Self::Removed(key.clone()));
        };
        Ok(match key.clone() {
            RowKey::Leader => Self::Leader(serde_json::from_slice(value)?),
            RowKey::Entry(entry) => Self::Entry(entry, serde_json::from_slice(value)?),
            RowKey::Job(job) => Self::Job(job, decode_job(value)?),
            RowKey::Cancel(job) => {
                Self::Cancel(job, serde_json::from_slice(value).unwrap_or_default())
            }
            RowKey::Progress(job) => Self::Progress(job, serde_json::from_slice(value)?),
            RowKey::Part(job, occurrence, part) => Self::Part {
                job,
                occurrence,
                part,
                tasks: decode_part(value)?,
            },
            RowKey::Worker(agent) => Self::Worker(agent, serde_json::from_slice(value)?),
        })
    }
}

/// Decodes a job's row. One with more tasks than callers may submit comes from another
/// writer, and its progress could exceed the memory of the process.
fn decode_job(value: &[u8]) -> Result<Box<JobRow>, serde_json::Error> {
    let row: Box<JobRow> = serde_json::from_slice(value)?;
    let tasks = row.spec.tasks();
    if tasks > MAX_JOB_TASKS {
        let reason = format!("{tasks} tasks; expected at most {MAX_JOB_TASKS}");
        return Err(serde::de::Error::custom(reason));
    }
    Ok(row)
}

/// Decodes the tasks of a part.
fn decode_part(value: &[u8]) -> Result<Vec<TaskProgress>, serde_json::Error> {
    let tasks: Vec<TaskProgress> = serde_json::from_slice(value)?;
    if tasks.len() > TASKS_PER_PART as usize {
        let reason = format!("{} tasks; expected at most {TASKS_PER_PART}", tasks.len());
        return Err(serde::de::Error::custom(reason));
    }
    Ok(tasks)
}

/// Encodes the value of a row as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows have string keys only")
}

/// Returns the condition that the operator's configuration is unchanged.
pub(crate) const fn config_condition(version: u64) -> Condition {
    Condition {
        name: RowName::Config,
        version,
    }
}

/// Returns the condition that one of the system's rows has this version.
pub(crate) fn system_row_condition(key: &RowKey, version: u64) -> Condition {
    Condition {
        name: RowName::System(key.clone()),
        version,
    }
}
