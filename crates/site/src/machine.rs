//! The state machine of an entry's control decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cumindeck_api::{ErrorBody, ErrorReason, SiteStatus, StoreState};
use cumindeck_config::SiteName;
use cumindeck_control::membership::{AgentHealth, AgentViews, Heard};
use cumindeck_control::store::WriteOutcome;
use cumindeck_types::message::{AnnounceReply, Announcement};
use cumindeck_types::{AvailabilityZone, EntryId, Incarnation, Region, RingVersion, Uptime};

use crate::config::ConfigState;
use crate::event::{
    AnnounceCall, CommitId, OperatorCall, OperatorReply, OperatorRequest, ReadId, RowAction,
    RowCondition, RowWrite, SiteEffect, SiteEvent,
};
use crate::heads::Heads;
use crate::rows::{EntryRow, RowKey, RowRange, RowValue, StoredRow};

/// Time between two reads of the heads.
const HEADS_PERIOD: Duration = Duration::from_millis(500);
/// Time between two writes of the entry's own row.
const ENTRY_PERIOD: Duration = Duration::from_secs(5);
/// Time between two looks at the health of the agents.
const HEALTH_PERIOD: Duration = Duration::from_millis(500);

/// What an entry is and where it stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// The entry.
    pub entry: EntryId,
    /// Life of the entry's process.
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
enum ReadPurpose {
    Heads,
    Config,
    ConfigReadBack,
    ZoneReadBack(AvailabilityZone),
}

/// Why a commit was sent.
#[derive(Debug, Clone, PartialEq)]
enum CommitPurpose {
    Entry,
    Config,
    Zone(AvailabilityZone),
}

/// The state machine of an entry's control decisions.
pub struct SiteMachine {
    cfg: SiteConfig,
    views: AgentViews,
    heads: Heads,
    config: ConfigState,
    reads: BTreeMap<ReadId, ReadPurpose>,
    commits: BTreeMap<CommitId, CommitPurpose>,
    next_id: u64,
    heads_at: Uptime,
    entry_at: Uptime,
    health_at: Uptime,
    entry_writes: u64,
    is_draining: bool,
}

