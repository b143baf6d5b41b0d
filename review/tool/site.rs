//! A small site: the project's programs and the workers as processes, the store and the
//! clients in this one.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{Json, quote};
use crate::store::Store;
use crate::unix_ms;

pub const HOST: &str = "review.example";
pub const KEY: &str = "key-one";
/// Bounds of the site mizani-haki.
const STOP_MS: u64 = 400;
const HOLD_MAX_MS: u64 = 10_000;

/// What was seen: at which Unix millisecond, at whom, and what.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: u64,
    pub who: String,
    pub what: Vec<String>,
}

/// Everything that was sent, answered and run, also written to record.txt.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(Vec<Seen>, File)>>);

impl Record {
    pub fn note(&self, who: &str, what: &str) {
        self.note_at(unix_ms(), who, what);
    }

    fn note_at(&self, at: u64, who: &str, what: &str) {
        let mut guard = self.0.lock().unwrap();
        let _ = writeln!(guard.1, "{at} {who} {what}");
        let what = what.split(' ').map(str::to_owned).collect();
        guard.0.push(Seen {
            at,
            who: who.to_owned(),
            what,
        });
    }

    pub fn all(&self) -> Vec<Seen> {
        let mut seen = self.0.lock().unwrap().0.clone();
        seen.sort_by_key(|seen| seen.at);
        seen
    }
}

/// A worker to start.
#[derive(Clone)]
pub struct WorkerSpec {
    pub zone: &'static str,
    pub label: &'static str,
}

pub struct Site {
    pub store: Store,
    pub record: Record,
    pub entries: Vec<SocketAddr>,
    pub dir: PathBuf,
    names: Vec<String>,
    processes: BTreeMap<String, Child>,
    config_version: u64,
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns a free port below the range from which clients' ports are taken, so that no
/// connection takes it before its process does.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = (std::process::id() * 64 % 20_000) as u16;
    loop {
        let port = 10_000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl Site {
    /// Starts three entries and the workers with their agents, in the folder REVIEW_DIR;
    /// `None` if they don't serve within 20 s.
    pub fn start(record_path: &str, workers: &[WorkerSpec]) -> Option<Site> {
        let dir = PathBuf::from(std::env::var_os("REVIEW_DIR")?);
        let file = File::create(record_path).ok()?;
        let mut site = Site {
            store: Store::new(),
            record: Record(Arc::new(Mutex::new((Vec::new(), file)))),
            entries: Vec::new(),
            dir,
            names: Vec::new(),
            processes: BTreeMap::new(),
            config_version: 0,
        };
        site.configure(&[KEY]);
        for at in 1..=3 {
            let (callers, ready) = (free_port(), free_port());
            let name = format!("frontend-{at}");
            site.names.push(name.clone());
            let lines = format!("callers = {callers}\nreadiness = {ready}\n");
            site.program(at - 1, &name, "cumindeck-frontend", &lines)?;
            site.entries.push(callers);
        }
        for (at, worker) in workers.iter().enumerate() {
            let (address, calls) = (free_port(), free_port());
            let name = format!("side-{}-{}", worker.zone, at + 1);
            let lines = format!("worker-calls = {calls}\nworker = {address}\n");
            site.program(100 + at, &name, "cumindeck-side", &lines)?;
            site.worker(at + 1, worker, address, calls)?;
        }
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(20) {
            std::thread::sleep(Duration::from_millis(100));
            let all = (0..3).all(|entry| {
                let answer = site.ask(entry, "GET", "", "");
                answer.is_some_and(|(status, _)| status == 200)
            });
            if all && site.store.system_row("duty").is_some() {
                // The workers have reported to the leader by then.
                std::thread::sleep(Duration::from_millis(2_500));
                return Some(site);
            }
        }
        None
    }

    /// Writes a configuration with one queue and one tenant with these keys.
    pub fn configure(&mut self, keys: &[&str]) {
        self.config_version += 3;
        let keys: Vec<String> = keys.iter().map(|key| quote(key)).collect();
        let config = format!(
            "{{\"version\":{},\"routes\":[{{\"name\":\"checks\",\"host\":\"{HOST}\",\"prefix\":\"/checks/\",\"service\":\"checks\",\
             \"priority\":1,\"maxAttempts\":3,\"slackFactor\":3.0,\"targetDurationMs\":3000}}],\
             \"services\":[{{\"name\":\"checks\",\"enforcesCapacity\":false}}],\"limits\":{{}},\
             \"tenants\":[{{\"name\":\"clinic\",\"apiKeys\":[{}],\"guaranteed\":{{\"gpu\":8}}}}]}}",
            self.config_version,
            keys.join(",")
        );
        self.store.operate("config", Some(&config));
        self.record.note(
            "operator",
            &format!("config {} acknowledged", self.config_version),
        );
    }

    fn program(&mut self, caller: usize, name: &str, program: &str, lines: &str) -> Option<()> {
        let internal = free_port();
        let store = self.store.listen(caller);
        let text = format!(
            "[node]\nid = {name}\naddress = {}\ninternal-port = {}\n{lines}command-mode = invoke\ndescriptors = 4096\n\
             [store]\naddress = {store}\n\
             [bounds]\nmax-worker-lease-ms = {HOLD_MAX_MS}\nstop-ms = {STOP_MS}\nkey-revocation-ms = 5000\n\
             config-in-force-ms = 2500\nreclaim-ms = 2900\njob-kept-s = 120\nremote-factor = 3\n",
            internal.ip(),
            internal.port()
        );
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, text).ok()?;
        let log = File::create(self.dir.join(format!("{name}.log"))).ok()?;
        let child = Command::new(format!("target/release/{program}"))
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().ok()?)
            .stdout(log)
            .spawn()
            .ok()?;
        self.record.note(name, "started");
        self.keep(name, child)
    }

