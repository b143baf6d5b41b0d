//! The processes of a small site.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use cumindeck_e2e::{Client, Process, Relay, free_port, wait_for};
use cumindeck_standins::fleet::{QueueConfig, StoreFaults};
use eyre::{ContextCompat, ensure};
use rustix::process::Signal;
use rustix::time::{ClockId, clock_gettime};
use serde_json::json;
use tempfile::TempDir;

/// Entries of the site.
pub const ENTRIES: usize = 3;

/// Workers of the site, each with an agent.
pub const WORKERS: usize = 4;

/// Host that callers name.
pub const HOST: &str = "soak.example";

/// Start of the paths of the queue.
pub const PREFIX: &str = "/letters/";

/// Key of the callers.
pub const KEY: &str = "soak-key";

/// Runs of a task that may fail.
pub const MAX_ATTEMPTS: u64 = 3;

/// Longest lease of a worker in milliseconds; short, so that a lost worker's
/// work starts again within a seed.
const MAX_LEASE_MS: u64 = 4_000;

/// Time that a stop takes in milliseconds.
const STOP_MS: u64 = 200;

/// Longest wait for the site's start.
const START_TIME: Duration = Duration::from_secs(20);

/// A process that can be started again.
pub struct Unit {
    name: String,
    binary: &'static str,
    args: Vec<String>,
    process: Option<Process>,
    /// When it was killed last, in milliseconds since boot.
    killed: Vec<u64>,
    is_frozen: bool,
}

