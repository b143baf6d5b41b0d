//! Announcements of agents and the replies to them.

use std::time::Duration;

use cumindeck_control::membership::{
    AgentDirectory, AgentHealth, AnnouncementOutcome, announcement_entries,
};
use cumindeck_types::message::{AnnounceReply, Announcement, RingMemberView, RingView};
use cumindeck_types::{AgentId, Incarnation, Region, Uptime, WorkerId};

use crate::event::{AnnounceCallId, SiteEffect};
use crate::machine::SiteMachine;
use crate::region::RegionLeadership;
use crate::rows::RingRow;

impl SiteMachine {
    /// Processes an announcement and sends the reply.
    pub(crate) fn on_announcement(
        &mut self,
        now: Uptime,
        wall: Duration,
        call: AnnounceCallId,
        announcement: Announcement,
        out: &mut Vec<SiteEffect>,
    ) {
        let agent = announcement.agent.clone();
        let (region, zone) = (announcement.region.clone(), announcement.zone.clone());
        let known_ring = announcement.ring_version;
        let mut lease = None;
        if self.views.on_announce(now, announcement) != AnnouncementOutcome::StaleIncarnation
            && let Some(announcement) = self.views.announcement(&agent).cloned()
            && let Some(health) = self.views.health(now, &agent)
        {
            self.with_region(now, wall, &region, out, |leadership, cx, out| {
                lease = leadership.on_announcement(cx, &announcement, out);
            });
            out.push(self.agent_effect(announcement, health));
        }
        let has_lease = lease.is_some();
        let leadership = self.regions.get(&region);
        let ring = leadership
            .and_then(RegionLeadership::ring)
            .map(|(_, ring)| ring);
        let leader = leadership.and_then(|leadership| leadership.leader_lease().leader());
        let leader = leader.and_then(|leader| self.polled.entry(now, &leader.entry));
        let reply = AnnounceReply {
            entry: self.cfg.entry.clone(),
            config_version: self.config.version(),
            is_config_confirmed: self.config.is_confirmed(now),
            zone_rights: self.polled.rights.right(now, &zone).into_iter().collect(),
            lease,
            leader: leader.map(|row| row.agents),
            entries: announcement_entries(&agent, self.polled.entries_of(now, &region)),
            ring_version: ring.as_ref().map(|ring| ring.version).unwrap_or_default(),
            gangs: Vec::new(),
            // Without a lease the agent serves no claims and needs no ring. Only the
            // leader sends it, since it may be long.
            ring: ring
                .filter(|ring| has_lease && ring.version > known_ring)
                .map(|ring| ring_view(&region, ring)),
        };
        out.push(SiteEffect::ReplyAnnounce(call, Box::new(reply)));
    }

    /// Builds the update about an agent for the request path.
    pub(crate) fn agent_effect(
        &self,
        announcement: Announcement,
        health: AgentHealth,
    ) -> SiteEffect {
        let is_zone_open = self.polled.is_zone_open(&announcement.zone);
        // A drained worker gets no new requests either.
        let is_draining = self
            .polled
            .worker(&announcement.worker)
            .is_some_and(|operator_settings| operator_settings.is_draining);
        let health = match health {
            AgentHealth::Serving if is_draining => AgentHealth::Leaving,
            health => health,
        };
        SiteEffect::Agent {
            announcement: Box::new(announcement),
            health,
            is_zone_open,
        }
    }
}

/// Returns the agent of a worker.
pub(crate) fn agent_of(views: &AgentDirectory, worker: &WorkerId) -> Option<AgentId> {
    let announcement = views
        .all()
        .find(|announcement| announcement.worker == *worker)?;
    Some(announcement.agent.clone())
}

/// Converts a ring to the form that agents and the request path use.
pub(crate) fn ring_view(region: &Region, ring: &RingRow) -> RingView {
    let member = |(agent, incarnation): &(AgentId, Incarnation)| RingMemberView {
        agent: agent.clone(),
        incarnation: *incarnation,
    };
    RingView {
        region: region.clone(),
        version: ring.version,
        members: ring.members.iter().map(member).collect(),
    }
}
