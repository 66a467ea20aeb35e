//! Recovery of a new owner: fences the earlier ones and rebuilds the state of the cell from the store.

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::try_join_all;

use crate::clock;
use crate::kernel::cell::{CellEffect, CellEvent, CellScheduler, InheritedLeases, longest_real_time};
use crate::prelude::*;
use crate::tasks::cell::admission_report::AdmissionReport;
use crate::tasks::cell::intake::{JOB_PARTITIONS, JOB_TOPIC, JobRecord};
use crate::tasks::cell::owner::{OwnerTask, TermEnd};
use crate::tasks::cell::owner_state::OwnerState;
use crate::tasks::cell::ownership_lease::OWNERSHIP_LEASE;
use crate::tasks::cell::ports::{AppendOutcome, ReadFault};
use crate::tasks::cell::record_codec::RecordDecoder;
use crate::tasks::cell::recovery_summary::RecoverySummary;
use crate::tasks::cell::store_limits::StoreLimits;
use crate::tasks::cell::term_log::{CELL_TOPIC, TermLog};

/// Delay before a failed call to the store is retried during recovery.
const RECOVERY_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The recovery of an owner at the start of its term.
pub(super) struct CellRecovery<'a> {
    pub(super) owner: &'a OwnerTask,
}

/// The records of a partition from an offset to its end.
struct PartitionRead {
    values: Vec<Bytes>,
    /// The offset of the first record.
    first: LogOffset,
    /// The offset after the last record.
    next: LogOffset,
    /// When the last read was sent.
    sent_at: Instant,
}

