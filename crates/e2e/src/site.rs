//! A small site of real processes: two entries, three agents, two availability zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{ContextCompat, ensure};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::{Client, Response};
use crate::process::{Process, free_port};
use crate::relay::{Fault, Relay};

/// Agents with their availability zones.
pub const AGENTS: [(&str, &str); 3] = [("w1", "zone-a"), ("w2", "zone-a"), ("w3", "zone-b")];
/// Bearer token of the operators.
const TOKEN: &str = "test-token";
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time until started processes are ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Number of last log lines to print after a test that did not panic.
const LOG_LINES: usize = 100;
/// Base file of the test site.
const BASE: &str = include_str!("../base.ini");
/// Overlay of the test site.
const OVERLAY: &str = include_str!("../overlay.ini");

/// Deviations from the default test site.
#[derive(Debug, Clone, Copy, Default)]
pub struct SiteOptions {
    /// Whether there is a fourth worker, `w4`, in zone-b.
    pub has_spare: bool,
    /// Whether there are relays in front of the listeners for entries and agents (`e1`,
    /// `w1`), of the platform (`e1-platform`, `w1-platform`) and of the backend servers
    /// (`b-w1`).
    pub has_relays: bool,
}

/// Processes of a site with their addresses.
pub struct TestSite {
    dir: TempDir,
    options: SiteOptions,
    relays: BTreeMap<String, Relay>,
    /// Processes by name: `platform`, `b-w1`, `e1`, `w1` and so on.
    pub processes: BTreeMap<String, Process>,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Addresses of the entries' listeners for callers.
    pub callers: BTreeMap<String, SocketAddr>,
    /// Addresses of the entries' listeners for operators.
    pub operators: BTreeMap<String, SocketAddr>,
    entry_agents: BTreeMap<String, SocketAddr>,
    agent_ports: BTreeMap<String, (SocketAddr, SocketAddr, SocketAddr)>,
    /// Client for all calls of the test; it keeps no connection open.
    pub client: Client,
}

impl TestSite {
    /// Starts all processes, applies the configuration and waits until the site is
    /// ready.
    pub async fn start() -> eyre::Result<Self> {
        Self::start_with(SiteOptions::default()).await
    }

    /// Starts a site with the given options.
    pub async fn start_with(options: SiteOptions) -> eyre::Result<Self> {
        let dir = tempfile::tempdir()?;
        std::fs::write(dir.path().join("token"), TOKEN)?;
        let mut site = Self {
            dir,
            options,
            relays: BTreeMap::new(),
            processes: BTreeMap::new(),
            platform: free_port()?,
            callers: BTreeMap::new(),
            operators: BTreeMap::new(),
            entry_agents: BTreeMap::new(),
            agent_ports: BTreeMap::new(),
            client: Client::default(),
        };
        let listen = ["--listen".to_owned(), site.platform.to_string()];
        site.spawn("platform", "cumindeck-standin-platform", &listen)?;
        for entry in ["e1", "e2"] {
            site.callers.insert(entry.to_owned(), free_port()?);
            site.operators.insert(entry.to_owned(), free_port()?);
            site.entry_agents.insert(entry.to_owned(), free_port()?);
            site.relay(entry, site.entry_agents[entry]).await?;
            site.relay(&format!("{entry}-platform"), site.platform)
                .await?;
        }
        for (agent, _) in site.agents() {
            let backend = free_port()?;
            site.agent_ports
                .insert(agent.to_owned(), (backend, free_port()?, free_port()?));
            let listen = ["--listen".to_owned(), backend.to_string()];
            site.spawn(&format!("b-{agent}"), "cumindeck-standin-backend", &listen)?;
            site.relay(agent, site.agent_ports[agent].1).await?;
            site.relay(&format!("{agent}-platform"), site.platform)
                .await?;
            site.relay(&format!("b-{agent}"), backend).await?;
        }
        for entry in ["e1", "e2"] {
            site.start_entry(entry)?;
        }
        for (agent, _) in site.agents() {
            site.start_agent(agent)?;
        }
        site.apply_config().await?;
        site.wait_ready().await?;
        Ok(site)
    }

