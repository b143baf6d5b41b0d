//! Stand-in for a worker of the platform: runs tasks under leases and sends heartbeats.
//!
//! The words of a task's text say what it does: `work=800` ends as done after 800 ms of
//! work (without it the task lasts), `fails=1 after=500` makes the first run fail after
//! 500 ms, and `cpu=500 gpu=1` is the room that it takes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::unix_ms;
use crate::http::{self, Request, Response, serve};
use crate::json::{Json, object};
use crate::record::{Record, What};

/// Time between two heartbeats, and the maximum wait for the ack of one.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum lease, and the duration of a stop.
const MAX_LEASE_MS: u64 = 10_000;
const STOP_TIME: Duration = Duration::from_millis(200);

/// Time from the start of a task that lasts until it is at work.
const STARTUP: Duration = Duration::from_millis(300);

const MAX_LISTED_ENDS: usize = 500;
const MAX_HOLD_WAIT_MS: u64 = 2_000;

/// Reading of the worker's clock at its start.
const FIRST_CLOCK_MS: u64 = 400_000;

#[derive(Clone)]
pub struct WorkerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
    pub cpu: u64,
    pub memory_mb: u64,
    pub gpu: u64,
}

struct Run {
    begun: Instant,
    /// When it ends by itself; `None` for a task that lasts.
    ends: Option<Instant>,
    how: &'static str,
    cpu: u64,
    gpu: u64,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until_ms: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that has ended or was stopped here.
    highest: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    sequence: u64,
    /// Minimum time until the worker leaves, while it drains.
    draining_ms: Option<u64>,
}

