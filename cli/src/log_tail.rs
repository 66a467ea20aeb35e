//! Follows the control log.

use std::time::{Duration, Instant};

use godwithaven::clock::unix_ms;
use godwithaven::kernel::{
    BundleRecord, LedgerChange, LedgerState, LogRecord, PluginRegistry, RecordGroup, SnapshotCollector,
};
use godwithaven::plugins::bundle_signature;
use godwithaven::tasks::adapter::{AdapterEntry, LogClient, LogPage};

use crate::failure::CommandFailure;
use crate::flags::Publish;

/// Longest time until the record is folded, in seconds, unless a flag sets it.
const DEFAULT_WAIT_S: u64 = 20;
/// Wait before a failed append or read is tried again.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// Longest wait of one read for new records.
const READ_WAIT: Duration = Duration::from_millis(500);

/// A connection to the log with the ledger as folded so far.
pub struct LogTail {
    /// The ledger.
    pub ledger: LedgerState,
    client: LogClient,
    deadline: Instant,
}

impl LogTail {
    /// Connects to the log; nothing is read yet.
    pub fn new(flags: &Publish) -> Result<Self, CommandFailure> {
        let adapter = AdapterEntry::find(AdapterEntry::log);
        let adapter = adapter.ok_or_else(|| CommandFailure::Failed("no log adapter is linked".into()))?;
        let signers = flags.signers.clone().or_else(|| std::env::var("GODWITHAVEN_SIGNERS").ok());
        let signers = signers.ok_or_else(|| {
            let text = "--signers or GODWITHAVEN_SIGNERS is missing: the signers of the first bundle";
            CommandFailure::Usage(text.into())
        })?;
        let signers = signers.split(',').map(str::to_owned).collect();
        let variable = || std::env::var("GODWITHAVEN_APPROVALS").ok()?.parse().ok();
        let required = flags.approvals.or_else(variable).unwrap_or(1);
        let verifier = bundle_signature::codec(PluginRegistry::collect(), signers, required);
        let client = (adapter.connect)(&flags.log);
        let wait = Duration::from_secs(flags.wait_s.unwrap_or(DEFAULT_WAIT_S).min(3_600));
        Ok(Self { client, ledger: LedgerState::new(verifier), deadline: Instant::now() + wait })
    }

    /// Folds everything that the log holds, from a snapshot if the oldest records were dropped.
    pub async fn read_to_end(&mut self) -> Result<(), CommandFailure> {
        loop {
            let page = self.page(self.ledger.next, Duration::ZERO).await?;
            let end = page.groups.len() < LogPage::SIZE;
            if page.first > self.ledger.next {
                self.load_snapshot(page.first).await?;
                continue;
            }
            self.apply(page);
            if end {
                return Ok(());
            }
        }
    }

    /// Appends the record and returns whether it was adopted, or why not.
    pub async fn append(&mut self, record: &BundleRecord) -> Result<Result<(), String>, CommandFailure> {
        let number = getrandom::u64().map_err(|error| CommandFailure::failed("no random numbers", error))?;
        let process = format!("operator.{number:016x}").into();
        let records = vec![LogRecord::Bundle(record.clone())];
        let group = RecordGroup { process, sequence: 1, at_ms: unix_ms(), records };
        // A repeated group has no effect, so an append whose reply was lost can be tried again.
        while let Err(fault) = (self.client.append)(group.clone()).await {
            self.wait_again(&fault.to_string()).await?;
        }
        loop {
            let page = self.page(self.ledger.next, READ_WAIT).await?;
            if page.groups.is_empty() {
                self.wait_again("the record is not in the log yet").await?;
            }
            for (applied, changes) in self.apply(page) {
                if applied.process == group.process
                    && let Some(result) = changes.iter().find_map(judged)
                {
                    return Ok(result);
                }
            }
        }
    }

    async fn load_snapshot(&mut self, first: u64) -> Result<(), CommandFailure> {
        let mut search = SnapshotCollector::new(first);
        loop {
            let page = self.page(search.next, Duration::ZERO).await?;
            let (end, first) = (page.groups.len() < LogPage::SIZE, page.first);
            search.next = search.next.max(first);
            for (offset, group) in page.groups {
                search.add_group(offset, group.as_ref());
            }
            if !end {
                continue;
            }
            let Some((covers, items)) = search.take(first) else {
                self.wait_again("the log has no complete snapshot yet").await?;
                continue;
            };
            self.ledger.restore(covers, items);
            return Ok(());
        }
    }

    /// Folds a page; returns each group with its changes.
    fn apply(&mut self, page: LogPage) -> Vec<(RecordGroup, Vec<LedgerChange>)> {
        let mut applied = Vec::new();
        for (offset, group) in page.groups {
            self.ledger.next = offset + 1;
            if let Some(group) = group {
                let changes = self.ledger.apply_group(offset, &group);
                applied.push((group, changes));
            }
        }
        applied
    }

    /// Reads one page and repeats a failed read until the deadline.
    async fn page(&self, from: u64, wait: Duration) -> Result<LogPage, CommandFailure> {
        loop {
            match (self.client.read)(from, wait).await {
                Ok(page) => return Ok(page),
                Err(fault) => self.wait_again(&fault.to_string()).await?,
            }
        }
    }

    async fn wait_again(&self, reason: &str) -> Result<(), CommandFailure> {
        if Instant::now() > self.deadline {
            let text = "not known whether it was published; publish the same file again to find out";
            return Err(CommandFailure::failed(text, reason));
        }
        actix_rt::time::sleep(RETRY_WAIT).await;
        Ok(())
    }
}

fn judged(change: &LedgerChange) -> Option<Result<(), String>> {
    match change {
        LedgerChange::BundleAdopted(_) => Some(Ok(())),
        LedgerChange::BundleRefused(_, reason) => Some(Err(reason.clone())),
        _ => None,
    }
}
