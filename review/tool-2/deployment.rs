//! A small deployment: the project's programs as processes, the store and the workers.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Response};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, WorkerSettings};

/// Path of the settings file in the commands of the deploy file.
const SETTINGS_PATH: &str = "/etc/cumindeck/settings.toml";

pub const SERVICE: &str = "huvo11a";
pub const HOST: &str = "nony24.example";
/// Time that clients wait for a response.
pub const CLIENT_WAIT: Duration = Duration::from_millis(3_000);

/// Bounds of a deployment, as the pages give them for the small sites.
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const DRAIN: Duration = Duration::from_millis(2_500);
pub const REVOKE: Duration = Duration::from_millis(5_000);
pub const RECLAIM: Duration = Duration::from_millis(2_900);
pub const FINISH: Duration = Duration::from_secs(14);

/// Processes that are running; all are killed at the end of the case.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills all processes that the case has started.
pub fn kill_children() {
    let mut children = CHILDREN.lock().unwrap_or_else(|err| err.into_inner());
    for child in children.iter_mut() {
        let _ = child.kill();
    }
    for child in children.iter_mut() {
        let _ = child.wait();
    }
    children.clear();
}

/// Addresses of an entry.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    internal: SocketAddr,
    process: u32,
}

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub entries: Vec<Entry>,
    pub workers: Vec<Worker>,
    dir: PathBuf,
    operator: Operator,
    /// Addresses of removed machines, which accept connections and never answer.
    dark: Vec<TcpListener>,
}

/// A queue of the configuration.
pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub max_attempts: u64,
}

/// A tenant of the configuration.
pub struct Tenant<'a> {
    pub name: &'a str,
    pub keys: &'a [&'a str],
    /// Accelerators that belong to its urgent jobs.
    pub guaranteed: u64,
}

impl Deployment {
    pub fn new(record: &Record) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("cumindeck-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store = Store::start()?;
        Ok(Self {
            record: record.clone(),
            entries: Vec::new(),
            workers: Vec::new(),
            dir,
            operator: Operator {
                record: record.clone(),
                store: store.clone(),
                version: Arc::default(),
            },
            store,
            dark: Vec::new(),
        })
    }

    /// Starts an entry that reaches the store at an address.
    pub fn start_entry(&mut self, name: &str, store: SocketAddr) -> io::Result<()> {
        let [internal, callers, readiness] = free_addresses()?;
        let fields = [
            ("bindAddrs.frontend", callers),
            ("bindAddrs.readiness", readiness),
        ];
        let fields = fields.map(|(name, address)| (name, address.to_string()));
        let process = self.start_process("entry", name, internal, store, &fields)?;
        self.entries.push(Entry {
            name: name.to_owned(),
            callers,
            readiness,
            internal,
            process,
        });
        Ok(())
    }

    /// Kills an entry for good; its machine does not answer any more.
    pub fn remove_entry(&mut self, at: usize) -> io::Result<()> {
        let entry = self.entries.remove(at);
        let mut children = CHILDREN.lock().unwrap();
        for child in children
            .iter_mut()
            .filter(|child| child.id() == entry.process)
        {
            child.kill()?;
            child.wait()?;
        }
        self.dark.push(TcpListener::bind(entry.internal)?);
        self.record.note(format!("{} is removed", entry.name));
        Ok(())
    }

    pub fn is_ready(&self, entry: &Entry) -> bool {
        let reply = http::call(entry.readiness, "GET", "/readyz", &[], "", CLIENT_WAIT);
        reply.is_ok_and(|reply| reply.status == 200)
    }

