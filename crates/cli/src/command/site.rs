//! Commands on teams, availability zones, workers and the site as a whole.

use cumindeck_api::{
    SiteStatus, TeamList, TeamStatus, WorkerDrain, WorkerFence, WorkerList, WorkerStatus,
    ZoneChange, ZoneList, ZoneStatus, path,
};
use cumindeck_types::{Incarnation, WorkerId};
use hyper::Method;

use super::Context;
use crate::args::{TeamCommand, WorkerCommand, ZoneArgs, ZoneCommand};
use crate::client::Call;
use crate::failure::Failure;
use crate::report::{self, Report};

/// Shows the state of the site.
pub async fn status(cx: &Context<'_>) -> Result<Report, Failure> {
    let status: SiteStatus = cx.client()?.json(Call::get(path::STATUS)).await?;
    Ok(report::status(&status))
}

/// Runs a command on teams.
pub async fn team(cx: &Context<'_>, command: &TeamCommand) -> Result<Report, Failure> {
    match command {
        TeamCommand::List => {
            let list: TeamList = cx.client()?.json(Call::get(path::TEAMS)).await?;
            Ok(report::teams(&list.teams, &list))
        }
        TeamCommand::Show { team } => {
            let team: TeamStatus = cx.client()?.json(Call::get(path::team(team))).await?;
            Ok(report::teams(std::slice::from_ref(&team), &team))
        }
    }
}

/// Runs a command on availability zones.
pub async fn zone(cx: &Context<'_>, command: &ZoneCommand) -> Result<Report, Failure> {
    match command {
        ZoneCommand::Out(args) => set_zone(cx, args, false).await,
        ZoneCommand::In(args) => set_zone(cx, args, true).await,
        ZoneCommand::List => {
            let list: ZoneList = cx.client()?.json(Call::get(path::ZONES)).await?;
            Ok(report::zones(&list.zones, &list))
        }
    }
}

async fn set_zone(cx: &Context<'_>, args: &ZoneArgs, open: bool) -> Result<Report, Failure> {
    let change = ZoneChange {
        open,
        expected_version: args.expected_version,
    };
    let read_back = "`cumindeck zone list` shows the zone's state and version";
    let call = Call::change(Method::PUT, path::zone(&args.zone), read_back).json(&change);
    let zone: ZoneStatus = cx.client()?.json(call).await?;
    let state = if zone.open {
        "open"
    } else {
        "out; no task starts there after 3 s"
    };
    let text = format!("zone {} is {state} (version {})", zone.id, zone.version);
    Ok(Report::text(text, &zone))
}

/// Runs a command on workers.
pub async fn worker(cx: &Context<'_>, command: &WorkerCommand) -> Result<Report, Failure> {
    match command {
        WorkerCommand::List { zone } => {
            let query = zone.as_ref().map(|zone| format!("?zone={zone}"));
            let path = path::WORKERS.to_owned() + &query.unwrap_or_default();
            let list: WorkerList = cx.client()?.json(Call::get(path)).await?;
            Ok(report::workers(&list.workers, &list))
        }
        WorkerCommand::Show { worker } => {
            let worker: WorkerStatus = cx.client()?.json(Call::get(path::worker(worker))).await?;
            Ok(report::workers(std::slice::from_ref(&worker), &worker))
        }
        WorkerCommand::Drain { worker, undo } => drain(cx, worker, !undo).await,
        WorkerCommand::Fence {
            worker,
            incarnation,
            verified_gone,
        } => fence(cx, worker, *incarnation, *verified_gone).await,
    }
}

async fn drain(cx: &Context<'_>, worker: &WorkerId, drain: bool) -> Result<Report, Failure> {
    let call = Call::change(Method::PUT, path::worker_drain(worker), read_back(worker));
    let call = call.json(&WorkerDrain { drain });
    let worker: WorkerStatus = cx.client()?.json(call).await?;
    let state = if worker.is_draining {
        "drains"
    } else {
        "takes work"
    };
    let (id, requests, tasks) = (&worker.id, worker.in_flight, worker.tasks);
    let text = format!("worker {id} {state}: {requests} requests and {tasks} tasks run");
    Ok(Report::text(text, &worker))
}

async fn fence(
    cx: &Context<'_>,
    worker: &WorkerId,
    incarnation: Incarnation,
    verified_gone: bool,
) -> Result<Report, Failure> {
    let change = WorkerFence {
        verified_gone,
        incarnation,
    };
    let call = Call::change(Method::PUT, path::worker_fence(worker), read_back(worker));
    let worker: WorkerStatus = cx.client()?.json(call.json(&change)).await?;
    let text = format!("worker {} is {}", worker.id, worker.health);
    Ok(Report::text(text, &worker))
}

fn read_back(worker: &WorkerId) -> String {
    format!("`cumindeck worker show {worker}` shows it; a repetition is safe")
}
