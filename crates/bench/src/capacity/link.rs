//! Announcements on a real connection: bytes each way and CPU.

use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;

use cumindeck_types::message::{
    AgentLease, AnnounceReply, Announcement, Claim, ClaimReply, EntryAddress, Hello,
    PROTOCOL_VERSION, RingMemberView, RingView, TaskPhase, TaskReport, ZoneRight,
};
use cumindeck_types::{
    Attempt, ConfigVersion, FencingToken, Incarnation, Remaining, RingVersion, TaskIndex,
    ZoneVersion,
};
use cumindeck_wire::{AgentLink, EntryHandler, EntryLink, serve_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

use super::Options;
use super::fit::{Point, print};
use super::site::agent;

/// Parts whose CPU time is measured.
const BATCHES: usize = 10;

/// Bytes that passed a relay, to the entry and back.
pub type Passed = Rc<(Cell<u64>, Cell<u64>)>;

/// Measures announcements against tasks held, entries known and ring members.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let rounds = options.announcements;
    let (mut up, mut cpu) = (Vec::new(), Vec::new());
    for tasks in [0, 3, 12, 48] {
        let (sent, _, time) = run(rounds, announcement(tasks)?, reply(3, 0)?)?;
        up.push(Point::new(tasks as f64, vec![sent]));
        cpu.push(Point::new(tasks as f64, time));
    }
    print(out, "agent.announcement", "B", "tasks", &up, 3.0)?;
    print(out, "agent.cpu_both_sides", "us", "tasks", &cpu, 3.0)?;
    let mut down = Vec::new();
    for entries in [2, 3, 10, 40] {
        let (_, received, _) = run(rounds, announcement(0)?, reply(entries, 0)?)?;
        down.push(Point::new(entries as f64, vec![received]));
    }
    print(out, "agent.reply", "B", "entries", &down, 3.0)?;
    let mut rings = Vec::new();
    for members in [11, 44, 176, 1_425] {
        let (_, received, _) = run(rounds.min(50), announcement(0)?, reply(3, members)?)?;
        rings.push(Point::new(members as f64, vec![received]));
    }
    print(
        out,
        "agent.reply_with_ring",
        "B",
        "members",
        &rings,
        1_425.0,
    )?;
    Ok(())
}

/// Claims keys until the agent holds `count`, then prints how many were granted.
pub fn claim(out: &mut dyn Write, address: SocketAddr, count: usize) -> eyre::Result<()> {
    let granted = block_on(async move {
        let link = AgentLink::connect(address, &hello()).await?;
        let mut granted = 0;
        let mut ring = 1;
        for number in 0..count {
            let key = uuid::Uuid::now_v7().to_string();
            loop {
                let claim = Claim {
                    key: key.parse()?,
                    entry: "bench".parse()?,
                    id: format!("bench-{number}").parse()?,
                    ring_version: RingVersion::new(ring),
                    remaining: Remaining::new(std::time::Duration::from_secs(300)),
                };
                match link.claim(&claim).await? {
                    ClaimReply::Granted => granted += 1,
                    ClaimReply::NotHome if ring < 64 => {
                        ring += 1;
                        continue;
                    }
                    reply if number == 0 => eyre::bail!("the first claim is answered {reply:?}"),
                    _ => {}
                }
                break;
            }
        }
        Ok(granted)
    })?;
    writeln!(out, "claims sent={count} granted={granted}")?;
    Ok(())
}

/// Runs work that needs a `LocalSet`.
pub fn block_on<T>(work: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, work)
}

/// Returns the bytes up, the bytes down and the CPU time in microseconds of an
/// announcement; the CPU time counts agent, entry and relay.
fn run(
    rounds: usize,
    announcement: Announcement,
    reply: AnnounceReply,
) -> eyre::Result<(f64, f64, Vec<f64>)> {
    block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let entry = listener.local_addr()?;
        spawn_local(serve_entry(listener, Rc::new(Fixed(reply))));
        let relay = TcpListener::bind("127.0.0.1:0").await?;
        let address = relay.local_addr()?;
        let passed = Passed::default();
        spawn_local(relay_one(relay, entry, passed.clone()));
        let link = EntryLink::connect(address, &hello()).await?;
        link.announce(&announcement).await?;
        let before = (passed.0.get(), passed.1.get());
        let mut times = Vec::new();
        let batch = rounds.div_ceil(BATCHES);
        for _ in 0..BATCHES {
            let begin = cpu_micros();
            for _ in 0..batch {
                link.announce(&announcement).await?;
            }
            times.push((cpu_micros() - begin) / batch as f64);
        }
        let count = (BATCHES * batch) as f64;
        let sent = (passed.0.get() - before.0) as f64 / count;
        let received = (passed.1.get() - before.1) as f64 / count;
        Ok((sent, received, times))
    })
}

