//! Passes changes of workers, availability zones and teams to the placement.

use std::collections::{BTreeMap, VecDeque};

use cumindeck_control::agent_lease::{LeaseGrants, ReassignTime};
use cumindeck_control::membership::AgentHealth;
use cumindeck_placement::{Event, WorkerSpec};
use cumindeck_types::message::Announcement;

use super::RegionCx;
use super::active::{ActiveRegion, TrackedWorker};
use super::takeover::job_record;
use crate::rows::WorkerRow;

impl ActiveRegion {
    /// Updates a worker from an announcement of its agent.
    pub fn update_worker(
        &mut self,
        cx: RegionCx<'_>,
        announcement: &Announcement,
        events: &mut VecDeque<Event>,
    ) {
        let spec = WorkerSpec {
            worker: announcement.worker.clone(),
            rack: announcement.rack.clone(),
            zone: announcement.zone.clone(),
            accelerators: u8::try_from(announcement.accelerators).unwrap_or(u8::MAX),
        };
        let tracked = self
            .workers
            .entry(spec.worker.clone())
            .or_insert_with(|| TrackedWorker {
                agent: announcement.agent.clone(),
                spec: WorkerSpec {
                    accelerators: 0,
                    ..spec.clone()
                },
                is_failed: false,
                is_ended: false,
            });
        tracked.agent = announcement.agent.clone();
        if tracked.spec != spec {
            tracked.spec = spec.clone();
            events.push_back(Event::WorkerSet(spec));
            for job in std::mem::take(&mut self.awaiting_workers) {
                let row = self.registry.get(&job).map(|tracked| &tracked.row);
                events.extend(row.map(|row| Event::Restore(job_record(cx, row, None))));
            }
        }
    }

    /// Passes changed guarantees and permissions to borrow to the placement.
    pub fn sync_teams(&mut self, cx: RegionCx<'_>, events: &mut VecDeque<Event>) {
        let mut teams = BTreeMap::new();
        for team in &cx.settings.teams {
            let shape = team
                .guarantee
                .shape(&self.region)
                .cloned()
                .unwrap_or_default();
            teams.insert(team.id.clone(), (shape, team.may_borrow));
        }
        for (team, (shape, may_borrow)) in &teams {
            let known = self.teams.get(team);
            if known.map(|(shape, _)| shape) != Some(shape) {
                events.push_back(Event::TeamSet(team.clone(), shape.clone()));
            }
            if known.map(|(_, may_borrow)| may_borrow) != Some(may_borrow) {
                events.push_back(Event::TeamBorrowing(team.clone(), *may_borrow));
            }
        }
        for team in self.teams.keys().filter(|team| !teams.contains_key(team)) {
            events.push_back(Event::TeamRemoved(team.clone()));
        }
        self.teams = teams;
    }

    pub fn sync_zones(&mut self, cx: RegionCx<'_>, events: &mut VecDeque<Event>) {
        let zones = cx
            .settings
            .zones
            .iter()
            .filter(|zone| zone.region == self.region);
        for zone in zones {
            let was_out_of_service = self.zones_out_of_service.contains(&zone.id);
            match (cx.polled.is_zone_open(&zone.id), was_out_of_service) {
                (true, true) => {
                    self.zones_out_of_service.retain(|other| *other != zone.id);
                    events.push_back(Event::ZoneOpened(zone.id.clone()));
                }
                (false, false) => {
                    self.zones_out_of_service.push(zone.id.clone());
                    events.push_back(Event::ZoneClosed(zone.id.clone()));
                }
                (true, false) | (false, true) => {}
            }
        }
    }

    /// Passes failures, drains and returns of workers to the placement.
    pub fn sync_workers(
        &mut self,
        cx: RegionCx<'_>,
        grants: &LeaseGrants,
        events: &mut VecDeque<Event>,
    ) {
        let mut ended = Vec::new();
        for (worker, tracked) in &mut self.workers {
            let health = cx.views.health(cx.now, &tracked.agent);
            let operator_settings = cx.polled.worker(worker).cloned().unwrap_or_default();
            let is_serving = is_available(health, &operator_settings);
            if !is_serving && !tracked.is_failed {
                tracked.is_failed = true;
                tracked.is_ended = false;
                events.push_back(Event::WorkerFailed(worker.clone()));
            } else if is_serving && tracked.is_failed {
                tracked.is_failed = false;
                events.push_back(Event::WorkerReturned(worker.clone()));
            }
            let is_unresponsive = health.is_none_or(|health| health == AgentHealth::Gone);
            let has_expired =
                is_unresponsive && grants.reassign(cx.now, &tracked.agent) == ReassignTime::Now;
            if tracked.is_failed && !tracked.is_ended && has_expired {
                tracked.is_ended = true;
                events.push_back(Event::WorkerLeaseExpired(worker.clone()));
                ended.push(worker.clone());
            }
        }
        for worker in ended {
            for (_, attempt) in self.registry.attempts_mut() {
                attempt.worker_ended(&worker);
            }
        }
    }
}

fn is_available(health: Option<AgentHealth>, operator_settings: &WorkerRow) -> bool {
    // A suspect agent keeps its tasks until its lease has expired.
    let is_present = matches!(health, Some(AgentHealth::Serving | AgentHealth::Suspect));
    is_present && !operator_settings.is_draining && operator_settings.fenced.is_none()
}
