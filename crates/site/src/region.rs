//! Leadership of one region: the leader lease and, while this entry holds it, the jobs.

mod accept;
mod active;
mod attempt;
mod attempt_outcome;
mod event;
mod gangs;
mod job_registry;
mod placement_sync;
mod ring;
mod start_limiter;
mod submit;
mod takeover;
mod why;

use std::time::Duration;

use cumindeck_config::SiteSettings;
use cumindeck_control::agent_lease::{LeaseGrants, LeaseRequest};
use cumindeck_control::gang::StoppedTasks;
use cumindeck_control::leader::{GrantMode, Leader, LeaderEffect, LeaderLease};
use cumindeck_control::membership::AgentDirectory;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::message::{AgentLease, Announcement, TaskAnswer};
use cumindeck_types::{FencingToken, Region, RingVersion, Uptime};

use crate::event::{Notice, OperatorCallId};
use crate::leader_rows::{check_token, find_leader_lease, leader_lease_writes};
use crate::polled::PolledRows;
use crate::rows::{RingRow, RowKey, RowRange, RowValue, StoredRow};

pub(crate) use active::ActiveRegion;
pub(crate) use event::{OrderKind, OrderTag, RegionCommit, RegionEffect, RegionRead};
pub(crate) use job_registry::{ended_status, place};
pub(crate) use submit::{JobCall, cancel_ended, not_found};
pub(crate) use why::why_ended;

/// Time after a takeover for agents to report their tasks; they announce themselves
/// every second.
const REPORT_TIME: Duration = Duration::from_millis(1_200);

/// Inputs of the decisions about a region.
#[derive(Clone, Copy)]
pub(crate) struct RegionCx<'a> {
    pub now: Uptime,
    /// Wall-clock time since the Unix epoch, used only in stored rows.
    pub wall: Duration,
    /// Settings of the configuration version in force.
    pub settings: &'a SiteSettings,
    /// Agents that announce themselves to this entry.
    pub views: &'a AgentDirectory,
    /// Polled rows as last read from the table service.
    pub polled: &'a PolledRows,
}

/// Whether this entry leads the region and has loaded its rows.
enum Stage {
    /// This entry is not the leader.
    Idle,
    /// The region's rows are being read while agents report their tasks.
    Loading {
        since: Uptime,
        rows: Option<Vec<StoredRow>>,
        is_reading: bool,
    },
    /// The region's jobs are placed and tracked.
    Active(Box<ActiveRegion>),
}

/// State of the leadership of a region at one entry.
pub(crate) struct RegionLeadership {
    region: Region,
    leader_lease: LeaderLease,
    token_row: Option<(RowVersion, FencingToken)>,
    ring: Option<(RowVersion, RingRow)>,
    /// Whether a read of the ring is in flight.
    is_reading_ring: bool,
    grants: LeaseGrants,
    stage: Stage,
}

impl RegionLeadership {
    /// Creates the state of an entry that waits `takeover_delay` longer than necessary
    /// before it takes over leadership.
    pub fn new(region: Region, this_process: Leader, takeover_delay: Duration) -> Self {
        Self {
            region,
            leader_lease: LeaderLease::new(this_process, takeover_delay),
            token_row: None,
            ring: None,
            is_reading_ring: false,
            grants: LeaseGrants::new(FencingToken::default(), Uptime::ZERO),
            stage: Stage::Idle,
        }
    }

    pub const fn leader_lease(&self) -> &LeaderLease {
        &self.leader_lease
    }

    /// Returns the ring as last read from the table service.
    pub const fn ring(&self) -> Option<&(RowVersion, RingRow)> {
        self.ring.as_ref()
    }

    /// Returns the jobs once this entry is the leader and has loaded the stored rows.
    pub fn active(&self) -> Option<&ActiveRegion> {
        match &self.stage {
            Stage::Active(active) => Some(active),
            Stage::Idle | Stage::Loading { .. } => None,
        }
    }

    /// Updates the leader lease, its token and the ring from the polled rows.
    pub fn on_polled_rows(&mut self, now: Uptime, rows: &[StoredRow], out: &mut Vec<RegionEffect>) {
        for row in rows {
            match (&row.key, &row.value) {
                (RowKey::Token(region), RowValue::Token(token)) if *region == self.region => {
                    self.update_token(row.version, *token);
                }
                (RowKey::RingHead(region), RowValue::RingHead(version))
                    if *region == self.region && !self.is_reading_ring && self.is_new(*version) =>
                {
                    self.is_reading_ring = true;
                    let ranges = vec![RowRange::Row(RowKey::Ring(region.clone()))];
                    out.push(RegionEffect::Read(RegionRead::Ring, ranges));
                }
                _ => {}
            }
        }
        let leader_lease = find_leader_lease(&self.region, rows);
        let effects = self.leader_lease.on_row(now, &leader_lease);
        self.lease_effects(now, effects, out);
    }

