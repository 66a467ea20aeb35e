//! Follows the topic of operator changes and passes configurations and closed zones on to the other tasks.

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::kernel::cell::CellConfig;
use crate::kernel::connections::ClientLimits;
use crate::prelude::*;
use crate::tasks::CHANNEL_CAPACITY;
use crate::tasks::cell::claim::ClaimMessage;
use crate::tasks::cell::intake::IntakeMessage;
use crate::tasks::cell::metrics::CellMetrics;
use crate::tasks::cell::ports::{CellAdapter, OperatorChange, StoreClient, TopicPage};
use crate::tasks::cell::tail::{TailMessage, TopicTail};

/// How long the store may hold a read of the changes open before it answers with an empty page.
const READ_LONG_POLL: Duration = Duration::from_secs(1);

/// The async task that follows the operators' changes.
pub struct ConfigFeed {
    /// The adapter of the platform.
    pub adapter: CellAdapter,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// Sends messages to the task that admits calls.
    pub intake_sender: mpsc::Sender<IntakeMessage>,
    /// Sends messages to the task that follows the ownership of the cell.
    pub claim_sender: mpsc::Sender<ClaimMessage>,
    /// Sends the limits on the connections of clients to the listeners. Their `exchange_timeout` is a setting and
    /// not part of the configuration.
    pub client_limits: watch::Sender<ClientLimits>,
    /// Metrics of the process.
    pub metrics: CellMetrics,
}

impl ConfigFeed {
    /// Runs until the token is cancelled.
    pub async fn run(self, token: CancellationToken) {
        let (sender, mut pages) = mpsc::channel(CHANNEL_CAPACITY);
        let topic = self.adapter.operator_topic;
        let tail = TopicTail { topic, partition: 0, wait: READ_LONG_POLL, pause: Duration::ZERO };
        actix_rt::spawn(tail.follow_keyed(self.store.clone(), sender, token.clone()));
        let mut config: Option<Arc<CellConfig>> = None;
        let mut closed_zones: FastSet<ZoneId> = FastSet::default();
        while let Some(message) = pages.recv().await {
            let (page, is_snapshot) = match message {
                TailMessage::Snapshot(page) => (page, true),
                TailMessage::Page(_, page, _) => (page, false),
                TailMessage::Failed(reason) => {
                    log::info!(reason = &*reason; "operator changes cannot be read");
                    continue;
                }
            };
            let previously_closed = closed_zones.clone();
            if is_snapshot {
                closed_zones.clear();
            }
            let new_config = self.apply(&page, &mut closed_zones, config.as_ref());
            if closed_zones != previously_closed {
                log::info!(zones:? = closed_zones; "zones out of service have changed");
                self.notify_claim_task(ClaimMessage::ZonesClosed(closed_zones.clone())).await;
            }
            if let Some(new_config) = new_config {
                log::info!(version = new_config.version, queues = new_config.queues.len(),
                    teams:? = new_config.teams; "configuration is in force");
                self.metrics.config_version.set(i64::try_from(new_config.version).unwrap_or(i64::MAX));
                let limits = new_config.client_limits;
                self.client_limits.send_modify(|current| {
                    *current = ClientLimits { exchange_timeout: current.exchange_timeout, ..limits };
                });
                self.notify_intake_task(IntakeMessage::Configured(new_config.clone())).await;
                self.notify_claim_task(ClaimMessage::Configured(new_config.clone())).await;
                config = Some(new_config);
            }
        }
    }

    /// Applies a page to the closed zones; returns its newest configuration if that is newer than the known
    /// one.
    fn apply(
        &self,
        page: &TopicPage,
        closed_zones: &mut FastSet<ZoneId>,
        known: Option<&Arc<CellConfig>>,
    ) -> Option<Arc<CellConfig>> {
        let mut newest_config = known.cloned();
        for record in &page.records {
            let Some(key) = &record.key else { continue };
            match (self.adapter.parse_operator_change)(key, &record.value) {
                Ok(OperatorChange::Config(config)) => {
                    if newest_config.as_ref().is_none_or(|newest| newest.version < config.version) {
                        newest_config = Some(config);
                    }
                }
                Ok(OperatorChange::ZoneClosed(zone, true)) => {
                    closed_zones.insert(zone);
                }
                Ok(OperatorChange::ZoneClosed(zone, false)) => {
                    closed_zones.remove(&zone);
                }
                Ok(OperatorChange::Other) => {}
                Err(reason) => log::warn!(key = &**key, reason = &*reason; "operator change is invalid"),
            }
        }
        newest_config.filter(|newest| known.is_none_or(|known| known.version < newest.version))
    }

    async fn notify_claim_task(&self, message: ClaimMessage) {
        if self.claim_sender.send(message).await.is_err() {
            log::debug!("operator change dropped: the process is stopping");
        }
    }

    async fn notify_intake_task(&self, message: IntakeMessage) {
        if self.intake_sender.send(message).await.is_err() {
            log::debug!("operator change dropped: the process is stopping");
        }
    }
}
