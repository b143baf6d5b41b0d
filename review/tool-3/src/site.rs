//! A small site of the system's own processes and of the project's stand-ins, with the
//! bounds of the site `plume-thies`.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{base64, call};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
pub const SERVICE: &str = "huvo11a";
pub const KEY: &str = "d4a3hwrr6x73d3zji9n7";

/// Bounds of plume-thies.
pub const CANCEL_MS: u64 = 3_000;
pub const DRAIN_MS: u64 = 2_500;
pub const FINISH_S: u64 = 14;
pub const RECOVERY_S: u64 = 12;
pub const ROW_BYTES: usize = 65_536;
const HOLD_MAX_MS: u64 = 10_000;
const STOP_MS: u64 = 900;

/// Zones with their workers, as in plume-thies.
const ZONES: [(&str, usize); 3] = [
    ("dakar-plateau", 4),
    ("thies-centre", 4),
    ("dakar-medina", 3),
];

/// An error that makes a case unplayable.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Milliseconds since boot, the clock of the stand-ins' logs.
pub fn boot_ms() -> u64 {
    let text = fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = text.split(' ').next().and_then(|it| it.parse::<f64>().ok());
    (seconds.unwrap_or(0.0) * 1_000.0) as u64
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// What was sent, answered and run, in the order of the times at which it was seen.
#[derive(Clone)]
pub struct Record {
    started_ms: u64,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started_ms: boot_ms(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.add_at(boot_ms(), line);
    }

    pub fn add_at(&self, at_ms: u64, line: impl Into<String>) {
        self.lines.lock().unwrap().push((at_ms, line.into()));
    }

    /// Returns a time in seconds since the start of the case.
    pub fn seconds(&self, at_ms: u64) -> f64 {
        (at_ms as f64 - self.started_ms as f64) / 1_000.0
    }

    pub fn write(&self, path: &Path) -> Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut file = File::create(path)?;
        for (at, line) in lines {
            writeln!(file, "{:8.2} s  {line}", self.seconds(at))?;
        }
        Ok(())
    }
}

/// A child process, killed when it is dropped.
pub struct Process {
    command: Vec<String>,
    log: PathBuf,
    child: Child,
}

impl Process {
    fn start(command: Vec<String>, log: PathBuf) -> Result<Self> {
        let file = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(&command[0])
            .args(&command[1..])
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .map_err(|err| format!("{}: {err}", command[0]))?;
        Ok(Self {
            command,
            log,
            child,
        })
    }

    fn restart(&mut self) -> Result<()> {
        *self = Self::start(self.command.clone(), self.log.clone())?;
        Ok(())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A run, as the log of its worker shows it.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub worker: String,
    pub started_ms: u64,
    /// How and when it ended.
    pub end: Option<(String, u64)>,
}

pub struct Worker {
    pub id: String,
    pub zone: &'static str,
    /// Where its agent takes its status reports.
    pub reports_to: SocketAddr,
    pub address: SocketAddr,
    process: Process,
}

impl Worker {
    /// Returns its start time, which it states as `born`.
    pub fn born(&self) -> Option<u64> {
        let log = self.process.log();
        let line = log
            .lines()
            .find(|line| line.contains("event=worker_started"))?;
        field(line, "born_ms").parse().ok()
    }

    /// Ends the worker's process.
    pub fn end(&mut self) {
        self.process.kill();
    }
}

/// What a site consists of.
pub struct Options {
    /// Workers at most, of 11.
    pub workers: usize,
    /// Tasks of one core each that a worker can run.
    pub slots: u64,
    /// Whether the last worker's own status reports are dropped: the case sends them.
    pub reports_by_case: bool,
}

pub struct Site {
    pub record: Record,
    pub callers: Vec<SocketAddr>,
    pub entries: Vec<Process>,
    pub workers: Vec<Worker>,
    agents: Vec<Process>,
    _store: Process,
    dir: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

fn free_port() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

fn program(name: &str) -> String {
    format!("target/release/{name}")
}

impl Site {
    /// Starts a site; `proxy` starts a proxy in front of the store and returns its address.
    pub fn start(
        options: &Options,
        record: Record,
        proxy: impl FnOnce(SocketAddr) -> Result<SocketAddr>,
    ) -> Result<Self> {
        let dir = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let store_address = free_port()?;
        let command = vec![
            program("cumindeck-standin-store"),
            "--listen".to_owned(),
            store_address.to_string(),
        ];
        let store = Process::start(command, dir.join("store.log"))?;
        wait_for("the store", || {
            call(
                store_address,
                "GET",
                "/rows-get?table=op&part=",
                &[],
                "",
                Duration::from_secs(1),
            )
            .ok()
        })?;
        let value = base64(&config());
        let row = format!("{{\"key\":\"config\",\"value\":\"{value}\"}}");
        call(
            store_address,
            "PUT",
            "/standin/operator-row",
            &[],
            &row,
            Duration::from_secs(2),
        )?;
        let store_proxy = proxy(store_address)?;
        let mut site = Self {
            record,
            callers: Vec::new(),
            entries: Vec::new(),
            workers: Vec::new(),
            agents: Vec::new(),
            _store: store,
            dir,
        };
        for (zone, _) in ZONES {
            site.start_entry(zone, store_proxy)?;
        }
        let zones = ZONES
            .iter()
            .flat_map(|(zone, count)| (1..=*count).map(move |at| (*zone, at)));
        let zones: Vec<_> = zones.take(options.workers).collect();
        for (at, (zone, number)) in zones.iter().enumerate() {
            let is_last = at + 1 == zones.len();
            site.start_worker(
                options,
                zone,
                *number,
                store_proxy,
                is_last && options.reports_by_case,
            )?;
        }
        for entry in 0..site.callers.len() {
            wait_for("an entry", || {
                site.get_pending(entry)
                    .ok()
                    .filter(|(status, _)| *status == 200)
            })?;
        }
        Ok(site)
    }

