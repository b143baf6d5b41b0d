//! A small site of real processes, with relays on the links that faults affect.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use cumindeck_e2e::{Client, Fault, Process, Relay, free_port, wait_for};
use cumindeck_standins::fleet::{QueueConfig, StoreFaults};
use eyre::{ContextCompat, ensure};
use rustix::process::Signal;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use tempfile::TempDir;

use crate::other_writer::OddMessage;

/// Number of entries, unless a site has fewer.
pub const ENTRIES: usize = 3;

/// Number of workers, each with an agent, unless a site has fewer.
pub const WORKERS: usize = 4;

/// Number of tasks that a worker can run.
pub const SLOTS: u64 = 4;

/// Value of the `host` header of callers' requests.
pub const HOST: &str = "soak.example";

/// Path prefix of callers' requests; the id of a job follows it.
pub const PATH_PREFIX: &str = "/letters/";

/// API key in the configuration, which callers send as a bearer token.
pub const API_KEY: &str = "soak-key";

/// Maximum number of runs per task.
pub const MAX_ATTEMPTS: u64 = 3;

/// Maximum lease of a worker in milliseconds; short, so that the tasks of a lost worker
/// run elsewhere before a seed ends.
const MAX_LEASE_MS: u64 = 4_000;

/// Maximum time to stop a run, in milliseconds.
const STOP_MS: u64 = 200;

/// Timeout of the start of the site.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Processes and faults of a site.
#[derive(Debug, Clone, Copy)]
pub struct SiteOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of workers, each with an agent.
    pub workers: usize,
    /// Workers carry every n-th call out late and without an answer; none if it is 0.
    pub late_every: u64,
    /// Maximum number of open descriptors of each entry and agent.
    pub descriptors: usize,
    /// Memory of the machine of each entry and agent in MB.
    pub memory_mb: u64,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            entries: ENTRIES,
            workers: WORKERS,
            late_every: 0,
            descriptors: 1_024,
            memory_mb: 160,
        }
    }
}

/// A process that can be paused, killed and restarted.
pub struct ManagedProcess {
    name: String,
    binary: &'static str,
    args: Vec<String>,
    process: Option<Process>,
    /// Times of all kills, in milliseconds since boot.
    kill_times_ms: Vec<u64>,
    is_paused: bool,
    /// When it was last started, killed or resumed, in milliseconds since boot.
    changed_ms: u64,
}

impl ManagedProcess {
    fn new(
        dir: &Path,
        name: String,
        binary: &'static str,
        args: Vec<String>,
    ) -> eyre::Result<Self> {
        let process = Process::start(dir, &name, binary, &args)?;
        Ok(Self {
            name,
            binary,
            args,
            process: Some(process),
            kill_times_ms: Vec::new(),
            is_paused: false,
            changed_ms: boot_ms(),
        })
    }

    /// Returns the process, unless it was killed.
    pub const fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Waits until the process ends and returns its exit status.
    pub async fn wait_exit(&mut self, limit: Duration) -> eyre::Result<i32> {
        let process = self.process.as_mut();
        let process = process.wrap_err("the process was killed")?;
        process.wait_exit(limit).await
    }

    /// Returns the process's name, which is also that of its log.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the times of all kills, in milliseconds since boot.
    pub fn kill_times_ms(&self) -> &[u64] {
        &self.kill_times_ms
    }

    /// Returns when the process was last started, killed or resumed, in milliseconds since
    /// boot.
    pub const fn changed_ms(&self) -> u64 {
        self.changed_ms
    }

    /// Returns whether the process has been started and is neither killed nor paused.
    pub const fn is_up(&self) -> bool {
        self.process.is_some() && !self.is_paused
    }

    /// Kills the process. A paused process is resumed first, so that its log shows what it
    /// did before the kill.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.resume()?;
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            self.changed_ms = boot_ms();
            self.kill_times_ms.push(self.changed_ms);
        }
        Ok(())
    }

    /// Starts the process again if it isn't running.
    pub fn restart(&mut self, dir: &Path) -> eyre::Result<()> {
        let has_ended = match &mut self.process {
            Some(process) => process.exit_code()?.is_some(),
            None => true,
        };
        if has_ended {
            self.process = Some(Process::start(dir, &self.name, self.binary, &self.args)?);
            self.is_paused = false;
            self.changed_ms = boot_ms();
        }
        Ok(())
    }

    /// Pauses the process.
    pub fn pause(&mut self) -> eyre::Result<()> {
        self.is_paused = true;
        self.signal(Signal::STOP)
    }

    /// Resumes the process if it is paused.
    pub fn resume(&mut self) -> eyre::Result<()> {
        match std::mem::take(&mut self.is_paused) {
            true => {
                self.changed_ms = boot_ms();
                self.signal(Signal::CONT)
            }
            false => Ok(()),
        }
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) -> eyre::Result<()> {
        let Some(process) = &mut self.process else {
            return Ok(());
        };
        match process.exit_code()? {
            Some(_) => Ok(()),
            None => process.signal(signal),
        }
    }
}

