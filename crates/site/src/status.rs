//! State of zones, workers, teams and the site, as shown to operators.

use std::time::Duration;

use cumindeck_api::{
    ErrorReason, JobState, LeaderStatus, SiteStatus, StoreState, TeamList, TeamRegion, TeamStatus,
    WorkerFilter, WorkerHealth, WorkerList, WorkerStatus,
};
use cumindeck_control::membership::AgentHealth;
use cumindeck_placement::WorkerHealth as PlacedHealth;
use cumindeck_types::message::Announcement;
use cumindeck_types::{AvailabilityZone, EntryId, TeamId, Uptime, WorkerId};

use crate::alerts::RULES_LEADERSHIP;
use crate::announce::agent_of;
use crate::event::OperatorReply;
use crate::machine::SiteMachine;
use crate::operators::{error, not_ready};

impl SiteMachine {
    /// Returns the state of all availability zones.
    pub(crate) fn zones(&self, now: Uptime) -> OperatorReply {
        match self.config.settings() {
            Some(settings) => OperatorReply::Zones(self.polled.zones(now, settings, &self.views)),
            None => not_ready(),
        }
    }

    /// Returns the state of one availability zone.
    pub(crate) fn zone(&self, now: Uptime, zone: &AvailabilityZone) -> OperatorReply {
        let Some(settings) = self.config.settings() else {
            return not_ready();
        };
        let list = self.polled.zones(now, settings, &self.views);
        match list.zones.into_iter().find(|status| status.id == *zone) {
            Some(status) => OperatorReply::Zone(status),
            None => error(
                ErrorReason::NotFound,
                format!("availability zone {zone} is not in the configuration"),
                "list the zones with `cumindeck zone list`",
            ),
        }
    }

    /// Returns the workers that announce themselves.
    pub(crate) fn workers(&self, now: Uptime, filter: &WorkerFilter) -> WorkerList {
        let status = |(announcement, health)| self.worker_status(announcement, health);
        let passes = |worker: &WorkerStatus| {
            let zone = filter.zone.as_ref();
            zone.is_none_or(|zone| worker.zone == *zone)
        };
        WorkerList {
            workers: self.views.present(now).map(status).filter(passes).collect(),
        }
    }

    /// Returns the state of one worker.
    pub(crate) fn worker(&self, now: Uptime, worker: &WorkerId) -> OperatorReply {
        let agent = agent_of(&self.views, worker);
        let known = agent.as_ref().and_then(|agent| {
            Some((
                self.views.announcement(agent)?,
                self.views.health(now, agent)?,
            ))
        });
        match known {
            Some((announcement, health)) => {
                OperatorReply::Worker(Box::new(self.worker_status(announcement, health)))
            }
            None => error(
                ErrorReason::NotFound,
                format!("no agent announces worker {worker}"),
                "list the workers with `cumindeck worker list`",
            ),
        }
    }

    /// Builds the state of a worker from its announcement and its health.
    pub(crate) fn worker_status(
        &self,
        announcement: &Announcement,
        health: AgentHealth,
    ) -> WorkerStatus {
        let operator_settings = self
            .polled
            .worker(&announcement.worker)
            .cloned()
            .unwrap_or_default();
        let active = self
            .regions
            .get(&announcement.region)
            .and_then(|leadership| leadership.active());
        let placed = active.and_then(|active| {
            active
                .placement
                .state()
                .workers()
                .find(|view| *view.worker == announcement.worker)
        });
        let is_quarantined = placed
            .as_ref()
            .is_some_and(|view| view.health == PlacedHealth::Quarantined);
        let live = announcement
            .tasks
            .iter()
            .filter(|task| !task.phase.is_final());
        WorkerStatus {
            id: announcement.worker.clone(),
            zone: announcement.zone.clone(),
            region: announcement.region.clone(),
            rack: announcement.rack.clone(),
            incarnation: announcement.incarnation,
            health: match health {
                _ if operator_settings.fenced == Some(announcement.incarnation) => {
                    WorkerHealth::Fenced
                }
                AgentHealth::Serving if is_quarantined => WorkerHealth::Quarantined,
                AgentHealth::Serving => WorkerHealth::Serving,
                AgentHealth::Leaving => WorkerHealth::Leaving,
                AgentHealth::Suspect => WorkerHealth::Suspect,
                AgentHealth::Gone => WorkerHealth::Gone,
            },
            is_draining: operator_settings.is_draining,
            accelerators: announcement.accelerators,
            accelerators_used: placed.map_or(0, |view| view.used.len()),
            slots: announcement.slots,
            in_flight: announcement.in_flight,
            connections: announcement.connections,
            tasks: count(live.count()),
        }
    }

