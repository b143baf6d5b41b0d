//! Tracing spans: one per hop of a request or order, logged when it ends.

use cumindeck_types::{TraceContext, Uptime};

use crate::Timer;

/// The span of one hop; it is logged only by [`HopSpan::end`].
pub struct HopSpan {
    name: &'static str,
    parent_span_id: Option<u64>,
    context: TraceContext,
    started: Uptime,
    timer: Timer,
}

impl HopSpan {
    /// Starts a span under the sender's context, or a new trace if there is none.
    #[must_use]
    pub fn start(name: &'static str, parent: Option<TraceContext>, timer: &Timer) -> Self {
        let span_id = rand::random::<u64>().max(1);
        let context = match parent {
            Some(parent) => parent.child(span_id),
            None => TraceContext {
                trace_id: rand::random::<u128>().max(1),
                span_id,
                sampled: true,
            },
        };
        let parent_span_id = parent.map(|parent| parent.span_id);
        Self {
            name,
            parent_span_id,
            context,
            started: timer.now(),
            timer: timer.clone(),
        }
    }

    /// Returns the context to send to the next hop.
    #[must_use]
    pub const fn context(&self) -> TraceContext {
        self.context
    }

    /// Ends the span and logs it with its outcome.
    pub fn end(self, outcome: &str) {
        let micros = u64::try_from(self.timer.now().since(self.started).as_micros());
        let micros = micros.unwrap_or(u64::MAX);
        let parent = self
            .parent_span_id
            .map_or(String::new(), |id| format!("{id:016x}"));
        tracing::info!(
            event = "span",
            name = self.name,
            trace_id = format!("{:032x}", self.context.trace_id),
            span_id = format!("{:016x}", self.context.span_id),
            parent_span_id = parent,
            duration_us = micros,
            outcome,
        );
    }
}
