//! Trace context in the format of the W3C `traceparent` header.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use thiserror::Error;

/// A value that is not a valid `traceparent`, cut off after 64 characters.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "traceparent {0:?} is not valid; expected 00-<32 hex digits>-<16 hex digits>-<2 hex digits>"
)]
pub struct TraceError(String);

/// The trace and the parent span of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct TraceContext {
    /// Trace id, the same at every hop.
    pub trace_id: u128,
    /// Span id of the sender, the parent of the receiver's span.
    pub span_id: u64,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

impl TraceContext {
    /// Returns the context of a child span in the same trace.
    #[must_use]
    pub const fn child(self, span_id: u64) -> Self {
        Self { span_id, ..self }
    }
}

impl Display for TraceContext {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled);
        write!(
            f,
            "00-{:032x}-{:016x}-{flags:02x}",
            self.trace_id, self.span_id
        )
    }
}

impl FromStr for TraceContext {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        parse(text).ok_or_else(|| TraceError(text.chars().take(64).collect()))
    }
}

fn parse(text: &str) -> Option<TraceContext> {
    let mut parts = text.split('-');
    let (version, trace, span, flags) =
        (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
    let lengths = (version.len(), trace.len(), span.len(), flags.len());
    if lengths != (2, 32, 16, 2) || version == "ff" || (version == "00" && parts.next().is_some()) {
        return None;
    }
    let all = [version, trace, span, flags];
    let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    if !all.iter().all(|part| part.chars().all(is_hex)) {
        return None;
    }
    let trace_id = u128::from_str_radix(trace, 16).ok().filter(|id| *id != 0)?;
    let span_id = u64::from_str_radix(span, 16).ok().filter(|id| *id != 0)?;
    let flags = u8::from_str_radix(flags, 16).ok()?;
    Some(TraceContext {
        trace_id,
        span_id,
        sampled: flags & 1 == 1,
    })
}
