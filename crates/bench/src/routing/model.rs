//! Entries and the admission control of agents in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_requests::{
    AdmissionConfig, AdmissionEffect, AdmissionEvent, AdmissionMachine, AgentView, DispatchOrder,
    EntryConfig, EntryEffect, EntryEvent, EntryMachine, PowerOfTwo, RandomChoice, RoundRobin,
    RoutingConfig, RoutingPolicy, Submission, TeamLimits,
};
use cumindeck_types::message::{Answer, DispatchReply};
use cumindeck_types::{Attempt, ByteSize, Incarnation, NotRunReason, RequestId, Uptime, Verdict};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::workload::{
    Arrival, CONNECTIONS, Case, ENTRIES, SERVERS, SLOTS, Site, TEAMS, arrivals, entry_region,
    server_region,
};

/// Time limit of each request.
pub(super) const TIMEOUT: Duration = Duration::from_secs(5);
/// Bandwidth of the link between regions in each direction, in bytes per second.
const LINK_RATE: f64 = 30_000_000.0 / 8.0;
/// Time after which a failing backend server refuses a connection.
const REFUSAL_TIME: Duration = Duration::from_micros(200);

/// Names of the policies; the default policy is the first.
pub(super) const POLICIES: [&str; 3] = ["power-of-two", "random", "round-robin"];

/// Outcome of a request after all retries.
#[derive(Debug, Clone, Copy)]
pub(super) struct Record {
    pub(super) team: usize,
    pub(super) is_small: bool,
    /// Latency as seen by the client; the time limit if there was no response.
    pub(super) latency: Duration,
    pub(super) is_answered: bool,
}

/// Records and counters of a run.
#[derive(Debug, Default)]
pub(super) struct RunResult {
    pub(super) records: Vec<Record>,
    pub(super) retries: u64,
    pub(super) link_bytes: u64,
    /// Maximum number of concurrent requests at one backend server.
    pub(super) max_running: u32,
}

enum ModelEvent {
    Arrive(usize),
    Entry(usize, EntryEvent),
    Agent(usize, usize, AdmissionEvent),
    Announce(usize),
}

struct Model<'a> {
    site: &'a Site,
    case: Case,
    arrivals: Vec<Arrival>,
    now: Uptime,
    seq: u64,
    events: BTreeMap<(Uptime, u64), ModelEvent>,
    entries: Vec<EntryMachine>,
    wakeups: [Option<Uptime>; ENTRIES],
    admissions: Vec<AdmissionMachine>,
    /// Time from which each direction of the link is free.
    link_free: [Uptime; 2],
    rng: ChaCha8Rng,
    result: RunResult,
}

/// Simulates a policy in a case.
pub(super) fn run(
    site: &Site,
    case: Case,
    policy: usize,
    length: Duration,
    seed: u64,
) -> RunResult {
    let entries = (0..ENTRIES).map(|entry| {
        let seed = seed * ENTRIES as u64 + entry as u64;
        EntryMachine::with_policy(config(entry), make_policy(policy, seed))
    });
    let admission = AdmissionMachine::new(AdmissionConfig {
        slots: SLOTS,
        connections: CONNECTIONS,
    });
    let mut model = Model {
        site,
        case,
        arrivals: arrivals(case, length, seed),
        now: Uptime::ZERO,
        seq: 0,
        events: BTreeMap::new(),
        entries: entries.collect(),
        wakeups: [None; ENTRIES],
        admissions: vec![admission; SERVERS],
        link_free: [Uptime::ZERO; 2],
        rng: ChaCha8Rng::seed_from_u64(seed),
        result: RunResult::default(),
    };
    for server in 0..SERVERS {
        model.schedule(Duration::ZERO, ModelEvent::Announce(server));
    }
    for index in 0..model.arrivals.len() {
        // Arrivals begin after one second, when all agents are known.
        let at = model.arrivals[index].at + Duration::from_secs(1);
        model.schedule(at, ModelEvent::Arrive(index));
    }
    let end = Uptime::ZERO.plus(length + TIMEOUT + Duration::from_secs(2));
    while let Some(((at, _), event)) = model.events.pop_first() {
        if at > end {
            break;
        }
        model.now = at;
        model.deliver(event);
    }
    let retries = model.entries.iter().map(|entry| entry.stats().retries);
    model.result.retries = retries.sum();
    model.result
}

