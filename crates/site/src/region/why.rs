//! Explanations of job states for operators.

use cumindeck_api::{JobExplanation, JobRequirements, JobSpec, JobStatus};
use cumindeck_placement::{InsufficientCapacity, PlacementStatus};
use cumindeck_types::{JobId, Uptime};

use super::active::ActiveRegion;
use super::job_registry::ended_status;
use super::submit::not_found;
use crate::event::OperatorReply;

impl ActiveRegion {
    /// Explains why a job is in its state.
    pub fn why(&self, now: Uptime, job: &JobId) -> OperatorReply {
        let Some(tracked) = self.registry.get(job) else {
            let ended = self.registry.ended().find(|row| row.job.spec.id == *job);
            return ended.map_or_else(
                || not_found(job),
                |row| OperatorReply::JobExplanation(Box::new(why_ended(ended_status(row)))),
            );
        };
        let mut body = JobExplanation {
            id: job.clone(),
            state: tracked.state(),
            reason: String::new(),
            position: None,
            missing: None,
            nearest: None,
            hint: "nothing to do".to_owned(),
        };
        match self.placement.why(job) {
            Some(PlacementStatus::Running) | None => body.reason = tracked.message.clone(),
            Some(PlacementStatus::Stopping) => {
                "its tasks are being stopped".clone_into(&mut body.reason);
            }
            Some(PlacementStatus::Reclaiming(jobs)) => {
                body.reason = format!("waits for borrowed work to stop: {}", job_list(&jobs));
            }
            Some(PlacementStatus::BackingOff(at)) => {
                let wait = at.since(now).as_secs();
                body.reason = format!("{}; next attempt in {wait} s", tracked.message);
            }
            Some(PlacementStatus::InsufficientCapacity(shortage)) => {
                explain(&shortage, &tracked.row.spec, &mut body);
            }
        }
        OperatorReply::JobExplanation(Box::new(body))
    }
}

/// Returns the explanation for a job that has ended.
pub(crate) fn why_ended(status: JobStatus) -> JobExplanation {
    JobExplanation {
        id: status.spec.id,
        state: status.state,
        reason: status.message,
        position: None,
        missing: None,
        nearest: None,
        hint: "nothing to do".to_owned(),
    }
}

fn explain(shortage: &InsufficientCapacity, spec: &JobSpec, body: &mut JobExplanation) {
    body.reason = format!(
        "needs room for {} tasks; free accelerators have room for {}, \
         the team's guarantee for {} more of {}",
        shortage.tasks, shortage.free, shortage.guarantee_left, shortage.guarantee
    );
    if let Some(job) = &shortage.held_for {
        body.reason += &format!("; the guarantee is kept free for {job}, which has waited longest");
    }
    if let Some(job) = &shortage.reserved_for {
        body.reason += &format!("; accelerators are reserved for {job}, which has waited longest");
    }
    body.missing = Some(format!(
        "{} tasks",
        shortage.tasks.saturating_sub(shortage.free)
    ));
    body.hint = match shortage.blockers.as_slice() {
        [] => "wait, or ask for fewer tasks".to_owned(),
        jobs => format!(
            "the end of one of these jobs makes room: {}",
            job_list(jobs)
        ),
    };
    if shortage.guarantee > 0 {
        body.nearest = Some(JobRequirements {
            tasks: shortage.free.max(shortage.guarantee_left),
            accelerators: spec.accelerators,
            same_rack: spec.same_rack,
        })
        .filter(|need| need.tasks > 0);
    }
}

fn job_list(jobs: &[JobId]) -> String {
    jobs.iter()
        .map(JobId::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}
