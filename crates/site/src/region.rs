//! The duty of one region: its lease, and while it is held, the region's jobs.

mod accept;
mod active;
mod attempt;
mod book;
mod ends;
mod event;
mod follow;
mod gangs;
mod pace;
mod ring;
mod submit;
mod takeover;
mod why;

use std::time::Duration;

use cumindeck_config::SiteSettings;
use cumindeck_control::agent_lease::{LeaseGrants, LeaseRequest};
use cumindeck_control::duty::{Duty, DutyEffect, GrantMode, Holder};
use cumindeck_control::gang::StoppedTasks;
use cumindeck_control::membership::AgentViews;
use cumindeck_control::store::{RowVersion, WriteOutcome};
use cumindeck_types::message::{AgentLease, Announcement, TaskAnswer};
use cumindeck_types::{FencingToken, Region, RingVersion, Uptime};

use crate::duty_rows::{check_token, duty_writes, find_duty};
use crate::event::{Notice, OperatorCall};
use crate::heads::Heads;
use crate::rows::{RingRow, RowKey, RowRange, RowValue, StoredRow};

pub(crate) use active::Active;
pub(crate) use book::{ended_status, place};
pub(crate) use event::{OrderKind, OrderTag, RegionCommit, RegionEffect, RegionRead};
pub(crate) use submit::{JobCall, cancel_ended, not_found};
pub(crate) use why::why_ended;

/// Time for agents to report after a takeover; they announce themselves each second.
const LISTEN_TIME: Duration = Duration::from_millis(1_200);

/// What a region's decisions are based on.
#[derive(Clone, Copy)]
pub(crate) struct RegionCx<'a> {
    /// Time of the step.
    pub now: Uptime,
    /// Wall-clock time since the Unix epoch, for records only.
    pub wall: Duration,
    /// Settings in force.
    pub settings: &'a SiteSettings,
    /// Agents as this entry sees them.
    pub views: &'a AgentViews,
    /// Heads as last read.
    pub heads: &'a Heads,
}

/// How far the holder of a duty has got.
enum Stage {
    /// The duty isn't held.
    Idle,
    /// The records are being read, and agents report.
    Loading {
        since: Uptime,
        rows: Option<Vec<StoredRow>>,
        is_reading: bool,
    },
    /// Jobs are placed.
    Active(Box<Active>),
}

/// One entry's part in the duty of a region.
pub(crate) struct RegionDuty {
    region: Region,
    duty: Duty,
    token_row: Option<(RowVersion, FencingToken)>,
    ring: Option<(RowVersion, RingRow)>,
    /// Whether a read of the ring has no outcome yet.
    is_reading_ring: bool,
    grants: LeaseGrants,
    stage: Stage,
}

impl RegionDuty {
    /// Makes the machine of an entry that waits `takeover_delay` longer than needed.
    pub fn new(region: Region, me: Holder, takeover_delay: Duration) -> Self {
        Self {
            region,
            duty: Duty::new(me, takeover_delay),
            token_row: None,
            ring: None,
            is_reading_ring: false,
            grants: LeaseGrants::new(FencingToken::default(), Uptime::ZERO),
            stage: Stage::Idle,
        }
    }

    /// Returns the duty lease.
    pub const fn duty(&self) -> &Duty {
        &self.duty
    }

    /// Returns the region's ring as last read.
    pub const fn ring(&self) -> Option<&(RowVersion, RingRow)> {
        self.ring.as_ref()
    }

    /// Returns the jobs if this entry holds the duty.
    pub fn active(&self) -> Option<&Active> {
        match &self.stage {
            Stage::Active(active) => Some(active),
            Stage::Idle | Stage::Loading { .. } => None,
        }
    }

