//! The timer service: one task that wakes subscribers when their deadlines pass.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cumindeck_types::Uptime;
use tokio::sync::mpsc;

use crate::Clock;

/// Maximum sleep between two checks of the boot clock.
///
/// The runtime sleeps by a clock that stops while the system is suspended, so that a
/// longer sleep could miss a deadline after a resume.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// A handle to the timer service.
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

    /// Creates an alarm, whose deadline the subscriber sets and moves.
    #[must_use]
    pub fn alarm(&self) -> Alarm {
        let (wake_tx, rx) = mpsc::channel(1);
        Alarm {
            timer: self.tx.clone(),
            wake_tx,
            rx,
            armed: None,
        }
    }

    /// Returns a channel that receives the time once per period, first after one period.
    #[must_use]
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Uptime> {
        let (wake_tx, rx) = mpsc::channel(1);
        let at = self.now().plus(period);
        // A closed channel means that the process is shutting down.
        let _ = self.tx.send(Command::Add {
            at,
            period: Some(period),
            wake_tx,
        });
        rx
    }
}

/// A deadline of one subscriber, which the subscriber sets and moves.
pub struct Alarm {
    timer: mpsc::UnboundedSender<Command>,
    wake_tx: mpsc::Sender<Uptime>,
    rx: mpsc::Receiver<Uptime>,
    armed: Option<Uptime>,
}

impl Alarm {
    /// Arms the alarm at the deadline `at`.
    ///
    /// If an earlier deadline is armed, a later one is ignored until the alarm has woken.
    /// `None` leaves the alarm as it is.
    pub fn set(&mut self, at: Option<Uptime>) {
        let Some(at) = at else { return };
        if self.armed.is_some_and(|armed| armed <= at) {
            return;
        }
        self.armed = Some(at);
        let wake_tx = self.wake_tx.clone();
        let _ = self.timer.send(Command::Add {
            at,
            period: None,
            wake_tx,
        });
    }

    /// Waits until the armed deadline passes, or forever if none is armed.
    pub async fn wait(&mut self) {
        let _ = self.rx.recv().await;
        self.armed = None;
    }
}

/// Spawns the timer service as a task of the current runtime.
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

/// A command to the timer task.
enum Command {
    /// Adds a subscription.
    Add {
        /// Time of the first wake-up.
        at: Uptime,
        /// Time between wake-ups, or `None` for a single one.
        period: Option<Duration>,
        /// Channel that receives the time of each wake-up.
        wake_tx: mpsc::Sender<Uptime>,
    },
}

struct Subscription {
    period: Option<Duration>,
    wake_tx: mpsc::Sender<Uptime>,
}

async fn run(clock: Arc<dyn Clock>, mut rx: mpsc::UnboundedReceiver<Command>) {
    let mut subscriptions: BTreeMap<(Uptime, u64), Subscription> = BTreeMap::new();
    let mut next_id = 0u64;
    loop {
        wake_due(&mut subscriptions, clock.now());
        let sleep = subscriptions
            .first_key_value()
            .map_or(MAX_SLEEP, |((at, _), _)| {
                at.since(clock.now()).min(MAX_SLEEP)
            });
        tokio::select! {
            command = rx.recv() => {
                let Some(Command::Add { at, period, wake_tx }) = command else { return };
                subscriptions.insert((at, next_id), Subscription { period, wake_tx });
                next_id += 1;
            }
            () = tokio::time::sleep(sleep) => {}
        }
    }
}

/// Wakes all subscribers whose deadlines have passed.
fn wake_due(subscriptions: &mut BTreeMap<(Uptime, u64), Subscription>, now: Uptime) {
    while let Some(first) = subscriptions
        .first_entry()
        .filter(|first| first.key().0 <= now)
    {
        let ((_, id), subscription) = first.remove_entry();
        // A full channel holds a wake-up that the subscriber has not received yet.
        let closed = matches!(
            subscription.wake_tx.try_send(now),
            Err(mpsc::error::TrySendError::Closed(_))
        );
        if let Some(period) = subscription.period.filter(|_| !closed) {
            subscriptions.insert((now.plus(period), id), subscription);
        }
    }
}
