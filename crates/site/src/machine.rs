//! The state machine of an entry's control decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_api::JobFilter;
use cumindeck_config::SiteName;
use cumindeck_control::duty::Holder;
use cumindeck_control::membership::{AgentHealth, AgentViews};
use cumindeck_types::{AvailabilityZone, EntryId, Incarnation, JobId, Region, Uptime, WorkerId};

use crate::alerts::{Acceptance, AlertsCommit, AlertsDuty, AlertsRead};
use crate::announce::ring_view;
use crate::config::{ConfigEffect, ConfigState};
use crate::event::{
    CommitId, OperatorCall, OrderId, ReadId, RowAction, RowCondition, RowWrite, SiteEffect,
    SiteEvent,
};
use crate::heads::Heads;
use crate::region::{
    JobCall, OrderTag, RegionCommit, RegionCx, RegionDuty, RegionEffect, RegionRead,
};
use crate::rows::{EntryRow, RowKey, RowRange, RowValue};

/// Time between two reads of the heads.
const HEADS_PERIOD: Duration = Duration::from_millis(500);
/// Time between two writes of the entry's own row.
const ENTRY_PERIOD: Duration = Duration::from_secs(5);
/// Time between two looks at the agents and the regions.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// How much longer an entry of another region waits before it takes a duty over.
const REMOTE_TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// What an entry is and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// The entry.
    pub entry: EntryId,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// The site, which selects the overlay.
    pub site: SiteName,
    /// The entry's availability zone.
    pub zone: AvailabilityZone,
    /// The entry's region.
    pub region: Region,
    /// Address of the listener for agents.
    pub agents: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
}

/// Why a read was sent.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ReadPurpose {
    /// The heads, which are read periodically.
    Heads,
    /// The texts of a configuration version.
    Config,
    /// The outcome of a change of the configuration.
    ConfigReadBack,
    /// The outcome of a change of a zone.
    ZoneReadBack(AvailabilityZone),
    /// The outcome of a change of a worker's row.
    WorkerReadBack(OperatorCall, WorkerId),
    /// The region of a job that an operator asks for, and the job if it ended.
    JobRegion(OperatorCall, JobId),
    /// A job that an operator asks for.
    Job(OperatorCall, JobId),
    /// The region of a job that a call is about.
    FindJob(OperatorCall, JobCall),
    /// A region's jobs for an operator's list.
    JobList(OperatorCall, JobFilter),
    /// A read of a region's duty.
    Region(Region, RegionRead),
    /// A read about alert rules.
    Alerts(AlertsRead),
}

/// Why a commit was sent.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CommitPurpose {
    /// The entry's own row.
    Entry,
    /// A change of the configuration.
    Config,
    /// A change of a zone.
    Zone(AvailabilityZone),
    /// A change of a worker's row.
    Worker(OperatorCall, WorkerId),
    /// A commit of a region's duty.
    Region(Region, RegionCommit),
    /// A commit about alert rules.
    Alerts(AlertsCommit),
}

/// The state machine of an entry's control decisions.
pub struct SiteMachine {
    pub(crate) cfg: SiteConfig,
    pub(crate) views: AgentViews,
    pub(crate) heads: Heads,
    pub(crate) config: ConfigState,
    pub(crate) regions: BTreeMap<Region, RegionDuty>,
    pub(crate) alerts: AlertsDuty,
    pub(crate) rule_changes: Acceptance,
    reads: BTreeMap<ReadId, ReadPurpose>,
    commits: BTreeMap<CommitId, CommitPurpose>,
    orders: BTreeMap<OrderId, (Region, OrderTag)>,
    next_id: u64,
    pub(crate) heads_at: Uptime,
    entry_at: Uptime,
    tick_at: Uptime,
    entry_writes: u64,
    is_draining: bool,
    is_drained: bool,
}

impl SiteMachine {
    /// Makes the machine of an entry that starts at `now`.
    #[must_use]
    pub fn new(cfg: SiteConfig, now: Uptime) -> Self {
        let me = Holder {
            entry: cfg.entry.clone(),
            incarnation: cfg.incarnation,
        };
        Self {
            alerts: AlertsDuty::new(me),
            rule_changes: Acceptance::default(),
            views: AgentViews::new(now),
            heads: Heads::default(),
            config: ConfigState::new(cfg.site.clone()),
            regions: BTreeMap::new(),
            reads: BTreeMap::new(),
            commits: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_id: 0,
            heads_at: now,
            entry_at: now,
            tick_at: now,
            entry_writes: 0,
            is_draining: false,
            is_drained: false,
            cfg,
        }
    }