    /// Takes in the heads.
    pub fn on_heads(&mut self, now: Uptime, rows: &[StoredRow], out: &mut Vec<RegionEffect>) {
        for row in rows {
            match (&row.key, &row.value) {
                (RowKey::Token(region), RowValue::Token(token)) if *region == self.region => {
                    self.see_token(row.version, *token);
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
        let duty = find_duty(&self.region, rows);
        let effects = self.duty.on_row(now, &duty);
        self.duty_effects(now, effects, out);
    }

    /// Grants the lease that the reply to an announcement carries, and takes the
    /// reported tasks in.
    pub fn on_announcement(
        &mut self,
        cx: RegionCx<'_>,
        announcement: &Announcement,
        out: &mut Vec<RegionEffect>,
    ) -> Option<AgentLease> {
        let mode = self.duty.grant_mode(cx.now);
        let req = LeaseRequest {
            agent: announcement.agent.clone(),
            incarnation: announcement.incarnation,
            newest_token: announcement.newest_token,
        };
        let lease = self.grants.on_request(cx.now, mode, &req);
        let (stage, grants) = (&mut self.stage, &self.grants);
        let is_ring_pending = match stage {
            Stage::Active(active) => {
                active.on_announcement(cx, &self.duty, self.token_row, grants, announcement, out);
                active.ring.is_pending
            }
            Stage::Idle | Stage::Loading { .. } => false,
        };
        let is_outage = matches!(mode, GrantMode::Outage { .. });
        lease.map(|lease| AgentLease {
            // A new home waits 8 s for claim leases under the old ring; while a
            // write of a new ring has no outcome, no longer one may be granted.
            covers_claims: !(is_outage && is_ring_pending),
            ..lease
        })
    }

    /// Does what is due.
    pub fn tick(&mut self, cx: RegionCx<'_>, out: &mut Vec<RegionEffect>) {
        let effects = self.duty.tick(cx.now);
        self.duty_effects(cx.now, effects, out);
        let token = self.duty.token().unwrap_or_default();
        if let Stage::Loading {
            since,
            rows,
            is_reading,
        } = &mut self.stage
        {
            let has_listened = cx.now.since(*since) >= LISTEN_TIME;
            match rows.take_if(|_| has_listened) {
                Some(rows) => {
                    let active = Active::take_over(cx, &self.region, token, rows, out);
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
        active.tick(cx, &self.duty, self.token_row, &self.grants, out);
        if !self.duty.may_act(cx.now) {
            return;
        }
        let Some((token_row, _)) = self.token_row else {
            return;
        };
        let (ring, grants) = (self.ring.as_ref(), &self.grants);
        if let Some([ring, head]) = active
            .ring
            .tick(cx.now, &self.region, cx.views, grants, ring)
        {
            let writes = vec![check_token(&self.region, token_row), ring, head];
            out.push(RegionEffect::Commit(RegionCommit::Ring, writes));
        }
    }

    /// Takes in the outcome of a commit.
    pub fn on_commit(
        &mut self,
        cx: RegionCx<'_>,
        commit: RegionCommit,
        outcome: WriteOutcome,
        out: &mut Vec<RegionEffect>,
    ) {
        match commit {
            RegionCommit::Duty(number, token) => {
                if let (WriteOutcome::Done(version), Some(token)) = (outcome, token) {
                    self.see_token(version, token);
                }
                let effects = self.duty.on_write(number, outcome);
                self.duty_effects(cx.now, effects, out);
            }
            RegionCommit::Ring => {
                if let Stage::Active(active) = &mut self.stage {
                    active.ring.is_pending = false;
                }
                out.push(RegionEffect::ReadHeads);
            }
            commit => {
                if let Stage::Active(active) = &mut self.stage {
                    active.on_commit(cx, &self.duty, self.token_row, commit, outcome, out);
                }
            }
        }
    }

    /// Takes in the rows of a read.
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
                self.see_ring(rows.unwrap_or_default(), out);
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
                active.on_read(cx, &self.duty, self.token_row, read, rows, out);
            }
            _ => {}
        }
    }

    /// Takes in the answer to an order.
    pub fn on_answer(
        &mut self,
        cx: RegionCx<'_>,
        tag: &OrderTag,
        answer: Option<TaskAnswer>,
        out: &mut Vec<RegionEffect>,
    ) {
        if let Stage::Active(active) = &mut self.stage {
            active.on_answer(cx, &self.duty, self.token_row, tag, answer, out);
        }
    }

    /// Handles an operator's call about the region's jobs.
    pub fn job_call(
        &mut self,
        cx: RegionCx<'_>,
        call: OperatorCall,
        req: JobCall,
        out: &mut Vec<RegionEffect>,
    ) {
        let Stage::Active(active) = &mut self.stage else {
            out.push(RegionEffect::Reply(call, submit::no_holder(&self.region)));
            return;
        };
        active.job_call(cx, &self.duty, self.token_row, call, req, out);
    }

    /// Notes that an incarnation of an agent is certainly gone.
    pub fn fence(
        &mut self,
        agent: cumindeck_types::AgentId,
        incarnation: cumindeck_types::Incarnation,
    ) {
        self.grants.fence(agent, incarnation);
    }

    /// Gives the duty up, so that another entry can take it over at once.
    pub fn release(&mut self, now: Uptime, out: &mut Vec<RegionEffect>) {
        let effects = self.duty.release(now, self.grants.longest());
        self.duty_effects(now, effects, out);
    }

    /// Tells whether this entry still has a part in the duty.
    pub fn is_held(&self) -> bool {
        self.duty.token().is_some()
    }

    fn duty_effects(&mut self, now: Uptime, effects: Vec<DutyEffect>, out: &mut Vec<RegionEffect>) {
        for effect in effects {
            match effect {
                DutyEffect::Read => out.push(RegionEffect::ReadHeads),
                DutyEffect::Write {
                    number,
                    expected,
                    row,
                } => {
                    let is_new = self.token_row.is_none_or(|(_, token)| token != row.token);
                    let token = is_new.then_some(row.token);
                    let writes = duty_writes(&self.region, expected, &row, token);
                    out.push(RegionEffect::Commit(
                        RegionCommit::Duty(number, token),
                        writes,
                    ));
                }
                DutyEffect::Acquired {
                    token,
                    former_expires,
                    is_continued,
                } => {
                    let region = self.region.clone();
                    out.push(RegionEffect::Notice(Notice::DutyAcquired { region, token }));
                    if is_continued {
                        self.grants.raise_token(token);
                        if let Stage::Active(active) = &mut self.stage {
                            active.stopped = StoppedTasks::new(now, token);
                        }
                        continue;
                    }
                    self.grants = LeaseGrants::new(token, former_expires);
                    self.stage = Stage::Loading {
                        since: now,
                        rows: None,
                        is_reading: false,
                    };
                }
                DutyEffect::Lost => {
                    let region = self.region.clone();
                    out.push(RegionEffect::Notice(Notice::DutyLost { region }));
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

    fn see_ring(&mut self, rows: Vec<StoredRow>, out: &mut Vec<RegionEffect>) {
        for row in rows {
            if let RowValue::Ring(ring) = row.value
                && self.is_new(ring.version)
            {
                self.ring = Some((row.version, ring.clone()));
                out.push(RegionEffect::Ring(ring));
            }
        }
    }

    fn see_token(&mut self, version: RowVersion, token: FencingToken) {
        if self.token_row.is_none_or(|(known, _)| known < version) {
            self.token_row = Some((version, token));
        }
    }
}
