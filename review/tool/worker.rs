//! Stand-in of a worker, a process of its own: runs tasks under leases and fencing
//! tokens as PROTOCOL.md says. It guards no capacity (`enforcesCapacity` is false).
//!
//! A `taskSpec` of `work=800` runs for 800 ms; with `work=1200 save=1000` it has a new
//! checkpoint after each 1,000 ms of work. Each event is a line on standard output:
//! the Unix time in milliseconds, the event and its words.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, call, serve};
use crate::json::{Json, quote};
use crate::unix_ms;

const MAX_LISTED_ENDS: usize = 500;

pub struct Settings {
    pub id: String,
    pub zone: String,
    pub service: String,
    pub label: String,
    pub listen: SocketAddr,
    pub agent: SocketAddr,
    pub cpu: u64,
    pub gpu: u64,
    pub stop_ms: u64,
    pub hold_max_ms: u64,
}

struct Run {
    started: u64,
    work: u64,
    /// Work after which there is a new checkpoint; 0 for none.
    save: u64,
    /// When it ends, on the worker's clock, and how.
    ends: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    runs: BTreeMap<(String, u64), Run>,
    /// Number, task, run, how and checkpoint of the ends that are not acknowledged.
    ends: Vec<(u64, String, u64, &'static str, String)>,
    last_end: u64,
    /// Highest run of a task that was stopped or ended here.
    highest: BTreeMap<String, u64>,
    token: u64,
    lease: u64,
    /// Whether the lease is over.
    has_lapsed: bool,
}

struct Worker {
    settings: Settings,
    born: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

pub fn run(settings: Settings) -> ! {
    let listener = TcpListener::bind(settings.listen).expect("the worker's address");
    let worker = Arc::new(Worker {
        settings,
        born: unix_ms(),
        started: Instant::now(),
        state: Mutex::default(),
        changed: Condvar::new(),
    });
    println!("{} born {}", unix_ms(), worker.settings.id);
    let handler = worker.clone();
    serve(listener, Arc::new(move |req| handler.handle(&req)));
    let beats = worker.clone();
    std::thread::spawn(move || beats.heartbeats());
    loop {
        std::thread::sleep(Duration::from_millis(10));
        let mut state = worker.state.lock().unwrap();
        if worker.tick(&mut state) {
            worker.changed.notify_all();
        }
    }
}

impl Worker {
    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn heartbeats(&self) {
        let s = &self.settings;
        for sequence in 1.. {
            let body = format!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"warmupLeftMs\":0,\
                 \"capacity\":{{\"cpu\":{},\"memMb\":131072,\"gpu\":{}}},\"labels\":[{},\"rack-1\"],\"clockMs\":{},\"born\":{},\"sequence\":{sequence}}}",
                quote(&s.service),
                s.listen,
                quote(&s.zone),
                s.cpu,
                s.gpu,
                quote(&s.label),
                self.clock(),
                self.born
            );
            let path = format!("/instances/{}", s.id);
            call(s.agent, "PUT", &path, &[], &body, Duration::from_secs(1));
            std::thread::sleep(Duration::from_millis(1_500));
        }
    }

    /// Ends what is over; returns whether something was.
    fn tick(&self, state: &mut State) -> bool {
        let now = self.clock();
        let lapsed = now > state.lease;
        if lapsed && !std::mem::replace(&mut state.has_lapsed, lapsed) && state.lease > 0 {
            println!("{} lapse", unix_ms());
        }
        let is_over = |_: &(String, u64), run: &mut Run| run.ends <= now || lapsed;
        let over: Vec<_> = state.runs.extract_if(.., is_over).collect();
        let has_ended = !over.is_empty();
        for ((task, number), run) in over {
            let how = if run.ends <= now { run.how } else { "lapsed" };
            println!("{} end {task} {number} {how}", unix_ms());
            state.last_end += 1;
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = number.max(*highest);
            let saved = checkpoint(&task, &run, now);
            state.ends.push((state.last_end, task, number, how, saved));
        }
        has_ended
    }

