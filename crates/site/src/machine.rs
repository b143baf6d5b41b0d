//! State machine of an entry's control decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_api::JobFilter;
use cumindeck_config::SiteName;
use cumindeck_control::leader::Leader;
use cumindeck_control::membership::{AgentDirectory, AgentHealth};
use cumindeck_types::{AvailabilityZone, EntryId, Incarnation, JobId, Region, Uptime, WorkerId};

use crate::alerts::{AlertsCommit, AlertsLeadership, AlertsRead, RuleFileChanges};
use crate::announce::ring_view;
use crate::config::{ConfigEffect, ConfigState};
use crate::event::{
    CommitId, OperatorCallId, OrderId, ReadId, RowAction, RowCondition, RowWrite, SiteEffect,
    SiteEvent,
};
use crate::polled::PolledRows;
use crate::region::{
    JobCall, OrderTag, RegionCommit, RegionCx, RegionEffect, RegionLeadership, RegionRead,
};
use crate::rows::{EntryRow, RowKey, RowRange, RowValue};

/// Time between two reads of the polled rows.
const POLL_PERIOD: Duration = Duration::from_millis(500);
/// Time between two writes of the entry's own row.
const ENTRY_WRITE_PERIOD: Duration = Duration::from_secs(5);
/// Time between two checks of the agents and the regions.
const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Additional wait of an entry in another region before it takes over leadership.
const REMOTE_TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Identity, location and addresses of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryIdentity {
    /// Id of the entry, the same for all incarnations of its process.
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

/// Purpose of a read, which selects the handler of its rows.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ReadPurpose {
    PolledRows,
    /// The texts of a configuration version.
    Config,
    /// The outcome of a configuration change.
    ConfigReadBack,
    /// The outcome of a zone change.
    ZoneReadBack(AvailabilityZone),
    /// The outcome of a change of a worker's settings.
    WorkerReadBack(OperatorCallId, WorkerId),
    /// The region of a job that an operator reads, or the job if it has ended.
    JobRegion(OperatorCallId, JobId),
    /// A job that an operator reads.
    Job(OperatorCallId, JobId),
    /// The region of a job that a call is about.
    FindJob(OperatorCallId, JobCall),
    /// All jobs, for an operator's list.
    JobList(OperatorCallId, JobFilter),
    /// A read for the leadership of a region.
    Region(Region, RegionRead),
    /// A read about alert rules.
    Alerts(AlertsRead),
}

/// Purpose of a commit, which selects the handler of its outcome.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CommitPurpose {
    /// The entry's own row.
    Entry,
    Config,
    Zone(AvailabilityZone),
    /// A change of a worker's settings.
    Worker(OperatorCallId, WorkerId),
    /// A commit for the leadership of a region.
    Region(Region, RegionCommit),
    /// A commit about alert rules.
    Alerts(AlertsCommit),
}

/// State machine of an entry's control decisions.
pub struct SiteMachine {
    pub(crate) cfg: EntryIdentity,
    pub(crate) views: AgentDirectory,
    pub(crate) polled: PolledRows,
    pub(crate) config: ConfigState,
    pub(crate) regions: BTreeMap<Region, RegionLeadership>,
    pub(crate) alerts: AlertsLeadership,
    pub(crate) rule_changes: RuleFileChanges,
    reads: BTreeMap<ReadId, ReadPurpose>,
    commits: BTreeMap<CommitId, CommitPurpose>,
    orders: BTreeMap<OrderId, (Region, OrderTag)>,
    next_id: u64,
    pub(crate) next_poll: Uptime,
    next_entry_write: Uptime,
    next_tick: Uptime,
    entry_writes: u64,
    is_draining: bool,
    is_drained: bool,
}

impl SiteMachine {
    /// Creates the state machine of an entry that starts at `now`.
    #[must_use]
    pub fn new(cfg: EntryIdentity, now: Uptime) -> Self {
        let this_process = Leader {
            entry: cfg.entry.clone(),
            incarnation: cfg.incarnation,
        };
        Self {
            alerts: AlertsLeadership::new(this_process),
            rule_changes: RuleFileChanges::default(),
            views: AgentDirectory::new(now),
            polled: PolledRows::default(),
            config: ConfigState::new(cfg.site.clone()),
            regions: BTreeMap::new(),
            reads: BTreeMap::new(),
            commits: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_id: 0,
            next_poll: now,
            next_entry_write: now,
            next_tick: now,
            entry_writes: 0,
            is_draining: false,
            is_drained: false,
            cfg,
        }
    }

