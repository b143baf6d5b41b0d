//! Tells the placement what changed: workers, availability zones and teams.

use std::collections::{BTreeMap, VecDeque};

use cumindeck_control::agent_lease::{LeaseGrants, Reassign};
use cumindeck_control::membership::AgentHealth;
use cumindeck_placement::{Event, WorkerSpec};
use cumindeck_types::message::Announcement;

use super::RegionCx;
use super::active::{Active, WorkerTrack};
use super::takeover::record;
use crate::rows::WorkerRow;

impl Active {
    /// Takes in a worker's description.
    pub fn see_worker(
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
        let track = self
            .workers
            .entry(spec.worker.clone())
            .or_insert_with(|| WorkerTrack {
                agent: announcement.agent.clone(),
                spec: WorkerSpec {
                    accelerators: 0,
                    ..spec.clone()
                },
                is_failed: false,
                is_ended: false,
            });
        track.agent = announcement.agent.clone();
        if track.spec != spec {
            track.spec = spec.clone();
            events.push_back(Event::WorkerSet(spec));
            for job in std::mem::take(&mut self.parked) {
                let row = self.book.get(&job).map(|track| &track.row);
                events.extend(row.map(|row| Event::Restore(record(cx, row, None))));
            }
        }
    }

    /// Tells the placement about teams and guarantees that changed.
    pub fn follow_settings(&mut self, cx: RegionCx<'_>, events: &mut VecDeque<Event>) {
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

    pub fn follow_zones(&mut self, cx: RegionCx<'_>, events: &mut VecDeque<Event>) {
        let zones = cx
            .settings
            .zones
            .iter()
            .filter(|zone| zone.region == self.region);
        for zone in zones {
            let was_closed = self.closed.contains(&zone.id);
            match (cx.heads.is_zone_open(&zone.id), was_closed) {
                (true, true) => {
                    self.closed.retain(|closed| *closed != zone.id);
                    events.push_back(Event::ZoneOpened(zone.id.clone()));
                }
                (false, false) => {
                    self.closed.push(zone.id.clone());
                    events.push_back(Event::ZoneClosed(zone.id.clone()));
                }
                (true, false) | (false, true) => {}
            }
        }
    }

    /// Tells the placement about workers that are lost, drained or back.
    pub fn follow_workers(
        &mut self,
        cx: RegionCx<'_>,
        grants: &LeaseGrants,
        events: &mut VecDeque<Event>,
    ) {
        let mut ended = Vec::new();
        for (worker, track) in &mut self.workers {
            let health = cx.views.health(cx.now, &track.agent);
            let mark = cx.heads.worker(worker).cloned().unwrap_or_default();
            let is_serving = serves(health, &mark);
            if !is_serving && !track.is_failed {
                track.is_failed = true;
                track.is_ended = false;
                events.push_back(Event::WorkerFailed(worker.clone()));
            } else if is_serving && track.is_failed {
                track.is_failed = false;
                events.push_back(Event::WorkerReturned(worker.clone()));
            }
            let is_silent = health.is_none_or(|health| health == AgentHealth::Gone);
            let is_over = is_silent && grants.reassign(cx.now, &track.agent) == Reassign::Now;
            if track.is_failed && !track.is_ended && is_over {
                track.is_ended = true;
                events.push_back(Event::WorkerLeaseExpired(worker.clone()));
                ended.push(worker.clone());
            }
        }
        for worker in ended {
            for (_, attempt) in self.book.attempts_mut() {
                attempt.worker_ended(&worker);
            }
        }
    }
}

fn serves(health: Option<AgentHealth>, mark: &WorkerRow) -> bool {
    // A suspect agent keeps its tasks until its lease has ended.
    let is_present = matches!(health, Some(AgentHealth::Serving | AgentHealth::Suspect));
    is_present && !mark.is_draining && mark.fenced.is_none()
}
