//! Child processes and ports of a test.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use eyre::{ContextCompat, WrapErr, ensure};
use rustix::process::{Pid, Signal, kill_process};

use crate::site::wait_for;
use crate::usage::Usage;

/// First port of the first block of ports.
const FIRST_PORT: u16 = 20_000;
/// Ports per block. A test site of four agents with relays needs 45, and `cargo test`
/// runs all tests of a file in one process.
const PORTS_PER_BLOCK: u16 = 240;
/// Number of blocks; the last one ends below 32768.
const PORT_BLOCKS: u16 = 50;

/// A child process that is killed when the test drops it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
}

impl Process {
    /// Starts a binary of the workspace; its log goes to a file in `dir`.
    pub fn start(dir: &Path, name: &str, binary: &str, args: &[String]) -> eyre::Result<Self> {
        let path = binary_dir()?.join(binary);
        let log = dir.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(&path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .wrap_err_with(|| {
                format!(
                    "can't start {}; run `cargo build --workspace --bins`",
                    path.display()
                )
            })?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
        })
    }

    /// Returns what the process uses; an error if it has ended.
    pub fn usage(&self) -> eyre::Result<Usage> {
        Usage::read(self.child.id())
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).wrap_err_with(|| format!("can't signal {}", self.name))
    }

    /// Pauses the process.
    pub fn pause(&self) -> eyre::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes the paused process.
    pub fn resume(&self) -> eyre::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) -> eyre::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_code(&mut self) -> eyre::Result<Option<i32>> {
        Ok(self
            .child
            .try_wait()?
            .map(|status| status.code().unwrap_or(-1)))
    }

    /// Waits until the process ends and returns its exit status.
    pub async fn wait_exit(&mut self, limit: Duration) -> eyre::Result<i32> {
        let what = format!("{} to end", self.name);
        wait_for(&what, limit, async || self.exit_code().ok().flatten()).await
    }

    /// Returns the log of the process.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a loopback port that is free at the moment.
///
/// Each test process takes its ports from its own block below the range of ephemeral
/// ports. A port in that range may be assigned to a connection before the started
/// process binds it. A listener on the first port of the block keeps other test
/// processes out of the block.
pub fn free_port() -> eyre::Result<SocketAddr> {
    static RESERVED: OnceLock<Option<TcpListener>> = OnceLock::new();
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(1);
    let reserved = RESERVED.get_or_init(reserve_block).as_ref();
    let reserved = reserved
        .wrap_err("no block of ports is free")?
        .local_addr()?;
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        ensure!(
            offset < PORTS_PER_BLOCK,
            "the test needs more than {PORTS_PER_BLOCK} ports"
        );
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, reserved.port() + offset)) {
            return Ok(listener.local_addr()?);
        }
    }
}

/// Binds the first port of a block that no other test process uses.
fn reserve_block() -> Option<TcpListener> {
    let first = u16::try_from(std::process::id() % u32::from(PORT_BLOCKS)).ok()?;
    (0..PORT_BLOCKS)
        .map(|i| FIRST_PORT + (first + i) % PORT_BLOCKS * PORTS_PER_BLOCK)
        .find_map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok())
}

/// Returns the directory of the binaries that belong to the test's build profile.
fn binary_dir() -> eyre::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let dir = exe
        .parent()
        .and_then(Path::parent)
        .wrap_err("the test binary is not in a target directory")?;
    Ok(dir.to_owned())
}