    /// Starts an entry, or restarts it after it was killed.
    pub fn start_entry(&mut self, entry: &str) -> eyre::Result<()> {
        let text = format!(
            "[entry]\nid = {entry}\nsite = test\nzone = zone-a\nregion = north\n\n\
             [listen]\ncallers = {}\noperators = {}\nagents = {}\nadvertise = {}\n\n\
             [operators]\ntoken-file = {}\n\n\
             [platform]\naddress = {}\n\n\
             [process]\nlog-level = info\ndrain-time = 10s\n",
            self.callers[entry],
            self.operators[entry],
            self.entry_agents[entry],
            self.relayed_address(entry, self.entry_agents[entry]),
            self.dir.path().join("token").display(),
            self.relayed_address(&format!("{entry}-platform"), self.platform),
        );
        self.start_with_settings(entry, "cumindeck-entry", &text)
    }

    /// Starts an agent, or restarts it after it was killed.
    pub fn start_agent(&mut self, agent: &str) -> eyre::Result<()> {
        let agents = self.agents();
        let zone = agents.iter().find(|(name, _)| *name == agent);
        let (_, zone) = zone.wrap_err_with(|| format!("no agent {agent}"))?;
        let (backend, agents, operators) = self.agent_ports[agent];
        let seeds: Vec<_> = self
            .entry_agents
            .iter()
            .map(|(entry, address)| self.relayed_address(entry, *address).to_string())
            .collect();
        let text = format!(
            "[agent]\nid = {agent}\nzone = {zone}\nregion = north\n\n\
             [worker]\nid = {agent}\nrack = rack-{zone}\naccelerators = 8\n\n\
             [backend]\naddress = {}\nslots = 8\nconnections = 64\n\n\
             [listen]\nagents = {agents}\noperators = {operators}\nadvertise = {}\n\n\
             [entries]\nseeds = {}\n\n\
             [platform]\naddress = {}\n\n\
             [process]\nlog-level = info\ndrain-time = 10s\n",
            self.relayed_address(&format!("b-{agent}"), backend),
            self.relayed_address(agent, agents),
            seeds.join(", "),
            self.relayed_address(&format!("{agent}-platform"), self.platform),
        );
        self.start_with_settings(agent, "cumindeck-agent", &text)
    }

    /// Sets the fault that a relay injects.
    pub fn fault(&self, relay: &str, fault: Fault) -> eyre::Result<()> {
        let relay = self.relays.get(relay);
        relay.wrap_err("the site has no such relay")?.set(fault);
        Ok(())
    }

    /// Returns the agents with their availability zones.
    #[must_use]
    pub fn agents(&self) -> Vec<(&'static str, &'static str)> {
        let spare = self.options.has_spare.then_some(("w4", "zone-b"));
        AGENTS.into_iter().chain(spare).collect()
    }

    /// Returns the address of an agent's administrative listener.
    #[must_use]
    pub fn agent_admin(&self, agent: &str) -> SocketAddr {
        self.agent_ports[agent].2
    }

    /// Returns the address of an agent's backend server, without a relay.
    #[must_use]
    pub fn backend(&self, agent: &str) -> SocketAddr {
        self.agent_ports[agent].0
    }

    /// Returns the address of an agent's listener for entries and agents.
    #[must_use]
    pub fn agent_listener(&self, agent: &str) -> SocketAddr {
        self.agent_ports[agent].1
    }

    /// Returns the address of an entry's listener for agents.
    #[must_use]
    pub fn entry_listener(&self, entry: &str) -> SocketAddr {
        self.entry_agents[entry]
    }

    async fn relay(&mut self, name: &str, target: SocketAddr) -> eyre::Result<()> {
        if self.options.has_relays {
            let relay = Relay::start(target).await?;
            self.relays.insert(name.to_owned(), relay);
        }
        Ok(())
    }

    /// Returns the address of a relay, or `address` if the site has no relays.
    fn relayed_address(&self, relay: &str, address: SocketAddr) -> SocketAddr {
        self.relays.get(relay).map_or(address, Relay::address)
    }

