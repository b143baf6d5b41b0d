//! Conversion of dispatches, their replies and claims.

use std::time::Duration;

use cumindeck_types::message::{Answer, Claim, ClaimReply, Dispatch, DispatchReply, Load};
use cumindeck_types::{Attempt, NotRunReason, RingVersion, UncertainReason, Verdict};

use crate::announce::{micros, remaining};
use crate::cumindeck_capnp as schema;
use crate::error::WireError;

pub(crate) fn write_dispatch(dispatch: &Dispatch, mut to: schema::dispatch_request::Builder<'_>) {
    to.set_request_id(dispatch.id.as_str());
    to.set_attempt(dispatch.attempt.get());
    to.set_key(dispatch.key.as_str());
    to.set_team(dispatch.team.as_str());
    to.set_idempotent(dispatch.is_idempotent);
    to.set_remaining_micros(micros(dispatch.remaining.as_duration()));
    to.set_traceparent(dispatch.trace.to_string());
    to.set_path(&dispatch.path);
    to.set_content_type(&dispatch.content_type);
    to.set_body(&dispatch.body);
}

pub(crate) fn read_dispatch(
    from: schema::dispatch_request::Reader<'_>,
) -> Result<Dispatch, WireError> {
    Ok(Dispatch {
        id: from.get_request_id()?.to_str()?.parse()?,
        attempt: Attempt::new(from.get_attempt()),
        key: from.get_key()?.to_str()?.parse()?,
        team: from.get_team()?.to_str()?.parse()?,
        is_idempotent: from.get_idempotent(),
        remaining: remaining(from.get_remaining_micros()),
        trace: from.get_traceparent()?.to_str()?.parse()?,
        path: from.get_path()?.to_string()?,
        content_type: from.get_content_type()?.to_string()?,
        body: from.get_body()?.to_vec(),
    })
}

pub(crate) fn write_dispatch_reply(
    reply: &DispatchReply,
    mut to: schema::dispatch_reply::Builder<'_>,
) {
    let mut load = to.reborrow().init_load();
    load.set_slots(reply.load.slots);
    load.set_in_flight(reply.load.in_flight);
    load.set_leaving(reply.load.is_leaving);
    match &reply.verdict {
        Verdict::Answered(answer) => write_answer(answer, to.init_answered()),
        Verdict::NotRun(reason) => {
            let mut to = to.init_not_run();
            to.set_code(not_run_code(*reason));
            if let NotRunReason::QueueFull { retry_after } = reason {
                to.set_retry_after_micros(micros(*retry_after));
            }
        }
        Verdict::MayHaveRun(reason) => to.set_may_have_run(uncertain_code(*reason)),
    }
}

pub(crate) fn read_dispatch_reply(
    from: schema::dispatch_reply::Reader<'_>,
) -> Result<DispatchReply, WireError> {
    let load = from.get_load()?;
    let verdict = match from.which()? {
        schema::dispatch_reply::Answered(answer) => Verdict::Answered(read_answer(answer?)?),
        schema::dispatch_reply::NotRun(group) => Verdict::NotRun(not_run_reason(
            group.get_code()?,
            group.get_retry_after_micros(),
        )),
        schema::dispatch_reply::MayHaveRun(code) => Verdict::MayHaveRun(uncertain_reason(code?)),
    };
    let load = Load {
        slots: load.get_slots(),
        in_flight: load.get_in_flight(),
        is_leaving: load.get_leaving(),
    };
    Ok(DispatchReply { load, verdict })
}

pub(crate) fn write_claim(claim: &Claim, mut to: schema::claim_request::Builder<'_>) {
    to.set_key(claim.key.as_str());
    to.set_team(claim.team.as_str());
    to.set_entry(claim.entry.as_str());
    to.set_request_id(claim.id.as_str());
    to.set_ring_version(claim.ring_version.get());
    to.set_remaining_micros(micros(claim.remaining.as_duration()));
}

pub(crate) fn read_claim(from: schema::claim_request::Reader<'_>) -> Result<Claim, WireError> {
    Ok(Claim {
        key: from.get_key()?.to_str()?.parse()?,
        team: from.get_team()?.to_str()?.parse()?,
        entry: from.get_entry()?.to_str()?.parse()?,
        id: from.get_request_id()?.to_str()?.parse()?,
        ring_version: RingVersion::new(from.get_ring_version()),
        remaining: remaining(from.get_remaining_micros()),
    })
}

