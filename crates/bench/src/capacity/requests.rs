//! CPU of the entry's request state machine for several numbers of agents.

use std::io::Write;
use std::time::{Duration, Instant};

use cumindeck_requests::{
    AgentView, EntryConfig, EntryEffect, EntryEvent, EntryMachine, RoutingConfig, Submission,
    TeamLimits,
};
use cumindeck_types::message::{Answer, DispatchReply, Load};
use cumindeck_types::{Attempt, ByteSize, Incarnation, Uptime, Verdict};

use super::Options;
use super::control::REGION_WORKERS;
use super::fit::{Point, print};

/// Number of requests at each size.
const REQUESTS: u64 = 500;

/// Measures the CPU of a request and of an update of an agent's view.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let (mut requests, mut views) = (Vec::new(), Vec::new());
    for workers in &options.workers {
        let (request, view) = measure_at_size(*workers)?;
        requests.push(Point::new(*workers as f64, request));
        views.push(Point::new(*workers as f64, view));
    }
    print(
        out,
        "requests.request",
        "us",
        "agents",
        &requests,
        REGION_WORKERS,
    )?;
    print(
        out,
        "requests.agent_seen",
        "us",
        "agents",
        &views,
        REGION_WORKERS,
    )?;
    Ok(())
}

fn measure_at_size(agents: usize) -> eyre::Result<(Vec<f64>, Vec<f64>)> {
    let limits = TeamLimits {
        weight: 1,
        queue_limit: 256,
        rate: None,
        home_region: "r0".parse()?,
    };
    let cfg = EntryConfig {
        entry: "e0".parse()?,
        region: "r0".parse()?,
        teams: vec![("t0".parse()?, limits)],
        routing: RoutingConfig::default(),
        retry_percent: 10,
    };
    let mut machine = EntryMachine::new(cfg, 7);
    let mut now = Uptime::from_millis(1_000);
    let view = |i: usize| -> eyre::Result<AgentView> {
        Ok(AgentView {
            agent: format!("agent-0-{i:04}").parse()?,
            incarnation: Incarnation::new(1),
            zone: "z0-0".parse()?,
            region: "r0".parse()?,
            is_zone_open: true,
            is_leaving: false,
            is_suspect: false,
            slots: 8,
            connections: 64,
            in_flight: 0,
        })
    };
    let mut seen = Vec::new();
    // The first round adds the agents; the second one measures their updates.
    for _ in 0..2 {
        seen.clear();
        for i in 0..agents {
            let event = EntryEvent::AgentSeen(view(i)?);
            let begin = Instant::now();
            machine.step(now, event);
            seen.push(begin.elapsed().as_secs_f64() * 1e6);
        }
    }
    let mut times = Vec::new();
    for number in 0..REQUESTS {
        now = now.plus(Duration::from_micros(500));
        let request: cumindeck_types::RequestId = format!("r{number}").parse()?;
        let submission = Submission {
            request: request.clone(),
            key: None,
            team: "t0".parse()?,
            is_idempotent: true,
            deadline: now.plus(Duration::from_secs(20)),
            body: ByteSize::new(2_000),
        };
        let begin = Instant::now();
        let effects = machine.step(now, EntryEvent::Submitted(submission));
        let first = begin.elapsed();
        let order = effects.into_iter().find_map(|effect| match effect {
            EntryEffect::Dispatch(order) => Some(order),
            _ => None,
        });
        let Some(order) = order else {
            eyre::bail!("request {number} was not dispatched to one of {agents} agents");
        };
        let answer = Answer {
            id: request.clone(),
            attempt: Attempt::new(1),
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Vec::new(),
        };
        let load = Load {
            slots: 8,
            in_flight: 0,
            is_leaving: false,
        };
        let event = EntryEvent::Dispatched {
            request,
            attempt: order.attempt,
            agent: order.agent,
            result: Ok(DispatchReply {
                load,
                verdict: Verdict::Answered(answer),
            }),
        };
        now = now.plus(Duration::from_millis(2));
        let begin = Instant::now();
        machine.step(now, event);
        times.push((first + begin.elapsed()).as_secs_f64() * 1e6);
    }
    Ok((times, seen))
}