    /// Processes an announcement and its task reports; returns the lease for the reply.
    pub fn on_announcement(
        &mut self,
        cx: RegionCx<'_>,
        announcement: &Announcement,
        out: &mut Vec<RegionEffect>,
    ) -> Option<AgentLease> {
        let mode = self.leader_lease.grant_mode(cx.now);
        let req = LeaseRequest {
            agent: announcement.agent.clone(),
            incarnation: announcement.incarnation,
            newest_token: announcement.newest_token,
        };
        let lease = self.grants.on_request(cx.now, mode, &req);
        let (stage, grants) = (&mut self.stage, &self.grants);
        let is_ring_pending = match stage {
            Stage::Active(active) => {
                active.on_announcement(
                    cx,
                    &self.leader_lease,
                    self.token_row,
                    grants,
                    announcement,
                    out,
                );
                active.ring.is_pending
            }
            Stage::Idle | Stage::Loading { .. } => false,
        };
        let is_outage = matches!(mode, GrantMode::Outage { .. });
        lease.map(|lease| AgentLease {
            // A new home agent waits 8 s for claim leases under the old ring. While the
            // write of a new ring is pending, a longer lease must not cover claims.
            covers_claims: !(is_outage && is_ring_pending),
            ..lease
        })
    }

    /// Runs the periodic work of the leader lease, of a takeover and of the jobs.
    pub fn tick(&mut self, cx: RegionCx<'_>, out: &mut Vec<RegionEffect>) {
        let effects = self.leader_lease.tick(cx.now);
        self.lease_effects(cx.now, effects, out);
        let token = self.leader_lease.token().unwrap_or_default();
        if let Stage::Loading {
            since,
            rows,
            is_reading,
        } = &mut self.stage
        {
            let is_report_time_over = cx.now.since(*since) >= REPORT_TIME;
            match rows.take_if(|_| is_report_time_over) {
                Some(rows) => {
                    let active = ActiveRegion::take_over(cx, &self.region, token, rows, out);
                    self.stage = Stage::Active(Box::new(active));
                }
                None if rows.is_none() && !*is_reading => {
                    *is_reading = true;
                    let ranges = vec![RowRange::Jobs(self.region.clone())];
                    out.push(RegionEffect::Read(RegionRead::Jobs, ranges));
                }
                None => {}
            }
        }
        let Stage::Active(active) = &mut self.stage else {
            return;
        };
        active.tick(cx, &self.leader_lease, self.token_row, &self.grants, out);
        if !self.leader_lease.may_act(cx.now) {
            return;
        }
        let Some((token_row, _)) = self.token_row else {
            return;
        };
        let (ring, grants) = (self.ring.as_ref(), &self.grants);
        if let Some([ring, version_row]) =
            active
                .ring
                .tick(cx.now, &self.region, cx.views, grants, ring)
        {
            let writes = vec![check_token(&self.region, token_row), ring, version_row];
            out.push(RegionEffect::Commit(RegionCommit::Ring, writes));
        }
    }

    /// Handles the outcome of a commit.
    pub fn on_commit(
        &mut self,
        cx: RegionCx<'_>,
        commit: RegionCommit,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        match commit {
            RegionCommit::Leader(number, token) => {
                if let (WriteOutcome::Done(version), Some(token)) = (outcome, token) {
                    self.update_token(version, token);
                }
                let effects = self.leader_lease.on_write(number, outcome);
                self.lease_effects(cx.now, effects, out);
            }
            RegionCommit::Ring => {
                if let Stage::Active(active) = &mut self.stage {
                    active.ring.is_pending = false;
                }
                out.push(RegionEffect::Poll);
            }
            commit => {
                if let Stage::Active(active) = &mut self.stage {
                    active.on_commit(cx, &self.leader_lease, self.token_row, commit, outcome, out);
                }
            }
        }
    }