impl Unit {
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
            killed: Vec::new(),
            is_frozen: false,
        })
    }

    /// Returns its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the times at which it was killed.
    pub fn killed(&self) -> &[u64] {
        &self.killed
    }

    /// Kills it; a frozen process is thawed first, so that what it did in the
    /// meantime is known.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.thaw()?;
        if let Some(mut process) = self.process.take() {
            process.kill()?;
            self.killed.push(boot_ms());
        }
        Ok(())
    }

    /// Starts it again if it does not run.
    pub fn restart(&mut self, dir: &Path) -> eyre::Result<()> {
        let has_ended = match &mut self.process {
            Some(process) => process.exit_code()?.is_some(),
            None => true,
        };
        if has_ended {
            self.process = Some(Process::start(dir, &self.name, self.binary, &self.args)?);
            self.is_frozen = false;
        }
        Ok(())
    }

    /// Freezes it.
    pub fn freeze(&mut self) -> eyre::Result<()> {
        self.is_frozen = true;
        self.signal(Signal::STOP)
    }

    /// Lets it go on if it is frozen.
    pub fn thaw(&mut self) -> eyre::Result<()> {
        match std::mem::take(&mut self.is_frozen) {
            true => self.signal(Signal::CONT),
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

/// A small site.
pub struct Site {
    dir: TempDir,
    client: Client,
    store_address: SocketAddr,
    /// The store.
    pub store: Unit,
    /// Entries.
    pub entries: Vec<Unit>,
    /// Agents.
    pub agents: Vec<Unit>,
    /// Workers.
    pub workers: Vec<Unit>,
    /// Ways of entries, then agents, to the store.
    pub store_ways: Vec<Relay>,
    /// Ways of agents to their workers.
    pub worker_ways: Vec<Relay>,
    /// Ways of workers to their agents.
    pub heartbeat_ways: Vec<Relay>,
    callers: Vec<SocketAddr>,
    config_version: u64,
}

impl Site {
    /// Starts all processes and waits until the entries serve callers.
    pub async fn start() -> eyre::Result<Self> {
        let dir = TempDir::with_prefix("cumindeck-soak-")?;
        let store_address = free_port()?;
        let args = vec!["--listen".to_owned(), store_address.to_string()];
        let store = Unit::new(
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
            store_ways: Vec::new(),
            worker_ways: Vec::new(),
            heartbeat_ways: Vec::new(),
            callers: Vec::new(),
            config_version: 0,
            dir,
        };
        wait_for("the store", START_TIME, async || {
            site.set_faults(&StoreFaults::default()).await.ok()
        })
        .await?;
        site.change_config().await?;
        for entry in 0..ENTRIES {
            site.start_entry(entry).await?;
        }
        for worker in 0..WORKERS {
            site.start_worker(worker).await?;
        }
        for entry in 0..ENTRIES {
            let (client, address) = (&site.client, site.callers[entry]);
            let headers = [("host", HOST), ("authorization", "Bearer soak-key")];
            wait_for("an entry", START_TIME, async || {
                let reply = client.call("GET", address, PREFIX, &headers, "").await;
                reply.ok().filter(|reply| reply.status == 200)
            })
            .await?;
        }
        Ok(site)
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> &[SocketAddr] {
        &self.callers
    }

    /// Returns the folder of settings and logs.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Returns the log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir().join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sets the faults of the store.
    pub async fn set_faults(&mut self, faults: &StoreFaults) -> eyre::Result<()> {
        let body = serde_json::to_vec(faults)?;
        self.put("/standin/faults", body).await
    }

    /// Writes a new version of the configuration.
    pub async fn change_config(&mut self) -> eyre::Result<()> {
        self.config_version += 1;
        let config = QueueConfig {
            version: self.config_version,
            host: HOST,
            prefix: PREFIX,
            service: "letters",
            key: KEY,
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

    /// Copies the logs to a place that outlasts the site and returns it.
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
        let units = self.entries.iter().chain(&self.agents).chain(&self.workers);
        for unit in units {
            let log = self.log(unit.name());
            let panic = log.lines().find(|line| line.contains("panicked"));
            ensure!(panic.is_none(), "{} panicked: {panic:?}", unit.name());
        }
        Ok(())
    }

    /// Calls the store as its operator, who never meets a frozen one.
    async fn put(&mut self, path: &str, body: Vec<u8>) -> eyre::Result<()> {
        self.store.thaw()?;
        let reply = self
            .client
            .call("PUT", self.store_address, path, &[], body)
            .await?;
        ensure!(reply.status == 200, "{path}: status {}", reply.status);
        Ok(())
    }

    async fn start_entry(&mut self, entry: usize) -> eyre::Result<()> {
        let name = format!("entry-{entry}");
        let (callers, readiness) = (free_port()?, free_port()?);
        let lines = format!("callers = {callers}\nreadiness = {readiness}");
        let args = self.settings(&name, &lines).await?;
        let unit = Unit::new(self.dir.path(), name, "cumindeck-frontend", args)?;
        self.entries.push(unit);
        self.callers.push(callers);
        Ok(())
    }

    async fn start_worker(&mut self, worker: usize) -> eyre::Result<()> {
        let (address, heartbeats) = (free_port()?, free_port()?);
        let worker_way = Relay::start(address).await?;
        let heartbeat_way = Relay::start(heartbeats).await?;
        let name = format!("agent-{worker}");
        let lines = format!(
            "worker-calls = {heartbeats}\nworker = {}",
            worker_way.address()
        );
        let args = self.settings(&name, &lines).await?;
        let agent = Unit::new(self.dir.path(), name, "cumindeck-side", args)?;
        let args = [
            ("--listen", address.to_string()),
            ("--id", format!("w-{worker}")),
            ("--service", "letters".to_owned()),
            ("--zone", zone(worker).to_owned()),
            ("--agent", heartbeat_way.address().to_string()),
            ("--max-lease-ms", MAX_LEASE_MS.to_string()),
            ("--stop-ms", STOP_MS.to_string()),
        ];
        let args = args
            .into_iter()
            .flat_map(|(key, value)| [key.to_owned(), value]);
        let name = format!("worker-{worker}");
        let unit = Unit::new(
            self.dir.path(),
            name,
            "cumindeck-standin-worker",
            args.collect(),
        )?;
        self.agents.push(agent);
        self.workers.push(unit);
        self.worker_ways.push(worker_way);
        self.heartbeat_ways.push(heartbeat_way);
        Ok(())
    }

    /// Writes a settings file and returns the arguments that name it.
    async fn settings(&mut self, name: &str, lines: &str) -> eyre::Result<Vec<String>> {
        let way = Relay::start(self.store_address).await?;
        let internal = free_port()?;
        let text = format!(
            "[node]\nid = {name}\naddress = {}\ninternal-port = {}\n{lines}\n\
             command-mode = invoke\ndescriptors = 1024\n\
             [store]\naddress = {}\n\
             [bounds]\nmax-worker-lease-ms = {MAX_LEASE_MS}\nstop-ms = {STOP_MS}\n\
             key-revocation-ms = 5000\nconfig-in-force-ms = 2500\nreclaim-ms = 3400\n\
             job-kept-s = 120\n             remote-factor = 3\n",
            internal.ip(),
            internal.port(),
            way.address(),
        );
        self.store_ways.push(way);
        let path = self.dir().join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let path = path.to_str().wrap_err("the folder's name is not text")?;
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
