//! A connection's stream, with a time limit on writes that the other end does not read.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::gate::{ConnectionHandle, Reason};

pub(super) struct Stream {
    io: TokioIo<TcpStream>,
    handle: Arc<ConnectionHandle>,
    limit: Duration,
    /// Ends the connection while a write is pending.
    deadline: Option<Pin<Box<Sleep>>>,
}

impl Stream {
    pub(super) fn new(stream: TcpStream, handle: Arc<ConnectionHandle>) -> Self {
        Self {
            io: TokioIo::new(stream),
            limit: handle.gate().limits().idle,
            handle,
            deadline: None,
        }
    }

    /// Checks the time limit of a write with this result.
    fn limited(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.deadline = None;
            return written;
        }
        let limit = self.limit;
        let deadline = self.deadline.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(deadline.as_mut().poll(cx));
        self.handle.note(Reason::AnswerNotRead);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Read for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.limited(cx, written)
    }

    /// hyper calls this once all that was queued has been written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.handle.answers_written();
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.limited(cx, written)
    }
}
