//! Guards against whole reads of the VM list on every change, and against a list that misses changes.

use godwithaven::tasks::adapter::{AdapterEntry, DirectoryClient};
use godwithaven::tasks::vm_list::CachedList;
use godwithaven_standins::directory::{DirectoryStandin, ListSupport, ListedVm};
use godwithaven_standins::relay::RelayStandin;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// VMs on the list at the start.
const LISTED: usize = 1_000;
/// Bytes of a request and a reply with one changed VM and all headers.
const CHANGE_BYTES: u64 = 1_000;

fn worker(index: usize) -> ListedVm {
    let (vm, rack) = (format!("worker-{index}"), format!("rack-{}", index / 4));
    let (zone, region) = ("a".into(), "r1".into());
    let (role, state, address) = ("worker".into(), "live".into(), "127.0.0.1:1".into());
    ListedVm { vm, zone, region, rack, role, state, address, cores: 64, ..ListedVm::default() }
}

async fn start(token: &CancellationToken, support: ListSupport) -> DirectoryStandin {
    let directory = DirectoryStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    directory.change(|list| list.extend((0..LISTED).map(worker)));
    directory.set_support(support);
    directory
}

fn connect(address: &str) -> DirectoryClient {
    let adapter = AdapterEntry::find(AdapterEntry::directory).unwrap();
    (adapter.connect)(address)
}

fn names(known: &CachedList) -> Vec<String> {
    let mut names: Vec<String> = known.list.workers.iter().map(|vm| vm.vm.to_string()).collect();
    names.sort_unstable();
    names
}

/// Changes, adds and removes one worker each.
fn churn(list: &mut Vec<ListedVm>) {
    list[5].state = "leaving".into();
    list.remove(7);
    list.push(worker(LISTED));
}

#[gtest]
#[actix_rt::test]
async fn a_change_costs_its_own_bytes_and_not_those_of_the_list() {
    // Arrange
    let token = CancellationToken::new();
    let directory = start(&token, ListSupport::Changes).await;
    let relay = RelayStandin::start(directory.address, token.child_token()).await.unwrap();
    let (client, mut known) = (connect(&relay.address.to_string()), CachedList::default());
    known.refresh(&client).await.unwrap();
    let before = relay.count().await;

    // Act
    directory.change(|list| list[3].state = "leaving".into());
    let changed = known.refresh(&client).await.unwrap();
    let after = relay.count().await;

    // Assert
    expect_true!(changed);
    expect_that!(known.list.workers.iter().filter(|vm| vm.leaving).count(), eq(1));
    expect_that!(after.sent + after.received - before.sent - before.received, le(CHANGE_BYTES));
    token.cancel();
}

#[gtest]
#[actix_rt::test]
async fn every_platform_gives_the_same_list() {
    for support in [ListSupport::Whole, ListSupport::Tags, ListSupport::Changes] {
        // Arrange
        let token = CancellationToken::new();
        let directory = start(&token, support).await;
        let (client, mut known) = (connect(&directory.address.to_string()), CachedList::default());
        known.refresh(&client).await.unwrap();

        // Act
        directory.change(churn);
        let changed = known.refresh(&client).await.unwrap();
        let again = known.refresh(&client).await.unwrap();

        // Assert: without tags the platform cannot say that nothing changed.
        expect_true!(changed);
        expect_that!(again, eq(support == ListSupport::Whole));
        expect_that!(known.list.workers.len(), eq(LISTED));
        expect_that!(names(&known), contains(eq("worker-1000")).and(not(contains(eq("worker-7")))));
        expect_that!(known.list.workers.iter().filter(|vm| vm.leaving).count(), eq(1));
        token.cancel();
    }
}

#[gtest]
#[actix_rt::test]
async fn missed_versions_are_caught_up() {
    for missed in [2, 9, 40] {
        // Arrange
        let token = CancellationToken::new();
        let directory = start(&token, ListSupport::Changes).await;
        let (client, mut known) = (connect(&directory.address.to_string()), CachedList::default());
        known.refresh(&client).await.unwrap();

        // Act: one worker returns meanwhile, so its last state counts.
        directory.change(churn);
        (1..missed).for_each(|index| directory.change(|list| list.push(worker(LISTED + index))));
        directory.change(|list| list.push(worker(7)));
        known.refresh(&client).await.unwrap();

        // Assert
        let mut wanted: Vec<String> = (0..LISTED + missed).map(|index| worker(index).vm).collect();
        wanted.sort_unstable();
        expect_that!(names(&known), eq(&wanted), "{missed} missed");
        token.cancel();
    }
}

/// Guards against the versions of two lives of the list service being taken for each other.
#[gtest]
#[actix_rt::test]
async fn a_restarted_list_is_read_whole() {
    // Arrange: as many changes in both lives, so that their counters are equal.
    let token = CancellationToken::new();
    let (first, second) =
        (start(&token, ListSupport::Changes).await, start(&token, ListSupport::Changes).await);
    second.change(|list| list.truncate(10));
    first.change(churn);
    let mut known = CachedList::default();

    // Act
    let mut counts = Vec::new();
    for directory in [&first, &second, &first] {
        expect_true!(known.refresh(&connect(&directory.address.to_string())).await.unwrap());
        counts.push(known.list.workers.len());
    }

    // Assert
    expect_that!(counts, elements_are![eq(&LISTED), eq(&10), eq(&LISTED)]);
    token.cancel();
}

/// Guards against changes of a lagging replica that are merged into the newer list of another one.
#[gtest]
#[actix_rt::test]
async fn a_lagging_replica_gives_its_own_list() {
    // Arrange
    let token = CancellationToken::new();
    let directory = start(&token, ListSupport::Changes).await;
    let (client, mut known) = (connect(&directory.address.to_string()), CachedList::default());
    let mut before: Vec<String> = (0..LISTED).map(|index| worker(index).vm).collect();
    before.sort_unstable();
    directory.change(churn);
    known.refresh(&client).await.unwrap();

    // Act
    directory.roll_back(1);
    expect_true!(known.refresh(&client).await.unwrap());
    let behind = names(&known);
    directory.change(|list| list.retain(|vm| vm.vm != "worker-0"));
    known.refresh(&client).await.unwrap();

    // Assert
    expect_that!(behind, eq(&before));
    expect_that!(names(&known).len(), eq(LISTED - 1));
    expect_that!(names(&known), not(contains(eq("worker-0"))));
    token.cancel();
}
