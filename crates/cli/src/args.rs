//! Arguments of the command line; their doc comments are the `--help` texts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use cumindeck_api::RuleFileName;
use cumindeck_config::{SettingPath, SiteName};
use cumindeck_types::{
    AvailabilityZone, ConfigVersion, IdempotencyKey, Incarnation, JobId, Region, Remaining, TeamId,
    WorkerId, ZoneVersion, parse_duration,
};

/// Operates a cumindeck site.
///
/// Exit status: 0 success, 1 refused without effect, 2 invalid command line or
/// unreadable file, 3 outcome unknown (read the state back before you repeat the
/// command).
#[derive(Debug, Parser)]
#[command(name = "cumindeck", version)]
pub struct Args {
    /// Operator listener of an entry, as IP address and port.
    #[arg(
        long,
        global = true,
        env = "CUMINDECK_SERVER",
        default_value = "127.0.0.1:7081"
    )]
    pub server: SocketAddr,
    /// File with the operators' bearer token.
    #[arg(long, global = true, env = "CUMINDECK_TOKEN_FILE", value_name = "FILE")]
    pub token_file: Option<PathBuf>,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value = "table")]
    pub output: Output,
    /// Maximum wait for a response, such as 500ms or 30s.
    #[arg(long, global = true, default_value = "30s", value_parser = parse_timeout)]
    pub timeout: Duration,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

/// Command to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check, apply and show the configuration: base file and overlays.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Show teams and their guarantees.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Submit, show and cancel jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Show availability zones, or take them out of service.
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Show, drain and fence workers.
    #[command(subcommand)]
    Worker(WorkerCommand),
    /// Check, apply and show alert rules.
    #[command(subcommand)]
    Rules(RulesCommand),
    /// Send requests to backend servers.
    #[command(subcommand)]
    Request(RequestCommand),
    /// Show the state of the site.
    Status,
    /// Print the completion script of a shell.
    Completion {
        /// Shell that the script is for.
        shell: Shell,
    },
}

/// Commands on the configuration.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Check a base file with all overlays, without a server.
    Check(Files),
    /// Replace the accepted configuration with a base file and all overlays.
    Apply {
        /// Base file and overlays.
        #[command(flatten)]
        files: Files,
        /// Version that the files are based on; 0 for the first configuration.
        /// `config show` prints it.
        #[arg(long, value_name = "VERSION")]
        expected_version: ConfigVersion,
    },
    /// Show the accepted configuration, or the values in force at a site.
    Show {
        /// Site whose values are shown.
        #[arg(long, conflicts_with = "raw")]
        site: Option<SiteName>,
        /// Print the base file (`base`) or the overlay of a site byte for byte.
        #[arg(long, value_name = "base|SITE")]
        raw: Option<SiteName>,
        /// Read these files instead of querying the server.
        #[arg(long, num_args = 1.., value_names = ["BASE", "OVERLAY"])]
        files: Vec<PathBuf>,
    },
    /// Show where a value comes from at each site.
    Explain {
        /// Key, such as requests.max-body or "team plateau.rate".
        key: SettingPath,
        /// Show this site only.
        #[arg(long)]
        site: Option<SiteName>,
        /// Read these files instead of querying the server.
        #[arg(long, num_args = 1.., value_names = ["BASE", "OVERLAY"])]
        files: Vec<PathBuf>,
    },
    /// Show which values the files would change.
    Diff {
        /// Base file and overlays.
        #[command(flatten)]
        files: Files,
        /// Compare with these files instead of the accepted configuration.
        #[arg(long, num_args = 1.., value_names = ["BASE", "OVERLAY"])]
        old: Vec<PathBuf>,
    },
}

/// A base file with its overlays.
#[derive(Debug, Clone, clap::Args)]
pub struct Files {
    /// Base file.
    pub base: PathBuf,
    /// Overlays, each named after its site, such as plume.ini.
    pub overlays: Vec<PathBuf>,
}

/// Commands on teams.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// List all teams with their use of capacity.
    List,
    /// Show one team.
    Show {
        /// Id of the team.
        team: TeamId,
    },
}

/// Commands on jobs.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a job.
    Submit(JobArgs),
    /// Show a job.
    Status {
        /// Id of the job.
        job: JobId,
    },
    /// List jobs.
    List {
        /// Show jobs of this team only.
        #[arg(long)]
        team: Option<TeamId>,
        /// Show jobs in this state only.
        #[arg(long, value_parser = ["queued", "starting", "running", "stopping", "succeeded",
            "failed", "cancelled"])]
        state: Option<String>,
    },
    /// Cancel a job.
    Cancel {
        /// Id of the job.
        job: JobId,
    },
    /// Explain a job's state and what would change it.
    Why {
        /// Id of the job.
        job: JobId,
    },
}