    /// Starts a worker and the agent beside it. The agent calls the worker at the address
    /// that `front` returns for the worker's own.
    pub fn start_worker(
        &mut self,
        settings: WorkerSettings,
        front: impl FnOnce(SocketAddr) -> io::Result<SocketAddr>,
    ) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let app = front(listener.local_addr()?)?;
        let [internal, calls] = free_addresses()?;
        let fields = [
            ("bindAddrs.controlPlane", calls.to_string()),
            ("app", app.to_string()),
        ];
        let name = format!("side-{}-{}", settings.zone, self.workers.len() + 1);
        self.start_process("agent", &name, internal, self.store.address, &fields)?;
        self.workers
            .push(Worker::start(settings, listener, calls, &self.record)?);
        Ok(())
    }

    /// Runs the command of a role of the deploy file, with settings from its template.
    fn start_process(
        &self,
        role: &str,
        name: &str,
        internal: SocketAddr,
        store: SocketAddr,
        more: &[(&str, String)],
    ) -> io::Result<u32> {
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let section = deploy
            .split("\n[")
            .find(|text| text.starts_with(&format!("roles.{role}]")));
        let line_of = |key: &str| {
            let lines = section.unwrap_or_default().lines();
            let values =
                lines.filter_map(|line| line.strip_prefix(key)?.trim_start().strip_prefix("="));
            values
                .map(|value| value.trim().trim_matches('"').to_owned())
                .next()
        };
        let missing = || io::Error::other(format!("the deploy file has no role {role}"));
        let command = line_of("run").ok_or_else(missing)?;
        let template = fs::read_to_string(line_of("template").ok_or_else(missing)?)?;

        let mut fields: BTreeMap<&str, String> = BTreeMap::from([
            ("nodeName", name.to_owned()),
            ("ip", internal.ip().to_string()),
            ("internalPorts.0", internal.port().to_string()),
            ("commandMode", "invoke".to_owned()),
            ("limits.maxFds", "4100".to_owned()),
            ("platform.address", store.to_string()),
            ("bounds.holdMaxMs", "10000".to_owned()),
            ("bounds.stopMs", "400".to_owned()),
            ("bounds.revokeMs", "5000".to_owned()),
            ("bounds.configApplyMs", "2500".to_owned()),
            ("bounds.reclaimMs", "2900".to_owned()),
            ("bounds.status_s", "120".to_owned()),
            ("bounds.remoteFactor", "3".to_owned()),
        ]);
        fields.extend(more.iter().map(|(name, value)| (*name, value.clone())));
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, render(&template, &fields))?;

        let command = command.replace(SETTINGS_PATH, &settings.display().to_string());
        let mut words = command.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::create(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(words)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(format!("{name} is process {}", child.id()));
        let process = child.id();
        CHILDREN.lock().unwrap().push(child);
        Ok(process)
    }

    /// Writes a configuration as the operator, and returns the time of its ack.
    pub fn configure(&self, queues: &[Queue], tenants: &[Tenant]) -> Duration {
        self.operator.configure(queues, tenants)
    }

    /// Returns the operator, who acts beside the clients.
    pub fn operator(&self) -> Operator {
        self.operator.clone()
    }

    /// Waits until all entries are ready and a job has run on the first of them.
    pub fn wait_until_up(&self, queue: &str, key: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        while !self.entries.iter().all(|entry| self.is_ready(entry)) {
            if Instant::now() > until {
                return Err("the entries are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        let job = "00000000000000ff";
        self.submit(0, queue, job, key, &Job::small(100));
        while self.state(0, queue, job, key) != "completed" {
            if Instant::now() > until {
                return Err("the first job does not end".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Sends a client's request to an entry; 0 stands for no response.
    pub fn ask(&self, entry: usize, method: &str, path: &str, key: &str, body: &str) -> Response {
        let bearer = format!("Bearer {key}");
        let headers = [("host", HOST), ("authorization", bearer.as_str())];
        let address = self.entries[entry].callers;
        let reply = http::call(address, method, path, &headers, body, CLIENT_WAIT);
        reply.unwrap_or(Response {
            status: 0,
            body: String::new(),
        })
    }

    /// Submits a job, records the answer and returns its status.
    pub fn submit(&self, entry: usize, queue: &str, job: &str, key: &str, body: &Job) -> u16 {
        let body = body.body().to_string();
        let response = self.ask(entry, "POST", &format!("/{queue}/{job}"), key, &body);
        let shown: String = body.chars().take(200).collect();
        let entry = &self.entries[entry].name;
        self.record.note(format!(
            "POST /{queue}/{job} {shown} at {entry} -> {}",
            response.status
        ));
        response.status
    }

    /// Returns the state of a job; empty without one.
    pub fn state(&self, entry: usize, queue: &str, job: &str, key: &str) -> String {
        let response = self.ask(entry, "GET", &format!("/{queue}/{job}"), key, "");
        let body = Json::parse(&response.body).unwrap_or(Json::Null);
        body.get("state").text().to_owned()
    }

    /// Returns whether at least three quarters of processors and accelerators are idle.
    pub fn has_room(&self) -> bool {
        let total = |of: fn(&WorkerSettings) -> u64| {
            self.workers.iter().map(|it| of(&it.settings)).sum::<u64>()
        };
        let used = self
            .workers
            .iter()
            .map(Worker::used)
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        used.0 * 4 <= total(|it| it.cpu) && used.1 * 4 <= total(|it| it.gpu)
    }

    /// Returns whether a run of a job is active.
    pub fn runs_job(&self, job: &str) -> bool {
        self.workers.iter().any(|worker| worker.runs_job(job))
    }
}

/// The operator, who writes to the store.
#[derive(Clone)]
pub struct Operator {
    record: Record,
    store: Store,
    /// Version of the newest configuration.
    version: Arc<AtomicU64>,
}

impl Operator {
    /// Writes a configuration with these queues and tenants, and returns the time of its ack.
    pub fn configure(&self, queues: &[Queue], tenants: &[Tenant]) -> Duration {
        let version = self.version.fetch_add(7, Ordering::SeqCst) + 7;
        let route = |queue: &Queue| {
            object(vec![
                ("name", queue.name.into()),
                ("host", HOST.into()),
                ("prefix", format!("/{}/", queue.name).as_str().into()),
                ("routeType", "non_idempotent".into()),
                ("timeoutMs", 3_000.into()),
                ("targetDurationMs", 3_000.into()),
                ("priority", queue.priority.into()),
                ("service", SERVICE.into()),
                ("maxAttempts", queue.max_attempts.into()),
                ("slackFactor", 3.into()),
                ("anonymous", false.into()),
                ("allowedRegions", Json::List(Vec::new())),
            ])
        };
        let service = object(vec![
            ("name", SERVICE.into()),
            ("healthPath", "/healthz".into()),
            ("maxConnections", 64.into()),
            ("enforcesCapacity", true.into()),
            ("standby", false.into()),
        ]);
        let tenant = |tenant: &Tenant| {
            object(vec![
                ("name", tenant.name.into()),
                (
                    "apiKeys",
                    Json::List(tenant.keys.iter().map(|key| (*key).into()).collect()),
                ),
                ("priority", 1.into()),
                (
                    "guaranteed",
                    object(vec![("gpu", tenant.guaranteed.into())]),
                ),
            ])
        };
        let config = object(vec![
            ("version", version.into()),
            ("routes", Json::List(queues.iter().map(route).collect())),
            ("services", Json::List(vec![service])),
            ("limits", object(vec![("maxBodyBytes", 262_144.into())])),
            ("tenants", Json::List(tenants.iter().map(tenant).collect())),
        ]);
        self.store.put("config", &config);
        let keys: Vec<_> = tenants
            .iter()
            .map(|tenant| (tenant.name, tenant.keys))
            .collect();
        self.record.note(format!(
            "configuration {version} with the keys {keys:?} acknowledged"
        ))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        kill_children();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// A job as a client submits it; all its steps are alike and wait for no other.
#[derive(Clone, Default)]
pub struct Job {
    pub steps: u64,
    /// Number of tasks of each step, and the resources of a task.
    pub count: u64,
    pub cpu: u64,
    pub gpu: u64,
    /// Work of a task in milliseconds; `None` for tasks that last.
    pub work: Option<u64>,
    pub estimate_ms: u64,
    pub gang: bool,
    /// Maximum number of tasks of a step on one worker; 0 for no limit.
    pub per_worker: u64,
    /// Number of occurrences, and the time between two; 0 for a job without a schedule.
    pub repeat: u64,
    pub interval_ms: u64,
    /// Further words for the workers.
    pub words: &'static str,
}

impl Job {
    /// Returns a job with one task.
    pub fn small(work: u64) -> Self {
        Self {
            steps: 1,
            count: 1,
            cpu: 1_000,
            gpu: 1,
            work: Some(work),
            estimate_ms: work,
            ..Self::default()
        }
    }

    fn body(&self) -> Json {
        let work = self
            .work
            .map(|work| format!("work={work} "))
            .unwrap_or_default();
        let text = format!("{work}cpu={} gpu={} {}", self.cpu, self.gpu, self.words);
        let fields = [
            ("count", self.count),
            ("cpu", self.cpu),
            ("memMb", 64),
            ("gpu", self.gpu),
            ("estimateMs", self.estimate_ms),
            ("antiAffinity", self.per_worker),
        ];
        // Fields whose value is 0, false or empty are omitted.
        let fields = fields.into_iter().filter(|(_, value)| *value > 0);
        let mut step: Vec<(&str, Json)> =
            fields.map(|(name, value)| (name, value.into())).collect();
        step.extend(self.gang.then_some(("gang", true.into())));
        step.extend(self.work.is_none().then_some(("longRunning", true.into())));
        let steps = vec![object(step); self.steps as usize];
        let mut job = vec![
            ("taskSpec", text.trim_end().into()),
            ("steps", Json::List(steps)),
        ];
        if self.repeat > 0 {
            job.push(("repeatCount", self.repeat.into()));
            job.push(("firstRunMs", unix_ms().into()));
            job.push(("intervalMs", self.interval_ms.into()));
        }
        object(job)
    }
}

/// Returns the time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Fills the placeholders of a template; those without a value are left empty.
fn render(template: &str, fields: &BTreeMap<&str, String>) -> String {
    let mut parts = template.split("{{");
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let (name, rest) = part.split_once("}}").unwrap_or((part, ""));
        text += fields.get(name).map_or("", String::as_str);
        text += rest;
    }
    text
}

/// Returns free addresses on loopback.
///
/// Their ports are below those that the system gives to outgoing connections.
fn free_addresses<const N: usize>() -> io::Result<[SocketAddr; N]> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 180) as u16 * 100;
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for address in &mut addresses {
        loop {
            let next = NEXT.fetch_add(1, Ordering::Relaxed);
            if next >= 1_000 {
                return Err(io::Error::other("there are no free ports"));
            }
            address.set_port(first + next);
            if TcpListener::bind(*address).is_ok() {
                break;
            }
        }
    }
    Ok(addresses)
}