    /// Returns whether a configuration is in force and the entry is not draining.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.config.settings().is_some() && !self.is_draining
    }

    /// Returns the time at which [`SiteEvent::Wakeup`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Uptime {
        // A backlog of the alert rules is processed right after the pending events.
        if self.alerts.is_behind() {
            return Uptime::ZERO;
        }
        self.next_poll
            .min(self.next_entry_write)
            .min(self.next_tick)
    }

    /// Handles an event; `wall` is the wall-clock time since the Unix epoch.
    pub fn step(&mut self, now: Uptime, wall: Duration, event: SiteEvent) -> Vec<SiteEffect> {
        let mut out = Vec::new();
        match event {
            SiteEvent::Announced(call, announcement) => {
                self.on_announcement(now, wall, call, announcement, &mut out);
            }
            SiteEvent::Read { id, sent_at, rows } => {
                if let Some(purpose) = self.reads.remove(&id) {
                    self.on_read(now, wall, purpose, sent_at, rows, &mut out);
                }
            }
            SiteEvent::Committed(id, outcome) => {
                if let Some(purpose) = self.commits.remove(&id) {
                    self.on_commit(now, wall, purpose, outcome, &mut out);
                }
            }
            SiteEvent::OrderAnswered(id, reply) => {
                if let Some((region, tag)) = self.orders.remove(&id) {
                    self.with_region(now, wall, &region, &mut out, |leadership, cx, out| {
                        leadership.on_order_reply(cx, &tag, reply, out);
                    });
                }
            }
            SiteEvent::Usage { generation, report } => {
                self.alerts_usage(now, wall, generation, report, &mut out);
            }
            SiteEvent::Wakeup => {}
            SiteEvent::Operator(call, req) => self.on_operator_call(now, wall, call, req, &mut out),
            SiteEvent::Drain => self.drain(now, &mut out),
        }
        self.tick(now, wall, &mut out);
        out
    }

    fn tick(&mut self, now: Uptime, wall: Duration, out: &mut Vec<SiteEffect>) {
        if now >= self.next_poll {
            self.next_poll = now.plus(POLL_PERIOD);
            let is_pending = self
                .reads
                .values()
                .any(|purpose| *purpose == ReadPurpose::PolledRows);
            if !is_pending {
                self.read(ReadPurpose::PolledRows, vec![RowRange::Polled], out);
            }
        }
        if now >= self.next_entry_write && !self.is_draining {
            self.next_entry_write = now.plus(ENTRY_WRITE_PERIOD);
            self.write_entry(out);
        }
        if now >= self.next_tick || self.alerts.is_behind() {
            self.alerts_tick(now, wall, out);
        }
        if now < self.next_tick {
            return;
        }
        self.next_tick = now.plus(TICK_PERIOD);
        for (agent, incarnation, health) in self.views.changes(now) {
            if health == AgentHealth::Gone {
                out.push(SiteEffect::AgentGone(agent, incarnation));
            } else if let Some(announcement) = self.views.announcement(&agent).cloned() {
                out.push(self.agent_effect(announcement, health));
            }
        }
        let regions: Vec<_> = self.regions.keys().cloned().collect();
        for region in regions {
            self.with_region(now, wall, &region, out, RegionLeadership::tick);
        }
        let is_held = self.alerts.is_held() || self.regions.values().any(RegionLeadership::is_held);
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
        for (region, leadership) in &mut self.regions {
            let mut of_region = Vec::new();
            leadership.release(now, &mut of_region);
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

    /// Adds the leadership of regions that are new in the configuration.
    pub(crate) fn add_regions(&mut self, regions: &[Region]) {
        for region in regions {
            let is_local = *region == self.cfg.region;
            let delay = if is_local {
                Duration::ZERO
            } else {
                REMOTE_TAKEOVER_DELAY
            };
            let this_process = Leader {
                entry: self.cfg.entry.clone(),
                incarnation: self.cfg.incarnation,
            };
            let leadership = || RegionLeadership::new(region.clone(), this_process, delay);
            self.regions
                .entry(region.clone())
                .or_insert_with(leadership);
        }
    }

    /// Runs one step of a region's leadership; does nothing without a configuration.
    pub(crate) fn with_region(
        &mut self,
        now: Uptime,
        wall: Duration,
        region: &Region,
        out: &mut Vec<SiteEffect>,
        step: impl FnOnce(&mut RegionLeadership, RegionCx<'_>, &mut Vec<RegionEffect>),
    ) {
        let Some(settings) = self.config.settings() else {
            return;
        };
        let Some(leadership) = self.regions.get_mut(region) else {
            return;
        };
        let cx = RegionCx {
            now,
            wall,
            settings,
            views: &self.views,
            polled: &self.polled,
        };
        let mut effects = Vec::new();
        step(leadership, cx, &mut effects);
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
                RegionEffect::Poll => self.next_poll = now,
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

    /// Schedules a read of the polled rows in the current step.
    pub(crate) const fn poll_now(&mut self, now: Uptime) {
        self.next_poll = now;
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