    fn handle(&self, req: &Request) -> Reply {
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Send(400, "{}".to_owned());
        };
        if req
            .headers
            .get("expect-instance")
            .is_some_and(|id| *id != self.settings.id)
        {
            return self.reply(421, "");
        }
        let mut state = self.state.lock().unwrap();
        if self.tick(&mut state) {
            self.changed.notify_all();
        }
        let token = body.get("fencingToken").number().unwrap_or(0);
        if token < state.token {
            return self.reply(409, ",\"reason\":\"fence\"");
        }
        state.token = token;
        match req.path.as_str() {
            "/run-start" => self.start(&mut state, &body),
            "/run-stop" => self.stop(&mut state, &body),
            "/hold" => {
                drop(state);
                self.hold(&body)
            }
            _ => self.reply(404, ""),
        }
    }

    fn start(&self, state: &mut State, body: &Json) -> Reply {
        let now = self.clock();
        let (task, run) = (
            body.get("task").text().to_owned(),
            body.get("runId").number().unwrap_or(0),
        );
        let until = body.get("untilMs").number().unwrap_or(0);
        if until < now {
            return self.reply(409, ",\"reason\":\"late\"");
        }
        self.extend(state, until);
        if state.runs.contains_key(&(task.clone(), run)) {
            return self.reply(200, "");
        }
        if state
            .highest
            .get(&task)
            .is_some_and(|highest| run <= *highest)
        {
            return self.reply(409, ",\"reason\":\"old\"");
        }
        let spec = body.get("taskSpec").text();
        let value = |name: &str| {
            let word = spec.split(' ').find_map(|word| word.strip_prefix(name));
            word.and_then(|ms| ms.parse().ok()).unwrap_or(0)
        };
        let (work, save) = (value("work="), value("save="));
        println!("{} start {task} {run}", unix_ms());
        let new = Run {
            started: now,
            work,
            save,
            ends: now + work,
            how: "done",
        };
        state.runs.insert((task, run), new);
        self.reply(200, "")
    }

    fn stop(&self, state: &mut State, body: &Json) -> Reply {
        let now = self.clock();
        let (task, run) = (
            body.get("task").text().to_owned(),
            body.get("runId").number().unwrap_or(0),
        );
        let stopped = now + self.settings.stop_ms / 2;
        match state.runs.get_mut(&(task.clone(), run)) {
            Some(run) if run.ends > stopped => {
                run.ends = stopped;
                run.how = "stopped";
            }
            Some(_) => {}
            None => {
                let highest = state.highest.entry(task).or_default();
                *highest = run.max(*highest);
            }
        }
        self.reply(200, "")
    }

    fn hold(&self, body: &Json) -> Reply {
        let wait = body.get("waitMs").number().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, body.get("untilMs").number().unwrap_or(0));
        let acked = body.get("ackSeq").number().unwrap_or(0);
        for (_, task, run, how, _) in state.ends.extract_if(.., |end| end.0 <= acked) {
            println!("{} ack {task} {run} {how}", unix_ms());
        }
        while state.ends.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
            self.tick(&mut state);
        }
        let now = self.clock();
        let active: Vec<String> = state
            .runs
            .iter()
            .map(|((task, number), run)| {
                let percent = ((now - run.started) * 100 / run.work.max(1)).min(99);
                let saved = checkpoint(task, run, now);
                format!("[{},{number},\"{saved}\",{percent},0]", quote(task))
            })
            .collect();
        let ends: Vec<String> = state
            .ends
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(n, task, run, how, saved)| {
                format!("[{n},{},{run},\"{how}\",\"{saved}\"]", quote(task))
            })
            .collect();
        let lists = format!(
            ",\"active\":[{}],\"finished\":[{}]",
            active.join(","),
            ends.join(",")
        );
        self.reply(200, &lists)
    }

    fn extend(&self, state: &mut State, until: u64) {
        state.lease = state
            .lease
            .max(until.min(self.clock() + self.settings.hold_max_ms));
        state.has_lapsed = self.clock() > state.lease;
    }

    fn reply(&self, status: u16, rest: &str) -> Reply {
        Reply::Send(
            status,
            format!(
                "{{\"clockMs\":{},\"born\":{}{rest}}}",
                self.clock(),
                self.born
            ),
        )
    }
}

/// Returns the newest checkpoint of a run: 16 digits, or nothing.
fn checkpoint(task: &str, run: &Run, now: u64) -> String {
    let saves = (now - run.started).checked_div(run.save).unwrap_or(0);
    if saves == 0 {
        return String::new();
    }
    let sum = task.bytes().fold(run.started, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(b.into())
    });
    format!("{:08x}{:08x}", saves, sum as u32)
}