/// A small site with its stand-ins and the relays between its processes.
pub struct Site {
    dir: TempDir,
    client: Client,
    store_address: SocketAddr,
    /// Stand-in of the metadata store, which faults pause but never kill.
    pub store: ManagedProcess,
    /// Entries by number: the first is `entry-0`.
    pub entries: Vec<ManagedProcess>,
    /// Agents; each serves the worker with the same index.
    pub agents: Vec<ManagedProcess>,
    /// Workers; `zone` returns the zone of each by its index.
    pub workers: Vec<ManagedProcess>,
    /// Relays between entries or agents and the store: those of entries first.
    pub store_relays: Vec<Relay>,
    /// Relays between agents and their workers, for the agents' calls.
    pub worker_relays: Vec<Relay>,
    /// Relays between workers and their agents, for the workers' heartbeats.
    pub heartbeat_relays: Vec<Relay>,
    /// Addresses at which agents receive heartbeats, without a relay.
    heartbeats: Vec<SocketAddr>,
    /// Addresses of the workers, without a relay.
    worker_addresses: Vec<SocketAddr>,
    /// Whether each worker's relay is cut, and when that changed last, in milliseconds since
    /// boot.
    cuts: Vec<(bool, u64)>,
    callers: Vec<SocketAddr>,
    config_version: u64,
    options: SiteOptions,
    /// Addresses of the entries' and then the agents' listeners for other processes, in
    /// the order of their starts.
    internal: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
}

impl Site {
    /// Starts all processes and waits until the entries serve callers.
    pub async fn start(options: SiteOptions) -> eyre::Result<Self> {
        let dir = TempDir::with_prefix("cumindeck-soak-")?;
        let store_address = free_port()?;
        let args = vec!["--listen".to_owned(), store_address.to_string()];
        let store = ManagedProcess::new(
            dir.path(),
            "store".to_owned(),
            "cumindeck-standin-store",
            args,
        )?;
        let mut site = Self {
            client: Client::default(),
            store_address,
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            store_relays: Vec::new(),
            worker_relays: Vec::new(),
            heartbeat_relays: Vec::new(),
            heartbeats: Vec::new(),
            worker_addresses: Vec::new(),
            cuts: Vec::new(),
            callers: Vec::new(),
            config_version: 0,
            options,
            internal: Vec::new(),
            readiness: Vec::new(),
            dir,
        };
        wait_for("the store", START_TIMEOUT, async || {
            site.set_store_faults(&StoreFaults::default()).await.ok()
        })
        .await?;
        site.change_config().await?;
        for entry in 0..options.entries {
            site.start_entry(entry).await?;
        }
        for _ in 0..options.workers {
            site.start_worker().await?;
        }
        for entry in 0..options.entries {
            let (client, address) = (&site.client, site.callers[entry]);
            let headers = [("host", HOST), ("authorization", "Bearer soak-key")];
            wait_for("an entry", START_TIMEOUT, async || {
                let response = client.call("GET", address, PATH_PREFIX, &headers, "").await;
                response.ok().filter(|response| response.status == 200)
            })
            .await?;
        }
        Ok(site)
    }

    /// Returns the entries' addresses for callers.
    pub fn callers(&self) -> &[SocketAddr] {
        &self.callers
    }

    /// Returns the entries' addresses for readiness probes.
    pub fn readiness(&self) -> &[SocketAddr] {
        &self.readiness
    }

    /// Returns the addresses for other processes, first those of the entries and then
    /// those of the agents.
    pub fn internal(&self) -> &[SocketAddr] {
        &self.internal
    }

    /// Returns the agents' addresses for calls of their workers.
    pub fn heartbeats(&self) -> &[SocketAddr] {
        &self.heartbeats
    }

    /// Returns the client for calls to the site.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the start time of a worker as it logs it; 0 before its start.
    pub fn worker_started_ms(&self, worker: usize) -> u64 {
        let log = self.log(self.workers[worker].name());
        let started = log
            .lines()
            .rfind(|line| line.contains("event=worker_started"));
        let born = started.and_then(|line| line.split_once("born_ms="));
        let born = born.and_then(|(_, rest)| rest.split(' ').next());
        born.and_then(|born| born.parse().ok()).unwrap_or(0)
    }