    /// Returns the state of all teams.
    pub(crate) fn teams(&self) -> TeamList {
        let Some(settings) = self.config.settings() else {
            return TeamList { teams: Vec::new() };
        };
        let status = |team: &cumindeck_config::TeamSettings| {
            let regions = settings.regions.iter().map(|region| {
                let guarantee = team.guarantee.shape(region).cloned();
                let active = self
                    .regions
                    .get(region)
                    .and_then(|leadership| leadership.active());
                let usage = active
                    .map(|active| active.team_usage(&team.id))
                    .unwrap_or_default();
                (region.to_string(), TeamRegion { guarantee, ..usage })
            });
            TeamStatus {
                id: team.id.clone(),
                home_region: team.home_region.clone(),
                may_borrow: team.may_borrow,
                regions: regions.collect(),
                queued_requests: 0,
                queue_limit: team.queue_limit,
                running_requests: 0,
            }
        };
        TeamList {
            teams: settings.teams.iter().map(status).collect(),
        }
    }

    /// Returns the state of one team.
    pub(crate) fn team(&self, team: &TeamId) -> OperatorReply {
        match self
            .teams()
            .teams
            .into_iter()
            .find(|status| status.id == *team)
        {
            Some(status) => OperatorReply::Team(Box::new(status)),
            None => error(
                ErrorReason::NotFound,
                format!("team {team} is not in the configuration"),
                "list the teams with `cumindeck team list`",
            ),
        }
    }

    /// Returns the state of the site.
    pub(crate) fn status(&self, now: Uptime) -> SiteStatus {
        let present = self.views.present(now).collect::<Vec<_>>();
        let unhealthy = |health: &AgentHealth| *health == AgentHealth::Suspect;
        let regions = self
            .regions
            .iter()
            .map(|(region, leadership)| (region.as_str(), leadership.leader_lease()));
        let leases = regions.chain([(RULES_LEADERSHIP, self.alerts.leader_lease())]);
        let leases = leases.map(|(name, lease)| {
            let leader: Option<EntryId> = lease.leader().map(|leader| leader.entry.clone());
            LeaderStatus {
                name: name.to_owned(),
                leader,
                token: lease.seen_token(),
                remaining_ms: millis(lease.remaining(now)),
            }
        });
        let jobs = self
            .regions
            .values()
            .filter_map(|leadership| leadership.active());
        let (mut queued, mut running) = (0, 0);
        for tracked in jobs.flat_map(|active| active.registry.jobs()) {
            match tracked.state() {
                JobState::Queued => queued += 1,
                _ => running += 1,
            }
        }
        SiteStatus {
            site: self.cfg.site.to_string(),
            entry: self.cfg.entry.clone(),
            config_version: self.config.version(),
            store: if self.polled.is_store_up {
                StoreState::Up
            } else {
                StoreState::Down
            },
            entries: self.polled.entry_list(now),
            duties: leases.collect(),
            zones_out: self.polled.zones_out_of_service(),
            workers: count(present.len()),
            workers_unhealthy: count(present.iter().filter(|(_, h)| unhealthy(h)).count()),
            jobs_queued: queued,
            jobs_running: running,
            requests_in_flight: present
                .iter()
                .map(|(announcement, _)| announcement.in_flight)
                .sum(),
        }
    }
}

fn count(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
