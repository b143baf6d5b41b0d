//! Handler of agents' messages, which sends them to the site task.

use async_trait::async_trait;
use cumindeck_types::message::{AnnounceReply, Announcement, Hello};
use cumindeck_types::{ConfigVersion, EntryId, RingVersion};
use cumindeck_wire::EntryHandler;
use tokio::sync::{mpsc, oneshot};

use crate::site_task::SiteMessage;

/// Sends announcements to the site task and waits for its replies.
pub(crate) struct SiteHandler {
    /// Hello message of this process.
    pub hello: Hello,
    /// Id of this entry.
    pub entry: EntryId,
    /// Channel to the site task.
    pub site: mpsc::UnboundedSender<SiteMessage>,
}

#[async_trait(?Send)]
impl EntryHandler for SiteHandler {
    fn hello(&self) -> Hello {
        self.hello.clone()
    }

    async fn announce(&self, announcement: Announcement) -> AnnounceReply {
        let (tx, rx) = oneshot::channel();
        let _ = self.site.send(SiteMessage::Announce(announcement, tx));
        // A stopping entry confirms nothing and grants nothing.
        rx.await.unwrap_or(AnnounceReply {
            entry: self.entry.clone(),
            config_version: ConfigVersion::default(),
            is_config_confirmed: false,
            zone_rights: Vec::new(),
            lease: None,
            leader: None,
            entries: Vec::new(),
            ring_version: RingVersion::default(),
            gangs: Vec::new(),
            ring: None,
        })
    }
}
