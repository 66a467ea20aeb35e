//! Reads the control log, and appends a bundle to it.

use std::time::{Duration, Instant};

use godwithaven::clock::unix_ms;
use godwithaven::kernel::{
    BundleRecord, LedgerChange, LedgerState, LogRecord, PluginRegistry, RecordGroup, SnapshotCollector,
};
use godwithaven::plugins::bundle_signature;
use godwithaven::tasks::adapter::{AdapterEntry, LogClient, LogPage};

use crate::failure::CommandFailure;
use crate::flags::Publish;

/// Default of `--wait-s`, which is at most an hour: time to read the log, append the record and read it back.
const DEFAULT_WAIT_S: u64 = 20;
/// Delay before a failed append or read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time that the log service may hold a read until there are new records.
const LONG_POLL_WAIT: Duration = Duration::from_millis(500);

/// A client of the control log, with the ledger replayed from the records read so far.
pub struct ControlLog {
    /// State of the ledger after the records read so far.
    pub ledger: LedgerState,
    client: LogClient,
    deadline: Instant,
}

impl ControlLog {
    /// Returns a client for the log with an empty ledger. Reads nothing, but the deadline of `--wait-s` runs
    /// from now. The signers and approvals of the first bundle come from the flags or the environment.
    pub fn new(flags: &Publish) -> Result<Self, CommandFailure> {
        let adapter = AdapterEntry::find(AdapterEntry::log);
        let adapter = adapter.ok_or_else(|| CommandFailure::Failed("no log adapter is linked".into()))?;
        let signers = flags.signers.clone().or_else(|| std::env::var("GODWITHAVEN_SIGNERS").ok());
        let signers = signers.ok_or_else(|| {
            let text = "--signers or GODWITHAVEN_SIGNERS is missing: the signers of the first bundle";
            CommandFailure::Usage(text.into())
        })?;
        let signers = signers.split(',').map(str::to_owned).collect();
        let approvals_variable = || std::env::var("GODWITHAVEN_APPROVALS").ok()?.parse().ok();
        let required = flags.approvals.or_else(approvals_variable).unwrap_or(1);
        let verifier = bundle_signature::verifier(PluginRegistry::collect(), signers, required);
        let client = (adapter.connect)(&flags.log);
        let wait = Duration::from_secs(flags.wait_s.unwrap_or(DEFAULT_WAIT_S).min(3_600));
        Ok(Self { client, ledger: LedgerState::new(verifier), deadline: Instant::now() + wait })
    }

    /// Replays the log up to its present end, from a snapshot if retention has dropped the oldest records.
    pub async fn read_to_end(&mut self) -> Result<(), CommandFailure> {
        loop {
            let page = self.read_page(self.ledger.next, Duration::ZERO).await?;
            let at_end = page.groups.len() < LogPage::MAX_GROUPS;
            if page.first > self.ledger.next {
                self.load_snapshot(page.first).await?;
                continue;
            }
            self.replay(page);
            if at_end {
                return Ok(());
            }
        }
    }

    /// Appends the record and reads on until it is replayed. The inner result is `Err` with the reason if the
    /// bundle was refused; the outer one fails if the result is not known at the deadline.
    pub async fn append(&mut self, record: &BundleRecord) -> Result<Result<(), String>, CommandFailure> {
        let suffix = getrandom::u64().map_err(|error| {
            CommandFailure::failed("cannot read random numbers from the operating system", error)
        })?;
        let process = format!("operator.{suffix:016x}").into();
        let records = vec![LogRecord::Bundle(record.clone())];
        let group = RecordGroup { process, sequence: 1, at_ms: unix_ms(), records };
        // A repeated group with the same process and sequence number has no effect, so an append can be
        // retried.
        while let Err(error) = (self.client.append)(group.clone()).await {
            self.wait_before_retry(&error.to_string()).await?;
        }
        loop {
            let page = self.read_page(self.ledger.next, LONG_POLL_WAIT).await?;
            if page.groups.is_empty() {
                self.wait_before_retry("the record is not in the log yet").await?;
            }
            for (replayed, changes) in self.replay(page) {
                if replayed.process == group.process
                    && let Some(result) = changes.iter().find_map(bundle_result)
                {
                    return Ok(result);
                }
            }
        }
    }

    /// Replaces the ledger by the newest complete snapshot after which no record was dropped, and waits for
    /// one if needed. `first` is the oldest retained offset.
    async fn load_snapshot(&mut self, first: u64) -> Result<(), CommandFailure> {
        let mut collector = SnapshotCollector::new(first);
        loop {
            let page = self.read_page(collector.next, Duration::ZERO).await?;
            let (at_end, first) = (page.groups.len() < LogPage::MAX_GROUPS, page.first);
            collector.next = collector.next.max(first);
            for (offset, group) in page.groups {
                collector.add_group(offset, group.as_ref());
            }
            if !at_end {
                continue;
            }
            let Some((covers, items)) = collector.take(first) else {
                self.wait_before_retry("the log has no complete snapshot yet").await?;
                continue;
            };
            self.ledger.restore(covers, items);
            return Ok(());
        }
    }

    /// Applies the groups of a page to the ledger; returns each with the changes that it made.
    fn replay(&mut self, page: LogPage) -> Vec<(RecordGroup, Vec<LedgerChange>)> {
        let mut replayed = Vec::new();
        for (offset, group) in page.groups {
            self.ledger.next = offset + 1;
            if let Some(group) = group {
                let changes = self.ledger.apply_group(offset, &group);
                replayed.push((group, changes));
            }
        }
        replayed
    }

    /// Reads one page; retries a failed read until the deadline.
    async fn read_page(&self, from: u64, wait: Duration) -> Result<LogPage, CommandFailure> {
        loop {
            match (self.client.read)(from, wait).await {
                Ok(page) => return Ok(page),
                Err(error) => self.wait_before_retry(&error.to_string()).await?,
            }
        }
    }

    /// Waits before a retry, or fails with the reason if the deadline has passed. The failure says that
    /// publication is uncertain even while the log is first read, when nothing was published yet.
    async fn wait_before_retry(&self, reason: &str) -> Result<(), CommandFailure> {
        if Instant::now() > self.deadline {
            let text = "not known whether it was published; publish the same file again to find out";
            return Err(CommandFailure::failed(text, reason));
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
        Ok(())
    }
}

/// Returns whether a change adopts a bundle, or the reason why it refuses one; `None` for other changes.
fn bundle_result(change: &LedgerChange) -> Option<Result<(), String>> {
    match change {
        LedgerChange::BundleAdopted(_) => Some(Ok(())),
        LedgerChange::BundleRefused(_, reason) => Some(Err(reason.clone())),
        _ => None,
    }
}
