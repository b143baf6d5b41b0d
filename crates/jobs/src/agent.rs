//! Core of the agent that runs the tasks of jobs on one worker: leases, starts, stops
//! and ends of runs.

mod call;
mod claims;
mod ends;
mod fence;
mod late_starts;
mod lease;
mod orders;
mod probe;
mod runs;
mod settled;

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::{AgentId, FencingToken, Incarnation, RunNumber, Uptime, WorkerId};

use crate::exchange::{
    AgentReport, EndListing, EndReport, ExchangeReply, LearnedSpeed, Order, WorkerIncarnation,
};
use crate::{TaskId, TimeLimits, WithheldState};

pub use call::{
    AckOutcome, Acknowledgement, AgentEffect, RenewCall, RenewFailure, RenewReply, StartCall,
    StartOutcome,
};
use claims::Claims;
use ends::EndWatch;
use fence::Fence;
use late_starts::LateStarts;
use lease::LeaseWatch;
use orders::PendingStart;
use probe::Probes;
use runs::{LocalRun, Phase};
use settled::SettledRuns;

/// Wait of a poll of the worker for an end; the reply also brings new checkpoints.
const POLL_WAIT: Duration = Duration::from_millis(400);

/// Age of a report after which a start order in its reply is not carried out.
///
/// It is longer than the maximum wait for orders, `LeaderDiscovery::ORDER_WAIT`. The
/// orders in an older reply may not take a cancel or an evacuation into account.
const MAX_START_ORDER_AGE: Duration = Duration::from_millis(2_000);

/// Validity of a start on the worker's clock; the worker rejects a start that arrives
/// later, for example after seconds in transit.
const START_WINDOW: Duration = Duration::from_millis(1_500);

/// Time after a message that the worker shuts down within which its last answers may still
/// come; a worker that answers a later call runs on. Its leases are extended for as long
/// without an answer.
const MAX_EXIT_SILENCE: Duration = Duration::from_millis(1_000);

/// Time after the last grant until which ends are acknowledged. Leaders forget the worker of
/// an agent from which they have had no report for an hour.
const MAX_ACKNOWLEDGEMENT_AGE: Duration = Duration::from_secs(60);

/// A reading of the worker's clock.
#[derive(Debug, Clone, Copy)]
struct ClockReading {
    /// Time on the worker's clock in milliseconds.
    worker_ms: u64,
    /// Local time at which the reply arrived; the reading is not newer.
    read_at: Uptime,
}

impl ClockReading {
    /// Estimates the time on the worker's clock; a slow clock is behind the estimate.
    fn estimate_ms(&self, now: Uptime) -> u64 {
        self.worker_ms
            .saturating_add(millis(now.since(self.read_at)))
    }
}

/// State and decisions of the agent of one worker.
#[derive(Debug)]
pub struct AgentCore {
    agent: AgentId,
    incarnation: Incarnation,
    limits: TimeLimits,
    sequence: u64,
    /// The worker beside the agent, which has answered a call that names it.
    worker_incarnation: Option<WorkerIncarnation>,
    /// The worker that was beside the agent last, with the start time of its incarnation, if
    /// the agent has given it up.
    former_worker: Option<(WorkerId, u64)>,
    /// Number of the last report before the agent has found a worker again that it had given
    /// up: the leader may have placed the tasks of earlier replies elsewhere.
    found_again_after: Option<u64>,
    claims: Claims,
    /// Whether the next call checks a claim, if there is one.
    is_claim_next: bool,
    /// When the worker was said to shut down, until it shows that it runs on.
    exit_claimed_at: Option<Uptime>,
    clock: Option<ClockReading>,
    leases: LeaseWatch,
    /// Newest token of a leader.
    token: FencingToken,
    fence: Fence,
    /// Whether the lease renewal in flight has a leader's token: its answer makes all late
    /// calls void that were sent before.
    is_renewal_fenced: bool,
    /// Time until which leases may be extended.
    grant_until: Uptime,
    /// Number of the newest end that the leader has recorded.
    recorded_ends: u64,
    /// Whether complete run lists of the worker have been read in this incarnation.
    has_lists: bool,
    runs: BTreeMap<(TaskId, RunNumber), LocalRun>,
    /// Ends that the leader has not recorded.
    ends: Vec<EndReport>,
    end_watch: EndWatch,
    /// Number up to which the call in flight acknowledges ends.
    acknowledging: u64,
    late_starts: LateStarts,
    probes: Probes,
    /// Whether runs may start that show whether the worker lists ends.
    may_probe: bool,
    /// Whether the worker may have a lease beyond those of such runs.
    has_long_lease: bool,
    /// Time until which a late call may have extended the leases before the first answer.
    max_lease_until: Uptime,
    settled: SettledRuns,
    /// Speeds of the worker that the leaders have learned.
    speeds: Vec<LearnedSpeed>,
}