impl CellRecovery<'_> {
    /// Makes the store reject appends of all earlier owners; returns the end of the log of the cell at that time.
    async fn fence(&self) -> Result<LogOffset, TermEnd> {
        loop {
            let sent_at = clock::reading();
            match (self.owner.store.append)(TermLog::<CellEffect>::fencing_append(self.owner.token)).await {
                AppendOutcome::Stored(offset) => {
                    self.owner.ownership.confirm(sent_at);
                    self.owner.ownership.note_fenced(Instant::now());
                    return Ok(offset);
                }
                AppendOutcome::Refused(reason) | AppendOutcome::Unknown(reason) => {
                    log::warn!(token = self.owner.token, reason = &*reason; "store cannot fence earlier owners");
                    tokio::time::sleep(RECOVERY_RETRY_DELAY).await;
                }
                outcome => return Err(outcome.to_string()),
            }
        }
    }

    /// Rebuilds the state of the cell from the store; returns it with the offset of each partition from which
    /// further submissions are read, and with a summary for logs.
    pub(super) async fn run(&self) -> Result<(OwnerState, Vec<LogOffset>, RecoverySummary), TermEnd> {
        // Reads are sent as early as possible, as each takes long while the store is slow. The records of
        // earlier owners are read only after fencing, when no earlier owner can append any more.
        let fence = self.fence().shared();
        let jobs = (0..JOB_PARTITIONS).map(|partition| self.read_submissions(partition, fence.clone()));
        let cell = async {
            let fence = fence.clone().await?;
            Ok::<_, TermEnd>((fence, self.read_all(CELL_TOPIC, 0, 0).await))
        };
        let (jobs, (fence, cell)) = tokio::try_join!(try_join_all(jobs), cell)?;
        let mut summary = RecoverySummary {
            records: cell.values.len(),
            first: cell.first,
            next: cell.next,
            fence,
            submissions: jobs.iter().map(|read| read.values.len()).sum(),
            ..RecoverySummary::default()
        };
        let now = Instant::now();
        let longest = longest_real_time(self.owner.lease());
        let inherited = InheritedLeases::new(longest, OWNERSHIP_LEASE, self.owner.former_release, now);
        let mut scheduler = CellScheduler::new(inherited)
            .with_log_retention(self.owner.log_retention)
            .with_partition_bytes(self.owner.store.limits.partition_bytes)
            .with_restart_rule(self.owner.restart_rule())
            .with_usage_half_life(self.owner.usage_half_life);
        scheduler.handle(CellEvent::Tick(clock::unix_time()), now);
        if let Some(config) = &self.owner.config {
            scheduler.handle(CellEvent::Configured(config.clone()), now);
        }
        scheduler.handle(CellEvent::ZonesClosed(self.owner.closed_zones.clone()), now);
        let (mut cancelled, mut next_offsets, mut submissions_read_at) = (Vec::new(), Vec::new(), Vec::new());
        for read in jobs {
            next_offsets.push(read.next);
            // The time at which the read was sent and not the present time: on a busy process, reading and
            // replaying the rest takes long, and jobs that are accepted meanwhile are missing here.
            submissions_read_at.push(read.sent_at);
            for value in read.values {
                scheduler.count_submission(StoreLimits::stored_bytes(&value));
                match JobRecord::decode(&value) {
                    Ok(JobRecord::Submit(spec)) => scheduler.handle(CellEvent::Submitted(spec.into()), now),
                    Ok(JobRecord::Cancel(job)) => cancelled.push(job),
                    Err(error) => log::warn!(topic = JOB_TOPIC, error:%; "record cannot be decoded"),
                }
            }
        }
        let (mut decoder, mut bytes) = (RecordDecoder::default(), 0);
        for value in cell.values {
            bytes += StoreLimits::stored_bytes(&value);
            match decoder.decode(&value) {
                Ok(Some(record)) => {
                    scheduler.count_record(&record, std::mem::take(&mut bytes));
                    scheduler.replay(record, now);
                }
                Ok(None) => {}
                Err(error) => log::warn!(topic = CELL_TOPIC, error:%; "record cannot be decoded"),
            }
        }
        summary.skipped = scheduler.end_replay();
        if summary.skipped.unknown_steps > 0 {
            log::warn!(topic = CELL_TOPIC, records = summary.skipped.unknown_steps; "steps of records are unknown");
        }
        for job in cancelled {
            scheduler.handle(CellEvent::Cancelled(job), now);
        }
        let state = OwnerState {
            token: self.owner.token,
            scheduler,
            admission: AdmissionReport::new(self.owner.admission_sender.clone(), self.owner.memory_budget),
            log: TermLog::new(self.owner.store.clone(), self.owner.token),
            links: FastMap::default(),
            registrations: FastMap::default(),
            unpublished: FastSet::default(),
            submissions_read_at,
            forecast_at: None,
            ownership_confirmed: true,
        };
        Ok((state, next_offsets, summary))
    }

    /// Reads a whole partition of submissions, and what was added to it until earlier owners were fenced. A
    /// run in their records thus belongs to a job that this owner knows; otherwise it would drop the records
    /// and run the job again.
    async fn read_submissions(
        &self,
        partition: PartitionNumber,
        fence: impl Future<Output = Result<LogOffset, TermEnd>>,
    ) -> Result<PartitionRead, TermEnd> {
        let mut read = self.read_all(JOB_TOPIC, partition, 0).await;
        fence.await?;
        let later = self.read_all(JOB_TOPIC, partition, read.next).await;
        read.values.extend(later.values);
        Ok(PartitionRead { values: read.values, first: read.first, ..later })
    }

    /// Reads a partition from an offset to its end.
    async fn read_all(
        &self,
        topic: &'static str,
        partition: PartitionNumber,
        from: LogOffset,
    ) -> PartitionRead {
        let (mut values, mut first, mut next) = (Vec::new(), from, from);
        loop {
            let sent_at = Instant::now();
            match (self.owner.store.read)(topic, partition, next, Duration::ZERO).await {
                Ok(page) => {
                    log_expired(topic, partition, next, page.first);
                    if values.is_empty() {
                        first = next.max(page.first);
                    }
                    values.extend(page.records.into_iter().map(|record| record.value));
                    next = page.next;
                    if next >= page.end {
                        return PartitionRead { values, first, next, sent_at };
                    }
                }
                Err(ReadFault::Expired(retained)) => {
                    log_expired(topic, partition, next, retained);
                    next = retained;
                }
                Err(fault) => {
                    log::warn!(topic = topic, reason:% = fault; "store cannot be read");
                    tokio::time::sleep(RECOVERY_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Logs that the records from `from` up to `first` have expired. A read from offset 0 expects that, as the store
/// drops old records; later ones would have been read.
fn log_expired(topic: &'static str, partition: PartitionNumber, from: LogOffset, first: LogOffset) {
    if first <= from {
        return;
    }
    if from == 0 {
        log::info!(topic = topic, partition = partition, from = from, first = first; "expired records are skipped");
    } else {
        log::error!(topic = topic, partition = partition, from = from, first = first;
            "records have expired before they were read");
    }
}
