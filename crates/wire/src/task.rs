//! Conversion of orders and reports about tasks, and of heartbeats.

use cumindeck_types::message::{
    Heartbeat, Reserve, StartTask, TaskAnswer, TaskPhase, TaskRef, TaskReport,
};
use cumindeck_types::{Attempt, FencingToken, TaskIndex, ZoneVersion};

use crate::announce::{list_len, micros, read_member, remaining, write_members};
use crate::cumindeck_capnp as schema;
use crate::error::WireError;

/// Maximum length of a report's detail in bytes; longer ones are truncated.
const MAX_DETAIL_BYTES: usize = 256;

pub(crate) fn write_report(report: &TaskReport, mut to: schema::task_report::Builder<'_>) {
    to.set_job(report.job.as_str());
    to.set_attempt(report.attempt.get());
    to.set_task(report.task.get());
    to.set_phase(match report.phase {
        TaskPhase::Reserved => schema::TaskPhase::Reserved,
        TaskPhase::Ready => schema::TaskPhase::Ready,
        TaskPhase::Running => schema::TaskPhase::Running,
        TaskPhase::Succeeded => schema::TaskPhase::Succeeded,
        TaskPhase::Failed => schema::TaskPhase::Failed,
        TaskPhase::Stopped => schema::TaskPhase::Stopped,
    });
    to.set_detail(&report.detail[..report.detail.floor_char_boundary(MAX_DETAIL_BYTES)]);
}

pub(crate) fn read_report(from: schema::task_report::Reader<'_>) -> Result<TaskReport, WireError> {
    Ok(TaskReport {
        job: from.get_job()?.to_str()?.parse()?,
        attempt: Attempt::new(from.get_attempt()),
        task: TaskIndex::new(from.get_task()),
        phase: match from.get_phase()? {
            schema::TaskPhase::Reserved => TaskPhase::Reserved,
            schema::TaskPhase::Ready => TaskPhase::Ready,
            schema::TaskPhase::Running => TaskPhase::Running,
            schema::TaskPhase::Succeeded => TaskPhase::Succeeded,
            schema::TaskPhase::Failed => TaskPhase::Failed,
            schema::TaskPhase::Stopped => TaskPhase::Stopped,
        },
        detail: from.get_detail()?.to_string()?,
    })
}

pub(crate) fn write_ref(task: &TaskRef, mut to: schema::task_ref::Builder<'_>) {
    to.set_job(task.job.as_str());
    to.set_attempt(task.attempt.get());
    to.set_task(task.task.get());
    to.set_token(task.token.get());
}

pub(crate) fn read_ref(from: schema::task_ref::Reader<'_>) -> Result<TaskRef, WireError> {
    Ok(TaskRef {
        job: from.get_job()?.to_str()?.parse()?,
        attempt: Attempt::new(from.get_attempt()),
        task: TaskIndex::new(from.get_task()),
        token: FencingToken::new(from.get_token()),
    })
}

pub(crate) fn write_reserve(reserve: &Reserve, mut to: schema::reserve_request::Builder<'_>) {
    write_ref(&reserve.task, to.reborrow().init_ref());
    to.set_team(reserve.team.as_str());
    to.set_gang_size(reserve.gang_size);
    to.set_command(&reserve.command);
    to.set_zone_version(reserve.zone_version.get());
    to.set_remaining_micros(micros(reserve.remaining.as_duration()));
    let mut list = to.init_accelerators(list_len(reserve.accelerators.len()));
    for (i, index) in reserve.accelerators.iter().enumerate() {
        list.set(list_len(i), *index);
    }
}

pub(crate) fn read_reserve(
    from: schema::reserve_request::Reader<'_>,
) -> Result<Reserve, WireError> {
    Ok(Reserve {
        task: read_ref(from.get_ref()?)?,
        team: from.get_team()?.to_str()?.parse()?,
        accelerators: from.get_accelerators()?.iter().collect(),
        gang_size: from.get_gang_size(),
        command: from.get_command()?.to_string()?,
        zone_version: ZoneVersion::new(from.get_zone_version()),
        remaining: remaining(from.get_remaining_micros()),
    })
}

pub(crate) fn write_start(order: &StartTask, mut to: schema::go_request::Builder<'_>) {
    write_ref(&order.task, to.reborrow().init_ref());
    to.set_zone_version(order.zone_version.get());
    to.set_remaining_micros(micros(order.remaining.as_duration()));
    write_members(
        &order.members,
        to.init_members(list_len(order.members.len())),
    );
}

pub(crate) fn read_start(from: schema::go_request::Reader<'_>) -> Result<StartTask, WireError> {
    Ok(StartTask {
        task: read_ref(from.get_ref()?)?,
        zone_version: ZoneVersion::new(from.get_zone_version()),
        remaining: remaining(from.get_remaining_micros()),
        members: from
            .get_members()?
            .iter()
            .map(read_member)
            .collect::<Result<_, _>>()?,
    })
}

pub(crate) fn write_heartbeat(heartbeat: &Heartbeat, mut to: schema::beat::Builder<'_>) {
    to.set_job(heartbeat.job.as_str());
    to.set_attempt(heartbeat.attempt.get());
    to.set_task(heartbeat.task.get());
    to.set_running(heartbeat.is_running);
}

pub(crate) fn read_heartbeat(from: schema::beat::Reader<'_>) -> Result<Heartbeat, WireError> {
    Ok(Heartbeat {
        job: from.get_job()?.to_str()?.parse()?,
        attempt: Attempt::new(from.get_attempt()),
        task: TaskIndex::new(from.get_task()),
        is_running: from.get_running(),
    })
}

pub(crate) const fn task_answer_code(answer: TaskAnswer) -> schema::TaskAnswer {
    match answer {
        TaskAnswer::Done => schema::TaskAnswer::Done,
        TaskAnswer::StaleToken => schema::TaskAnswer::StaleToken,
        TaskAnswer::NoLease => schema::TaskAnswer::NoLease,
        TaskAnswer::NoRight => schema::TaskAnswer::NoRight,
        TaskAnswer::Expired => schema::TaskAnswer::Expired,
        TaskAnswer::NoRoom => schema::TaskAnswer::NoRoom,
        TaskAnswer::UnknownTask => schema::TaskAnswer::UnknownTask,
        TaskAnswer::Failed => schema::TaskAnswer::Failed,
    }
}

pub(crate) const fn task_answer(code: schema::TaskAnswer) -> TaskAnswer {
    match code {
        schema::TaskAnswer::Done => TaskAnswer::Done,
        schema::TaskAnswer::StaleToken => TaskAnswer::StaleToken,
        schema::TaskAnswer::NoLease => TaskAnswer::NoLease,
        schema::TaskAnswer::NoRight => TaskAnswer::NoRight,
        schema::TaskAnswer::Expired => TaskAnswer::Expired,
        schema::TaskAnswer::NoRoom => TaskAnswer::NoRoom,
        schema::TaskAnswer::UnknownTask => TaskAnswer::UnknownTask,
        schema::TaskAnswer::Failed => TaskAnswer::Failed,
    }
}
