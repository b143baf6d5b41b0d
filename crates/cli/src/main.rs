//! `cumindeck`: the operators' command line.

use std::io::{self, Write};
use std::process::ExitCode;

use clap::Parser;
use cumindeck_cli::args::{Args, Output};
use cumindeck_cli::{JsonRender, Render, TableRender, run};
use eyre::WrapErr;

fn main() -> eyre::Result<ExitCode> {
    let args = Args::parse();
    let render: &dyn Render = match args.output {
        Output::Table => &TableRender,
        Output::Json => &JsonRender,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("can't start the runtime")?;
    match runtime.block_on(run(args)) {
        Ok(report) => {
            if let Some(note) = &report.note {
                eprintln!("{note}");
            }
            let written = io::stdout().write_all(&render.report(&report));
            // A reader such as `head` may close the pipe early.
            if written.is_err_and(|err| err.kind() != io::ErrorKind::BrokenPipe) {
                eyre::bail!("can't write to standard output; the command itself has completed");
            }
            Ok(ExitCode::SUCCESS)
        }
        Err(failure) => {
            eprint!("{}", render.failure(&failure));
            Ok(failure.exit.into())
        }
    }
}
