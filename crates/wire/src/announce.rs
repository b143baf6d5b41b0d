//! Conversion of hello messages, announcements and their replies.

use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_types::message::{
    AgentLease, AgentState, AnnounceReply, Announcement, EntryAddress, GangMember, GangView, Hello,
    RingMemberView, RingView, ZoneRight,
};
use cumindeck_types::{
    ConfigVersion, FencingToken, Incarnation, Remaining, RingVersion, ZoneVersion,
};

use crate::cumindeck_capnp as schema;
use crate::error::WireError;
use crate::task::{read_report, write_report};

pub(crate) fn write_hello(hello: &Hello, mut to: schema::hello::Builder<'_>) {
    to.set_protocol_version(hello.protocol_version);
    to.set_sender(&hello.sender);
    to.set_incarnation(hello.incarnation.get());
}

pub(crate) fn read_hello(from: schema::hello::Reader<'_>) -> Result<Hello, WireError> {
    Ok(Hello {
        protocol_version: from.get_protocol_version(),
        sender: from.get_sender()?.to_string()?,
        incarnation: Incarnation::new(from.get_incarnation()),
    })
}

pub(crate) fn write_announcement(
    announcement: &Announcement,
    mut to: schema::announcement::Builder<'_>,
) {
    to.set_agent(announcement.agent.as_str());
    to.set_incarnation(announcement.incarnation.get());
    to.set_zone(announcement.zone.as_str());
    to.set_region(announcement.region.as_str());
    to.set_address(announcement.address.to_string());
    to.set_state(match announcement.state {
        AgentState::Serving => schema::AgentState::Serving,
        AgentState::Leaving => schema::AgentState::Leaving,
    });
    to.set_slots(announcement.slots);
    to.set_connections(announcement.connections);
    to.set_in_flight(announcement.in_flight);
    to.set_ring_version(announcement.ring_version.get());
    to.set_worker(announcement.worker.as_str());
    to.set_rack(announcement.rack.as_str());
    to.set_accelerators(announcement.accelerators);
    to.set_newest_token(announcement.newest_token.get());
    let mut tasks = to.init_tasks(list_len(announcement.tasks.len()));
    for (i, report) in announcement.tasks.iter().enumerate() {
        write_report(report, tasks.reborrow().get(list_len(i)));
    }
}

pub(crate) fn read_announcement(
    from: schema::announcement::Reader<'_>,
) -> Result<Announcement, WireError> {
    Ok(Announcement {
        agent: from.get_agent()?.to_str()?.parse()?,
        incarnation: Incarnation::new(from.get_incarnation()),
        zone: from.get_zone()?.to_str()?.parse()?,
        region: from.get_region()?.to_str()?.parse()?,
        address: read_address(from.get_address()?)?,
        state: match from.get_state()? {
            schema::AgentState::Serving => AgentState::Serving,
            schema::AgentState::Leaving => AgentState::Leaving,
        },
        slots: from.get_slots(),
        connections: from.get_connections(),
        in_flight: from.get_in_flight(),
        ring_version: RingVersion::new(from.get_ring_version()),
        worker: from.get_worker()?.to_str()?.parse()?,
        rack: from.get_rack()?.to_str()?.parse()?,
        accelerators: from.get_accelerators(),
        newest_token: FencingToken::new(from.get_newest_token()),
        tasks: from
            .get_tasks()?
            .iter()
            .map(read_report)
            .collect::<Result<_, _>>()?,
    })
}

pub(crate) fn write_announce_reply(
    reply: &AnnounceReply,
    mut to: schema::announce_reply::Builder<'_>,
) {
    to.set_entry(reply.entry.as_str());
    to.set_config_version(reply.config_version.get());
    to.set_config_confirmed(reply.is_config_confirmed);
    to.set_ring_version(reply.ring_version.get());
    if let Some(leader) = reply.leader {
        to.set_holder(leader.to_string());
    }
    if let Some(lease) = reply.lease {
        let mut to = to.reborrow().init_lease();
        to.set_token(lease.token.get());
        to.set_remaining_micros(micros(lease.remaining.as_duration()));
        to.set_covers_claims(lease.covers_claims);
    }
    if let Some(ring) = &reply.ring {
        write_ring(ring, to.reborrow().init_ring());
    }
    let mut rights = to
        .reborrow()
        .init_zone_rights(list_len(reply.zone_rights.len()));
    for (i, right) in reply.zone_rights.iter().enumerate() {
        let mut to = rights.reborrow().get(list_len(i));
        to.set_zone(right.zone.as_str());
        to.set_version(right.version.get());
        to.set_open(right.is_open);
        to.set_remaining_micros(micros(right.remaining.as_duration()));
    }
    let mut entries = to.reborrow().init_entries(list_len(reply.entries.len()));
    for (i, entry) in reply.entries.iter().enumerate() {
        let to = entries.reborrow().get(list_len(i));
        write_address(entry.entry.as_str(), entry.address, to);
    }
    let mut gangs = to.init_gangs(list_len(reply.gangs.len()));
    for (i, gang) in reply.gangs.iter().enumerate() {
        let mut to = gangs.reborrow().get(list_len(i));
        to.set_job(gang.job.as_str());
        to.set_attempt(gang.attempt.get());
        write_members(&gang.members, to.init_members(list_len(gang.members.len())));
    }
}

