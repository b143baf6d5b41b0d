//! Identifiers of tasks and steps.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use cumindeck_types::JobId;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use thiserror::Error;

/// A task: one of those in a step of an occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u32,
    /// Index in the step, counted from 0.
    pub index: u32,
}

impl TaskId {
    /// Returns the step that it belongs to.
    #[must_use]
    pub fn step_id(&self) -> StepId {
        StepId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// A step of an occurrence of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence, counted from 0.
    pub occurrence: u32,
    /// Step, counted from 0.
    pub step: u32,
}

impl StepId {
    /// Returns the task with this index.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl Display for StepId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
        } = self;
        write!(f, "{job}.{occurrence}.{step}")
    }
}

/// A string that is not a task id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0:?} is not a task id; expected JOB.OCCURRENCE.STEP.INDEX")]
pub struct TaskIdError(String);

impl Display for TaskId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = TaskIdError;

    fn from_str(text: &str) -> Result<Self, TaskIdError> {
        let bad = || TaskIdError(text.to_owned());
        let mut parts = text.rsplitn(4, '.');
        let mut number = || parts.next().and_then(|part| part.parse().ok());
        let (Some(index), Some(step), Some(occurrence)) = (number(), number(), number()) else {
            return Err(bad());
        };
        let Some(Ok(job)) = parts.next().map(str::parse) else {
            return Err(bad());
        };
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

impl Serialize for TaskId {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        String::deserialize(deserializer)?
            .parse()
            .map_err(de::Error::custom)
    }
}