    /// Handles the rows of a read; `None` means that the table service did not reply.
    pub fn on_read(
        &mut self,
        cx: RegionCx<'_>,
        read: RegionRead,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<RegionEffect>,
    ) {
        match (&mut self.stage, read) {
            (_, RegionRead::Ring) => {
                self.is_reading_ring = false;
                self.update_ring(rows.unwrap_or_default(), out);
            }
            (
                Stage::Loading {
                    rows: loaded,
                    is_reading,
                    ..
                },
                RegionRead::Jobs,
            ) => {
                *loaded = rows;
                *is_reading = false;
            }
            (Stage::Active(active), read) => {
                active.on_read(cx, &self.leader_lease, self.token_row, read, rows, out);
            }
            _ => {}
        }
    }

    /// Handles the reply to an order; `None` means that no reply arrived.
    pub fn on_order_reply(
        &mut self,
        cx: RegionCx<'_>,
        tag: &OrderTag,
        reply: Option<TaskAnswer>,
        out: &mut Vec<RegionEffect>,
    ) {
        if let Stage::Active(active) = &mut self.stage {
            active.on_order_reply(cx, &self.leader_lease, self.token_row, tag, reply, out);
        }
    }

    /// Handles an operator's call about the region's jobs.
    pub fn job_call(
        &mut self,
        cx: RegionCx<'_>,
        call: OperatorCallId,
        req: JobCall,
        out: &mut Vec<RegionEffect>,
    ) {
        let Stage::Active(active) = &mut self.stage else {
            out.push(RegionEffect::Reply(call, submit::no_leader(&self.region)));
            return;
        };
        active.job_call(cx, &self.leader_lease, self.token_row, call, req, out);
    }

    /// Records that an incarnation of an agent is known to have terminated.
    pub fn fence(
        &mut self,
        agent: cumindeck_types::AgentId,
        incarnation: cumindeck_types::Incarnation,
    ) {
        self.grants.fence(agent, incarnation);
    }

    /// Releases leadership, so that another entry can take it over immediately.
    pub fn release(&mut self, now: Uptime, out: &mut Vec<RegionEffect>) {
        let effects = self.leader_lease.release(now, self.grants.latest_expiry());
        self.lease_effects(now, effects, out);
    }

    /// Returns whether this entry acquired leadership and has not lost or released it.
    pub fn is_held(&self) -> bool {
        self.leader_lease.token().is_some()
    }

    fn lease_effects(
        &mut self,
        now: Uptime,
        effects: Vec<LeaderEffect>,
        out: &mut Vec<RegionEffect>,
    ) {
        for effect in effects {
            match effect {
                LeaderEffect::Read => out.push(RegionEffect::Poll),
                LeaderEffect::Write {
                    number,
                    expected,
                    row,
                } => {
                    let is_new = self.token_row.is_none_or(|(_, token)| token != row.token);
                    let token = is_new.then_some(row.token);
                    let writes = leader_lease_writes(&self.region, expected, &row, token);
                    out.push(RegionEffect::Commit(
                        RegionCommit::Leader(number, token),
                        writes,
                    ));
                }
                LeaderEffect::Acquired {
                    token,
                    prior_leases_expire,
                    is_continued,
                } => {
                    let region = self.region.clone();
                    out.push(RegionEffect::Notice(Notice::LeadershipAcquired {
                        region,
                        token,
                    }));
                    if is_continued {
                        self.grants.set_token(token);
                        if let Stage::Active(active) = &mut self.stage {
                            active.stopped = StoppedTasks::new(now, token);
                        }
                        continue;
                    }
                    self.grants = LeaseGrants::new(token, prior_leases_expire);
                    self.stage = Stage::Loading {
                        since: now,
                        rows: None,
                        is_reading: false,
                    };
                }
                LeaderEffect::Lost => {
                    let region = self.region.clone();
                    out.push(RegionEffect::Notice(Notice::LeadershipLost { region }));
                    if let Stage::Active(active) = &mut self.stage {
                        active.on_lost(out);
                    }
                    self.stage = Stage::Idle;
                }
            }
        }
    }

    fn is_new(&self, version: RingVersion) -> bool {
        let known = self.ring.as_ref();
        known.is_none_or(|(_, known)| known.version < version)
    }

    fn update_ring(&mut self, rows: Vec<StoredRow>, out: &mut Vec<RegionEffect>) {
        for row in rows {
            if let RowValue::Ring(ring) = row.value
                && self.is_new(ring.version)
            {
                self.ring = Some((row.version, ring.clone()));
                out.push(RegionEffect::Ring(ring));
            }
        }
    }

    fn update_token(&mut self, version: RowVersion, token: FencingToken) {
        if self.token_row.is_none_or(|(known, _)| known < version) {
            self.token_row = Some((version, token));
        }
    }
}
