//! Requests, claims and heartbeats on a real connection: bytes of both directions.

use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use cumindeck_types::message::{
    Answer, Claim, ClaimReply, Dispatch, DispatchReply, Heartbeat, Hello, Load, Reserve, StartTask,
    TaskAnswer, TaskRef,
};
use cumindeck_types::{Attempt, Remaining, RingVersion, TaskIndex, TraceContext, Verdict};
use cumindeck_wire::{AgentHandler, AgentLink, serve_agent};
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::Options;
use super::fit::{Point, print};
use super::link::{RelayedBytes, block_on, hello, relay_connection};

/// Measures the bytes of both directions for several lengths of the body.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let rounds = options.announcements.min(200);
    let mut points = Vec::new();
    for body in [0, 500, 2_000, 8_000] {
        let bytes = run(rounds, Message::Dispatch(body))?;
        points.push(Point::new(body as f64, vec![bytes]));
    }
    print(
        out,
        "link.request_and_answer",
        "B",
        "body",
        &points,
        2_000.0,
    )?;
    for (name, message) in [("claim", Message::Claim), ("beat", Message::Heartbeat)] {
        let bytes = run(rounds, message)?;
        writeln!(out, "link.{name} both_ways={bytes:.0}B")?;
    }
    Ok(())
}

/// Kind of message to send to the agent.
#[derive(Clone, Copy)]
enum Message {
    /// A request and its response, each with a body of this length.
    Dispatch(usize),
    /// A claim of an idempotency key.
    Claim,
    /// A heartbeat of a gang member.
    Heartbeat,
}

/// Returns the mean number of bytes of a message and its reply.
fn run(rounds: usize, message: Message) -> eyre::Result<f64> {
    block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let agent = listener.local_addr()?;
        spawn_local(serve_agent(listener, Rc::new(Echo), std::future::pending()));
        let relay = TcpListener::bind("127.0.0.1:0").await?;
        let address = relay.local_addr()?;
        let relayed = RelayedBytes::default();
        spawn_local(relay_connection(relay, agent, relayed.clone()));
        let link = AgentLink::connect(address, &hello()).await?;
        send(&link, message, 0).await?;
        let before = relayed.0.get() + relayed.1.get();
        for number in 1..=rounds {
            send(&link, message, number).await?;
        }
        let bytes = relayed.0.get() + relayed.1.get() - before;
        Ok(bytes as f64 / rounds as f64)
    })
}

async fn send(link: &AgentLink, message: Message, number: usize) -> eyre::Result<()> {
    let remaining = Remaining::new(Duration::from_secs(20));
    let request = uuid::Uuid::now_v7().to_string();
    match message {
        Message::Dispatch(body) => {
            let dispatch = Dispatch {
                id: request.parse()?,
                attempt: Attempt::new(1),
                key: request.parse()?,
                team: "market-stalls".parse()?,
                is_idempotent: false,
                remaining,
                trace: TRACE.parse::<TraceContext>()?,
                path: "/letters".to_owned(),
                content_type: "text/plain".to_owned(),
                body: vec![b'a'; body],
            };
            link.dispatch(&dispatch).await?;
        }
        Message::Claim => {
            let claim = Claim {
                key: request.parse()?,
                team: "letters".parse()?,
                entry: "entry-plateau-1".parse()?,
                id: request.parse()?,
                ring_version: RingVersion::new(3),
                remaining,
            };
            link.claim(&claim).await?;
        }
        Message::Heartbeat => {
            let heartbeat = Heartbeat {
                job: format!("job-{number:05}").parse()?,
                attempt: Attempt::new(1),
                task: TaskIndex::new(3),
                is_running: true,
            };
            link.heartbeat(&heartbeat).await?;
        }
    }
    Ok(())
}

/// A trace context in the format that callers send.
const TRACE: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// An agent that returns the body of each request.
struct Echo;

#[async_trait::async_trait(?Send)]
impl AgentHandler for Echo {
    fn hello(&self) -> Hello {
        hello()
    }

    async fn dispatch(&self, dispatch: Dispatch) -> DispatchReply {
        DispatchReply {
            load: Load::default(),
            verdict: Verdict::Answered(Answer {
                id: dispatch.id,
                attempt: dispatch.attempt,
                status: 200,
                content_type: dispatch.content_type,
                body: dispatch.body,
            }),
        }
    }

    async fn claim(&self, _claim: Claim) -> ClaimReply {
        ClaimReply::Granted
    }

    async fn release(&self, _claim: Claim) {}

    async fn reserve(&self, _reserve: Reserve) -> TaskAnswer {
        TaskAnswer::Done
    }

    async fn start_task(&self, _order: StartTask) -> TaskAnswer {
        TaskAnswer::Done
    }

    async fn stop(&self, _task: TaskRef) -> TaskAnswer {
        TaskAnswer::Done
    }

    async fn checkpoint(&self, _task: TaskRef) -> TaskAnswer {
        TaskAnswer::Done
    }

    async fn heartbeat(&self, _heartbeat: Heartbeat) -> TaskAnswer {
        TaskAnswer::Done
    }
}