    /// Cuts the power of all machines for this time: entries, agents and the workers beside
    /// them. The workers start again under their ids.
    pub fn lose_power(&mut self, down_ms: u64) -> Result<()> {
        let workers = self.workers.iter_mut().map(|worker| &mut worker.process);
        let all = self
            .entries
            .iter_mut()
            .chain(&mut self.agents)
            .chain(workers);
        let mut all: Vec<&mut Process> = all.collect();
        for process in &mut all {
            let _ = process.child.kill();
        }
        for process in &mut all {
            process.kill();
        }
        self.record.add("all machines lose power");
        sleep_ms(down_ms);
        for process in all {
            process.restart()?;
        }
        self.record.add("all machines are back");
        Ok(())
    }

    fn settings(&self, name: &str, lines: &str, store: SocketAddr, memory: u64) -> Result<PathBuf> {
        let internal = free_port()?;
        let text = format!(
            "[node]\nid = {name}\naddress = 127.0.0.1\ninternal-port = {}\n{lines}\n\
             command-mode = invoke\ndescriptors = 4100\nmemory-mb = {memory}\n\
             [store]\naddress = {store}\n\
             [bounds]\nmax-worker-lease-ms = {HOLD_MAX_MS}\nstop-ms = {STOP_MS}\n\
             key-revocation-ms = 5000\nconfig-in-force-ms = 2500\nreclaim-ms = 3400\n\
             job-kept-s = 120\nremote-factor = 3\nrestore-ms = 600\n\
             [scheduling]\norder = uneven\nadmission = uneven\nstops = uneven\nspeeds = uneven\n",
            internal.port()
        );
        let path = self.dir.join(format!("{name}.ini"));
        fs::write(&path, text)?;
        Ok(path)
    }

    fn start_entry(&mut self, zone: &str, store: SocketAddr) -> Result<()> {
        let name = format!("frontend-{zone}-1");
        let (callers, readiness) = (free_port()?, free_port()?);
        let lines = format!("callers = {callers}\nreadiness = {readiness}");
        let settings = self.settings(&name, &lines, store, 260)?;
        let command = vec![
            program("cumindeck-frontend"),
            "--settings".to_owned(),
            settings.display().to_string(),
        ];
        let log = self.dir.join(format!("{name}.log"));
        self.entries.push(Process::start(command, log)?);
        self.callers.push(callers);
        Ok(())
    }

    fn start_worker(
        &mut self,
        options: &Options,
        zone: &'static str,
        number: usize,
        store: SocketAddr,
        reports_by_case: bool,
    ) -> Result<()> {
        let name = format!("side-{zone}-{number}");
        let (address, reports_to) = (free_port()?, free_port()?);
        let lines = format!("worker-calls = {reports_to}\nworker = {address}");
        let settings = self.settings(&name, &lines, store, 128)?;
        let command = vec![
            program("cumindeck-side"),
            "--settings".to_owned(),
            settings.display().to_string(),
        ];
        let agent = Process::start(command, self.dir.join(format!("{name}.log")))?;
        let id = format!("i-7f3a91{:02x}", self.workers.len());
        let rack = format!("r1-{}", self.workers.len() / 3);
        let own_reports_to = match reports_by_case {
            true => start_sink()?,
            false => reports_to,
        };
        let args = [
            ("--listen", address.to_string()),
            ("--id", id.clone()),
            ("--service", SERVICE.to_owned()),
            ("--zone", zone.to_owned()),
            ("--rack", rack),
            ("--agent", own_reports_to.to_string()),
            ("--slots", options.slots.to_string()),
            ("--max-lease-ms", HOLD_MAX_MS.to_string()),
            ("--stop-ms", STOP_MS.to_string()),
            ("--heartbeat-ms", "1500".to_owned()),
        ];
        let args = args
            .into_iter()
            .flat_map(|(key, value)| [key.to_owned(), value]);
        let command = [program("cumindeck-standin-worker")]
            .into_iter()
            .chain(args)
            .collect();
        let process = Process::start(command, self.dir.join(format!("{id}.log")))?;
        self.agents.push(agent);
        self.workers.push(Worker {
            id,
            zone,
            reports_to,
            address,
            process,
        });
        Ok(())
    }