impl AgentCore {
    /// Creates an agent that does not know its worker yet.
    #[must_use]
    pub fn new(agent: AgentId, incarnation: Incarnation, limits: TimeLimits) -> Self {
        Self {
            agent,
            incarnation,
            limits,
            sequence: 0,
            worker_incarnation: None,
            former_worker: None,
            found_again_after: None,
            claims: Claims::new(),
            is_claim_next: true,
            exit_claimed_at: None,
            clock: None,
            leases: LeaseWatch::default(),
            token: FencingToken::new(0),
            fence: Fence::new(incarnation),
            is_renewal_fenced: false,
            grant_until: Uptime::ZERO,
            recorded_ends: 0,
            has_lists: false,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            end_watch: EndWatch::new(),
            acknowledging: 0,
            late_starts: LateStarts::new(),
            probes: Probes::new(),
            may_probe: false,
            has_long_lease: false,
            max_lease_until: Uptime::ZERO,
            settled: SettledRuns::new(),
            speeds: Vec::new(),
        }
    }

    /// Returns the number by which the leader orders the agent's processes.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the newest fencing token seen.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns the current incarnation of the worker.
    #[must_use]
    pub const fn worker_incarnation(&self) -> Option<&WorkerIncarnation> {
        self.worker_incarnation.as_ref()
    }

    /// Returns whether the worker gets no starts, since it may drop the ends of its runs.
    #[must_use]
    pub fn withholds_starts(&self) -> bool {
        !self.end_watch.may_start()
    }

    /// Returns the state in which the worker is withheld; `None` if it gets tasks.
    #[must_use]
    pub fn withheld_state(&self) -> Option<WithheldState> {
        self.worker_incarnation.as_ref()?;
        if self.end_watch.is_unconfirmed() {
            return Some(WithheldState::Inherited);
        }
        let state = WithheldState::of(self.listing_state().0);
        state.or(self.withholds_starts().then_some(WithheldState::Doubted))
    }

    /// Returns what decides which runs the worker gets.
    fn listing_state(&self) -> (EndListing, bool, bool, bool) {
        let is_probed = !self.probes.is_empty();
        let state = match self.end_watch.state() {
            EndListing::Probing if !self.may_probe => EndListing::Doubted,
            state => state,
        };
        let has_long_lease = self.may_probe && self.has_long_lease;
        (state, self.withholds_starts(), is_probed, has_long_lease)
    }

    /// Returns whether there is a worker to call.
    #[must_use]
    pub fn has_worker_to_call(&self) -> bool {
        self.worker_incarnation.is_some() || !self.claims.is_empty()
    }

    /// Returns whether the next call shows if a worker that a heartbeat named is there.
    #[must_use]
    pub fn is_claim_next(&self) -> bool {
        !self.claims.is_empty() && (self.is_claim_next || self.worker_incarnation.is_none())
    }

    /// Handles a heartbeat; returns whether something has to be reported.
    ///
    /// It may be delayed or come from another writer. One that names another incarnation
    /// than the known one only has that incarnation called; the answer decides.
    pub fn on_heartbeat(&mut self, now: Uptime, incarnation: WorkerIncarnation) -> bool {
        match &mut self.worker_incarnation {
            Some(known) if known.is(&incarnation.worker, incarnation.started_ms) => {
                let is_changed = *known != incarnation;
                *known = incarnation;
                is_changed
            }
            _ => {
                self.claims.insert(now, incarnation);
                false
            }
        }
    }

