//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use cumindeck_api::RuleFile;
use cumindeck_config::{SettingPath, SiteName};
use cumindeck_types::{
    AvailabilityZone, ConfigVersion, IdempotencyKey, Incarnation, JobId, Region, Remaining, TeamId,
    WorkerId, ZoneVersion, parse_duration,
};

/// Operates a cumindeck site.
///
/// Exit status: 0 done, 1 refused without effect, 2 unusable command line,
/// 3 outcome unknown (read back before a repetition).
#[derive(Debug, Parser)]
#[command(name = "cumindeck", version)]
pub struct Args {
    /// Operator listener of an entry, as IP number and port.
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
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value = "table")]
    pub output: Output,
    /// Longest wait for an answer, such as 500ms or 30s.
    #[arg(long, global = true, default_value = "30s", value_parser = parse_timeout)]
    pub timeout: Duration,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables for people.
    Table,
    /// JSON for programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Base file and overlays.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Teams and their guarantees.
    #[command(subcommand)]
    Team(TeamCommand),
    /// Jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Availability zones.
    #[command(subcommand)]
    Zone(ZoneCommand),
    /// Workers.
    #[command(subcommand)]
    Worker(WorkerCommand),
    /// Alert rules.
    #[command(subcommand)]
    Rules(RulesCommand),
    /// Requests to backend servers.
    #[command(subcommand)]
    Request(RequestCommand),
    /// Show the state of the site.
    Status,
    /// Print the completion script of a shell.
    Completion {
        /// Shell.
        shell: Shell,
    },
}

/// Base file and overlays.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Check a base file with all overlays, without a server.
    Check(Files),
    /// Make a base file with all overlays the accepted configuration.
    Apply {
        /// Files.
        #[command(flatten)]
        files: Files,
        /// Version that the files were made from; 0 for the first
        /// configuration. `config show` prints it.
        #[arg(long, value_name = "VERSION")]
        expected_version: ConfigVersion,
    },
    /// Show the accepted configuration, or the values in force at a site.
    Show {
        /// Site whose values are shown.
        #[arg(long, conflicts_with = "raw")]
        site: Option<SiteName>,
        /// Print the text of `base` or of a site's overlay byte for byte.
        #[arg(long, value_name = "base|SITE")]
        raw: Option<SiteName>,
        /// Read these files instead of asking a server.
        #[arg(long, num_args = 1.., value_names = ["BASE", "OVERLAY"])]
        files: Vec<PathBuf>,
    },
    /// Show where a value comes from at each site.
    Explain {
        /// Key, such as requests.max-body or "team plateau.rate".
        key: SettingPath,
        /// Only this site.
        #[arg(long)]
        site: Option<SiteName>,
        /// Read these files instead of asking a server.
        #[arg(long, num_args = 1.., value_names = ["BASE", "OVERLAY"])]
        files: Vec<PathBuf>,
    },
    /// Show which values files would change.
    Diff {
        /// Files.
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

/// Teams and their guarantees.
#[derive(Debug, Subcommand)]
pub enum TeamCommand {
    /// List all teams with their use of capacity.
    List,
    /// Show one team.
    Show {
        /// Team.
        team: TeamId,
    },
}

/// Jobs.
#[derive(Debug, Subcommand)]
pub enum JobCommand {
    /// Submit a job.
    Submit(JobArgs),
    /// Show a job.
    Status {
        /// Job.
        job: JobId,
    },
    /// List jobs.
    List {
        /// Only jobs of this team.
        #[arg(long)]
        team: Option<TeamId>,
        /// Only jobs in this state.
        #[arg(long, value_parser = ["queued", "starting", "running", "stopping", "succeeded",
            "failed", "cancelled"])]
        state: Option<String>,
    },
    /// Cancel a job.
    Cancel {
        /// Job.
        job: JobId,
    },
    /// Tell why a job is in its state, and what would help.
    Why {
        /// Job.
        job: JobId,
    },
}

