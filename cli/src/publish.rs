//! Publishes a signed bundle to the log and waits until it is folded.

use std::time::{Duration, Instant};

use godwithaven::clock::unix_ms;
use godwithaven::kernel::{BundleRecord, LedgerChange, LedgerState, LogRecord, PluginRegistry, RecordGroup};
use godwithaven::plugins::bundle_signature;
use godwithaven::tasks::adapter::{AdapterEntry, LogClient};
use serde_json::json;

use crate::bundle_file::BundleFile;
use crate::failure::CommandFailure;
use crate::flags::Publish;

/// Longest time until the record is folded, in seconds, unless a flag sets it.
const DEFAULT_WAIT_S: u64 = 20;
/// Wait before a failed append or read is tried again.
const RETRY_WAIT: Duration = Duration::from_millis(250);
/// Longest wait of one read for new records.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Publishes a signed file if its base is in force, and prints whether it was adopted.
pub async fn publish(flags: &Publish, json: bool) -> Result<(), CommandFailure> {
    let file = BundleFile::read(&flags.file)?;
    file.bundle()?;
    let Some(record) = file.signed else {
        return Err(CommandFailure::failed(flags.file.display(), "not signed; see godwithaven bundle sign"));
    };
    let mut tail = LogTail::new(flags)?;
    tail.read_to_end().await?;
    if tail.ledger.published.as_ref() == Some(&record) {
        // A repeated publish, for example after a lost reply, has the result of the first one.
        return finish(&record, &Ok(()), json);
    }
    let version = tail.ledger.bundle.as_ref().map_or(0, |bundle| bundle.version);
    if record.base != version {
        let reason =
            format!("nothing was published: its base is {}, but version {version} is in force", record.base);
        return finish(&record, &Err(reason), json);
    }
    let result = tail.append(&record).await?;
    finish(&record, &result, json)
}

fn finish(record: &BundleRecord, result: &Result<(), String>, json: bool) -> Result<(), CommandFailure> {
    let version = record.version;
    if json {
        println!(
            "{}",
            json!({ "version": version, "adopted": result.is_ok(), "reason": result.as_ref().err() })
        );
        return result.clone().map_err(|_| CommandFailure::Printed);
    }
    match result {
        Ok(()) => {
            println!("version {version} is in force");
            Ok(())
        }
        Err(reason) => Err(CommandFailure::failed(format!("version {version} was refused"), reason)),
    }
}

/// A connection to the log with the ledger as folded so far.
struct LogTail {
    client: LogClient,
    ledger: LedgerState,
    deadline: Instant,
}

impl LogTail {
    fn new(flags: &Publish) -> Result<Self, CommandFailure> {
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
        let codec = bundle_signature::codec(PluginRegistry::collect(), signers, required);
        let client = (adapter.connect)(&flags.log);
        let wait = Duration::from_secs(flags.wait_s.unwrap_or(DEFAULT_WAIT_S).min(3_600));
        Ok(Self { client, ledger: LedgerState::new(codec), deadline: Instant::now() + wait })
    }

    /// Folds everything that the log holds.
    async fn read_to_end(&mut self) -> Result<(), CommandFailure> {
        while !self.read(Duration::ZERO).await?.is_empty() {}
        Ok(())
    }

    /// Appends the record and returns whether it was adopted, or why not.
    async fn append(&mut self, record: &BundleRecord) -> Result<Result<(), String>, CommandFailure> {
        let number = getrandom::u64().map_err(|error| CommandFailure::failed("no random numbers", error))?;
        let process = format!("operator.{number:016x}").into();
        let records = vec![LogRecord::Bundle(record.clone())];
        let group = RecordGroup { process, sequence: 1, at_ms: unix_ms(), records };
        // A repeated group has no effect, so an append whose reply was lost can be tried again.
        while let Err(fault) = (self.client.append)(group.clone()).await {
            self.wait_again(&fault.to_string()).await?;
        }
        loop {
            for (folded, changes) in self.read(READ_WAIT).await? {
                if folded.process == group.process
                    && let Some(result) = changes.iter().find_map(judged)
                {
                    return Ok(result);
                }
            }
        }
    }

    /// Reads and folds one page; returns each group with its changes.
    async fn read(
        &mut self,
        wait: Duration,
    ) -> Result<Vec<(RecordGroup, Vec<LedgerChange>)>, CommandFailure> {
        loop {
            match (self.client.read)(self.ledger.next, wait).await {
                Ok(page) => {
                    let mut folded = Vec::new();
                    for (offset, group) in page.groups {
                        self.ledger.next = offset + 1;
                        if let Some(group) = group {
                            let changes = self.ledger.fold(offset, &group);
                            folded.push((group, changes));
                        }
                    }
                    if folded.is_empty() && !wait.is_zero() {
                        self.wait_again("the record is not in the log yet").await?;
                    }
                    return Ok(folded);
                }
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
