//! Timer service, logging, metrics, administrative HTTP and shutdown, shared by the
//! processes.

mod admin;
mod clock;
mod listen;
mod shutdown;
mod span;
mod telemetry;
mod timer;

pub use admin::{Metrics, Readiness, admin_router};
pub use clock::{BootClock, Clock};
pub use listen::{bind, serve_http};
pub use shutdown::{Shutdown, spawn_sighup_logger};
pub use span::HopSpan;
pub use telemetry::{LogGuard, init_logs, init_logs_on_stdout};
pub use timer::{Alarm, Timer, spawn_timer};
