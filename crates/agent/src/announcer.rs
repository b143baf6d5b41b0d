//! The task that owns the connections to entries and to other agents: it sends
//! announcements and heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumindeck_control::gang::TaskId;
use cumindeck_control::membership::{ANNOUNCE_PERIOD, first_announce_delay};
use cumindeck_service::Timer;
use cumindeck_types::message::{Announcement, GangMember, Heartbeat, Hello};
use cumindeck_types::{AgentId, Incarnation};
use cumindeck_wire::{AgentLink, EntryLink};
use futures::future::join_all;
use tokio::sync::{mpsc, oneshot};

use crate::core::AgentEvent;
use crate::core_task::CoreMessage;

/// Maximum wait for the reply to an announcement or a heartbeat.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of consecutive rounds without a reply after which the seeds are used again.
const MAX_ROUNDS_WITHOUT_REPLY: u32 = 3;

/// Sends announcements each second.
pub(crate) struct Announcer {
    /// Hello message of this process.
    pub hello: Hello,
    /// Id of this agent.
    pub agent: AgentId,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Channel to the core task.
    pub core: mpsc::UnboundedSender<CoreMessage>,
    pub timer: Timer,
}

impl Announcer {
    /// Announces the agent, once it is ready, until the core task has ended.
    ///
    /// After a message on `leaving` the agent announces itself immediately, and that
    /// message is confirmed when the entries have replied or timed out.
    pub(crate) async fn run(
        self,
        ready: oneshot::Receiver<()>,
        mut leaving: mpsc::Receiver<oneshot::Sender<()>>,
    ) {
        if ready.await.is_err() {
            return;
        }
        let mut links: BTreeMap<SocketAddr, Rc<EntryLink>> = BTreeMap::new();
        let mut rounds_without_reply = 0;
        let mut alarm = self.timer.alarm();
        let delay = first_announce_delay(&self.agent, self.incarnation);
        alarm.set(Some(self.timer.now().plus(delay)));
        alarm.wait().await;
        let mut period = self.timer.every(ANNOUNCE_PERIOD);
        let mut leave_notice: Option<oneshot::Sender<()>> = None;
        loop {
            let (tx, rx) = oneshot::channel();
            if self.core.send(CoreMessage::Announcement(tx)).is_err() {
                return;
            }
            let Ok((announcement, targets)) = rx.await else {
                return;
            };
            links.retain(|address, link| targets.contains(address) && !link.is_closed());
            let calls = targets
                .iter()
                .map(|address| self.announce(*address, links.get(address).cloned(), &announcement));
            let results = join_all(calls).await;
            let has_no_reply = results.iter().all(|(_, _, has_reply)| !has_reply);
            for (address, link, has_reply) in results {
                match link.filter(|_| has_reply) {
                    Some(link) => links.insert(address, link),
                    // A link without a reply is dropped, so that the next round
                    // connects again.
                    None => links.remove(&address),
                };
            }
            rounds_without_reply = if has_no_reply {
                rounds_without_reply + 1
            } else {
                0
            };
            if rounds_without_reply >= MAX_ROUNDS_WITHOUT_REPLY {
                rounds_without_reply = 0;
                let _ = self.core.send(CoreMessage::EntriesLost);
            }
            if let Some(tx) = leave_notice.take() {
                // The receiver is dropped if the wait has timed out.
                let _ = tx.send(());
            }
            tokio::select! {
                tick = period.recv() => if tick.is_none() { return },
                Some(tx) = leaving.recv() => leave_notice = Some(tx),
            }
        }
    }

    async fn announce(
        &self,
        address: SocketAddr,
        link: Option<Rc<EntryLink>>,
        announcement: &Announcement,
    ) -> (SocketAddr, Option<Rc<EntryLink>>, bool) {
        let link = match link {
            Some(link) => link,
            None => match EntryLink::connect(address, &self.hello).await {
                Ok(link) => Rc::new(link),
                Err(err) => {
                    tracing::debug!(event = "entry_unreachable", %address, error = %err);
                    return (address, None, false);
                }
            },
        };
        let sent_at = self.timer.now();
        let call = tokio::time::timeout(REPLY_TIMEOUT, link.announce(announcement)).await;
        let has_reply = match call {
            Ok(Ok(reply)) => {
                let event = AgentEvent::Replied { sent_at, reply };
                let _ = self.core.send(CoreMessage::Event(event));
                true
            }
            Ok(Err(err)) => {
                tracing::debug!(event = "announce_failed", %address, error = %err);
                false
            }
            Err(_) => false,
        };
        (address, Some(link), has_reply)
    }
}

/// Sends the heartbeats of gang members to the agents of their gangs' first tasks.
pub(crate) async fn run_heartbeats(
    mut rx: mpsc::UnboundedReceiver<(GangMember, Heartbeat)>,
    hello: Hello,
    core: mpsc::UnboundedSender<CoreMessage>,
    timer: Timer,
) {
    let mut links: BTreeMap<SocketAddr, Rc<AgentLink>> = BTreeMap::new();
    while let Some((member, heartbeat)) = rx.recv().await {
        links.retain(|_, link| !link.is_closed());
        let link = match links.get(&member.address) {
            Some(link) => link.clone(),
            None => match AgentLink::connect(member.address, &hello).await {
                Ok(link) => {
                    let link = Rc::new(link);
                    links.insert(member.address, link.clone());
                    link
                }
                Err(err) => {
                    tracing::info!(event = "member_unreachable", agent = %member.agent, error = %err);
                    continue;
                }
            },
        };
        let (core, sent_at) = (core.clone(), timer.now());
        tokio::task::spawn_local(async move {
            let call = tokio::time::timeout(REPLY_TIMEOUT, link.heartbeat(&heartbeat)).await;
            let Ok(Ok(answer)) = call else { return };
            let id = TaskId {
                job: heartbeat.job,
                attempt: heartbeat.attempt,
                task: heartbeat.task,
            };
            let event = AgentEvent::HeartbeatReplied {
                sent_at,
                id,
                answer,
            };
            let _ = core.send(CoreMessage::Event(event));
        });
    }
}