    /// Returns the directory of settings and logs.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the log of a process; empty if it can't be read.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sets the injected faults of the store.
    pub async fn set_store_faults(&mut self, faults: &StoreFaults) -> eyre::Result<()> {
        let body = serde_json::to_vec(faults)?;
        self.put("/standin/faults", body).await
    }

    /// Writes a new version of the configuration.
    pub async fn change_config(&mut self) -> eyre::Result<()> {
        self.config_version += 1;
        let config = QueueConfig {
            version: self.config_version,
            host: HOST,
            prefix: PATH_PREFIX,
            service: "letters",
            key: API_KEY,
            max_attempts: MAX_ATTEMPTS,
        };
        let value = BASE64.encode(config.to_json());
        let row = json!({ "key": "config", "value": value });
        self.put("/standin/operator-row", row.to_string().into_bytes())
            .await
    }

    /// Evacuates a zone or ends its evacuation.
    pub async fn set_evacuation(&mut self, zone: &str, is_evacuated: bool) -> eyre::Result<()> {
        let value = is_evacuated.then(|| BASE64.encode("{}"));
        let row = json!({ "key": format!("evacuate/{zone}"), "value": value });
        self.put("/standin/operator-row", row.to_string().into_bytes())
            .await
    }

    /// Sends a message of another writer to the agent of a worker.
    pub async fn send_odd_message(&self, worker: usize, message: OddMessage) {
        let started_ms = self.worker_started_ms(worker);
        let id = format!("w-{worker}");
        message.send(self.heartbeats[worker], &id, started_ms).await;
    }

    /// Has a worker keep the next acknowledgement for its next incarnation; the call ends when
    /// the worker has got one.
    pub fn keep_acknowledgement(
        &self,
        worker: usize,
    ) -> impl Future<Output = eyre::Result<()>> + use<> {
        let (client, address) = (self.client.clone(), self.worker_addresses[worker]);
        async move {
            let path = "/standin/keep-acknowledgement";
            let response = client.call("PUT", address, path, &[], "").await?;
            ensure!(response.status == 200, "{path}: status {}", response.status);
            Ok(())
        }
    }

    /// Cuts the connections between a worker and its agent, or restores them.
    pub fn set_cut(&mut self, worker: usize, is_cut: bool) {
        let fault = if is_cut { Fault::Cut } else { Fault::NONE };
        self.worker_relays[worker].set(fault);
        self.heartbeat_relays[worker].set(fault);
        self.cuts[worker] = (is_cut, boot_ms());
    }

    /// Returns since when a worker and all processes on the way to it are up and can reach
    /// each other, in milliseconds since boot; `None` if they can't.
    pub fn reachable_since_ms(&self, worker: usize) -> Option<u64> {
        let (is_cut, cut_changed_ms) = self.cuts[worker];
        let processes = [&self.workers[worker], &self.agents[worker], &self.store];
        let is_reachable = !is_cut
            && processes.iter().all(|process| process.is_up())
            && self.entries.iter().any(ManagedProcess::is_up);
        // While an entry is down, another one takes its duties over.
        let entries = self.entries.iter().map(ManagedProcess::changed_ms);
        let changes = processes.iter().map(|process| process.changed_ms());
        let since = changes.chain(entries).chain([cut_changed_ms]).max();
        since.filter(|_| is_reachable)
    }

    /// Returns the index of the entry that has last become the leader.
    pub fn leader(&self) -> Option<usize> {
        let begun = (0..self.entries.len()).filter_map(|entry| {
            let log = self.log(self.entries[entry].name());
            let line = log
                .lines()
                .rfind(|line| line.contains("event=duty_begun"))?;
            Some((line.split(' ').next()?.to_owned(), entry))
        });
        begun.max().map(|(_, entry)| entry)
    }

    /// Copies the logs to a directory that outlasts the site and returns its path.
    pub fn keep_logs(&self, seed: u64) -> eyre::Result<PathBuf> {
        let target = std::env::temp_dir().join(format!("cumindeck-soak-seed-{seed}"));
        std::fs::create_dir_all(&target)?;
        for file in std::fs::read_dir(self.dir())? {
            let file = file?;
            std::fs::copy(file.path(), target.join(file.file_name()))?;
        }
        Ok(target)
    }

