//! Clients outside the limits: many connections that stop short of the end of a request,
//! or that never read their answers.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::process::Process;
use crate::site::wait_for;

/// Size of a piece of a body in bytes, each sent by itself.
const PIECE_BYTES: usize = 4_096;

/// Delay between two pieces, so that each arrives by itself.
const PIECE_DELAY: Duration = Duration::from_millis(5);

/// Size of the data of a large chunk in bytes.
const LARGE_CHUNK_BYTES: usize = 16_384;

/// Size of a head that stops short of its end, below the usual limit of 16 KiB.
const HEAD_BYTES: usize = 15_000;

/// Number of requests that a connection sends without reading an answer.
const PIPELINED_REQUESTS: usize = 2_000;

/// Maximum wait until a crowd has sent what the process takes.
const SEND_LIMIT: Duration = Duration::from_secs(20);

/// Maximum wait until a process has handled what it received.
const IDLE_LIMIT: Duration = Duration::from_secs(120);

/// Number of polls in a row without processor time after which a process counts as idle.
const IDLE_POLLS: u32 = 25;

/// What the connections of a crowd send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// A body of the largest size less one byte.
    Whole,
    /// The same in pieces.
    Pieces,
    /// The same in large chunks.
    LargeChunks,
    /// The same in chunks of one byte.
    ByteChunks,
    /// A whole request first, then a body less one byte.
    KeepAlive,
    /// A head that does not end.
    Head,
    /// Requests whose answers are not read.
    UnreadAnswers,
    /// All of these in turn.
    Mixture,
}

impl Load {
    /// The kinds that a mixture consists of.
    const KINDS: [Self; 7] = [
        Self::Whole,
        Self::Pieces,
        Self::LargeChunks,
        Self::ByteChunks,
        Self::KeepAlive,
        Self::Head,
        Self::UnreadAnswers,
    ];
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Whole => "whole bodies",
            Self::Pieces => "pieces",
            Self::LargeChunks => "large chunks",
            Self::ByteChunks => "chunks of one byte",
            Self::KeepAlive => "keep-alive",
            Self::Head => "heads",
            Self::UnreadAnswers => "unread answers",
            Self::Mixture => "mixture",
        })
    }
}

/// A listener and the requests that a crowd sends to it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Method and path of requests with a body.
    pub write: String,
    /// Path of requests without a body.
    pub read: String,
    /// Headers of all requests, each with its line end.
    pub headers: String,
    /// Largest legal size of a body in bytes.
    pub body_bytes: usize,
}

/// Connections that stay open until the crowd is dropped.
pub struct Crowd {
    connections: JoinSet<()>,
    sent: Arc<AtomicUsize>,
}

impl Crowd {
    /// Opens connections, and waits until they have sent all that the process takes and
    /// the process has handled it.
    pub async fn open(
        target: &Target,
        load: Load,
        size: usize,
        process: &Process,
    ) -> eyre::Result<Self> {
        let mut crowd = Self {
            connections: JoinSet::new(),
            sent: Arc::new(AtomicUsize::new(0)),
        };
        for at in 0..size {
            let load = match load {
                Load::Mixture => Load::KINDS[at % Load::KINDS.len()],
                load => load,
            };
            let (target, sent) = (target.clone(), crowd.sent.clone());
            crowd.connections.spawn(async move {
                // A process may refuse the connection or close it at any time.
                let stream = send(&target, load).await;
                sent.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
                drop(stream);
            });
        }
        // Connections that the process does not read block and count as sent.
        let _ = wait_for("the crowd", SEND_LIMIT, async || {
            (crowd.sent.load(Ordering::Relaxed) == size).then_some(())
        })
        .await;
        crowd.wait_until_idle(process).await?;
        Ok(crowd)
    }

    /// Waits until the process has handled what it received.
    async fn wait_until_idle(&self, process: &Process) -> eyre::Result<()> {
        let (mut last, mut polls) = (0, 0);
        wait_for("an idle process", IDLE_LIMIT, async || {
            // A process that has ended is idle.
            let ticks = process.usage().map_or(last, |usage| usage.ticks);
            polls = if ticks <= last + 1 { polls + 1 } else { 0 };
            last = ticks;
            (polls >= IDLE_POLLS).then_some(())
        })
        .await
    }
}

async fn send(target: &Target, load: Load) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(target.address).await?;
    match load {
        Load::Whole => send_body(&mut stream, target).await?,
        Load::Pieces => {
            stream.set_nodelay(true)?;
            stream.write_all(&sized_head(target)).await?;
            let mut left = target.body_bytes - 1;
            while left > 0 {
                let piece = left.min(PIECE_BYTES);
                stream.write_all(&vec![b' '; piece]).await?;
                left -= piece;
                tokio::time::sleep(PIECE_DELAY).await;
            }
        }
        Load::LargeChunks => send_chunks(&mut stream, target, LARGE_CHUNK_BYTES).await?,
        Load::ByteChunks => send_chunks(&mut stream, target, 1).await?,
        Load::KeepAlive => {
            let first = head(target, &format!("GET {}", target.read), "");
            stream.write_all(first.as_bytes()).await?;
            let mut buf = vec![0; 1024];
            if stream.read(&mut buf).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            send_body(&mut stream, target).await?;
        }
        Load::Head => {
            let head = head(target, &target.write, "x-filler: ");
            let mut head = head.trim_end().as_bytes().to_vec();
            head.resize(HEAD_BYTES, b'x');
            stream.write_all(&head).await?;
        }
        Load::UnreadAnswers => {
            let req = head(target, &format!("GET {}", target.read), "");
            let requests = req.repeat(PIPELINED_REQUESTS);
            stream.write_all(requests.as_bytes()).await?;
        }
        Load::Mixture => {}
    }
    Ok(stream)
}

async fn send_body(stream: &mut TcpStream, target: &Target) -> std::io::Result<()> {
    stream.write_all(&sized_head(target)).await?;
    stream.write_all(&vec![b' '; target.body_bytes - 1]).await
}

async fn send_chunks(stream: &mut TcpStream, target: &Target, chunk: usize) -> std::io::Result<()> {
    let head = head(target, &target.write, "transfer-encoding: chunked\r\n");
    stream.write_all(head.as_bytes()).await?;
    let mut buf = Vec::new();
    let mut left = target.body_bytes - 1;
    while left > 0 {
        let size = left.min(chunk);
        buf.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        buf.resize(buf.len() + size, b' ');
        buf.extend_from_slice(b"\r\n");
        left -= size;
        if buf.len() >= LARGE_CHUNK_BYTES || left == 0 {
            stream.write_all(&buf).await?;
            buf.clear();
        }
    }
    Ok(())
}

fn sized_head(target: &Target) -> Vec<u8> {
    let length = format!("content-length: {}\r\n", target.body_bytes);
    head(target, &target.write, &length).into_bytes()
}

fn head(target: &Target, line: &str, header: &str) -> String {
    format!("{line} HTTP/1.1\r\n{}{header}\r\n", target.headers)
}
