//! Commands on jobs.

use cumindeck_api::{JobAccepted, JobExplanation, JobList, JobSpec, JobStatus, path};
use cumindeck_types::{JobId, TeamId};
use hyper::Method;

use super::{Context, new_id};
use crate::args::{JobArgs, JobCommand};
use crate::client::Call;
use crate::failure::Failure;
use crate::report::{self, Report};

/// Maximum number of pages read for a list: 100,000 jobs.
const MAX_PAGES: usize = 100;

/// Runs a command on jobs.
pub async fn run(cx: &Context<'_>, command: &JobCommand) -> Result<Report, Failure> {
    match command {
        JobCommand::Submit(args) => submit(cx, args).await,
        JobCommand::Status { job } => {
            let job: JobStatus = cx.client()?.json(Call::get(path::job(job))).await?;
            Ok(report::job(&job))
        }
        JobCommand::List { team, state } => list(cx, team.as_ref(), state.as_deref()).await,
        JobCommand::Cancel { job } => {
            let read_back = format!("`cumindeck job status {job}` shows it; a repetition is safe");
            let call = Call::change(Method::DELETE, path::job(job), read_back);
            let job: JobStatus = cx.client()?.json(call).await?;
            Ok(Report::text(
                format!("job {} is {}", job.spec.id, job.state),
                &job,
            ))
        }
        JobCommand::Why { job } => {
            let explanation: JobExplanation =
                cx.client()?.json(Call::get(path::job_why(job))).await?;
            Ok(report::job_explanation(&explanation))
        }
    }
}

async fn submit(cx: &Context<'_>, args: &JobArgs) -> Result<Report, Failure> {
    let spec = spec(args)?;
    let read_back = format!(
        "`cumindeck job status {id}` shows it; a repetition with --id {id} is safe",
        id = spec.id
    );
    let call = Call::change(Method::POST, path::JOBS, read_back).json(&spec);
    let accepted: JobAccepted = cx.client()?.json(call).await?;
    let text = format!("job {} is {}", accepted.id, accepted.state);
    Ok(Report::text(text, &accepted))
}

/// Creates the specification of a job and checks its limits.
fn spec(args: &JobArgs) -> Result<JobSpec, Failure> {
    let new = || new_id().to_string().parse::<JobId>();
    let id = args.id.clone().map_or_else(new, Ok);
    let id = id.map_err(|err| Failure::usage(err.to_string(), "give an id by --id"))?;
    let spec = JobSpec {
        id,
        team: args.team.clone(),
        region: args.region.clone(),
        tasks: args.tasks,
        accelerators: args.accelerators,
        same_rack: args.same_rack,
        urgent: args.urgent,
        max_attempts: args.max_attempts,
        command: args.command.clone(),
        deadline: args.deadline,
    };
    let checked = spec.check();
    checked.map_err(|err| Failure::usage(err.to_string(), "correct the argument"))?;
    Ok(spec)
}

async fn list(
    cx: &Context<'_>,
    team: Option<&TeamId>,
    state: Option<&str>,
) -> Result<Report, Failure> {
    let client = cx.client()?;
    let mut jobs = Vec::new();
    let mut after: Option<JobId> = None;
    for _ in 0..MAX_PAGES {
        let filters = [
            team.map(|team| format!("team={team}")),
            state.map(|state| format!("state={state}")),
            after.map(|after| format!("after={after}")),
        ];
        let query: Vec<_> = filters.into_iter().flatten().collect();
        let mark = if query.is_empty() { "" } else { "?" };
        let path = format!("{}{mark}{}", path::JOBS, query.join("&"));
        let page: JobList = client.json(Call::get(path)).await?;
        jobs.extend(page.jobs);
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    Ok(report::jobs(&jobs))
}