fn make_policy(policy: usize, seed: u64) -> Box<dyn RoutingPolicy> {
    match policy {
        0 => Box::new(PowerOfTwo::new(RoutingConfig::default(), seed)),
        1 => Box::new(RandomChoice::new(seed)),
        _ => Box::new(RoundRobin::new()),
    }
}

fn id<T: std::str::FromStr>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|_| panic!("{text:?} is not a valid id"))
}

fn config(entry: usize) -> EntryConfig {
    let limits = TeamLimits {
        weight: 1,
        queue_limit: 200,
        rate: None,
        home_region: id("r0"),
    };
    EntryConfig {
        entry: id(&format!("e{entry}")),
        region: id(&format!("r{}", entry_region(entry))),
        teams: (0..TEAMS)
            .map(|team| (id(&format!("t{team}")), limits.clone()))
            .collect(),
        routing: RoutingConfig::default(),
        retry_percent: 10,
    }
}

/// Returns the index in the workload, which is part of the request id.
fn index(request: &RequestId) -> usize {
    id(&request.as_str()[1..])
}

fn server(agent: &cumindeck_types::AgentId) -> usize {
    id(&agent.as_str()[1..])
}

impl Model<'_> {
    fn schedule(&mut self, delay: Duration, event: ModelEvent) {
        self.seq += 1;
        self.events.insert((self.now.plus(delay), self.seq), event);
    }

    fn deliver(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrive(index) => {
                let arrival = self.arrivals[index];
                let submission = Submission {
                    request: id(&format!("q{index}")),
                    key: None,
                    team: id(&format!("t{}", arrival.team)),
                    is_idempotent: true,
                    deadline: self.now.plus(TIMEOUT),
                    body: ByteSize::new(arrival.bytes),
                };
                self.step(arrival.entry, EntryEvent::Submitted(submission));
            }
            ModelEvent::Entry(entry, event) => self.step(entry, event),
            ModelEvent::Agent(server, entry, event) => self.step_admission(server, entry, event),
            ModelEvent::Announce(server) => {
                self.announce(server);
                self.schedule(Duration::from_secs(1), ModelEvent::Announce(server));
            }
        }
    }

    fn step(&mut self, entry: usize, event: EntryEvent) {
        for effect in self.entries[entry].step(self.now, event) {
            match effect {
                EntryEffect::Dispatch(order) => self.dispatch(entry, &order),
                EntryEffect::Reply { request, verdict } => self.record(index(&request), &verdict),
                _ => {}
            }
        }
        let wake = self.entries[entry].next_wakeup();
        let Some(wake) =
            wake.filter(|at| self.wakeups[entry].is_none_or(|w| w <= self.now || *at < w))
        else {
            return;
        };
        self.wakeups[entry] = Some(wake);
        let wait = wake.since(self.now).max(Duration::from_micros(1));
        self.schedule(wait, ModelEvent::Entry(entry, EntryEvent::Wakeup));
    }

    fn record(&mut self, index: usize, verdict: &Verdict<Answer>) {
        let arrival = self.arrivals[index];
        let start = Uptime::ZERO.plus(arrival.at + Duration::from_secs(1));
        let is_answered = matches!(verdict, Verdict::Answered(_));
        let latency = self.now.since(start) + 2 * self.site.client;
        self.result.records.push(Record {
            team: arrival.team,
            is_small: arrival.is_small,
            latency: if is_answered { latency } else { TIMEOUT },
            is_answered,
        });
    }

    fn dispatch(&mut self, entry: usize, order: &DispatchOrder) {
        let server = server(&order.agent);
        let bytes = self.arrivals[index(&order.request)].bytes;
        let (from, to) = (entry_region(entry), server_region(server));
        let delay = self.network(from, to, bytes);
        let event = AdmissionEvent::DispatchReceived {
            request: order.request.clone(),
            attempt: order.attempt,
            remaining: order.remaining,
            received: self.now.plus(delay),
        };
        self.schedule(delay, ModelEvent::Agent(server, entry, event));
    }

    /// Returns the time that a message takes, including the queue of the link.
    fn network(&mut self, from: usize, to: usize, bytes: u64) -> Duration {
        if from == to {
            return self.site.zone;
        }
        self.result.link_bytes += bytes;
        let start = self.link_free[from].max(self.now);
        let free = start.plus(Duration::from_secs_f64(bytes as f64 / LINK_RATE));
        self.link_free[from] = free;
        free.since(self.now) + self.site.region
    }

    fn step_admission(&mut self, server: usize, entry: usize, event: AdmissionEvent) {
        let finished = match &event {
            AdmissionEvent::Finished { request, attempt } => Some((request.clone(), *attempt)),
            _ => None,
        };
        for effect in self.admissions[server].step(self.now, event) {
            match effect {
                AdmissionEffect::Admit { request, attempt } => {
                    let refusal_probability = self.case.refusal_probability(server);
                    if refusal_probability > 0.0 && self.rng.random_bool(refusal_probability) {
                        self.refuse_connection(server, entry, &request, attempt);
                    } else {
                        self.step_admission(
                            server,
                            entry,
                            AdmissionEvent::Connected { request, attempt },
                        );
                    }
                }
                AdmissionEffect::Forward {
                    request,
                    attempt,
                    remaining,
                } => {
                    let running = self.admissions[server].load().in_flight;
                    self.result.max_running = self.result.max_running.max(running);
                    let service = self.arrivals[index(&request)].service;
                    let limit = remaining.as_duration();
                    let time = if self.case.hangs(server) {
                        limit
                    } else {
                        service.min(limit)
                    };
                    let event = AdmissionEvent::Finished { request, attempt };
                    self.schedule(time, ModelEvent::Agent(server, entry, event));
                }
                AdmissionEffect::Refuse {
                    request,
                    attempt,
                    reason,
                } => {
                    self.reply(
                        server,
                        entry,
                        &request,
                        attempt,
                        Verdict::NotRun(reason),
                        Duration::ZERO,
                    );
                }
                AdmissionEffect::Drained => {}
            }
        }
        if let Some((request, attempt)) = finished
            && !self.case.hangs(server)
        {
            let answer = Answer {
                id: request.clone(),
                attempt,
                status: 200,
                content_type: String::new(),
                body: Vec::new(),
            };
            self.reply(
                server,
                entry,
                &request,
                attempt,
                Verdict::Answered(answer),
                Duration::ZERO,
            );
        }
    }

    /// Simulates a refused connection to the backend server: the request did not run.
    fn refuse_connection(
        &mut self,
        server: usize,
        entry: usize,
        request: &RequestId,
        attempt: Attempt,
    ) {
        let verdict = Verdict::NotRun(NotRunReason::Unreachable);
        let event = AdmissionEvent::Finished {
            request: request.clone(),
            attempt,
        };
        self.admissions[server].step(self.now, event);
        self.reply(server, entry, request, attempt, verdict, REFUSAL_TIME);
    }

    fn reply(
        &mut self,
        server: usize,
        entry: usize,
        request: &RequestId,
        attempt: Attempt,
        verdict: Verdict<Answer>,
        wait: Duration,
    ) {
        let bytes = match verdict {
            Verdict::Answered(_) => self.arrivals[index(request)].bytes,
            _ => 200,
        };
        let delay = wait + self.network(server_region(server), entry_region(entry), bytes);
        let reply = DispatchReply {
            load: self.admissions[server].load(),
            verdict,
        };
        let event = EntryEvent::Dispatched {
            request: request.clone(),
            attempt,
            agent: id(&format!("a{server}")),
            result: Ok(reply),
        };
        self.schedule(delay, ModelEvent::Entry(entry, event));
    }

    fn announce(&mut self, server: usize) {
        let load = self.admissions[server].load();
        for entry in 0..ENTRIES {
            let view = AgentView {
                agent: id(&format!("a{server}")),
                incarnation: Incarnation::new(1),
                zone: id("zone"),
                region: id(&format!("r{}", server_region(server))),
                is_zone_open: true,
                is_leaving: false,
                is_suspect: false,
                slots: load.slots,
                connections: CONNECTIONS,
                in_flight: load.in_flight,
            };
            let is_far = entry_region(entry) != server_region(server);
            let delay = if is_far {
                self.site.region
            } else {
                self.site.zone
            };
            self.schedule(delay, ModelEvent::Entry(entry, EntryEvent::AgentSeen(view)));
        }
    }
}
