//! Boot clock and wall clock of the operating system.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cumindeck_types::Uptime;
use rustix::time::{ClockId, clock_gettime};

/// A source of time.
pub trait Clock: Send + Sync {
    /// Returns the time since boot, including time in system suspend.
    fn now(&self) -> Uptime;

    /// Returns the wall-clock time since the Unix epoch, which may jump.
    fn wall(&self) -> Duration;
}

/// The clocks of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Uptime {
        let time = clock_gettime(ClockId::Boottime);
        let secs = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        Uptime::since_boot(Duration::new(secs, nanos))
    }

    fn wall(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }
}
