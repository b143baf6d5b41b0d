//! Maintains the ring of a region's home agents at the leader.

use std::time::Duration;

use cumindeck_control::agent_lease::{AGENT_LEASE, LeaseGrants, ReassignTime};
use cumindeck_control::membership::{AgentDirectory, AgentHealth};
use cumindeck_control::store::RowVersion;
use cumindeck_types::{AgentId, Incarnation, Region, RingVersion, Uptime};

use crate::event::{RowAction, RowCondition, RowWrite};
use crate::rows::{RingRow, RowKey, RowValue};

/// Time for which the desired members must stay unchanged before a ring is written,
/// so that a fleet that starts together causes one ring and not one for each agent.
const STABLE_TIME: Duration = Duration::from_secs(2);

/// Decides when to write a new ring of a region.
#[derive(Debug, Default)]
pub(crate) struct RingUpdater {
    /// Desired members and when they last changed.
    desired: Option<(Vec<(AgentId, Incarnation)>, Uptime)>,
    /// Whether the write of a ring is pending.
    pub is_pending: bool,
}

impl RingUpdater {
    /// Returns the writes of a new ring once the members are stable and all leases of
    /// the old members are short enough.
    pub fn tick(
        &mut self,
        now: Uptime,
        region: &Region,
        views: &AgentDirectory,
        grants: &LeaseGrants,
        stored: Option<&(RowVersion, RingRow)>,
    ) -> Option<[RowWrite; 2]> {
        let members = desired_members(now, region, views, grants, stored);
        if self
            .desired
            .as_ref()
            .is_none_or(|(desired, _)| *desired != members)
        {
            self.desired = Some((members.clone(), now));
        }
        let is_stable = self
            .desired
            .as_ref()
            .is_some_and(|(_, at)| now.since(*at) >= STABLE_TIME);
        let is_same = stored.is_some_and(|(_, ring)| ring.members == members);
        if self.is_pending || !is_stable || is_same || members.is_empty() {
            return None;
        }
        // A new home agent waits 8 s for the claim leases under the old ring, so no
        // old member may hold a longer one.
        let old = stored.map_or(&[][..], |(_, ring)| &ring.members);
        if !old
            .iter()
            .all(|(agent, _)| grants.expires_within(now, agent, AGENT_LEASE))
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
        let version_row = RowWrite {
            key: RowKey::RingHead(region.clone()),
            condition: RowCondition::Any,
            action: RowAction::Put(RowValue::RingHead(version)),
        };
        Some([ring, version_row])
    }
}

/// Keeps members until their leases are known to have expired, and adds serving agents.
fn desired_members(
    now: Uptime,
    region: &Region,
    views: &AgentDirectory,
    grants: &LeaseGrants,
    stored: Option<&(RowVersion, RingRow)>,
) -> Vec<(AgentId, Incarnation)> {
    let mut members = std::collections::BTreeMap::new();
    for (agent, incarnation) in stored.map_or(&[][..], |(_, ring)| &ring.members) {
        let health = views.health(now, agent);
        let is_unresponsive = health.is_none_or(|health| health == AgentHealth::Gone);
        if !(is_unresponsive && grants.reassign(now, agent) == ReassignTime::Now) {
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
