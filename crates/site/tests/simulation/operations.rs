//! Operators' calls with their retries, and injected faults.

use std::time::Duration;

use cumindeck_api::{ErrorReason, JobSpec};
use cumindeck_site::{
    OperatorCallId, OperatorReply, OperatorRequest, RowAction, RowCondition, RowKey, RowValue,
    RowWrite, SiteEvent, ZoneStateRow,
};
use cumindeck_types::{JobId, ZoneVersion};
use rand::Rng;

use super::{LATENCY, Scheduled, Simulation};
use crate::faults::Fault;

impl Simulation {
    pub(super) fn operate(&mut self, entry: usize, req: OperatorRequest) {
        let node = &self.entries[entry];
        if node.machine.is_none() || node.paused_until > self.now {
            let other = (entry + 1) % self.entries.len();
            self.after(Duration::from_secs(1), Scheduled::Operate(other, req));
            return;
        }
        let call = OperatorCallId(self.number());
        self.calls.insert(call, req.clone());
        let incarnation = self.entries[entry].incarnation;
        self.after(
            LATENCY,
            Scheduled::Entry(entry, incarnation, SiteEvent::Operator(call, req)),
        );
    }

    pub(super) fn on_reply(&mut self, call: OperatorCallId, reply: OperatorReply) {
        let Some(req) = self.calls.remove(&call) else {
            return;
        };
        match reply {
            OperatorReply::JobAccepted(body) | OperatorReply::JobAlreadyAccepted(body) => {
                self.accepted.push(body.id);
            }
            OperatorReply::Forward(address) => {
                let entry = self
                    .entries
                    .iter()
                    .position(|entry| entry.operators == address);
                self.after(LATENCY, Scheduled::Operate(entry.unwrap_or(0), req));
            }
            // The job does not fit on the workers that the leader knows.
            OperatorReply::Error(body) if body.reason == ErrorReason::Infeasible => {
                if let OperatorRequest::SubmitJob(spec) = req {
                    self.rejected.push(spec.id);
                }
            }
            OperatorReply::Error(body) if is_temporary(body.reason) => {
                let entry = self.rng.random_range(0..self.entries.len());
                self.after(Duration::from_secs(1), Scheduled::Operate(entry, req));
            }
            _ => {}
        }
    }

    pub(super) fn fault(&mut self, fault: &Fault) {
        self.trace("fault", fault);
        match *fault {
            Fault::TerminateEntry { entry, down } => {
                self.entries[entry].machine = None;
                // Calls that were pending there are retried at the other entry.
                for (_, req) in std::mem::take(&mut self.calls) {
                    self.after(Duration::from_secs(1), Scheduled::Operate(1 - entry, req));
                }
                self.after(down, Scheduled::StartEntry(entry));
            }
            Fault::PauseEntry { entry, length } => {
                self.entries[entry].paused_until = self.now.plus(length);
            }
            Fault::TerminateAgent { agent, down } => {
                self.agents[agent].machine = None;
                self.after(down, Scheduled::StartAgent(agent));
            }
            Fault::PauseAgent { agent, length } => {
                self.agents[agent].paused_until = self.now.plus(length);
            }
            Fault::StoreDown { length } => {
                self.store.is_down = true;
                self.after(length, Scheduled::StoreUp);
            }
            Fault::StoreDisconnected { entry, length } => {
                self.entries[entry].disconnected_until = self.now.plus(length);
            }
            Fault::LoseReplies { count } => self.store.lose_replies += count,
            Fault::TakeZoneOut { length } => {
                self.set_zone(false);
                self.after(length, Scheduled::ReturnZone);
            }
            Fault::Submit { tasks, seconds } => self.submit(tasks, seconds),
            Fault::Cancel { job } => {
                if let Some(job) = self.jobs.get(job).cloned() {
                    self.cancelled.push(job.clone());
                    let entry = self.rng.random_range(0..self.entries.len());
                    self.operate(entry, OperatorRequest::CancelJob(job));
                }
            }
        }
    }

    fn submit(&mut self, tasks: u32, seconds: u64) {
        let id: JobId = format!("job-{}", self.jobs.len())
            .parse()
            .expect("valid id");
        self.jobs.push(id.clone());
        self.checks.sizes.insert(id.clone(), tasks);
        let spec = JobSpec {
            id,
            team: "letters".parse().expect("valid team"),
            region: "north".parse().expect("valid region"),
            tasks,
            accelerators: 8,
            same_rack: false,
            urgent: false,
            max_attempts: None,
            command: vec!["sleep".to_owned(), format!("{seconds}s")],
            deadline: None,
        };
        let entry = self.rng.random_range(0..self.entries.len());
        self.operate(entry, OperatorRequest::SubmitJob(spec));
    }

    pub(super) fn set_zone(&mut self, is_open: bool) {
        let zone = "zone-b";
        let key = RowKey::Zone(zone.parse().expect("valid zone"));
        let version = match self.store.value(&key) {
            Some(RowValue::Zone(row)) => row.version,
            _ => ZoneVersion::default(),
        };
        let row = ZoneStateRow {
            version: version.next(),
            is_open,
            change: format!("change-{version}"),
        };
        let action = RowAction::Put(RowValue::Zone(row));
        self.store.commit(vec![RowWrite {
            key,
            condition: RowCondition::Any,
            action,
        }]);
        if is_open {
            self.checks.out_of_service_since.remove(zone);
        } else {
            self.checks
                .out_of_service_since
                .entry(zone.to_owned())
                .or_insert(self.now);
        }
    }
}

const fn is_temporary(reason: ErrorReason) -> bool {
    matches!(
        reason,
        ErrorReason::NotReady
            | ErrorReason::StoreUnavailable
            | ErrorReason::OutcomeUnknown
            | ErrorReason::QueueFull
            | ErrorReason::Draining
    )
}