    /// Tells whether the entry has a confirmed configuration in force.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.config.settings().is_some() && !self.is_draining
    }

    /// Returns when [`SiteEvent::Wakeup`] has something to do.
    #[must_use]
    pub fn next_wakeup(&self) -> Uptime {
        // Rules that are behind get the next step after events that wait.
        if self.alerts.is_behind() {
            return Uptime::ZERO;
        }
        self.heads_at.min(self.entry_at).min(self.tick_at)
    }

    /// Applies an event and returns what to do; `wall` is for records only.
    pub fn step(&mut self, now: Uptime, wall: Duration, event: SiteEvent) -> Vec<SiteEffect> {
        let mut out = Vec::new();
        match event {
            SiteEvent::Announced(call, announcement) => {
                self.announced(now, wall, call, announcement, &mut out);
            }
            SiteEvent::Read { id, asked, rows } => {
                if let Some(purpose) = self.reads.remove(&id) {
                    self.read_ended(now, wall, purpose, asked, rows, &mut out);
                }
            }
            SiteEvent::Committed(id, outcome) => {
                if let Some(purpose) = self.commits.remove(&id) {
                    self.commit_ended(now, wall, purpose, outcome, &mut out);
                }
            }
            SiteEvent::OrderAnswered(id, answer) => {
                if let Some((region, tag)) = self.orders.remove(&id) {
                    self.with_region(now, wall, &region, &mut out, |duty, cx, out| {
                        duty.on_answer(cx, &tag, answer, out);
                    });
                }
            }
            SiteEvent::Usage { generation, report } => {
                self.alerts_usage(now, wall, generation, report, &mut out);
            }
            SiteEvent::Wakeup => {}
            SiteEvent::Operator(call, req) => self.operator(now, wall, call, req, &mut out),
            SiteEvent::Drain => self.drain(now, &mut out),
        }
        self.tick(now, wall, &mut out);
        out
    }

    fn tick(&mut self, now: Uptime, wall: Duration, out: &mut Vec<SiteEffect>) {
        if now >= self.heads_at {
            self.heads_at = now.plus(HEADS_PERIOD);
            let is_open = self
                .reads
                .values()
                .any(|purpose| *purpose == ReadPurpose::Heads);
            if !is_open {
                self.read(ReadPurpose::Heads, vec![RowRange::Heads], out);
            }
        }
        if now >= self.entry_at && !self.is_draining {
            self.entry_at = now.plus(ENTRY_PERIOD);
            self.write_entry(out);
        }
        if now >= self.tick_at || self.alerts.is_behind() {
            self.alerts_tick(now, wall, out);
        }
        if now < self.tick_at {
            return;
        }
        self.tick_at = now.plus(TICK_PERIOD);
        for (agent, incarnation, health) in self.views.changes(now) {
            if health == AgentHealth::Gone {
                out.push(SiteEffect::AgentGone(agent, incarnation));
            } else if let Some(announcement) = self.views.announcement(&agent).cloned() {
                out.push(self.agent_effect(announcement, health));
            }
        }
        let regions: Vec<_> = self.regions.keys().cloned().collect();
        for region in regions {
            self.with_region(now, wall, &region, out, RegionDuty::tick);
        }
        let is_held = self.alerts.is_held() || self.regions.values().any(RegionDuty::is_held);
        if self.is_draining && !self.is_drained && !is_held {
            self.is_drained = true;
            out.push(SiteEffect::Drained);
        }
    }

    fn drain(&mut self, now: Uptime, out: &mut Vec<SiteEffect>) {
        self.is_draining = true;
        let key = RowKey::Entry(self.cfg.entry.clone());
        let write = RowWrite {
            key,
            condition: RowCondition::Any,
            action: RowAction::Delete,
        };
        self.commit(CommitPurpose::Entry, vec![write], out);
        self.alerts_release(now, out);
        let mut effects = Vec::new();
        for (region, duty) in &mut self.regions {
            let mut of_region = Vec::new();
            duty.release(now, &mut of_region);
            effects.push((region.clone(), of_region));
        }
        for (region, of_region) in effects {
            self.region_effects(now, &region, of_region, out);
        }
    }

    fn write_entry(&mut self, out: &mut Vec<SiteEffect>) {
        self.entry_writes += 1;
        let row = EntryRow {
            incarnation: self.cfg.incarnation,
            zone: self.cfg.zone.clone(),
            region: self.cfg.region.clone(),
            agents: self.cfg.agents,
            operators: self.cfg.operators,
            config_version: self.config.version(),
            writes: self.entry_writes,
        };
        let write = RowWrite {
            key: RowKey::Entry(self.cfg.entry.clone()),
            condition: RowCondition::Any,
            action: RowAction::Put(RowValue::Entry(row)),
        };
        self.commit(CommitPurpose::Entry, vec![write], out);
    }

    /// Takes part in the duties of all regions of the configuration.
    pub(crate) fn follow_regions(&mut self, regions: &[Region]) {
        for region in regions {
            let is_local = *region == self.cfg.region;
            let delay = if is_local {
                Duration::ZERO
            } else {
                REMOTE_TAKEOVER_DELAY
            };
            let me = Holder {
                entry: self.cfg.entry.clone(),
                incarnation: self.cfg.incarnation,
            };
            let duty = || RegionDuty::new(region.clone(), me, delay);
            self.regions.entry(region.clone()).or_insert_with(duty);
        }
    }

    /// Runs one step of a region's duty; without settings there is none.
    pub(crate) fn with_region(
        &mut self,
        now: Uptime,
        wall: Duration,
        region: &Region,
        out: &mut Vec<SiteEffect>,
        step: impl FnOnce(&mut RegionDuty, RegionCx<'_>, &mut Vec<RegionEffect>),
    ) {
        let Some(settings) = self.config.settings() else {
            return;
        };
        let Some(duty) = self.regions.get_mut(region) else {
            return;
        };
        let cx = RegionCx {
            now,
            wall,
            settings,
            views: &self.views,
            heads: &self.heads,
        };
        let mut effects = Vec::new();
        step(duty, cx, &mut effects);
        self.region_effects(now, region, effects, out);
    }

    pub(crate) fn region_effects(
        &mut self,
        now: Uptime,
        region: &Region,
        effects: Vec<RegionEffect>,
        out: &mut Vec<SiteEffect>,
    ) {
        for effect in effects {
            match effect {
                RegionEffect::ReadHeads => self.heads_at = now,
                RegionEffect::Read(read, ranges) => {
                    self.read(ReadPurpose::Region(region.clone(), read), ranges, out);
                }
                RegionEffect::Commit(commit, writes) => {
                    self.commit(CommitPurpose::Region(region.clone(), commit), writes, out);
                }
                RegionEffect::Order(tag, agent, order) => {
                    self.next_id += 1;
                    let id = OrderId(self.next_id);
                    self.orders.insert(id, (region.clone(), tag));
                    out.push(SiteEffect::Order(id, agent, order));
                }
                RegionEffect::Reply(call, reply) => {
                    out.push(SiteEffect::ReplyOperator(call, reply));
                }
                RegionEffect::Ring(ring) => {
                    out.push(SiteEffect::Ring(ring_view(region, &ring)));
                }
                RegionEffect::Notice(notice) => out.push(SiteEffect::Notice(notice)),
            }
        }
    }

    pub(crate) fn config_effects(&mut self, effects: Vec<ConfigEffect>, out: &mut Vec<SiteEffect>) {
        for effect in effects {
            match effect {
                ConfigEffect::Commit(writes) => self.commit(CommitPurpose::Config, writes, out),
                ConfigEffect::ReadBack(ranges) => {
                    self.read(ReadPurpose::ConfigReadBack, ranges, out);
                }
                ConfigEffect::Reply(call, reply) => {
                    out.push(SiteEffect::ReplyOperator(call, *reply));
                }
            }
        }
    }

    /// Reads the heads as soon as possible.
    pub(crate) const fn read_heads_at(&mut self, now: Uptime) {
        self.heads_at = now;
    }

    pub(crate) fn read(
        &mut self,
        purpose: ReadPurpose,
        ranges: Vec<RowRange>,
        out: &mut Vec<SiteEffect>,
    ) {
        self.next_id += 1;
        let id = ReadId(self.next_id);
        self.reads.insert(id, purpose);
        out.push(SiteEffect::Read(id, ranges));
    }

    pub(crate) fn commit(
        &mut self,
        purpose: CommitPurpose,
        writes: Vec<RowWrite>,
        out: &mut Vec<SiteEffect>,
    ) {
        self.next_id += 1;
        let id = CommitId(self.next_id);
        self.commits.insert(id, purpose);
        out.push(SiteEffect::Commit(id, writes));
    }
}
