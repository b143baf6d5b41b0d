//! The timer service: one task that wakes the parts that subscribed to it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_types::Uptime;
use tokio::sync::mpsc;

use crate::Clock;

/// Longest sleep between two looks at the clock.
///
/// The runtime sleeps by a clock that stands still during suspension, so that a
/// longer sleep could miss a deadline after a wake.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// Access to the timer service.
#[derive(Clone)]
pub struct Timer {
    clock: Arc<dyn Clock>,
    tx: mpsc::UnboundedSender<Command>,
}

impl Timer {
    /// Returns the time since boot.
    #[must_use]
    pub fn now(&self) -> Uptime {
        self.clock.now()
    }

    /// Returns the wall-clock time since the Unix epoch.
    #[must_use]
    pub fn wall(&self) -> Duration {
        self.clock.wall()
    }

    /// Subscribes to a deadline that the subscriber sets and moves.
    #[must_use]
    pub fn alarm(&self) -> Alarm {
        let (wake, rx) = mpsc::channel(1);
        Alarm {
            timer: self.tx.clone(),
            wake,
            rx,
            armed: None,
        }
    }

    /// Subscribes to a period; the first wake comes after one period.
    #[must_use]
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Uptime> {
        let (wake, rx) = mpsc::channel(1);
        let at = self.now().plus(period);
        // A closed service means that the process is stopping.
        let _ = self.tx.send(Command::Add {
            at,
            period: Some(period),
            wake,
        });
        rx
    }
}

/// A deadline that its owner sets and moves.
pub struct Alarm {
    timer: mpsc::UnboundedSender<Command>,
    wake: mpsc::Sender<Uptime>,
    rx: mpsc::Receiver<Uptime>,
    armed: Option<Uptime>,
}

impl Alarm {
    /// Sets the deadline; a later one replaces an earlier one only after a wake.
    pub fn set(&mut self, at: Option<Uptime>) {
        let Some(at) = at else { return };
        if self.armed.is_some_and(|armed| armed <= at) {
            return;
        }
        self.armed = Some(at);
        let wake = self.wake.clone();
        let _ = self.timer.send(Command::Add {
            at,
            period: None,
            wake,
        });
    }

    /// Waits for the deadline.
    pub async fn wait(&mut self) {
        let _ = self.rx.recv().await;
        self.armed = None;
    }
}

/// Starts the timer service as a task of the current runtime.
#[must_use]
pub fn spawn_timer(clock: Arc<dyn Clock>) -> Timer {
    let (tx, rx) = mpsc::unbounded_channel();
    let timer = Timer {
        clock: clock.clone(),
        tx,
    };
    tokio::spawn(run(clock, rx));
    timer
}

/// What parts ask of the timer service.
enum Command {
    /// Wake a subscriber.
    Add {
        /// Time of the first wake.
        at: Uptime,
        /// Time between wakes, or none for a single one.
        period: Option<Duration>,
        /// Where to send the wake.
        wake: mpsc::Sender<Uptime>,
    },
}

struct Entry {
    period: Option<Duration>,
    wake: mpsc::Sender<Uptime>,
}

async fn run(clock: Arc<dyn Clock>, mut rx: mpsc::UnboundedReceiver<Command>) {
    let mut entries: BTreeMap<(Uptime, u64), Entry> = BTreeMap::new();
    let mut next_id = 0u64;
    loop {
        fire(&mut entries, clock.now());
        let sleep = entries.first_key_value().map_or(MAX_SLEEP, |((at, _), _)| {
            at.since(clock.now()).min(MAX_SLEEP)
        });
        tokio::select! {
            command = rx.recv() => {
                let Some(Command::Add { at, period, wake }) = command else { return };
                entries.insert((at, next_id), Entry { period, wake });
                next_id += 1;
            }
            () = tokio::time::sleep(sleep) => {}
        }
    }
}

/// Wakes all subscribers whose time has come.
fn fire(entries: &mut BTreeMap<(Uptime, u64), Entry>, now: Uptime) {
    while let Some(first) = entries.first_entry().filter(|first| first.key().0 <= now) {
        let ((_, id), entry) = first.remove_entry();
        // A full channel holds a wake that its owner hasn't seen yet.
        let closed = matches!(
            entry.wake.try_send(now),
            Err(mpsc::error::TrySendError::Closed(_))
        );
        if let Some(period) = entry.period.filter(|_| !closed) {
            entries.insert((now.plus(period), id), entry);
        }
    }
}