    /// Handles a message that the worker shuts down; returns whether something has to be
    /// reported.
    ///
    /// The worker gets no new tasks until it answers again. Its runs end with their
    /// leases, unless another worker answers before.
    pub fn on_worker_exit(&mut self, now: Uptime, worker: &WorkerId) -> bool {
        self.claims.remove(worker);
        let known = self.worker_incarnation.as_ref();
        let is_new = self.exit_claimed_at.is_none() && known.is_some_and(|it| it.worker == *worker);
        if is_new {
            self.exit_claimed_at = Some(now);
        }
        is_new
    }

    /// Returns the report to an entry; `known_token` is the newest token that leader
    /// discovery has seen.
    pub fn report(&mut self, wait: Duration, known_token: FencingToken) -> AgentReport {
        self.sequence += 1;
        let mut worker_incarnation = self.worker_incarnation.clone();
        if let Some(incarnation) = &mut worker_incarnation {
            let may_get_runs =
                self.end_watch.may_start() || self.may_probe || self.end_watch.is_unconfirmed();
            incarnation.is_draining |= self.exit_claimed_at.is_some() || !may_get_runs;
        }
        AgentReport {
            agent: self.agent.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            worker_incarnation,
            has_lists: self.has_lists,
            end_listing: self.listing_state().0,
            asks_for_incarnation: self.end_watch.is_unconfirmed(),
            has_long_lease: self.may_probe && self.has_long_lease,
            speeds: self.speeds.clone(),
            runs: self.runs.iter().map(|(id, run)| run.report(id)).collect(),
            ends: self.ends.clone(),
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            known_token,
        }
    }

    /// Handles the leader's reply to a report that was sent at `sent_at`.
    pub fn on_reply(
        &mut self,
        sent_at: Uptime,
        now: Uptime,
        reply: ExchangeReply,
    ) -> Vec<AgentEffect> {
        if !reply.is_leader || reply.token < self.token {
            return Vec::new();
        }
        self.token = reply.token;
        let age = Duration::from_millis(reply.confirmed_age_ms);
        let grant = self.limits.agent_grant().saturating_sub(age);
        self.grant_until = self.grant_until.max(sent_at.plus(grant));
        let is_to_other = |process: &Incarnation| *process != self.incarnation;
        if let Some(process) = reply.process.filter(is_to_other) {
            self.succeed(process);
            return Vec::new();
        }
        let Some(incarnation) = &self.worker_incarnation else {
            return Vec::new();
        };
        let is_outdated = self
            .found_again_after
            .is_some_and(|it| reply.sequence <= it);
        if incarnation.started_ms != reply.worker_started_ms || is_outdated {
            return Vec::new();
        }
        self.end_watch
            .on_reply(reply.sequence, reply.knows_incarnation, reply.doubts_ends);
        if let Some(speeds) = reply.speeds {
            self.speeds = speeds;
        }
        self.recorded_ends = self.recorded_ends.max(reply.recorded_ends);
        let recorded = self.recorded_ends;
        for end in self.ends.extract_if(.., |end| end.number <= recorded) {
            self.settled.insert(now, reply.token, end.task, end.run);
        }
        let mut effects = Vec::new();
        let mut ordered = Vec::new();
        for order in reply.orders {
            match order {
                Order::Start {
                    task,
                    run,
                    payload,
                    checkpoint,
                    ticket,
                    probe_runs,
                    ..
                } => {
                    ordered.push((task.clone(), run));
                    if now.since(sent_at) > MAX_START_ORDER_AGE {
                        continue;
                    }
                    let start = PendingStart {
                        task,
                        run,
                        payload,
                        checkpoint,
                        ticket,
                        probe_runs,
                    };
                    effects.extend(self.start(now, start));
                }
                Order::Stop { task, run } => effects.extend(self.stop(now, task, run)),
            }
        }
        effects.extend(self.due_probe_calls(now));
        // A refusal is reported until the leader has dropped the run.
        let is_settled = |id: &(TaskId, RunNumber), run: &mut LocalRun| {
            run.is_refusal_reported(reply.sequence) && !ordered.contains(id)
        };
        for ((task, run), _) in self.runs.extract_if(.., is_settled) {
            self.settled.insert(now, reply.token, task, run);
        }
        effects
    }

