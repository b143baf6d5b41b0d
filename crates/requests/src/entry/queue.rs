//! Request queues of the teams, served by deficit round robin.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cumindeck_types::{RequestId, TeamId, Uptime};

use super::TeamLimits;

/// Minimum and maximum time after which a refused caller may try again.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(30));
/// Weight of the newest interval in the moving average of dispatch intervals.
const INTERVAL_WEIGHT: f64 = 0.1;

#[derive(Debug)]
struct TeamQueue {
    limits: TeamLimits,
    waiting: VecDeque<RequestId>,
    /// Dispatches left to the team in this round.
    deficit: u32,
    /// Tokens of the rate limit's token bucket; a dispatch takes one.
    tokens: f64,
    tokens_at: Uptime,
    /// Moving average of the time between two dispatches.
    interval: Duration,
    last_dispatch: Option<Uptime>,
}

#[derive(Debug, Default)]
pub(super) struct Queues {
    teams: BTreeMap<TeamId, TeamQueue>,
    /// Teams with waiting requests, in the order in which they are served.
    active: VecDeque<TeamId>,
}

impl Queues {
    /// Applies new limits. A removed team's queue accepts nothing more but is still
    /// served.
    pub(super) fn configure(&mut self, now: Uptime, teams: &[(TeamId, TeamLimits)]) {
        let is_kept = |team: &TeamId| teams.iter().any(|(kept, _)| kept == team);
        self.teams
            .retain(|team, queue| is_kept(team) || !queue.waiting.is_empty());
        for queue in self.teams.values_mut() {
            queue.limits.queue_limit = 0;
        }
        for (team, limits) in teams {
            let queue = self.teams.entry(team.clone());
            let queue = queue.or_insert_with(|| TeamQueue::new(now, limits.clone()));
            queue.limits = limits.clone();
        }
    }

    pub(super) fn limits(&self, team: &TeamId) -> Option<&TeamLimits> {
        Some(&self.teams.get(team)?.limits)
    }

    /// Returns the number of waiting requests of all teams.
    pub(super) fn len(&self) -> usize {
        self.teams.values().map(|queue| queue.waiting.len()).sum()
    }

    pub(super) fn waiting(&self, team: &TeamId) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.waiting.len())
    }

    /// Estimates when a refused caller may try again: when half of the queue has been
    /// dispatched.
    pub(super) fn retry_after(&self, team: &TeamId) -> Duration {
        let Some(queue) = self.teams.get(team) else {
            return RETRY_AFTER_RANGE.1;
        };
        let waiting = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
        let estimate = queue.interval.saturating_mul(waiting / 2);
        estimate.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }

    /// Appends a request to its team's queue, or puts a retry at the front.
    pub(super) fn push(&mut self, team: &TeamId, request: RequestId, is_retry: bool) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        if queue.waiting.is_empty() {
            queue.deficit = 0;
            self.active.push_back(team.clone());
        }
        if is_retry {
            queue.waiting.push_front(request);
        } else {
            queue.waiting.push_back(request);
        }
    }

    /// Removes a request from its team's queue.
    pub(super) fn remove(&mut self, team: &TeamId, request: &RequestId) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        queue.waiting.retain(|waiting| waiting != request);
        if queue.waiting.is_empty() {
            self.active.retain(|active| active != team);
        }
    }

    /// Passes waiting requests to `dispatch` in round-robin order until it accepts none.
    ///
    /// `dispatch` returns whether it accepted the request. A team whose first request
    /// isn't accepted, or whose rate limit is reached, is skipped.
    pub(super) fn serve(&mut self, now: Uptime, mut dispatch: impl FnMut(&RequestId) -> bool) {
        let mut skipped = 0;
        while skipped < self.active.len() {
            let Some(team) = self.active.front().cloned() else {
                return;
            };
            let Some(queue) = self.teams.get_mut(&team) else {
                self.active.pop_front();
                continue;
            };
            if queue.deficit == 0 {
                queue.deficit = queue.limits.weight.max(1);
            }
            let is_dispatched =
                queue.has_token(now) && queue.waiting.front().is_some_and(&mut dispatch);
            if is_dispatched {
                skipped = 0;
                queue.on_dispatched(now);
            } else {
                skipped += 1;
            }
            if queue.waiting.is_empty() {
                self.active.pop_front();
            } else if !is_dispatched || queue.deficit == 0 {
                self.active.rotate_left(1);
            }
        }
    }

    /// Returns the earliest time at which a rate limit allows another dispatch.
    pub(super) fn next_token(&self, now: Uptime) -> Option<Uptime> {
        let waiting = |queue: &&TeamQueue| !queue.waiting.is_empty();
        let next = |queue: &TeamQueue| queue.next_token(now);
        self.teams.values().filter(waiting).filter_map(next).min()
    }
}

impl TeamQueue {
    fn new(now: Uptime, limits: TeamLimits) -> Self {
        let tokens = limits.rate.map_or(0.0, |rate| rate.get().max(1.0));
        Self {
            limits,
            waiting: VecDeque::new(),
            deficit: 0,
            tokens,
            tokens_at: now,
            interval: Duration::from_millis(10),
            last_dispatch: None,
        }
    }

    /// Refills the token bucket, which holds the tokens of one second at most, and
    /// returns whether it holds a token.
    fn has_token(&mut self, now: Uptime) -> bool {
        let Some(rate) = self.limits.rate else {
            return true;
        };
        let passed = now.since(self.tokens_at).as_secs_f64();
        self.tokens_at = self.tokens_at.max(now);
        self.tokens = (self.tokens + passed * rate.get()).min(rate.get().max(1.0));
        self.tokens >= 1.0
    }

    fn next_token(&self, now: Uptime) -> Option<Uptime> {
        let rate = self.limits.rate?.get();
        let missing = 1.0 - self.tokens;
        if missing <= 0.0 || rate <= 0.0 {
            return None;
        }
        // The extra microsecond keeps rounding from waking the entry too early.
        let wait = Duration::from_secs_f64((missing / rate).min(3600.0));
        let at = self.tokens_at.plus(wait + Duration::from_micros(1));
        (at > now).then_some(at)
    }

    fn on_dispatched(&mut self, now: Uptime) {
        self.waiting.pop_front();
        self.deficit -= 1;
        if self.limits.rate.is_some() {
            self.tokens -= 1.0;
        }
        if let Some(last) = self.last_dispatch {
            let newest = now.since(last).mul_f64(INTERVAL_WEIGHT);
            self.interval = self.interval.mul_f64(1.0 - INTERVAL_WEIGHT) + newest;
        }
        self.last_dispatch = Some(now);
    }
}
