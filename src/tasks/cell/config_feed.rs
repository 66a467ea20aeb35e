//! Follows what operators publish and tells the other tasks.

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::CellConfig;
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::claim::ClaimMessage;
use crate::tasks::cell::intake::IntakeMessage;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::ports::{CellAdapter, OperatorChange, StorePort, TopicPage};
use crate::tasks::cell::tail::{TailMessage, TopicTail};

/// How long the store may wait for changes before it answers an empty page.
const CHANGE_WAIT: Duration = Duration::from_secs(1);

/// The task that follows the operators.
pub struct ConfigFeed {
    /// What speaks to the platform.
    pub adapter: CellAdapter,
    /// The store.
    pub store: StorePort,
    /// The task that admits calls.
    pub intake: mpsc::Sender<IntakeMessage>,
    /// The task that follows the ownership.
    pub claim: mpsc::Sender<ClaimMessage>,
    /// Counters.
    pub metrics: CellMetrics,
}

impl ConfigFeed {
    /// Runs until the token is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let (sender, mut pages) = mpsc::channel(CHANNEL_CAPACITY);
        let topic = self.adapter.operator_topic;
        let tail = TopicTail { topic, partition: 0, wait: CHANGE_WAIT, pause: Duration::ZERO };
        actix_rt::spawn(tail.follow_keyed(self.store.clone(), sender, token.clone()));
        let mut config: Option<Arc<CellConfig>> = None;
        let mut closed: FastSet<ZoneId> = FastSet::default();
        while let Some(message) = pages.recv().await {
            let (page, whole) = match message {
                TailMessage::Newest(page) => (page, true),
                TailMessage::Page(_, page, _) => (page, false),
                TailMessage::Failed(reason) => {
                    log::info!(reason = &*reason; "changes of operators cannot be read");
                    continue;
                }
            };
            let before = closed.clone();
            if whole {
                closed.clear();
            }
            let newer = self.apply(&page, &mut closed, config.as_ref());
            if closed != before {
                log::info!(zones:? = closed; "zones out of service have changed");
                self.tell_claim(ClaimMessage::ZonesClosed(closed.clone())).await;
            }
            if let Some(newer) = newer {
                log::info!(version = newer.version, queues = newer.queues.len(), teams:? = newer.teams;
                    "configuration is in force");
                self.metrics.config_version.set(i64::try_from(newer.version).unwrap_or(i64::MAX));
                self.tell_intake(IntakeMessage::Configured(newer.clone())).await;
                self.tell_claim(ClaimMessage::Configured(newer.clone())).await;
                config = Some(newer);
            }
        }
    }

    /// Applies a page to the closed zones and returns the newest configuration, if it is newer than the known one.
    fn apply(
        &self,
        page: &TopicPage,
        closed: &mut FastSet<ZoneId>,
        known: Option<&Arc<CellConfig>>,
    ) -> Option<Arc<CellConfig>> {
        let mut newest = known.cloned();
        for record in &page.records {
            let Some(key) = &record.key else { continue };
            match (self.adapter.parse_operator_change)(key, &record.value) {
                Ok(OperatorChange::Config(config)) => {
                    if newest.as_ref().is_none_or(|newest| newest.version < config.version) {
                        newest = Some(config);
                    }
                }
                Ok(OperatorChange::Zone(zone, true)) => {
                    closed.insert(zone);
                }
                Ok(OperatorChange::Zone(zone, false)) => {
                    closed.remove(&zone);
                }
                Ok(OperatorChange::Other) => {}
                Err(reason) => log::warn!(key = &**key, reason = &*reason; "change cannot be read"),
            }
        }
        newest.filter(|newest| known.is_none_or(|known| known.version < newest.version))
    }

    async fn tell_claim(&self, message: ClaimMessage) {
        if self.claim.send(message).await.is_err() {
            log::debug!("process is stopping");
        }
    }

    async fn tell_intake(&self, message: IntakeMessage) {
        if self.intake.send(message).await.is_err() {
            log::debug!("process is stopping");
        }
    }
}
