//! Body of an answer, whose memory is held until it has been written.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cumindeck_types::ByteSize;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};

use crate::gate::ConnectionHandle;

pub(super) struct AnswerBody {
    body: Full<Bytes>,
    claimed: ByteSize,
    handle: Arc<ConnectionHandle>,
}

impl AnswerBody {
    pub(super) const fn new(
        body: Full<Bytes>,
        claimed: ByteSize,
        handle: Arc<ConnectionHandle>,
    ) -> Self {
        Self {
            body,
            claimed,
            handle,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let claimed = std::mem::take(&mut self.claimed);
        self.handle.queue_answer(claimed);
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        // The answer to a HEAD request is never polled.
        self.handle.release(self.claimed);
    }
}
