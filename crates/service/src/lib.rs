//! Timer service, logging, metrics, administrative HTTP and shutdown, shared by the
//! processes.

mod admin;
mod clock;
mod gate;
mod http;
mod listen;
mod router;
mod shutdown;
mod span;
mod telemetry;
mod timer;

pub use admin::{Metrics, Readiness, admin_router};
pub use clock::{BootClock, Clock};
pub use gate::Gate;
pub use http::{
    Handler, HeadLimits, Reply, RequestBody, body_error_status, explain_body_error, serve,
    take_body,
};
pub use listen::{bind, serve_http};
pub use router::serve_router;
pub use shutdown::{Shutdown, spawn_sighup_logger};
pub use span::HopSpan;
pub use telemetry::{LogGuard, init_logs, init_logs_on_stdout};
pub use timer::{Alarm, Timer, spawn_timer};