#[derive(Clone)]
pub struct Worker {
    pub settings: WorkerSettings,
    pub address: SocketAddr,
    agent: SocketAddr,
    born_ms: u64,
    start: Instant,
    record: Record,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A status report, which may be sent later than it was made.
pub struct Heartbeat {
    pub sequence: u64,
    body: String,
}

impl Worker {
    /// Starts a worker that accepts calls on a listener and reports to an agent.
    pub fn start(
        settings: WorkerSettings,
        listener: TcpListener,
        agent: SocketAddr,
        record: &Record,
    ) -> std::io::Result<Self> {
        let worker = Self {
            settings,
            address: listener.local_addr()?,
            agent,
            born_ms: unix_ms(),
            start: Instant::now(),
            record: record.clone(),
            shared: Arc::default(),
        };
        let served = worker.clone();
        serve(listener, move |request| served.handle(&request));
        let ticked = worker.clone();
        thread::spawn(move || {
            loop {
                ticked.tick(&mut ticked.shared.0.lock().unwrap());
                thread::sleep(Duration::from_millis(5));
            }
        });
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                beating.send(&beating.heartbeat());
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    /// Makes the next status report.
    pub fn heartbeat(&self) -> Heartbeat {
        let mut state = self.shared.0.lock().unwrap();
        state.sequence += 1;
        let settings = &self.settings;
        let capacity = object(vec![
            ("cpu", settings.cpu.into()),
            ("memMb", settings.memory_mb.into()),
            ("gpu", settings.gpu.into()),
        ]);
        let mut fields = vec![
            ("service", settings.service.as_str().into()),
            ("address", self.address.to_string().as_str().into()),
            ("zone", settings.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            (
                "state",
                if state.draining_ms.is_some() {
                    "draining"
                } else {
                    "ready"
                }
                .into(),
            ),
            ("warmupLeftMs", 0.into()),
            ("capacity", capacity),
            (
                "labels",
                Json::List(vec!["a".into(), settings.rack.as_str().into()]),
            ),
            ("clockMs", self.clock_ms().into()),
            ("born", self.born_ms.into()),
            ("sequence", state.sequence.into()),
        ];
        fields.extend(state.draining_ms.map(|left| ("remainingMs", left.into())));
        Heartbeat {
            sequence: state.sequence,
            body: object(fields).to_string(),
        }
    }

    /// Sends a status report; returns whether it was acknowledged.
    pub fn send(&self, heartbeat: &Heartbeat) -> bool {
        let path = format!("/instances/{}", self.settings.id);
        let reply = http::call(self.agent, "PUT", &path, &[], &heartbeat.body, ACK_TIMEOUT);
        reply.is_ok_and(|reply| reply.status / 100 == 2)
    }

    /// Makes all further status reports say that the worker drains.
    pub fn drain(&self, left: Duration) {
        self.shared.0.lock().unwrap().draining_ms = Some(left.as_millis() as u64);
    }

    /// Returns the processors and accelerators in use.
    pub fn used(&self) -> (u64, u64) {
        let state = self.shared.0.lock().unwrap();
        state
            .runs
            .values()
            .fold((0, 0), |used, run| (used.0 + run.cpu, used.1 + run.gpu))
    }

    /// Returns whether a run of a job is active.
    pub fn runs_job(&self, job: &str) -> bool {
        self.shared
            .0
            .lock()
            .unwrap()
            .runs
            .keys()
            .any(|(task, _)| task.starts_with(job))
    }

    fn clock_ms(&self) -> u64 {
        FIRST_CLOCK_MS + self.start.elapsed().as_millis() as u64
    }

    /// Ends the runs whose work is done or whose lease has expired.
    fn tick(&self, state: &mut State) {
        let (now, clock) = (Instant::now(), self.clock_ms());
        let has_lapsed = clock > state.lease_until_ms;
        let is_over = |run: &Run| run.ends.is_some_and(|ends| ends <= now);
        let over = state
            .runs
            .iter()
            .filter(|(_, run)| has_lapsed || is_over(run));
        let over: Vec<_> = over
            .map(|(id, run)| (id.clone(), if is_over(run) { run.how } else { "lapsed" }))
            .collect();
        for ((task, run), how) in over {
            state.runs.remove(&(task.clone(), run));
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = run.max(*highest);
            state.last_end += 1;
            state.ends.push((state.last_end, task.clone(), run, how));
            let (worker, how) = (self.settings.id.clone(), how.to_owned());
            self.record.add(What::Ended {
                worker,
                task,
                run,
                how,
            });
            self.shared.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let intended = request.header("expect-instance");
        if !intended.is_empty() && intended != self.settings.id {
            return Response {
                status: 421,
                body: String::new(),
            };
        }
        let Some(body) = Json::parse(&request.body) else {
            return Response {
                status: 400,
                body: String::new(),
            };
        };
        let mut state = self.shared.0.lock().unwrap();
        self.tick(&mut state);
        let token = body.get("fencingToken").count();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        match request.path.as_str() {
            "/run-start" => self.begin(&mut state, &body),
            "/run-stop" => {
                let id = (
                    body.get("task").text().to_owned(),
                    body.get("runId").count(),
                );
                let stopped = Instant::now() + STOP_TIME;
                match state.runs.get_mut(&id) {
                    Some(run) if run.ends.is_none_or(|ends| ends > stopped) => {
                        run.ends = Some(stopped);
                        run.how = "stopped";
                    }
                    Some(_) => {}
                    None => {
                        let highest = state.highest.entry(id.0).or_default();
                        *highest = id.1.max(*highest);
                    }
                }
                self.respond(200, Vec::new())
            }
            "/hold" => {
                self.extend(&mut state, &body);
                let recorded = body.get("ackSeq").count();
                state.ends.retain(|(number, ..)| *number > recorded);
                let wait = body.get("waitMs").count().min(MAX_HOLD_WAIT_MS);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let left = until.saturating_duration_since(Instant::now());
                    if !state.ends.is_empty() || left.is_zero() {
                        break self.lists(&state);
                    }
                    state = self.shared.1.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Response {
                status: 404,
                body: String::new(),
            },
        }
    }

    fn begin(&self, state: &mut State, body: &Json) -> Response {
        let (task, run) = (
            body.get("task").text().to_owned(),
            body.get("runId").count(),
        );
        if state.runs.contains_key(&(task.clone(), run)) {
            self.extend(state, body);
            return self.respond(200, Vec::new());
        }
        if body.get("untilMs").count() <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(state, body);
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return self.refuse("old");
        }
        let text = body.get("taskSpec").text();
        let word = |name: &str| {
            let words = text.split(' ').filter_map(|word| word.split_once('='));
            words
                .into_iter()
                .find(|(key, _)| *key == name)?
                .1
                .parse::<u64>()
                .ok()
        };
        let (cpu, gpu) = (word("cpu").unwrap_or(0), word("gpu").unwrap_or(0));
        let used = state
            .runs
            .values()
            .fold((cpu, gpu), |used, run| (used.0 + run.cpu, used.1 + run.gpu));
        if used.0 > self.settings.cpu || used.1 > self.settings.gpu {
            return self.refuse("room");
        }
        let fails = run <= word("fails").unwrap_or(0);
        let time = if fails { word("after") } else { word("work") };
        let begun = Instant::now();
        let ends = time.map(|millis| begun + Duration::from_millis(millis));
        let how = if fails { "failed" } else { "done" };
        state.runs.insert(
            (task.clone(), run),
            Run {
                begun,
                ends,
                how,
                cpu,
                gpu,
            },
        );
        let worker = self.settings.id.clone();
        self.record.add(What::Started { worker, task, run });
        self.respond(200, Vec::new())
    }

    /// Extends the lease of everything that runs; it never becomes shorter.
    fn extend(&self, state: &mut State, body: &Json) {
        let until = body
            .get("untilMs")
            .count()
            .min(self.clock_ms() + MAX_LEASE_MS);
        state.lease_until_ms = state.lease_until_ms.max(until);
    }

    fn lists(&self, state: &State) -> Response {
        let active = state.runs.iter().map(|((task, number), run)| {
            let worked = run.begun.elapsed();
            let percent = match run.ends.filter(|_| run.how == "done") {
                Some(ends) => {
                    worked.as_millis() * 100 / ends.duration_since(run.begun).as_millis().max(1)
                }
                None if worked >= STARTUP => 100,
                None => 0,
            };
            let percent = percent.min(100) as u64;
            Json::List(vec![
                task.as_str().into(),
                (*number).into(),
                "".into(),
                percent.into(),
                run.cpu.into(),
            ])
        });
        let ends = state
            .ends
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, how)| {
                let (number, run) = ((*number).into(), (*run).into());
                Json::List(vec![
                    number,
                    task.as_str().into(),
                    run,
                    (*how).into(),
                    "".into(),
                ])
            });
        let lists = vec![
            ("active", Json::List(active.collect())),
            ("finished", Json::List(ends.collect())),
        ];
        self.respond(200, lists)
    }

    fn refuse(&self, reason: &str) -> Response {
        self.respond(409, vec![("reason", reason.into())])
    }

    fn respond(&self, status: u16, mut fields: Vec<(&str, Json)>) -> Response {
        fields.push(("clockMs", self.clock_ms().into()));
        fields.push(("born", self.born_ms.into()));
        Response {
            status,
            body: object(fields).to_string(),
        }
    }
}