/// Returns the CPU time of this thread.
fn cpu_micros() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Passes one connection on and counts its bytes.
pub async fn relay_one(
    listener: TcpListener,
    to: SocketAddr,
    passed: Passed,
) -> std::io::Result<()> {
    let (near, _) = listener.accept().await?;
    let far = TcpStream::connect(to).await?;
    let ((near_rx, near_tx), (far_rx, far_tx)) = (near.into_split(), far.into_split());
    let back = passed.clone();
    spawn_local(async move { copy(far_rx, near_tx, |n| back.1.set(back.1.get() + n)).await });
    copy(near_rx, far_tx, |n| passed.0.set(passed.0.get() + n)).await
}

async fn copy(
    mut rx: tokio::net::tcp::OwnedReadHalf,
    mut tx: tokio::net::tcp::OwnedWriteHalf,
    count: impl Fn(u64),
) -> std::io::Result<()> {
    let mut buf = vec![0; 65_536];
    loop {
        let len = rx.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        count(len as u64);
        tx.write_all(&buf[..len]).await?;
    }
}

/// An entry that always gives the same reply.
struct Fixed(AnnounceReply);

#[async_trait::async_trait(?Send)]
impl EntryHandler for Fixed {
    fn hello(&self) -> Hello {
        hello()
    }

    async fn announce(&self, _announcement: Announcement) -> AnnounceReply {
        self.0.clone()
    }
}

/// Returns the greeting of the measurement.
pub fn hello() -> Hello {
    Hello {
        protocol_version: PROTOCOL_VERSION,
        sender: "bench".to_owned(),
        incarnation: Incarnation::new(1),
    }
}

fn announcement(tasks: usize) -> eyre::Result<Announcement> {
    let mut announcement = agent(7)?;
    for task in 0..tasks {
        announcement.tasks.push(TaskReport {
            job: format!("job-{task:05}").parse()?,
            attempt: Attempt::new(1),
            task: TaskIndex::new(task as u64),
            phase: TaskPhase::Running,
            detail: String::new(),
        });
    }
    Ok(announcement)
}

/// Makes the reply of a duty holder; without members it carries no ring.
fn reply(entries: usize, members: usize) -> eyre::Result<AnnounceReply> {
    let entries = (0..entries).map(|i| {
        Ok(EntryAddress {
            entry: format!("entry-{i}").parse()?,
            address: format!("10.0.0.{i}:7001").parse()?,
        })
    });
    let members = (0..members).map(|i| {
        Ok(RingMemberView {
            agent: format!("agent-0-{i:04}").parse()?,
            incarnation: Incarnation::new(1_767_225_600_000),
        })
    });
    let members = members.collect::<eyre::Result<Vec<_>>>()?;
    let remaining = Remaining::new(std::time::Duration::from_secs(2));
    Ok(AnnounceReply {
        entry: "entry-0".parse()?,
        config_version: ConfigVersion::new(4),
        is_config_confirmed: true,
        zone_rights: vec![ZoneRight {
            zone: "z0-0".parse()?,
            version: ZoneVersion::new(1),
            is_open: true,
            remaining,
        }],
        lease: Some(AgentLease {
            token: FencingToken::new(1),
            remaining,
            covers_claims: true,
        }),
        holder: Some("10.0.0.1:7001".parse()?),
        entries: entries.collect::<eyre::Result<_>>()?,
        ring_version: RingVersion::new(1),
        gangs: Vec::new(),
        ring: (!members.is_empty()).then_some(RingView {
            region: "r0".parse()?,
            version: RingVersion::new(2),
            members,
        }),
    })
}
