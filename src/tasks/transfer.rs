//! Moves allotment from owned shards to other shards in three steps: sets it aside, waits until the
//! scheduler's summaries show that nothing uses it, and appends the transfer.

use tokio::sync::oneshot;

use crate::kernel::{AllotmentTransfer, LedgerState, ShardSummary};
use crate::prelude::*;
use crate::tasks::publisher::LedgerPublisher;
use crate::tasks::scheduler::SchedulerMessage;

/// The transfers that wait for the scheduler's summaries, one round at a time.
#[derive(Default)]
pub struct TransferRound {
    transfers: Vec<AllotmentTransfer>,
    /// Receiver of the summaries that were requested in the last round.
    summaries: Option<oneshot::Receiver<Vec<ShardSummary>>>,
}

impl TransferRound {
    /// Checks the transfers of this round against the scheduler's summaries once they have arrived, returns
    /// the records of the confirmed ones and starts the next round.
    ///
    /// The scheduler gets the lowered allotment before the request for summaries, so that its answer includes
    /// all tasks that it placed under the earlier allotment.
    pub fn tick(
        &mut self,
        publisher: &mut LedgerPublisher,
        ledger: &LedgerState,
        process: &ProcessId,
        now: Instant,
    ) -> Vec<LogRecord> {
        let mut records = Vec::new();
        if let Some(answer) = &mut self.summaries {
            let summaries = match answer.try_recv() {
                Ok(summaries) => summaries,
                Err(oneshot::error::TryRecvError::Empty) => return records,
                Err(oneshot::error::TryRecvError::Closed) => Vec::new(),
            };
            for transfer in std::mem::take(&mut self.transfers) {
                if publisher.pending_transfers.is_released(ledger, &transfer, &summaries) {
                    records.push(transfer_record(transfer, ledger));
                } else {
                    publisher.pending_transfers.complete(&transfer.from, &transfer.team, transfer.amount);
                    publisher.publish_allotment(ledger, &transfer.from, &transfer.team);
                }
            }
            self.transfers = publisher.pending_transfers.propose(ledger, process, &summaries, now);
        }
        for transfer in &self.transfers {
            publisher.publish_allotment(ledger, &transfer.from, &transfer.team);
        }
        let (reply, answer) = oneshot::channel();
        publisher.outbox.scheduler(SchedulerMessage::Summarise(reply));
        self.summaries = Some(answer);
        records
    }
}

fn transfer_record(transfer: AllotmentTransfer, ledger: &LedgerState) -> LogRecord {
    let AllotmentTransfer { team, from, to, amount } = transfer;
    let token = ledger.token(&from);
    LogRecord::Transfer { team, from, to, amount, token }
}