/// A job to submit.
#[derive(Debug, clap::Args)]
pub struct JobArgs {
    /// Id of the job; a new UUID by default.
    #[arg(long)]
    pub id: Option<JobId>,
    /// Team that the job belongs to.
    #[arg(long)]
    pub team: TeamId,
    /// Region in which the job runs.
    #[arg(long)]
    pub region: Region,
    /// Number of tasks, which start together or not at all.
    #[arg(long, default_value = "1")]
    pub tasks: u32,
    /// Number of adjacent accelerators of each task.
    #[arg(long, default_value = "1")]
    pub accelerators: u32,
    /// Run all tasks in one rack.
    #[arg(long)]
    pub same_rack: bool,
    /// Place the job before the team's other jobs within the guarantee.
    #[arg(long)]
    pub urgent: bool,
    /// Maximum number of failed attempts; by default that of the settings.
    #[arg(long)]
    pub max_attempts: Option<u32>,
    /// Time from now within which the result is needed, such as 4h.
    #[arg(long)]
    pub deadline: Option<Remaining>,
    /// Program and arguments of each task.
    #[arg(required = true, last = true)]
    pub command: Vec<String>,
}

/// Commands on availability zones.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// Take a zone out of service: no task starts there after 3 s.
    Out(ZoneArgs),
    /// Return a zone to service.
    In(ZoneArgs),
    /// List zones.
    List,
}

/// A zone to change.
#[derive(Debug, clap::Args)]
pub struct ZoneArgs {
    /// Id of the availability zone.
    pub zone: AvailabilityZone,
    /// Refuse the change unless the zone has this version.
    #[arg(long, value_name = "VERSION")]
    pub expected_version: Option<ZoneVersion>,
}

/// Commands on workers.
#[derive(Debug, Subcommand)]
pub enum WorkerCommand {
    /// List workers.
    List {
        /// Show workers of this availability zone only.
        #[arg(long)]
        zone: Option<AvailabilityZone>,
    },
    /// Show a worker.
    Show {
        /// Id of the worker.
        worker: WorkerId,
    },
    /// Let a worker finish its work and accept no more.
    Drain {
        /// Id of the worker.
        worker: WorkerId,
        /// Let the worker accept work again.
        #[arg(long)]
        undo: bool,
    },
    /// Confirm that a worker's instance has terminated, so that its tasks start
    /// elsewhere immediately. If the instance still runs, tasks run twice.
    Fence {
        /// Id of the worker.
        worker: WorkerId,
        /// Incarnation of the terminated agent; `worker show` prints it.
        #[arg(long)]
        incarnation: Incarnation,
        /// Confirm that someone has checked that the instance has terminated.
        #[arg(long, required = true)]
        verified_gone: bool,
    },
}

/// Commands on alert rules.
#[derive(Debug, Subcommand)]
pub enum RulesCommand {
    /// Check a rule file, without a server.
    Check {
        /// Rule file.
        file: PathBuf,
    },
    /// Apply a rule file, byte for byte.
    Apply {
        /// Rule file.
        file: PathBuf,
        /// Name of the file at the site; the file's own name by default.
        #[arg(long)]
        name: Option<RuleFileName>,
    },
    /// Show rule files and the alerts that are pending or firing.
    Status,
}

/// Commands on requests to backend servers.
#[derive(Debug, Subcommand)]
pub enum RequestCommand {
    /// Send one request and print the backend server's response.
    Send {
        /// Caller listener of an entry, as IP address and port.
        #[arg(long, env = "CUMINDECK_CALLERS", default_value = "127.0.0.1:7080")]
        callers: SocketAddr,
        /// Team that the request belongs to.
        #[arg(long)]
        team: TeamId,
        /// Idempotency key; a new UUID by default.
        #[arg(long)]
        key: Option<IdempotencyKey>,
        /// Allow the request to run more than once.
        #[arg(long)]
        idempotent: bool,
        /// Path of the request at the backend server.
        #[arg(long, default_value = "/", value_parser = parse_path)]
        path: String,
        /// Content type of the body.
        #[arg(long, default_value = "application/octet-stream")]
        content_type: String,
        /// File with the body, or - for standard input.
        #[arg(default_value = "-")]
        body: PathBuf,
    },
}

/// Parses a path at a backend server; rejects characters that need escaping.
fn parse_path(text: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "/-._~%".contains(c);
    if text.starts_with('/') && text.chars().all(is_allowed) {
        return Ok(text.to_owned());
    }
    Err("expected / and letters, digits, -, ., _, ~, % or further /".into())
}

/// Parses a timeout from 10 ms to 10 min.
fn parse_timeout(text: &str) -> Result<Duration, String> {
    let timeout = parse_duration(text).map_err(|err| err.to_string())?;
    let range = Duration::from_millis(10)..=Duration::from_secs(600);
    if range.contains(&timeout) {
        return Ok(timeout);
    }
    Err("expected 10ms to 10m".into())
}
