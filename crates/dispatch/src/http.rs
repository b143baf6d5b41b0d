//! Limits of the HTTP servers, and their replies.

use bytes::Bytes;
use cumindeck_ingress::{BodyError, IngressLimits};
use cumindeck_service::{HeadLimits, Reply, body_error_status, explain_body_error};
use cumindeck_types::ByteSize;
use http::{Response, StatusCode};
use http_body_util::Full;

/// Limits of a process on the requests that it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Limits on connections and memory, for all listeners together.
    pub ingress: IngressLimits,
    /// Limits of each listener on the heads of requests.
    pub head: HeadLimits,
}

/// Receive buffer of a connection between processes, whose reports may have tens of KB.
const INTERNAL_RECEIVE_BUFFER: ByteSize = ByteSize::from_kib(32);

/// Returns the limits of the listener for other processes.
pub(crate) fn internal_head(head: HeadLimits) -> HeadLimits {
    HeadLimits {
        receive_buffer: INTERNAL_RECEIVE_BUFFER,
        ..head
    }
}

/// Creates the response to a request whose body was not read.
pub(crate) fn body_error_response(err: &BodyError) -> Reply {
    let mut reply = plain_response(body_error_status(err), &err.to_string());
    explain_body_error(&mut reply, err);
    reply
}

/// Creates a response with a JSON body.
pub(crate) fn json_response<T: serde::Serialize>(status: StatusCode, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(body) => Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)))
            .unwrap_or_default(),
        Err(err) => {
            tracing::error!(event = "encode_failed", error = %err);
            plain_response(StatusCode::INTERNAL_SERVER_ERROR, "")
        }
    }
}

/// Creates a response with a text body.
pub(crate) fn plain_response(status: StatusCode, body: &str) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(body.to_owned())));
    *response.status_mut() = status;
    response
}
