//! Tests of the owner's appends to its log.

mod fixture_platform;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fixture_platform::{start_platform, write_settings};
use futures_util::FutureExt;
use godwithaven::tasks::cell::ports::{AppendOutcome, AppendRequest, CellAdapter, ReadFault, StoreClient};
use godwithaven::tasks::cell::store_limits::StoreLimits;
use godwithaven::tasks::cell::term_log::{AppendProgress, TermLog};
use googletest::prelude::*;

/// Longest wait for records to be stored, far above the usual time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Duration of the outage of the store.
const OUTAGE: Duration = Duration::from_millis(300);

/// The appends that a store has accepted.
type StoredAppends = Rc<RefCell<Vec<Vec<Bytes>>>>;

/// Returns a store that refuses all appends until `available_at`, and later those beyond its limits.
fn store_after_an_outage(limits: StoreLimits, available_at: Instant) -> (StoreClient, StoredAppends) {
    let stored = StoredAppends::default();
    let appends = stored.clone();
    let append = move |request: AppendRequest| {
        let bytes: usize = request.records.iter().map(|record| record.len() + 4).sum();
        let outcome = if Instant::now() < available_at {
            AppendOutcome::Refused("503".to_owned())
        } else if bytes > limits.append_bytes {
            AppendOutcome::Refused("413".to_owned())
        } else {
            appends.borrow_mut().push(request.records);
            AppendOutcome::Stored(0)
        };
        std::future::ready(outcome).boxed_local()
    };
    let unread = || std::future::ready(Err(ReadFault::Failed("none".to_owned()))).boxed_local();
    let client = StoreClient {
        limits,
        append: Rc::new(append),
        read: Rc::new(move |_, _, _, _| unread()),
        newest: Rc::new(move |_| unread()),
    };
    (client, stored)
}

/// Flushes the log until no append is in flight; returns the released items with the number of records that
/// were stored at their release.
async fn drain(log: &mut TermLog<usize>, stored: &StoredAppends) -> Vec<(usize, usize)> {
    let mut released = Vec::new();
    let count = || stored.borrow().iter().map(Vec::len).sum::<usize>();
    loop {
        released.extend(log.flush().into_iter().map(|item| (item, count())));
        match tokio::time::timeout(OUTAGE, log.progress()).await {
            Ok(AppendProgress::Stored { released: items, .. }) => {
                released.extend(items.into_iter().map(|item| (item, count())));
            }
            Ok(_) => {}
            Err(_) => return released,
        }
    }
}

/// Loads settings with these lines at their end.
async fn load(name: &str, lines: &str) -> std::result::Result<StoreLimits, String> {
    let platform = start_platform(name, 0).await;
    platform.token.cancel();
    let path = write_settings(&platform, "e1", 1);
    let text = std::fs::read_to_string(&path).expect("the file was written") + lines;
    std::fs::write(&path, text).expect("the file can be written");
    // Every variable counts as set, so the only linked adapter is found.
    let (adapter, _) = CellAdapter::find(|_| Some(String::new())).expect("the adapter is linked");
    let settings = (adapter.load)(&path.to_string_lossy());
    settings.map(|settings| settings.store_limits).map_err(|fault| fault.text)
}

/// Guards against an owner that can store nothing any more: the records that had gathered during an outage of
/// the store were sent as one append, larger than the store accepts, which was repeated forever.
#[gtest]
#[actix_rt::test]
async fn records_of_an_outage_are_stored_in_several_appends() -> Result<()> {
    let limits = StoreLimits { record_bytes: 8_192, append_bytes: 20_000, ..StoreLimits::default() };
    let (client, stored) = store_after_an_outage(limits, Instant::now() + OUTAGE);
    let mut log = TermLog::new(client, 1);
    let records: Vec<Bytes> = (0u8..200).map(|number| vec![number; 4_000].into()).collect();

    log.record(Bytes::from_static(b"first"));
    log.flush();
    for (number, record) in records.iter().enumerate() {
        log.record(record.clone());
        log.hold_until_stored(number + 1);
    }
    let released = tokio::time::timeout(WAIT_TIMEOUT, drain(&mut log, &stored)).await.or_fail()?;

    let all: Vec<Bytes> = stored.borrow().iter().flatten().skip(1).cloned().collect();
    let items: Vec<usize> = released.iter().map(|(item, _)| *item).collect();
    let early: Vec<usize> =
        released.iter().filter(|(item, stored)| stored <= item).map(|(item, _)| *item).collect();
    verify_that!(all, eq(&records))?;
    verify_that!(items, eq(&(1..=200).collect::<Vec<usize>>()))?;
    verify_that!(early, is_empty())
}

/// Guards against sizes that fit one platform only: those that the settings name go before the usual ones, and
/// sizes that cannot be used end the process at its start.
#[gtest]
#[actix_rt::test]
async fn the_settings_name_the_sizes_that_the_store_accepts() -> Result<()> {
    let usual = load("store_usual", "").await;
    let small = "platform.record_bytes=16384\nplatform.call_bytes=65536\nplatform.part_mb=0.5\n";
    let small = load("store_small", small).await;
    let too_small = load("store_too_small", "platform.record_bytes=100\n").await;
    let no_partition = load("store_no_partition", "platform.part_mb=0\n").await;
    let no_append = load("store_no_append", "platform.call_bytes=4096\n").await;

    let limits = |record_bytes, append_bytes, partition_bytes| StoreLimits {
        record_bytes,
        append_bytes,
        partition_bytes,
    };
    verify_that!(usual, ok(eq(&limits(262_144, 2_097_152, 200_000_000))))?;
    verify_that!(small, ok(eq(&limits(16_384, 65_536, 500_000))))?;
    verify_that!(no_partition, err(contains_substring("platform.part_mb")))?;
    verify_that!(too_small, err(contains_substring("platform.record_bytes")))?;
    verify_that!(no_append, err(contains_substring("platform.call_bytes")))
}