    /// Takes the place of a process that the leader knows.
    ///
    /// The wall clock may have gone back between the starts of two processes. The leader
    /// would ignore the reports of the later one, and reply to the former.
    fn succeed(&mut self, process: Incarnation) {
        let next = Incarnation::new(process.get().saturating_add(1));
        if process > self.incarnation {
            self.incarnation = next;
            self.fence.on_process(next);
        }
    }

    /// Returns the next call: a lease renewal or, in turn with it, a call that shows
    /// whether a worker that a heartbeat named is there. `None` if no worker is known, or if
    /// the outcome of a start has to be known first.
    ///
    /// The next call is made after the end of this one, so that answers come in order.
    pub fn renew_call(&mut self, now: Uptime) -> Option<RenewCall> {
        let is_claim_next = self.is_claim_next || self.worker_incarnation.is_none();
        let claimed = is_claim_next.then(|| self.claims.next(now)).flatten();
        self.is_claim_next = claimed.is_none();
        self.acknowledging = 0;
        self.is_renewal_fenced = self.token > FencingToken::new(0);
        if let Some(worker) = claimed {
            return Some(RenewCall {
                worker,
                until_ms: None,
                token: self.fence.token(self.token),
                acknowledgement: None,
                wait: Duration::ZERO,
            });
        }
        let poll_wait = match self.end_watch.may_start() && self.probes.is_empty() {
            true => POLL_WAIT,
            false if self.end_watch.is_unfenced() && self.clock.is_some() => Duration::ZERO,
            false => self.on_probe_poll(now)?,
        };
        let incarnation = self.worker_incarnation.as_ref()?;
        let max_silence = match self.exit_claimed_at {
            Some(_) => MAX_EXIT_SILENCE,
            None => self.limits.agent_grant(),
        };
        // After the grant expires, leases are not extended, and runs end with them. The
        // same holds for a worker that does not answer: without an end of the extensions
        // its leases never certainly expire.
        let may_extend = now <= self.grant_until
            && self.leases.silence(now) <= max_silence
            && self.runs.keys().any(|id| !self.probes.has_placed(id));
        let lease_ms = millis(self.limits.worker_lease());
        let until_ms = self
            .clock
            .filter(|_| may_extend)
            .map(|clock| clock.estimate_ms(now).saturating_add(lease_ms));
        if until_ms.is_some() {
            self.leases.on_renewal_sent(now, &self.limits);
        }
        // Without a reading of its clock, another incarnation has answered last.
        let may_acknowledge =
            self.clock.is_some() && now <= self.grant_until.plus(MAX_ACKNOWLEDGEMENT_AGE);
        let acknowledgement = self
            .end_watch
            .due(self.recorded_ends, incarnation.started_ms)
            .filter(|_| may_acknowledge);
        self.acknowledging = acknowledgement.map_or(0, |it| it.up_to);
        Some(RenewCall {
            worker: incarnation.worker.clone(),
            until_ms,
            token: self.fence.token(self.token),
            acknowledgement,
            // An acknowledgement is without an answer for as short as possible.
            wait: match acknowledgement {
                Some(_) => Duration::ZERO,
                None => poll_wait,
            },
        })
    }

    /// Handles a call of [`AgentCore::renew_call`] without a reply; returns whether
    /// something has to be reported immediately.
    ///
    /// The known worker is gone if another one answers at its address, or if it has not
    /// answered until its last possible lease has expired.
    pub fn on_renewal_failure(
        &mut self,
        now: Uptime,
        worker: &WorkerId,
        failure: &RenewFailure,
    ) -> bool {
        self.acknowledging = 0;
        match failure {
            RenewFailure::Unknown(_) => self.fence.on_unanswered(),
            RenewFailure::StaleToken if self.is_renewal_fenced => self.fence.on_rejected(),
            RenewFailure::StaleToken | RenewFailure::NotSent(_) | RenewFailure::OtherWorker => {}
        }
        let is_other_there = matches!(failure, RenewFailure::OtherWorker);
        if is_other_there {
            self.claims.remove(worker);
        }
        let known = self.worker_incarnation.as_ref();
        if known.is_none_or(|known| known.worker != *worker) {
            return false;
        }
        self.leases
            .on_renewal_done(matches!(failure, RenewFailure::Unknown(_)));
        let is_gone = is_other_there || self.leases.is_lost(now, &self.limits);
        if is_gone {
            self.clear_incarnation();
        }
        is_gone
    }

