//! A small site of real processes: two entries, three agents in two zones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use eyre::{ContextCompat, ensure};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::client::{Client, Reply};
use crate::process::{Process, free_port};

/// Agents with their availability zones.
pub const AGENTS: [(&str, &str); 3] = [("w1", "zone-a"), ("w2", "zone-a"), ("w3", "zone-b")];
/// Bearer token of the operators.
const TOKEN: &str = "test-token";
/// Time between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// Base file of the test site.
const BASE: &str = include_str!("../base.ini");
/// Overlay of the test site.
const OVERLAY: &str = include_str!("../overlay.ini");

/// The processes of a site and their addresses.
pub struct TestSite {
    dir: TempDir,
    /// Processes by name: `platform`, `b-w1`, `e1`, `w1` and so on.
    pub processes: BTreeMap<String, Process>,
    /// Address of the platform stand-in.
    pub platform: SocketAddr,
    /// Callers' addresses of the entries.
    pub callers: BTreeMap<String, SocketAddr>,
    /// Operators' addresses of the entries.
    pub operators: BTreeMap<String, SocketAddr>,
    entry_agents: BTreeMap<String, SocketAddr>,
    agent_ports: BTreeMap<String, (SocketAddr, SocketAddr, SocketAddr)>,
    /// The HTTP client.
    pub client: Client,
}

impl TestSite {
    /// Starts all processes, applies the configuration and waits until the
    /// site answers.
    pub async fn start() -> eyre::Result<Self> {
        let dir = tempfile::tempdir()?;
        std::fs::write(dir.path().join("token"), TOKEN)?;
        let mut site = Self {
            dir,
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
        }
        for (agent, _) in AGENTS {
            let backend = free_port()?;
            site.agent_ports
                .insert(agent.to_owned(), (backend, free_port()?, free_port()?));
            let listen = ["--listen".to_owned(), backend.to_string()];
            site.spawn(&format!("b-{agent}"), "cumindeck-standin-backend", &listen)?;
        }
        for entry in ["e1", "e2"] {
            site.start_entry(entry)?;
        }
        for (agent, zone) in AGENTS {
            site.start_agent(agent, zone)?;
        }
        site.apply_config().await?;
        site.wait_ready().await?;
        Ok(site)
    }

    /// Starts an entry, again after it was killed.
    pub fn start_entry(&mut self, entry: &str) -> eyre::Result<()> {
        let text = format!(
            "[entry]\nid = {entry}\nsite = test\nzone = zone-a\nregion = north\n\n\
             [listen]\ncallers = {}\noperators = {}\nagents = {}\n\n\
             [operators]\ntoken-file = {}\n\n\
             [platform]\naddress = {}\n\n\
             [process]\nlog-level = info\ndrain-time = 10s\n",
            self.callers[entry],
            self.operators[entry],
            self.entry_agents[entry],
            self.dir.path().join("token").display(),
            self.platform,
        );
        self.start_with_settings(entry, "cumindeck-entry", &text)
    }

    /// Starts an agent, again after it was killed.
    pub fn start_agent(&mut self, agent: &str, zone: &str) -> eyre::Result<()> {
        let (backend, agents, operators) = self.agent_ports[agent];
        let seeds: Vec<_> = self
            .entry_agents
            .values()
            .map(SocketAddr::to_string)
            .collect();
        let text = format!(
            "[agent]\nid = {agent}\nzone = {zone}\nregion = north\n\n\
             [worker]\nid = {agent}\nrack = rack-{zone}\naccelerators = 8\n\n\
             [backend]\naddress = {backend}\nslots = 8\nconnections = 64\n\n\
             [listen]\nagents = {agents}\noperators = {operators}\n\n\
             [entries]\nseeds = {}\n\n\
             [platform]\naddress = {}\n\n\
             [process]\nlog-level = info\ndrain-time = 10s\n",
            seeds.join(", "),
            self.platform,
        );
        self.start_with_settings(agent, "cumindeck-agent", &text)
    }

    /// Sends a request to an entry's callers' listener.
    pub async fn request(
        &self,
        entry: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> eyre::Result<Reply> {
        let mut all = vec![("x-team", "letters")];
        all.extend(headers);
        let path = format!("/v1/requests{path}");
        self.client
            .call("POST", self.callers[entry], &path, &all, body.to_owned())
            .await
    }

    /// Sends a call to an entry's operators' listener.
    pub async fn operator(
        &self,
        entry: &str,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<Reply> {
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

    /// Sets the faults of the platform stand-in.
    pub async fn faults(&self, faults: &Value) -> eyre::Result<()> {
        let reply = self
            .client
            .call("PUT", self.platform, "/v1/faults", &[], faults.to_string())
            .await?;
        ensure!(
            reply.status == 200,
            "the platform refused the faults: {reply:?}"
        );
        Ok(())
    }

    /// Returns a process by name.
    pub fn process(&mut self, name: &str) -> eyre::Result<&mut Process> {
        self.processes
            .get_mut(name)
            .wrap_err_with(|| format!("no process {name}"))
    }

    /// Returns the callers' address of an entry.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    async fn apply_config(&self) -> eyre::Result<()> {
        let change = json!({
            "change_id": "first",
            "expected_version": 0,
            "base": BASE,
            "overlays": {"test": OVERLAY},
        });
        wait_for(
            "the configuration to be accepted",
            Duration::from_secs(20),
            async || {
                let reply = self
                    .operator("e1", "PUT", "/v1/config", Some(&change))
                    .await
                    .ok()?;
                (reply.status == 200).then_some(()).or_else(|| {
                    // A repetition after a lost answer finds the first one accepted.
                    reply.body.contains("version 1 is accepted").then_some(())
                })
            },
        )
        .await
    }

    async fn wait_ready(&self) -> eyre::Result<()> {
        for entry in self.callers.keys() {
            wait_for(
                "all agents at all entries",
                Duration::from_secs(20),
                async || {
                    let reply = self.operator(entry, "GET", "/v1/status", None).await.ok()?;
                    let status = reply.json().ok()?;
                    let ready = self
                        .client
                        .call("GET", self.operators[entry], "/readyz", &[], String::new())
                        .await
                        .ok()?;
                    (status["workers"] == 3 && ready.status == 200).then_some(())
                },
            )
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
    fn drop(&mut self) {
        if !std::thread::panicking() && std::env::var_os("CUMINDECK_TEST_LOGS").is_none() {
            return;
        }
        for (name, process) in &self.processes {
            eprintln!("--- log of {name}\n{}", process.log());
        }
    }
}

/// Waits until a condition gives a value; fails with what was awaited after `limit`.
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
        tokio::time::sleep(POLL).await;
    }
}