pub(crate) const fn claim_reply_code(reply: ClaimReply) -> schema::ClaimReply {
    match reply {
        ClaimReply::Granted => schema::ClaimReply::Granted,
        ClaimReply::AlreadyClaimed => schema::ClaimReply::AlreadyClaimed,
        ClaimReply::Uncertain => schema::ClaimReply::Uncertain,
        ClaimReply::NotHome => schema::ClaimReply::NotHome,
        ClaimReply::Full => schema::ClaimReply::Full,
        ClaimReply::NotReady => schema::ClaimReply::NotReady,
    }
}

pub(crate) const fn claim_reply(code: schema::ClaimReply) -> ClaimReply {
    match code {
        schema::ClaimReply::Granted => ClaimReply::Granted,
        schema::ClaimReply::AlreadyClaimed => ClaimReply::AlreadyClaimed,
        schema::ClaimReply::Uncertain => ClaimReply::Uncertain,
        schema::ClaimReply::NotHome => ClaimReply::NotHome,
        schema::ClaimReply::Full => ClaimReply::Full,
        schema::ClaimReply::NotReady => ClaimReply::NotReady,
    }
}

fn write_answer(answer: &Answer, mut to: schema::answer::Builder<'_>) {
    to.set_request_id(answer.id.as_str());
    to.set_attempt(answer.attempt.get());
    to.set_status(answer.status);
    to.set_content_type(&answer.content_type);
    to.set_body_length(answer.body.len() as u64);
    to.set_body(&answer.body);
}

fn read_answer(from: schema::answer::Reader<'_>) -> Result<Answer, WireError> {
    let body = from.get_body()?.to_vec();
    let (expected, found) = (from.get_body_length(), body.len() as u64);
    if expected != found {
        return Err(WireError::Truncated { expected, found });
    }
    Ok(Answer {
        id: from.get_request_id()?.to_str()?.parse()?,
        attempt: Attempt::new(from.get_attempt()),
        status: from.get_status(),
        content_type: from.get_content_type()?.to_string()?,
        body,
    })
}

const fn not_run_code(reason: NotRunReason) -> schema::NotRunCode {
    match reason {
        NotRunReason::BadRequest => schema::NotRunCode::BadRequest,
        NotRunReason::TooLarge => schema::NotRunCode::TooLarge,
        NotRunReason::QueueFull { .. } => schema::NotRunCode::QueueFull,
        NotRunReason::NoCapacity => schema::NotRunCode::NoCapacity,
        NotRunReason::Busy => schema::NotRunCode::Busy,
        NotRunReason::Draining => schema::NotRunCode::Draining,
        NotRunReason::Expired => schema::NotRunCode::Expired,
        NotRunReason::Unreachable => schema::NotRunCode::Unreachable,
        NotRunReason::ClaimUnavailable => schema::NotRunCode::ClaimUnavailable,
        NotRunReason::NotReady => schema::NotRunCode::NotReady,
    }
}

const fn not_run_reason(code: schema::NotRunCode, retry_after_micros: u64) -> NotRunReason {
    match code {
        schema::NotRunCode::BadRequest => NotRunReason::BadRequest,
        schema::NotRunCode::TooLarge => NotRunReason::TooLarge,
        schema::NotRunCode::QueueFull => NotRunReason::QueueFull {
            retry_after: Duration::from_micros(retry_after_micros),
        },
        schema::NotRunCode::NoCapacity => NotRunReason::NoCapacity,
        schema::NotRunCode::Busy => NotRunReason::Busy,
        schema::NotRunCode::Draining => NotRunReason::Draining,
        schema::NotRunCode::Expired => NotRunReason::Expired,
        schema::NotRunCode::Unreachable => NotRunReason::Unreachable,
        schema::NotRunCode::ClaimUnavailable => NotRunReason::ClaimUnavailable,
        schema::NotRunCode::NotReady => NotRunReason::NotReady,
    }
}

const fn uncertain_code(reason: UncertainReason) -> schema::UncertainCode {
    match reason {
        UncertainReason::ConnectionLost => schema::UncertainCode::ConnectionLost,
        UncertainReason::Truncated => schema::UncertainCode::Truncated,
        UncertainReason::TimedOut => schema::UncertainCode::TimedOut,
        UncertainReason::AlreadyClaimed => schema::UncertainCode::AlreadyClaimed,
        UncertainReason::UnknownHistory => schema::UncertainCode::UnknownHistory,
    }
}

const fn uncertain_reason(code: schema::UncertainCode) -> UncertainReason {
    match code {
        schema::UncertainCode::ConnectionLost => UncertainReason::ConnectionLost,
        schema::UncertainCode::Truncated => UncertainReason::Truncated,
        schema::UncertainCode::TimedOut => UncertainReason::TimedOut,
        schema::UncertainCode::AlreadyClaimed => UncertainReason::AlreadyClaimed,
        schema::UncertainCode::UnknownHistory => UncertainReason::UnknownHistory,
    }
}