    fn worker(
        &mut self,
        at: usize,
        spec: &WorkerSpec,
        address: SocketAddr,
        agent: SocketAddr,
    ) -> Option<()> {
        let name = format!("worker-{at}");
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args([
                "worker",
                &format!("i-7f3a91c2{at:02}"),
                spec.zone,
                "checks",
                spec.label,
            ])
            .args([
                address.to_string(),
                agent.to_string(),
                STOP_MS.to_string(),
                HOLD_MAX_MS.to_string(),
            ])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        let out = BufReader::new(child.stdout.take()?);
        let (record, who) = (self.record.clone(), name.clone());
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                if let Some((at, what)) = line.split_once(' ') {
                    record.note_at(at.parse().unwrap_or(0), &who, what);
                }
            }
        });
        self.keep(&name, child)
    }

    /// Keeps a process, and notes its id for the script, which ends what is left.
    fn keep(&mut self, name: &str, child: Child) -> Option<()> {
        let mut pids = File::options()
            .append(true)
            .create(true)
            .open(self.dir.join("pids"))
            .ok()?;
        writeln!(pids, "{}", child.id()).ok()?;
        self.processes.insert(name.to_owned(), child);
        Some(())
    }

    /// Sends SIGKILL to a process that this site started.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(name, "killed");
        }
    }

    /// Returns the number of the entry that leads, by the row in the store.
    pub fn leader(&self) -> Option<usize> {
        let row = Json::parse(&self.store.system_row("duty")?)?;
        self.names
            .iter()
            .position(|name| name == row.get("holder").text())
    }

    /// Sends a client's request; `None` without an answer in 3 s.
    pub fn ask(&self, entry: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        ask_at(self.entries[entry], &self.record, method, id, body, KEY)
    }

    /// Hands a job in as a client does: up to five times with the same id, at the next
    /// entry each time, unless it is accepted or its answer is final.
    pub fn submit(&self, first: usize, id: &str, job: &str) -> bool {
        for attempt in 0..5 {
            let answer = self.ask((first + attempt) % 3, "POST", id, job);
            match answer.map(|(status, _)| status) {
                Some(200..=299) => return true,
                Some(400 | 401 | 403 | 404) => return false,
                _ => std::thread::sleep(Duration::from_millis(500)),
            }
        }
        false
    }
}

/// Returns a job's body: steps of a count of tasks, each needing processors (in
/// thousandths) and accelerators; the tasks of each step work for `ms`.
pub fn job(steps: &[(u32, u64, u64)], ms: u64, label: &str) -> String {
    let step = |at: usize, (count, cpu, gpu): &(u32, u64, u64)| {
        let after = if at > 0 {
            format!(",\"after\":[{}]", at - 1)
        } else {
            String::new()
        };
        let gpu = if *gpu > 0 {
            format!(",\"gpu\":{gpu}")
        } else {
            String::new()
        };
        let label = if label.is_empty() {
            String::new()
        } else {
            format!(",\"requirements\":{}", quote(label))
        };
        format!(
            "{{\"count\":{count},\"cpu\":{cpu},\"memMb\":64,\"estimateMs\":{ms}{gpu}{after}{label}}}"
        )
    };
    let steps: Vec<String> = steps
        .iter()
        .enumerate()
        .map(|(at, it)| step(at, it))
        .collect();
    format!(
        "{{\"taskSpec\":\"work={ms}\",\"steps\":[{}]}}",
        steps.join(",")
    )
}

/// Sends a request with a key to an entry and records its answer.
pub fn ask_at(
    entry: SocketAddr,
    record: &Record,
    method: &str,
    id: &str,
    body: &str,
    key: &str,
) -> Option<(u16, String)> {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("Host", HOST),
        ("Authorization", authorization.as_str()),
        ("Deadline-Ms", "3000"),
    ];
    let path = format!("/checks/{id}");
    let limit = Duration::from_millis(3_000);
    let who = format!("client at {entry}:");
    if !id.is_empty() {
        record.note(&who, &format!("sends {method} {id} {body}"));
    }
    let answer = call(entry, method, &path, &headers, body, limit);
    if !id.is_empty() {
        let text = match &answer {
            Some((status, body)) => format!("gets {method} {id} {status} {body}"),
            None => format!("gets {method} {id} no answer"),
        };
        record.note(&who, &text);
    }
    answer
}