impl SiteMachine {
    /// Makes the machine of an entry that starts at `now`.
    #[must_use]
    pub fn new(cfg: SiteConfig, now: Uptime) -> Self {
        Self {
            views: AgentViews::new(now),
            heads: Heads::default(),
            config: ConfigState::new(cfg.site.clone()),
            reads: BTreeMap::new(),
            commits: BTreeMap::new(),
            next_id: 0,
            heads_at: now,
            entry_at: now,
            health_at: now,
            entry_writes: 0,
            is_draining: false,
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
        self.heads_at.min(self.entry_at).min(self.health_at)
    }

    /// Applies an event and returns what to do.
    pub fn step(&mut self, now: Uptime, event: SiteEvent) -> Vec<SiteEffect> {
        let mut out = Vec::new();
        match event {
            SiteEvent::Announced(call, announcement) => {
                self.announced(now, call, announcement, &mut out);
            }
            SiteEvent::Read { id, asked, rows } => self.read_ended(now, id, asked, rows, &mut out),
            SiteEvent::Committed(id, outcome) => self.commit_ended(id, outcome, &mut out),
            SiteEvent::OrderAnswered(..) | SiteEvent::Wakeup => {}
            SiteEvent::Operator(call, req) => self.operator(now, call, req, &mut out),
            SiteEvent::Drain => {
                self.is_draining = true;
                let key = RowKey::Entry(self.cfg.entry.clone());
                let write = RowWrite {
                    key,
                    condition: RowCondition::Any,
                    action: RowAction::Delete,
                };
                self.commit(CommitPurpose::Entry, vec![write], &mut out);
                out.push(SiteEffect::Drained);
            }
        }
        self.tick(now, &mut out);
        out
    }

    fn tick(&mut self, now: Uptime, out: &mut Vec<SiteEffect>) {
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
        if now >= self.health_at {
            self.health_at = now.plus(HEALTH_PERIOD);
            for (agent, incarnation, health) in self.views.changes(now) {
                if health == AgentHealth::Gone {
                    out.push(SiteEffect::AgentGone(agent, incarnation));
                } else if let Some(announcement) = self.views.announcement(&agent).cloned() {
                    out.push(self.agent_effect(announcement, health));
                }
            }
        }
    }

    fn announced(
        &mut self,
        now: Uptime,
        call: AnnounceCall,
        announcement: Announcement,
        out: &mut Vec<SiteEffect>,
    ) {
        let reply = AnnounceReply {
            entry: self.cfg.entry.clone(),
            config_version: self.config.version(),
            is_config_confirmed: self.config.is_confirmed(now),
            zone_rights: self
                .heads
                .rights
                .right(now, &announcement.zone)
                .into_iter()
                .collect(),
            lease: None,
            holder: None,
            entries: self.heads.entries_of(now, &announcement.region),
            ring_version: RingVersion::default(),
            gangs: Vec::new(),
            ring: None,
        };
        let agent = announcement.agent.clone();
        if self.views.on_announce(now, announcement) != Heard::StaleIncarnation
            && let Some(announcement) = self.views.announcement(&agent).cloned()
            && let Some(health) = self.views.health(now, &agent)
        {
            out.push(self.agent_effect(announcement, health));
        }
        out.push(SiteEffect::ReplyAnnounce(call, Box::new(reply)));
    }

    fn agent_effect(&self, announcement: Announcement, health: AgentHealth) -> SiteEffect {
        let is_zone_open = self.heads.is_zone_open(&announcement.zone);
        SiteEffect::Agent {
            announcement: Box::new(announcement),
            health,
            is_zone_open,
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

    fn read_ended(
        &mut self,
        now: Uptime,
        id: ReadId,
        asked: Uptime,
        rows: Option<Vec<StoredRow>>,
        out: &mut Vec<SiteEffect>,
    ) {
        let Some(purpose) = self.reads.remove(&id) else {
            return;
        };
        match purpose {
            ReadPurpose::Heads => {
                self.heads.is_store_up = rows.is_some();
                let Some(rows) = rows else { return };
                self.heads
                    .on_read(now, asked, &rows, self.config.settings());
                let wanted = self.config.on_head(asked, self.heads.config);
                if let Some(version) = wanted {
                    let range = RowRange::Row(RowKey::Bundle(version));
                    self.read(ReadPurpose::Config, vec![range], out);
                }
            }
            ReadPurpose::Config => {
                if let Some((version, settings)) = self.config.on_bundle(rows) {
                    out.push(SiteEffect::Configured(version, Box::new(settings)));
                    // The zones of the new version get their rights at once.
                    self.heads_at = now;
                }
            }
            ReadPurpose::ConfigReadBack => {
                let effects = self.config.on_read_back(rows);
                self.config_effects(effects, out);
            }
            ReadPurpose::ZoneReadBack(zone) => {
                if let Some((call, reply)) = self.heads.on_zone_read_back(&zone, rows) {
                    out.push(SiteEffect::ReplyOperator(call, reply));
                }
            }
        }
    }

    fn commit_ended(&mut self, id: CommitId, outcome: WriteOutcome, out: &mut Vec<SiteEffect>) {
        let Some(purpose) = self.commits.remove(&id) else {
            return;
        };
        match purpose {
            CommitPurpose::Entry => {}
            CommitPurpose::Config => {
                let effects = self.config.on_write(outcome);
                self.config_effects(effects, out);
            }
            CommitPurpose::Zone(zone) => {
                let range = RowRange::Row(RowKey::Zone(zone.clone()));
                self.read(ReadPurpose::ZoneReadBack(zone), vec![range], out);
            }
        }
    }

    fn operator(
        &mut self,
        now: Uptime,
        call: OperatorCall,
        req: OperatorRequest,
        out: &mut Vec<SiteEffect>,
    ) {
        let reply = match req {
            OperatorRequest::GetConfig => self.config.bundle(),
            OperatorRequest::PutConfig(change) => {
                let effects = self.config.put(call, change, self.heads.config);
                self.config_effects(effects, out);
                return;
            }
            OperatorRequest::Zones => match self.config.settings() {
                Some(settings) => {
                    OperatorReply::Zones(self.heads.zones(now, settings, &self.views))
                }
                None => not_ready(),
            },
            OperatorRequest::Zone(zone) => self.zone(now, &zone),
            OperatorRequest::PutZone(zone, change) => {
                let known = self.zone(now, &zone);
                match known {
                    OperatorReply::Zone(status) => {
                        let origin = format!("{}:{}", self.cfg.entry, self.cfg.incarnation);
                        match self.heads.put_zone(call, &origin, status, change) {
                            Ok(write) => {
                                self.commit(CommitPurpose::Zone(zone), vec![write], out);
                                return;
                            }
                            Err(reply) => reply,
                        }
                    }
                    reply => reply,
                }
            }
            OperatorRequest::Status => OperatorReply::Status(Box::new(self.status(now))),
        };
        out.push(SiteEffect::ReplyOperator(call, reply));
    }

    fn zone(&self, now: Uptime, zone: &AvailabilityZone) -> OperatorReply {
        let Some(settings) = self.config.settings() else {
            return not_ready();
        };
        let list = self.heads.zones(now, settings, &self.views);
        match list.zones.into_iter().find(|status| status.id == *zone) {
            Some(status) => OperatorReply::Zone(status),
            None => error(
                ErrorReason::NotFound,
                format!("availability zone {zone} is not in the configuration"),
                "list the zones with `cumindeck zone list`",
            ),
        }
    }

    fn status(&self, now: Uptime) -> SiteStatus {
        let present = self.views.present(now).collect::<Vec<_>>();
        let unhealthy = |health: &AgentHealth| *health == AgentHealth::Suspect;
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        SiteStatus {
            site: self.cfg.site.to_string(),
            entry: self.cfg.entry.clone(),
            config_version: self.config.version(),
            store: if self.heads.is_store_up {
                StoreState::Up
            } else {
                StoreState::Down
            },
            entries: self.heads.entry_list(now),
            duties: Vec::new(),
            zones_out: self.heads.zones_out(),
            workers: count(present.len()),
            workers_unhealthy: count(present.iter().filter(|(_, h)| unhealthy(h)).count()),
            jobs_queued: 0,
            jobs_running: 0,
            requests_in_flight: 0,
        }
    }

    fn config_effects(
        &mut self,
        effects: Vec<crate::config::ConfigEffect>,
        out: &mut Vec<SiteEffect>,
    ) {
        use crate::config::ConfigEffect;
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

    fn read(&mut self, purpose: ReadPurpose, ranges: Vec<RowRange>, out: &mut Vec<SiteEffect>) {
        self.next_id += 1;
        let id = ReadId(self.next_id);
        self.reads.insert(id, purpose);
        out.push(SiteEffect::Read(id, ranges));
    }

    fn commit(&mut self, purpose: CommitPurpose, writes: Vec<RowWrite>, out: &mut Vec<SiteEffect>) {
        self.next_id += 1;
        let id = CommitId(self.next_id);
        self.commits.insert(id, purpose);
        out.push(SiteEffect::Commit(id, writes));
    }
}

/// Makes the reply of an entry without a configuration.
pub(crate) fn not_ready() -> OperatorReply {
    error(
        ErrorReason::NotReady,
        "the entry has no confirmed configuration in force".to_owned(),
        "apply a configuration with `cumindeck config apply`, or wait for the table service",
    )
}

/// Makes an error reply.
pub(crate) fn error(reason: ErrorReason, message: String, hint: &str) -> OperatorReply {
    OperatorReply::Error(Box::new(ErrorBody::new(reason, message, hint.to_owned())))
}