    /// Checks that no process has panicked.
    pub fn check_processes(&self) -> eyre::Result<()> {
        let processes = self.entries.iter().chain(&self.agents).chain(&self.workers);
        for process in processes {
            let log = self.log(process.name());
            let panic = log.lines().find(|line| line.contains("panicked"));
            ensure!(panic.is_none(), "{} panicked: {panic:?}", process.name());
        }
        Ok(())
    }

    /// Sends a request to the store as its operator; resumes the store if it is paused.
    async fn put(&mut self, path: &str, body: Vec<u8>) -> eyre::Result<()> {
        self.store.resume()?;
        let response = self
            .client
            .call("PUT", self.store_address, path, &[], body)
            .await?;
        ensure!(response.status == 200, "{path}: status {}", response.status);
        Ok(())
    }

    async fn start_entry(&mut self, entry: usize) -> eyre::Result<()> {
        let name = format!("entry-{entry}");
        let (callers, readiness) = (free_port()?, free_port()?);
        let lines = format!("callers = {callers}\nreadiness = {readiness}");
        let args = self.write_settings(&name, &lines).await?;
        let process = ManagedProcess::new(self.dir.path(), name, "cumindeck-frontend", args)?;
        self.entries.push(process);
        self.callers.push(callers);
        self.readiness.push(readiness);
        Ok(())
    }

    /// Starts one more worker with its agent.
    pub async fn start_worker(&mut self) -> eyre::Result<()> {
        let worker = self.workers.len();
        let (address, heartbeats) = (free_port()?, free_port()?);
        let late_calls = self.dir().join(format!("late-calls-{worker}"));
        let worker_relay = Relay::start(address).await?;
        let heartbeat_relay = Relay::start(heartbeats).await?;
        let name = format!("agent-{worker}");
        let lines = format!(
            "worker-calls = {heartbeats}\nworker = {}",
            worker_relay.address()
        );
        let args = self.write_settings(&name, &lines).await?;
        let agent = ManagedProcess::new(self.dir.path(), name, "cumindeck-side", args)?;
        let args = [
            ("--listen", address.to_string()),
            ("--id", format!("w-{worker}")),
            ("--service", "letters".to_owned()),
            ("--zone", zone(worker).to_owned()),
            ("--agent", heartbeat_relay.address().to_string()),
            ("--slots", SLOTS.to_string()),
            ("--max-lease-ms", MAX_LEASE_MS.to_string()),
            ("--stop-ms", STOP_MS.to_string()),
            ("--late-every", self.options.late_every.to_string()),
            ("--late-calls", late_calls.display().to_string()),
        ];
        let args = args
            .into_iter()
            .flat_map(|(key, value)| [key.to_owned(), value]);
        let name = format!("worker-{worker}");
        let process = ManagedProcess::new(
            self.dir.path(),
            name,
            "cumindeck-standin-worker",
            args.collect(),
        )?;
        self.agents.push(agent);
        self.workers.push(process);
        self.worker_relays.push(worker_relay);
        self.heartbeat_relays.push(heartbeat_relay);
        self.heartbeats.push(heartbeats);
        self.worker_addresses.push(address);
        self.cuts.push((false, 0));
        Ok(())
    }

    /// Writes a settings file and returns the arguments that refer to it.
    async fn write_settings(&mut self, name: &str, lines: &str) -> eyre::Result<Vec<String>> {
        let relay = Relay::start(self.store_address).await?;
        let internal = free_port()?;
        let text = format!(
            "[node]\nid = {name}\naddress = {}\ninternal-port = {}\n{lines}\n\
             command-mode = invoke\ndescriptors = {}\nmemory-mb = {}\n\
             [store]\naddress = {}\n\
             [bounds]\nmax-worker-lease-ms = {MAX_LEASE_MS}\nstop-ms = {STOP_MS}\n\
             key-revocation-ms = 5000\nconfig-in-force-ms = 2500\nreclaim-ms = 3400\n\
             job-kept-s = 120\n             remote-factor = 3\n",
            internal.ip(),
            internal.port(),
            self.options.descriptors,
            self.options.memory_mb,
            relay.address(),
        );
        self.store_relays.push(relay);
        self.internal.push(internal);
        let path = self.dir().join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let path = path
            .to_str()
            .wrap_err("the directory's path is not valid UTF-8")?;
        Ok(vec!["--settings".to_owned(), path.to_owned()])
    }
}

/// Returns the zone of a worker.
pub fn zone(worker: usize) -> &'static str {
    if worker.is_multiple_of(2) {
        "plateau"
    } else {
        "medina"
    }
}

/// Returns the time since boot in milliseconds, the clock of the workers' logs.
pub fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    u64::try_from(now.tv_sec).unwrap_or(0) * 1_000
        + u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000_000
}
