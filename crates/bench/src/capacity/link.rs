//! Announcements on a real connection: bytes in each direction and CPU time.

use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

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

/// Number of batches; each gives one sample of CPU time.
const BATCHES: usize = 10;

/// Bytes that a relay has forwarded: to the entry, and back.
pub type RelayedBytes = Rc<(Cell<u64>, Cell<u64>)>;

/// Measures announcements for several numbers of tasks, entries and ring members.
pub fn measure(options: &Options, out: &mut dyn Write) -> eyre::Result<()> {
    let rounds = options.announcements;
    let (mut up, mut agents, mut entries_cpu) = (Vec::new(), Vec::new(), Vec::new());
    for tasks in [0, 3, 12, 48] {
        let cost = run(rounds, announcement(tasks)?, reply(3, 0)?)?;
        up.push(Point::new(tasks as f64, vec![cost.sent]));
        agents.push(Point::new(tasks as f64, cost.agent));
        entries_cpu.push(Point::new(tasks as f64, cost.entry));
    }
    print(out, "agent.announcement", "B", "tasks", &up, 3.0)?;
    print(out, "agent.cpu_with_relay", "us", "tasks", &agents, 3.0)?;
    print(
        out,
        "entry.cpu_of_connection",
        "us",
        "tasks",
        &entries_cpu,
        3.0,
    )?;
    let mut down = Vec::new();
    for entries in [2, 3, 10, 40] {
        let received = run(rounds, announcement(0)?, reply(entries, 0)?)?.received;
        down.push(Point::new(entries as f64, vec![received]));
    }
    print(out, "agent.reply", "B", "entries", &down, 3.0)?;
    let mut rings = Vec::new();
    for members in [11, 44, 176, 1_425] {
        let received = run(rounds.min(50), announcement(0)?, reply(3, members)?)?.received;
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

/// Claims `count` new keys at an agent and prints the number of granted claims.
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
                    team: "bench".parse()?,
                    entry: "bench".parse()?,
                    id: format!("bench-{number}").parse()?,
                    ring_version: RingVersion::new(ring),
                    remaining: Remaining::new(std::time::Duration::from_secs(300)),
                };
                match link.claim(&claim).await? {
                    ClaimReply::Granted => granted += 1,
                    // The ring version isn't known here, so the next one is tried.
                    ClaimReply::NotHome if ring < 64 => {
                        ring += 1;
                        continue;
                    }
                    reply if number == 0 => {
                        eyre::bail!("the agent replied {reply:?} to the first claim")
                    }
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

/// Runs a future in a `LocalSet` on a new single-threaded runtime.
pub fn block_on<T>(work: impl Future<Output = eyre::Result<T>>) -> eyre::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, work)
}

/// Cost of one announcement.
struct AnnouncementCost {
    /// Mean bytes sent to the entry.
    sent: f64,
    /// Mean bytes of the reply.
    received: f64,
    /// CPU time of the agent's side and of the relay in microseconds, for each batch.
    agent: Vec<f64>,
    /// CPU time of the entry's side in microseconds, for each batch.
    entry: Vec<f64>,
}

/// Sends announcements to an entry. The entry runs in its own thread, so that the CPU
/// time of the two sides is measured separately.
fn run(
    rounds: usize,
    announcement: Announcement,
    reply: AnnounceReply,
) -> eyre::Result<AnnouncementCost> {
    let cpu = Arc::new(AtomicU64::new(0));
    let (address_tx, address_rx) = std::sync::mpsc::channel();
    let (stop_tx, stop_rx) = tokio::sync::oneshot::channel::<()>();
    let handler_cpu = cpu.clone();
    let server = std::thread::spawn(move || {
        block_on(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            address_tx.send(listener.local_addr()?)?;
            let handler = FixedReplyEntry {
                reply,
                cpu: handler_cpu,
            };
            spawn_local(serve_entry(listener, Rc::new(handler)));
            // The sender is dropped when the measurement ends.
            let _ = stop_rx.await;
            Ok(())
        })
    });
    let entry = address_rx.recv()?;
    let entry_cpu = || cpu.load(Ordering::Relaxed) as f64 / 1e3;
    let cost = block_on(async move {
        let relay = TcpListener::bind("127.0.0.1:0").await?;
        let address = relay.local_addr()?;
        let relayed = RelayedBytes::default();
        spawn_local(relay_connection(relay, entry, relayed.clone()));
        let link = EntryLink::connect(address, &hello()).await?;
        link.announce(&announcement).await?;
        let before = (relayed.0.get(), relayed.1.get());
        let (mut agent, mut entry) = (Vec::new(), Vec::new());
        let batch = rounds.div_ceil(BATCHES);
        for _ in 0..BATCHES {
            let begin = (cpu_micros(), entry_cpu());
            for _ in 0..batch {
                link.announce(&announcement).await?;
            }
            agent.push((cpu_micros() - begin.0) / batch as f64);
            entry.push((entry_cpu() - begin.1) / batch as f64);
        }
        let count = (BATCHES * batch) as f64;
        Ok(AnnouncementCost {
            sent: (relayed.0.get() - before.0) as f64 / count,
            received: (relayed.1.get() - before.1) as f64 / count,
            agent,
            entry,
        })
    });
    drop(stop_tx);
    match server.join() {
        Ok(result) => result?,
        Err(_) => eyre::bail!("the thread of the entry panicked"),
    }
    cost
}

/// Returns the CPU time of the current thread in microseconds.
fn cpu_micros() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Accepts one connection, forwards it to `to` and counts its bytes.
pub async fn relay_connection(
    listener: TcpListener,
    to: SocketAddr,
    relayed: RelayedBytes,
) -> std::io::Result<()> {
    let (client, _) = listener.accept().await?;
    let server = TcpStream::connect(to).await?;
    let ((client_rx, client_tx), (server_rx, server_tx)) =
        (client.into_split(), server.into_split());
    let back = relayed.clone();
    spawn_local(async move { copy(server_rx, client_tx, |n| back.1.set(back.1.get() + n)).await });
    copy(client_rx, server_tx, |n| relayed.0.set(relayed.0.get() + n)).await
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

/// An entry that returns the same reply to every announcement.
struct FixedReplyEntry {
    reply: AnnounceReply,
    /// CPU time of the entry's thread at the last announcement, in nanoseconds.
    cpu: Arc<AtomicU64>,
}

#[async_trait::async_trait(?Send)]
impl EntryHandler for FixedReplyEntry {
    fn hello(&self) -> Hello {
        hello()
    }

    async fn announce(&self, _announcement: Announcement) -> AnnounceReply {
        let nanos = (cpu_micros() * 1e3) as u64;
        self.cpu.store(nanos, Ordering::Relaxed);
        self.reply.clone()
    }
}

/// Returns the hello message of the measurement.
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

/// Creates the reply of a leader. Without members it contains no ring.
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
        leader: Some("10.0.0.1:7001".parse()?),
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