    /// Handles the reply, received now, to a call of [`AgentCore::renew_call`] that was
    /// sent at `sent_at`; returns whether something has to be reported immediately.
    pub fn on_renewal(
        &mut self,
        now: Uptime,
        worker: &WorkerId,
        sent_at: Uptime,
        reply: RenewReply,
    ) -> bool {
        let acknowledged = std::mem::take(&mut self.acknowledging);
        let is_unanswered = reply.acknowledgement == AckOutcome::Unknown;
        let former_state = self.listing_state();
        self.fence.on_answer();
        if is_unanswered {
            self.fence.on_unanswered();
        }
        self.end_watch
            .on_acknowledged(now, worker, acknowledged, reply.acknowledgement);
        let is_new = !self.is_known(worker, reply.started_ms);
        if is_new && !self.replace_worker(now, worker, sent_at, reply.started_ms) {
            self.refuse_runs_of_former(sent_at, &reply);
            return true;
        }
        let is_exit_refuted = |at: &mut Uptime| sent_at.since(*at) >= MAX_EXIT_SILENCE;
        let has_stayed = self.exit_claimed_at.take_if(is_exit_refuted).is_some();
        self.clock = Some(ClockReading {
            worker_ms: reply.clock_ms,
            read_at: now,
        });
        self.leases.on_renewal_done(true);
        self.leases.on_answer(now);
        // Until the lists were complete once, the leader could take runs whose ends are not
        // listed yet for lost and order them again.
        let has_first_lists = reply.is_complete && !self.has_lists;
        let mut has_changes = is_new || has_stayed || has_first_lists;
        self.has_lists |= reply.is_complete;
        self.end_watch
            .on_answer(self.is_renewal_fenced && !is_unanswered);
        let mut is_end_lost = self.end_watch.on_listed(now, &reply.ends);
        if reply.is_complete {
            self.on_probes_listed(&reply.active, &reply.ends);
        }
        for end in reply.ends {
            let is_known = self.ends.iter().any(|known| known.number == end.number);
            if is_known || end.number <= self.recorded_ends {
                continue;
            }
            self.runs.remove(&(end.task.clone(), end.run));
            self.ends.push(end);
            has_changes = true;
        }
        let mut listed = Vec::new();
        for (task, run, checkpoint, percent) in reply.active {
            if self.probes.has_run(&task, run) {
                continue;
            }
            let id = (task, run);
            listed.push(id.clone());
            if self
                .ends
                .iter()
                .any(|end| end.task == id.0 && end.run == id.1)
            {
                continue;
            }
            let known = self.runs.entry(id).or_insert_with(|| {
                has_changes = true;
                LocalRun::new(Phase::Active, sent_at)
            });
            has_changes |= known.on_listed(percent, checkpoint);
        }
        // The worker does not have a run that had started or was stopped before the
        // call was sent and that is on neither list. In an incomplete reply its end may be
        // one of those that are not listed yet.
        for (id, run) in self.runs.iter_mut().filter(|_| reply.is_complete) {
            if !run.must_be_listed(sent_at) || listed.contains(id) {
                continue;
            }
            has_changes = true;
            if run.is_awaiting_lists() {
                self.end_watch.on_not_started(&id.0, id.1);
                run.mark_refused("not on the worker's lists", self.sequence);
            } else {
                is_end_lost = true;
                self.end_watch.on_lost(&id.0, id.1);
                run.mark_refused("the worker has dropped its end", self.sequence);
            }
        }
        if is_end_lost {
            // The ends of the other runs would be lost as well.
            self.runs.values_mut().for_each(|run| run.request_stop(now));
        }
        self.may_probe = self.end_watch.may_probe();
        // Beside tasks that last, the leases are never over.
        let max_lease = self.limits.max_lease_expires_after();
        self.has_long_lease = now < self.max_lease_until
            || !self.leases.are_over(now) && now < self.max_lease_until.plus(max_lease);
        has_changes || former_state != self.listing_state()
    }