/// A job to submit.
#[derive(Debug, clap::Args)]
pub struct JobArgs {
    /// Id; a new one by default.
    #[arg(long)]
    pub id: Option<JobId>,
    /// Team that the job belongs to.
    #[arg(long)]
    pub team: TeamId,
    /// Region in which the job runs.
    #[arg(long)]
    pub region: Region,
    /// Tasks, which start together or not at all.
    #[arg(long, default_value = "1")]
    pub tasks: u32,
    /// Adjacent accelerators of each task.
    #[arg(long, default_value = "1")]
    pub accelerators: u32,
    /// Run all tasks in one rack.
    #[arg(long)]
    pub same_rack: bool,
    /// Go first within the team's guarantee.
    #[arg(long)]
    pub urgent: bool,
    /// Most attempts; the default of the settings if not given.
    #[arg(long)]
    pub max_attempts: Option<u32>,
    /// Time until which the result is needed, such as 4h.
    #[arg(long)]
    pub deadline: Option<Remaining>,
    /// Command of each task.
    #[arg(required = true, last = true)]
    pub command: Vec<String>,
}

/// Availability zones.
#[derive(Debug, Subcommand)]
pub enum ZoneCommand {
    /// Take a zone out: no task starts there after 3 s.
    Out(ZoneArgs),
    /// Bring a zone back.
    In(ZoneArgs),
    /// List zones.
    List,
}

/// A zone to change.
#[derive(Debug, clap::Args)]
pub struct ZoneArgs {
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Refuse if the zone has another version by now.
    #[arg(long, value_name = "VERSION")]
    pub expected_version: Option<ZoneVersion>,
}

/// Workers.
#[derive(Debug, Subcommand)]
pub enum WorkerCommand {
    /// List workers.
    List {
        /// Only workers of this availability zone.
        #[arg(long)]
        zone: Option<AvailabilityZone>,
    },
    /// Show a worker.
    Show {
        /// Worker.
        worker: WorkerId,
    },
    /// Let a worker finish its work and take no more.
    Drain {
        /// Worker.
        worker: WorkerId,
        /// Let it take work again.
        #[arg(long)]
        undo: bool,
    },
    /// Confirm that a worker's instance is gone, so that its tasks start
    /// elsewhere at once. If the instance still runs, tasks run twice.
    Fence {
        /// Worker.
        worker: WorkerId,
        /// Incarnation of the agent that is gone; `worker show` prints it.
        #[arg(long)]
        incarnation: Incarnation,
        /// Confirms that someone has looked that the instance is gone.
        #[arg(long, required = true)]
        verified_gone: bool,
    },
}

/// Alert rules.
#[derive(Debug, Subcommand)]
pub enum RulesCommand {
    /// Check a rule file, without a server.
    Check {
        /// Rule file.
        file: PathBuf,
    },
    /// Put a rule file in force, byte for byte.
    Apply {
        /// Rule file.
        file: PathBuf,
        /// Name at the site; the file's own name by default.
        #[arg(long)]
        name: Option<RuleFile>,
    },
    /// Show rule files and the alerts that are pending or firing.
    Status,
}

/// Requests to backend servers.
#[derive(Debug, Subcommand)]
pub enum RequestCommand {
    /// Send one request and print the backend server's answer.
    Send {
        /// Caller listener of an entry, as IP number and port.
        #[arg(long, env = "CUMINDECK_CALLERS", default_value = "127.0.0.1:7080")]
        callers: SocketAddr,
        /// Team that the request belongs to.
        #[arg(long)]
        team: TeamId,
        /// Idempotency key; a new one by default.
        #[arg(long)]
        key: Option<IdempotencyKey>,
        /// The request may run more than once.
        #[arg(long)]
        idempotent: bool,
        /// Path at the backend server.
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

/// Reads a path at a backend server.
fn parse_path(text: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "/-._~%".contains(c);
    if text.starts_with('/') && text.chars().all(is_allowed) {
        return Ok(text.to_owned());
    }
    Err("expected / and letters, digits, -, ., _, ~, % or further /".into())
}

/// Reads a time limit, which must not be zero.
fn parse_timeout(text: &str) -> Result<Duration, String> {
    let timeout = parse_duration(text).map_err(|err| err.to_string())?;
    let range = Duration::from_millis(10)..=Duration::from_secs(600);
    if range.contains(&timeout) {
        return Ok(timeout);
    }
    Err("expected 10ms to 10m".into())
}
