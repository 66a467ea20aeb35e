//! Moves allotment out of owned shards: sets it aside, has the scheduler confirm, appends the transfer.

use tokio::sync::oneshot;

use crate::kernel::{AllotmentTransfer, LedgerState, ShardSummary};
use crate::prelude::*;
use crate::tasks::publisher::LedgerPublisher;
use crate::tasks::scheduler::SchedulerMessage;

/// Transfers on their way, one round at a time.
#[derive(Default)]
pub struct TransferRound {
    transfers: Vec<AllotmentTransfer>,
    summaries: Option<oneshot::Receiver<Vec<ShardSummary>>>,
}

impl TransferRound {
    /// Takes the answer of the scheduler, returns the confirmed transfers and asks for the next answer.
    ///
    /// The scheduler hears the lowered amount before the question, so its answer shows all that it placed under
    /// the amount before.
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
                if publisher.escrow.is_released(ledger, &transfer, &summaries) {
                    records.push(transfer_record(transfer, ledger));
                } else {
                    publisher.escrow.complete(&transfer.from, &transfer.team, transfer.amount);
                    publisher.publish_allotment(ledger, &transfer.from, &transfer.team);
                }
            }
            self.transfers = publisher.escrow.propose(ledger, process, &summaries, now);
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
