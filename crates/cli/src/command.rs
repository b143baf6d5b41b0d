//! Runs the parsed command and returns its report.

mod config;
mod job;
mod request;
mod rules;
mod site;

use clap::CommandFactory;
use hyper::header::HeaderValue;
use uuid::Uuid;

use crate::args::{Args, Command};
use crate::client::Client;
use crate::failure::Failure;
use crate::files;
use crate::report::Report;

/// Runs the command of a command line.
pub async fn run(args: Args) -> Result<Report, Failure> {
    let cx = Context { args: &args };
    match &args.command {
        Command::Config(command) => config::run(&cx, command).await,
        Command::Team(command) => site::team(&cx, command).await,
        Command::Job(command) => job::run(&cx, command).await,
        Command::Zone(command) => site::zone(&cx, command).await,
        Command::Worker(command) => site::worker(&cx, command).await,
        Command::Rules(command) => rules::run(&cx, command).await,
        Command::Request(command) => request::run(&cx, command).await,
        Command::Status => site::status(&cx).await,
        Command::Completion { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(*shell, &mut Args::command(), "cumindeck", &mut script);
            Ok(Report::raw(script))
        }
    }
}

/// Arguments shared by all commands.
struct Context<'a> {
    args: &'a Args,
}

impl Context<'_> {
    /// Creates a client of the operator listener.
    fn client(&self) -> Result<Client, Failure> {
        let Some(path) = &self.args.token_file else {
            return Err(Failure::usage(
                "the operators' token is missing",
                "name its file by --token-file or CUMINDECK_TOKEN_FILE",
            ));
        };
        let token = files::token(path)?;
        Ok(Client::new(
            self.args.server,
            Some(token),
            self.args.timeout,
        ))
    }
}

/// Creates a UUIDv7, from whose timestamp home agents compute the age of a key.
fn new_id() -> Uuid {
    Uuid::now_v7()
}

/// Creates the value of a header from an id.
fn header_value(id: &impl ToString) -> Result<HeaderValue, Failure> {
    HeaderValue::try_from(id.to_string()).map_err(|_| {
        let message = format!("{:?} can't be sent in a header", id.to_string());
        Failure::usage(message, "use printable ASCII")
    })
}
