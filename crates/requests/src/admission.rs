//! Admission control of an agent, which limits the requests that its backend server
//! runs.

use std::collections::BTreeMap;
use std::time::Duration;

use cumindeck_types::message::Load;
use cumindeck_types::{Attempt, NotRunReason, Remaining, RequestId, Uptime};

/// Time after an agent begins to leave in which admitted requests may still be sent
/// to the backend server, which must get no new requests after 3 s.
const ADMITTED_GRACE: Duration = Duration::from_secs(2);

/// Limits of the admission control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Number of requests that the backend server can run concurrently.
    pub slots: u32,
    /// Number of connections that the backend server accepts concurrently.
    pub connections: u32,
}

/// Input of the admission control.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEvent {
    /// An entry dispatched a request.
    DispatchReceived {
        /// Id that the entry assigned.
        request: RequestId,
        /// Number of the dispatch, counted by the entry.
        attempt: Attempt,
        /// Time until the deadline when the message was read.
        remaining: Remaining,
        /// When the message was read from the connection.
        received: Uptime,
    },
    /// A connection to the backend server is ready for an admitted request.
    Connected {
        /// Id from [`AdmissionEffect::Admit`].
        request: RequestId,
        /// Dispatch number from [`AdmissionEffect::Admit`].
        attempt: Attempt,
    },
    /// An admitted request ended, whatever the result.
    Finished {
        /// Id from [`AdmissionEffect::Admit`].
        request: RequestId,
        /// Dispatch number from [`AdmissionEffect::Admit`].
        attempt: Attempt,
    },
    /// The limits changed; admitted requests stay admitted.
    Configured(AdmissionConfig),
    /// The agent leaves: running requests finish, new ones are refused.
    Leave,
    /// The agent accepts requests again.
    Serve,
}

/// Output of the admission control.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionEffect {
    /// Obtain a connection, then report [`AdmissionEvent::Connected`].
    Admit {
        /// Id from [`AdmissionEvent::DispatchReceived`].
        request: RequestId,
        /// Dispatch number from [`AdmissionEvent::DispatchReceived`].
        attempt: Attempt,
    },
    /// Write the request to the backend server now.
    Forward {
        /// Id from [`AdmissionEvent::Connected`].
        request: RequestId,
        /// Dispatch number from [`AdmissionEvent::Connected`].
        attempt: Attempt,
        /// Remaining time until the deadline.
        remaining: Remaining,
    },
    /// Reply that the request did not run.
    Refuse {
        /// Id from [`AdmissionEvent::DispatchReceived`].
        request: RequestId,
        /// Dispatch number from [`AdmissionEvent::DispatchReceived`].
        attempt: Attempt,
        /// Why it did not run.
        reason: NotRunReason,
    },
    /// The agent is leaving and nothing is in flight.
    Drained,
}

/// An admitted request that hasn't finished.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    /// End of the time limit.
    deadline: Uptime,
    /// Whether it was forwarded to the backend server.
    is_forwarded: bool,
}

/// State machine that admits requests to one backend server.
#[derive(Debug, Clone)]
pub struct AdmissionMachine {
    cfg: AdmissionConfig,
    admitted: BTreeMap<(RequestId, Attempt), Admitted>,
    /// Time at which the agent began to leave; `None` while it serves.
    leaving: Option<Uptime>,
}

impl AdmissionMachine {
    /// Creates a state machine that admits requests.
    #[must_use]
    pub const fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            admitted: BTreeMap::new(),
            leaving: None,
        }
    }

    /// Returns the load for announcements and replies.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            slots: self.limit(),
            in_flight: u32::try_from(self.admitted.len()).unwrap_or(u32::MAX),
            is_leaving: self.leaving.is_some(),
        }
    }

    /// Applies an event and returns the effects to carry out.
    pub fn step(&mut self, now: Uptime, event: AdmissionEvent) -> Vec<AdmissionEffect> {
        match event {
            AdmissionEvent::DispatchReceived {
                request,
                attempt,
                remaining,
                received,
            } => self.on_dispatch(now, request, attempt, remaining.deadline(received)),
            AdmissionEvent::Connected { request, attempt } => {
                self.on_connected(now, request, attempt)
            }
            AdmissionEvent::Finished { request, attempt } => {
                let known = self.admitted.remove(&(request, attempt)).is_some();
                if known {
                    self.drained_effect()
                } else {
                    Vec::new()
                }
            }
            AdmissionEvent::Configured(cfg) => {
                self.cfg = cfg;
                Vec::new()
            }
            AdmissionEvent::Leave if self.leaving.is_some() => Vec::new(),
            AdmissionEvent::Leave => {
                self.leaving = Some(now);
                self.drained_effect()
            }
            AdmissionEvent::Serve => {
                self.leaving = None;
                Vec::new()
            }
        }
    }

    fn limit(&self) -> u32 {
        self.cfg.slots.min(self.cfg.connections)
    }

    fn on_dispatch(
        &mut self,
        now: Uptime,
        request: RequestId,
        attempt: Attempt,
        deadline: Uptime,
    ) -> Vec<AdmissionEffect> {
        if self.admitted.contains_key(&(request.clone(), attempt)) {
            return Vec::new();
        }
        let reason = if self.leaving.is_some() {
            NotRunReason::Draining
        } else if deadline <= now {
            NotRunReason::Expired
        } else if self.load().in_flight >= self.limit() {
            NotRunReason::Busy
        } else {
            let admitted = Admitted {
                deadline,
                is_forwarded: false,
            };
            self.admitted.insert((request.clone(), attempt), admitted);
            return vec![AdmissionEffect::Admit { request, attempt }];
        };
        vec![AdmissionEffect::Refuse {
            request,
            attempt,
            reason,
        }]
    }

    /// Forwards an admitted request, unless its deadline or the grace of a leaving agent
    /// has passed, since the process may have been paused after it was admitted.
    fn on_connected(
        &mut self,
        now: Uptime,
        request: RequestId,
        attempt: Attempt,
    ) -> Vec<AdmissionEffect> {
        let id = (request.clone(), attempt);
        let Some(admitted) = self.admitted.get_mut(&id) else {
            return Vec::new();
        };
        if admitted.is_forwarded {
            return Vec::new();
        }
        let remaining = Remaining::until(admitted.deadline, now);
        let is_grace_over = self
            .leaving
            .is_some_and(|since| now.since(since) > ADMITTED_GRACE);
        if !remaining.is_expired() && !is_grace_over {
            admitted.is_forwarded = true;
            return vec![AdmissionEffect::Forward {
                request,
                attempt,
                remaining,
            }];
        }
        self.admitted.remove(&id);
        let mut effects = vec![AdmissionEffect::Refuse {
            request,
            attempt,
            reason: if is_grace_over {
                NotRunReason::Draining
            } else {
                NotRunReason::Expired
            },
        }];
        effects.extend(self.drained_effect());
        effects
    }

    fn drained_effect(&self) -> Vec<AdmissionEffect> {
        if self.leaving.is_some() && self.admitted.is_empty() {
            return vec![AdmissionEffect::Drained];
        }
        Vec::new()
    }
}
