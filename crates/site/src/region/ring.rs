//! The ring of a region's home agents, as its duty holder keeps it.

use std::time::Duration;

use cumindeck_control::agent_lease::{AGENT_LEASE, LeaseGrants, Reassign};
use cumindeck_control::membership::{AgentHealth, AgentViews};
use cumindeck_control::store::RowVersion;
use cumindeck_types::{AgentId, Incarnation, Region, RingVersion, Uptime};

use crate::event::{RowAction, RowCondition, RowWrite};
use crate::rows::{RingRow, RowKey, RowValue};

/// Time without a change of membership before a ring is written, so that a
/// fleet that starts at once makes one ring and not one for each agent.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Keeps the ring of one region.
#[derive(Debug, Default)]
pub(crate) struct RingKeeper {
    /// Members wanted when they last changed, and when that was.
    wanted: Option<(Vec<(AgentId, Incarnation)>, Uptime)>,
    /// Whether a write has no outcome yet.
    pub is_pending: bool,
}

impl RingKeeper {
    /// Returns the writes of a new ring, if it is time and safe.
    pub fn tick(
        &mut self,
        now: Uptime,
        region: &Region,
        views: &AgentViews,
        grants: &LeaseGrants,
        stored: Option<&(RowVersion, RingRow)>,
    ) -> Option<[RowWrite; 2]> {
        let members = wanted_members(now, region, views, grants, stored);
        if self
            .wanted
            .as_ref()
            .is_none_or(|(wanted, _)| *wanted != members)
        {
            self.wanted = Some((members.clone(), now));
        }
        let settled = self
            .wanted
            .as_ref()
            .is_some_and(|(_, at)| now.since(*at) >= SETTLE_TIME);
        let is_same = stored.is_some_and(|(_, ring)| ring.members == members);
        if self.is_pending || !settled || is_same || members.is_empty() {
            return None;
        }
        // A new home waits 8 s for the claim leases under the old ring, so no
        // member of it may hold a longer one.
        let old = stored.map_or(&[][..], |(_, ring)| &ring.members);
        if !old
            .iter()
            .all(|(agent, _)| grants.is_bounded(now, agent, AGENT_LEASE))
        {
            return None;
        }
        self.is_pending = true;
        let version = stored
            .map_or(RingVersion::default(), |(_, ring)| ring.version)
            .next();
        let expected = stored.map_or(RowVersion::ABSENT, |(version, _)| *version);
        let ring = RowWrite {
            key: RowKey::Ring(region.clone()),
            condition: RowCondition::Version(expected),
            action: RowAction::Put(RowValue::Ring(RingRow { version, members })),
        };
        let head = RowWrite {
            key: RowKey::RingHead(region.clone()),
            condition: RowCondition::Any,
            action: RowAction::Put(RowValue::RingHead(version)),
        };
        Some([ring, head])
    }
}

/// Keeps members until their leases have certainly ended, and adds agents that serve.
fn wanted_members(
    now: Uptime,
    region: &Region,
    views: &AgentViews,
    grants: &LeaseGrants,
    stored: Option<&(RowVersion, RingRow)>,
) -> Vec<(AgentId, Incarnation)> {
    let mut members = std::collections::BTreeMap::new();
    for (agent, incarnation) in stored.map_or(&[][..], |(_, ring)| &ring.members) {
        let health = views.health(now, agent);
        let is_silent = health.is_none_or(|health| health == AgentHealth::Gone);
        if !(is_silent && grants.reassign(now, agent) == Reassign::Now) {
            members.insert(agent.clone(), *incarnation);
        }
    }
    for (announcement, health) in views.present(now) {
        if announcement.region != *region {
            continue;
        }
        let is_member = members.contains_key(&announcement.agent);
        if health == AgentHealth::Serving || is_member {
            members.insert(announcement.agent.clone(), announcement.incarnation);
        }
    }
    members.into_iter().collect()
}