pub(crate) fn read_announce_reply(
    from: schema::announce_reply::Reader<'_>,
) -> Result<AnnounceReply, WireError> {
    let lease = match from.has_lease() {
        true => Some(read_lease(from.get_lease()?)),
        false => None,
    };
    let ring = match from.has_ring() {
        true => Some(read_ring(from.get_ring()?)?),
        false => None,
    };
    let leader = match from.get_holder()?.is_empty() {
        true => None,
        false => Some(read_address(from.get_holder()?)?),
    };
    Ok(AnnounceReply {
        entry: from.get_entry()?.to_str()?.parse()?,
        config_version: ConfigVersion::new(from.get_config_version()),
        is_config_confirmed: from.get_config_confirmed(),
        zone_rights: from
            .get_zone_rights()?
            .iter()
            .map(read_right)
            .collect::<Result<_, _>>()?,
        lease,
        leader,
        entries: from
            .get_entries()?
            .iter()
            .map(read_entry)
            .collect::<Result<_, _>>()?,
        ring_version: RingVersion::new(from.get_ring_version()),
        ring,
        gangs: from
            .get_gangs()?
            .iter()
            .map(read_gang)
            .collect::<Result<_, _>>()?,
    })
}

pub(crate) fn write_members(
    members: &[GangMember],
    mut to: capnp::struct_list::Builder<'_, schema::entry_address::Owned>,
) {
    for (i, member) in members.iter().enumerate() {
        let to = to.reborrow().get(list_len(i));
        write_address(member.agent.as_str(), member.address, to);
    }
}

pub(crate) fn read_member(
    from: schema::entry_address::Reader<'_>,
) -> Result<GangMember, WireError> {
    Ok(GangMember {
        agent: from.get_entry()?.to_str()?.parse()?,
        address: read_address(from.get_address()?)?,
    })
}

/// Returns a duration in microseconds, saturating at the maximum.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Creates a remaining time from microseconds.
pub(crate) fn remaining(micros: u64) -> Remaining {
    Remaining::new(Duration::from_micros(micros))
}

/// Returns a list length or index as `u32`; lists are far shorter than 2^32.
pub(crate) fn list_len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn write_ring(ring: &RingView, mut to: schema::ring::Builder<'_>) {
    to.set_region(ring.region.as_str());
    to.set_version(ring.version.get());
    let mut members = to.init_members(list_len(ring.members.len()));
    for (i, member) in ring.members.iter().enumerate() {
        let mut to = members.reborrow().get(list_len(i));
        to.set_agent(member.agent.as_str());
        to.set_incarnation(member.incarnation.get());
    }
}

fn read_ring(from: schema::ring::Reader<'_>) -> Result<RingView, WireError> {
    let mut members = Vec::new();
    for member in from.get_members()? {
        members.push(RingMemberView {
            agent: member.get_agent()?.to_str()?.parse()?,
            incarnation: Incarnation::new(member.get_incarnation()),
        });
    }
    Ok(RingView {
        region: from.get_region()?.to_str()?.parse()?,
        version: RingVersion::new(from.get_version()),
        members,
    })
}

fn read_lease(from: schema::agent_lease::Reader<'_>) -> AgentLease {
    AgentLease {
        token: FencingToken::new(from.get_token()),
        remaining: remaining(from.get_remaining_micros()),
        covers_claims: from.get_covers_claims(),
    }
}

fn read_right(from: schema::zone_right::Reader<'_>) -> Result<ZoneRight, WireError> {
    Ok(ZoneRight {
        zone: from.get_zone()?.to_str()?.parse()?,
        version: ZoneVersion::new(from.get_version()),
        is_open: from.get_open(),
        remaining: remaining(from.get_remaining_micros()),
    })
}

fn read_entry(from: schema::entry_address::Reader<'_>) -> Result<EntryAddress, WireError> {
    Ok(EntryAddress {
        entry: from.get_entry()?.to_str()?.parse()?,
        address: read_address(from.get_address()?)?,
    })
}

fn read_gang(from: schema::gang_view::Reader<'_>) -> Result<GangView, WireError> {
    Ok(GangView {
        job: from.get_job()?.to_str()?.parse()?,
        attempt: cumindeck_types::Attempt::new(from.get_attempt()),
        members: from
            .get_members()?
            .iter()
            .map(read_member)
            .collect::<Result<_, _>>()?,
    })
}

fn write_address(name: &str, address: SocketAddr, mut to: schema::entry_address::Builder<'_>) {
    to.set_entry(name);
    to.set_address(address.to_string());
}

fn read_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr, WireError> {
    let text = text.to_str()?;
    text.parse()
        .map_err(|_| WireError::Address(text.chars().take(64).collect()))
}