    /// Replaces the known worker by an incarnation that has answered a call sent at
    /// `sent_at`; returns whether a heartbeat has told what it is.
    ///
    /// Only one worker has the address, so that the known one has ended with all its runs.
    fn replace_worker(
        &mut self,
        now: Uptime,
        worker: &WorkerId,
        sent_at: Uptime,
        started_ms: u64,
    ) -> bool {
        let claimed = self.claims.take(worker, started_ms);
        self.claims.remove(worker);
        let known = self.worker_incarnation.as_ref();
        let keeps_id = known.is_some_and(|known| known.worker == *worker);
        if claimed.is_none() && (keeps_id || known.is_none()) {
            // It has no capacity and no labels until its heartbeat, and may have got runs. The
            // heartbeat makes it known, so that it counts as new just once.
            self.clock = None;
            self.has_lists = false;
            return false;
        }
        let is_back = |(former, former_start): &(WorkerId, u64)| {
            former == worker && *former_start != started_ms
        };
        let is_successor = known.is_some() || self.former_worker.as_ref().is_some_and(is_back);
        let probes = self.take_probes(now, keeps_id);
        let mut runs = std::mem::take(&mut self.runs);
        runs.retain(|_, run| keeps_id && run.may_be_on_successor(now, sent_at));
        self.clear_incarnation();
        self.probes = probes;
        let is_same = |(former, former_start): &(WorkerId, u64)| {
            former == worker && *former_start == started_ms
        };
        match self.former_worker.as_ref().is_some_and(is_same) {
            true => {
                self.end_watch.on_found_again(now);
                self.found_again_after = Some(self.sequence);
            }
            false => {
                let report = self.sequence;
                self.end_watch
                    .on_incarnation(now, worker, is_successor, report);
            }
        }
        // A start that is still in flight is void after the next call.
        self.fence.on_unanswered();
        self.runs = runs;
        for id in self.late_starts.of(now, worker) {
            let run = self.runs.entry(id);
            run.or_insert_with(|| LocalRun::new(Phase::StoppingStart, now))
                .stop_start(now);
        }
        self.worker_incarnation = claimed;
        // An earlier process of the agent may have extended leases until now. A call that
        // was meant for the former incarnation under this id states a lease by its clock.
        let max_lease = match keeps_id {
            true => self.limits.max_lease_expires_after(),
            false => self.limits.lease_expires_after(),
        };
        self.leases = LeaseWatch::new(now, max_lease);
        self.max_lease_until = now.plus(self.limits.max_lease_expires_after());
        self.worker_incarnation.is_some()
    }

    /// Records that runs of the known incarnation are over, if a successor under its id has
    /// answered whose heartbeat has not come, and does not list them.
    fn refuse_runs_of_former(&mut self, sent_at: Uptime, reply: &RenewReply) {
        let is_listed = |(task, run): &(TaskId, RunNumber)| {
            let is_active = |(active, number, ..): &(TaskId, RunNumber, String, u32)| {
                active == task && number == run
            };
            let has_ended = |end: &EndReport| end.task == *task && end.run == *run;
            reply.active.iter().any(is_active) || reply.ends.iter().any(has_ended)
        };
        // A start whose stop the former incarnation has confirmed may still come.
        for (id, run) in self.runs.iter_mut().filter(|_| reply.is_complete) {
            if run.must_be_listed(sent_at) && !run.is_awaiting_lists() && !is_listed(id) {
                run.mark_refused("the worker has started again", self.sequence);
            }
        }
    }

    /// Returns whether this is the known incarnation.
    fn is_known(&self, worker: &WorkerId, started_ms: u64) -> bool {
        let known = self.worker_incarnation.as_ref();
        known.is_some_and(|known| known.is(worker, started_ms))
    }

    fn clear_incarnation(&mut self) {
        if let Some(known) = self.worker_incarnation.take() {
            self.former_worker = Some((known.worker, known.started_ms));
        }
        self.exit_claimed_at = None;
        self.speeds.clear();
        self.clock = None;
        self.recorded_ends = 0;
        self.has_lists = false;
        self.probes = Probes::new();
        self.may_probe = false;
        self.runs.clear();
        self.ends.clear();
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
