//! Body of a request, read into one buffer for which the memory is claimed first.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use cumindeck_ingress::{BodyBuffer, BodyError, BodyStep, BodyTimer, Phase};
use cumindeck_types::ByteSize;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::gate::ConnectionHandle;

/// Maximum time for reading the rest of a body that is refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Memory that a request holds until it has been carried out.
#[derive(Debug, Clone, Default)]
pub(super) struct Held(Arc<AtomicU64>);

impl Held {
    pub(super) fn get(&self) -> ByteSize {
        ByteSize::new(self.0.load(Ordering::Relaxed))
    }

    fn take(&self) -> ByteSize {
        ByteSize::new(self.0.swap(0, Ordering::Relaxed))
    }

    fn add(&self, size: ByteSize) {
        self.0.fetch_add(size.bytes(), Ordering::Relaxed);
    }
}

/// The body of a request that has not been read.
pub struct RequestBody {
    incoming: Incoming,
    handle: Arc<ConnectionHandle>,
    held: Held,
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, handle: Arc<ConnectionHandle>) -> Self {
        Self {
            incoming,
            handle,
            held: Held::default(),
        }
    }

    pub(super) fn held(&self) -> Held {
        self.held.clone()
    }

    /// Reads a body of at most `limit`; after an error the request has not run.
    pub async fn read(mut self, limit: ByteSize) -> Result<Bytes, BodyError> {
        if self.incoming.is_end_stream() {
            return Ok(Bytes::new());
        }
        let handle = self.handle.clone();
        handle.set_phase(Phase::Body);
        let result = self.read_frames(limit).await;
        if let Err(err) = &result {
            handle.note_body(err);
            handle.release(self.held.take());
            if matches!(err, BodyError::TooLarge(_) | BodyError::NoRoom) {
                self.discard(limit).await;
            }
        }
        handle.set_phase(Phase::Running);
        result
    }

    async fn read_frames(&mut self, limit: ByteSize) -> Result<Bytes, BodyError> {
        let length = self.incoming.size_hint().exact();
        let (mut buffer, capacity) = BodyBuffer::new(limit, length)?;
        let mut data = Vec::new();
        if capacity > ByteSize::new(0) {
            self.grow(&mut data, capacity).await?;
        }
        let gate = self.handle.gate().clone();
        let limits = *gate.limits();
        let mut timer = BodyTimer::new(gate.now());
        loop {
            let patience = timer.patience(gate.now(), &limits);
            let frame = tokio::time::timeout(patience, self.incoming.frame());
            let frame = match frame.await.map_err(|_| BodyError::TooSlow)? {
                Some(Ok(frame)) => frame,
                Some(Err(err)) => return Err(BodyError::Broken(err.to_string())),
                None => return Ok(Bytes::from(data)),
            };
            // Trailers are not used.
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            if let BodyStep::Grow(size) = buffer.append(chunk.len())? {
                self.grow(&mut data, size).await?;
            }
            data.extend_from_slice(chunk);
            timer.receive(gate.now(), chunk.len());
        }
    }

    /// Reads the rest of a refused body without keeping it: a connection that is closed with
    /// unread bytes is reset, and its client may not get the refusal.
    async fn discard(&mut self, limit: ByteSize) {
        let discard = async {
            let mut left = limit.bytes() * 2;
            while let Some(Ok(frame)) = self.incoming.frame().await {
                let len = frame.data_ref().map_or(0, Bytes::len);
                left = left.saturating_sub(u64::try_from(len).unwrap_or(u64::MAX));
                if left == 0 {
                    return;
                }
            }
        };
        // The refusal is sent in either case.
        let _ = tokio::time::timeout(DISCARD_TIMEOUT, discard).await;
    }

    async fn grow(&self, data: &mut Vec<u8>, size: ByteSize) -> Result<(), BodyError> {
        if !self.handle.claim(size).await {
            return Err(BodyError::NoRoom);
        }
        self.held.add(size);
        let size = usize::try_from(size.bytes()).map_err(|_| BodyError::NoRoom)?;
        data.reserve_exact(data.capacity() + size - data.len());
        Ok(())
    }
}

/// A request's body among the extensions of a request, from which it can be taken once.
#[derive(Clone)]
pub(crate) struct BodySlot(Arc<Mutex<Option<RequestBody>>>);

impl BodySlot {
    pub(crate) fn new(body: RequestBody) -> Self {
        Self(Arc::new(Mutex::new(Some(body))))
    }
}

/// Reads the body of a request of a router; an empty one if it was taken before.
pub async fn take_body<B>(req: &mut Request<B>, limit: ByteSize) -> Result<Bytes, BodyError> {
    let slot = req.extensions_mut().remove::<BodySlot>();
    let body = slot.and_then(|BodySlot(body)| {
        let mut body = body.lock().unwrap_or_else(PoisonError::into_inner);
        body.take()
    });
    match body {
        Some(body) => body.read(limit).await,
        None => Ok(Bytes::new()),
    }
}