    /// Sends a request of team `letters` to an entry's listener for callers.
    pub async fn request(
        &self,
        entry: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> eyre::Result<Response> {
        let mut all = vec![("x-team", "letters")];
        all.extend(headers);
        let path = format!("/v1/requests{path}");
        self.client
            .call("POST", self.callers[entry], &path, &all, body.to_owned())
            .await
    }

    /// Sends a call to an entry's listener for operators.
    pub async fn operator(
        &self,
        entry: &str,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<Response> {
        let token = format!("Bearer {TOKEN}");
        let headers = [
            ("authorization", token.as_str()),
            ("content-type", "application/json"),
        ];
        let body = body.map(Value::to_string).unwrap_or_default();
        self.client
            .call(method, self.operators[entry], path, &headers, body)
            .await
    }

    /// Sets the faults that the platform stand-in injects.
    pub async fn faults(&self, faults: &Value) -> eyre::Result<()> {
        let response = self
            .client
            .call("PUT", self.platform, "/v1/faults", &[], faults.to_string())
            .await?;
        ensure!(
            response.status == 200,
            "the platform rejected the faults: {response:?}"
        );
        Ok(())
    }

    /// Returns a process by name.
    pub fn process(&mut self, name: &str) -> eyre::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .wrap_err_with(|| format!("no process {name}"))
    }

    /// Returns the directory with the settings and the logs.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Creates a configuration change that sets one key of `[requests]`.
    #[must_use]
    pub fn change(&self, id: &str, expected: u64, key: &str, value: &str) -> Value {
        let overlay = self.overlay();
        json!({
            "change_id": id,
            "expected_version": expected,
            "base": BASE,
            "overlays": {"test": format!("{overlay}\n[requests]\n{key} = {value}\n")},
        })
    }

    fn overlay(&self) -> String {
        match self.options.has_spare {
            true => OVERLAY.replace("rack-workers = 1", "rack-workers = 2"),
            false => OVERLAY.to_owned(),
        }
    }

    async fn apply_config(&self) -> eyre::Result<()> {
        let change = json!({
            "change_id": "first",
            "expected_version": 0,
            "base": BASE,
            "overlays": {"test": self.overlay()},
        });
        wait_for(
            "the configuration to be accepted",
            Duration::from_secs(20),
            async || {
                let response = self
                    .operator("e1", "PUT", "/v1/config", Some(&change))
                    .await
                    .ok()?;
                (response.status == 200).then_some(()).or_else(|| {
                    // A retry after a lost response reports that the change was accepted.
                    response
                        .body
                        .contains("version 1 is accepted")
                        .then_some(())
                })
            },
        )
        .await
    }

    /// Waits until all agents and entries are ready and all entries know all agents.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        for (agent, _) in self.agents() {
            let what = format!("{agent} to be ready");
            wait_for(&what, READY_LIMIT, async || {
                let ready = self.admin(agent, "/readyz").await.ok()?;
                (ready.status == 200).then_some(())
            })
            .await?;
        }
        for entry in self.callers.keys() {
            wait_for("all agents at all entries", READY_LIMIT, async || {
                let response = self.operator(entry, "GET", "/v1/status", None).await.ok()?;
                let status = response.json().ok()?;
                let ready = self
                    .client
                    .call("GET", self.operators[entry], "/readyz", &[], String::new())
                    .await
                    .ok()?;
                (status["workers"] == self.agents().len() && ready.status == 200).then_some(())
            })
            .await?;
        }
        Ok(())
    }

    fn start_with_settings(&mut self, name: &str, binary: &str, text: &str) -> eyre::Result<()> {
        let path = self.dir.path().join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let args = ["--settings".to_owned(), path.display().to_string()];
        self.spawn(name, binary, &args)
    }

    fn spawn(&mut self, name: &str, binary: &str, args: &[String]) -> eyre::Result<()> {
        let process = Process::start(self.dir.path(), name, binary, args)?;
        self.processes.insert(name.to_owned(), process);
        Ok(())
    }
}

impl Drop for TestSite {
    /// Prints the last lines of all logs, which test runners show for a failed test, and
    /// panics if a process has panicked. With `CUMINDECK_TEST_LOGS` set, prints all lines.
    fn drop(&mut self) {
        let has_panicked = std::thread::panicking();
        let prints_all = has_panicked || std::env::var_os("CUMINDECK_TEST_LOGS").is_some();
        for (name, process) in &self.processes {
            let log = process.log();
            let limit = if prints_all { usize::MAX } else { LOG_LINES };
            let skipped = log.lines().count().saturating_sub(limit);
            eprintln!("--- log of {name}, {skipped} lines omitted");
            log.lines()
                .skip(skipped)
                .for_each(|line| eprintln!("{line}"));
            let is_clean = has_panicked || !log.contains("panicked at");
            assert!(is_clean, "{name} has panicked");
        }
    }
}

/// Waits until a condition returns a value. Fails after `limit` with an error that
/// states `what` was awaited.
pub async fn wait_for<T>(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> Option<T>,
) -> eyre::Result<T> {
    let started = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        ensure!(started.elapsed() < limit, "waited {limit:?} for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