    fn get_pending(&self, entry: usize) -> std::io::Result<(u16, String)> {
        self.request(entry, "GET", "", "", Duration::from_secs(3))
    }

    /// Sends a request of a client for a job, or for the queue if the id is empty.
    pub fn request(
        &self,
        entry: usize,
        method: &str,
        job: &str,
        body: &str,
        wait: Duration,
    ) -> std::io::Result<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("host", HOST),
            ("authorization", key.as_str()),
            ("deadline-ms", "3000"),
        ];
        call(
            self.callers[entry],
            method,
            &format!("{PREFIX}{job}"),
            &headers,
            body,
            wait,
        )
    }

    /// Sends a request of a client and records it with its answer; 0 for no answer.
    pub fn client(
        &self,
        entry: usize,
        method: &str,
        job: &str,
        body: &str,
        wait: Duration,
    ) -> (u16, String) {
        let sent_ms = boot_ms();
        let result = self.request(entry, method, job, body, wait);
        let (status, text) = match &result {
            Ok((status, text)) => (*status, text.clone()),
            Err(err) => (0, err.to_string()),
        };
        let shown = match status {
            0 => "no answer".to_owned(),
            status => status.to_string(),
        };
        let sent = self.record.seconds(sent_ms);
        self.record.add(format!(
            "client: {method} {PREFIX}{job} at frontend {entry}, sent at {sent:.2} s: {shown} {text}"
        ));
        (status, text)
    }

    /// Returns the state of a job as a client sees it.
    pub fn state(&self, entry: usize, job: &str) -> String {
        let (status, text) = self.client(entry, "GET", job, "", Duration::from_secs(3));
        let state = crate::net::string_fields(&text, "state")
            .first()
            .map(|it| (*it).to_owned());
        state.unwrap_or_else(|| status.to_string())
    }

    /// Returns the runs of all workers, from their logs.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs: Vec<Run> = Vec::new();
        for worker in &self.workers {
            for line in worker.process.log().lines() {
                let is_start = line.contains("event=run_started");
                if !is_start && !line.contains("event=run_ended") {
                    continue;
                }
                let (task, at_ms) = (
                    field(line, "task"),
                    field(line, "at_ms").parse().unwrap_or(0),
                );
                let number = field(line, "run").parse().unwrap_or(0);
                if is_start {
                    runs.push(Run {
                        task,
                        number,
                        worker: worker.id.clone(),
                        started_ms: at_ms,
                        end: None,
                    });
                    continue;
                }
                let is_same = |run: &&mut Run| {
                    run.task == task && run.number == number && run.worker == worker.id
                };
                if let Some(run) = runs.iter_mut().find(is_same) {
                    run.end = Some((field(line, "how"), at_ms));
                }
            }
        }
        runs
    }

    /// Returns the lines of the entries' logs that contain a text, for the record.
    pub fn entry_lines(&self, text: &str) -> Vec<String> {
        let lines = self.entries.iter().enumerate().flat_map(|(at, entry)| {
            let log = entry.log();
            let lines = log.lines().filter(|line| line.contains(text));
            lines
                .map(|line| format!("frontend {at}: {line}"))
                .collect::<Vec<_>>()
        });
        lines.collect()
    }
}

fn field(line: &str, name: &str) -> String {
    let pattern = format!(" {name}=");
    let rest = line.split_once(&pattern).map_or("", |(_, rest)| rest);
    rest.split(' ')
        .next()
        .unwrap_or_default()
        .trim_matches('"')
        .to_owned()
}

/// Accepts connections and answers all requests with 200.
fn start_sink() -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                while crate::net::read_message(&mut stream).is_some() {
                    if stream
                        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}

/// Polls until there is a value.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> Result<T> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if let Some(value) = poll() {
            return Ok(value);
        }
        sleep_ms(50);
    }
    Err(format!("{what} did not come up within 10 s").into())
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-3ajwyy7\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
         \"routeType\":\"non_idempotent\",\"timeoutMs\":3000,\"targetDurationMs\":3000,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":3,\"slackFactor\":3.0,\"anonymous\":false}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/healthz\",\"maxConnections\":64,\
         \"protocol\":\"h1\",\"enforcesCapacity\":true}}],\
         \"tenants\":[{{\"name\":\"kaje80\",\"apiKeys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":16}}}}]}}"
    )
}
