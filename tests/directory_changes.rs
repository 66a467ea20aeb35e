//! Guards against reading the whole VM list on every change, and against a cached list that misses changes.

use godwithaven::tasks::adapter::{AdapterEntry, DirectoryClient};
use godwithaven::tasks::vm_list::CachedList;
use godwithaven_standins::directory::{DirectoryStandin, ListSupport, ListedVm};
use godwithaven_standins::relay::RelayStandin;
use googletest::prelude::*;
use tokio_util::sync::CancellationToken;

/// Number of VMs on the list at the start.
const LISTED_VMS: usize = 1_000;
/// Maximum bytes of a request and a reply that carry one changed VM, headers included.
const MAX_CHANGE_BYTES: u64 = 1_000;

fn worker(index: usize) -> ListedVm {
    let (vm, rack) = (format!("worker-{index}"), format!("rack-{}", index / 4));
    let (zone, region) = ("a".into(), "r1".into());
    let (role, state, address) = ("worker".into(), "live".into(), "127.0.0.1:1".into());
    ListedVm { vm, zone, region, rack, role, state, address, cores: 64, ..ListedVm::default() }
}

async fn start_directory(token: &CancellationToken, support: ListSupport) -> DirectoryStandin {
    let directory = DirectoryStandin::start("127.0.0.1:0", token.child_token()).await.unwrap();
    directory.change(|list| list.extend((0..LISTED_VMS).map(worker)));
    directory.set_support(support);
    directory
}

fn connect(address: &str) -> DirectoryClient {
    let adapter = AdapterEntry::find(AdapterEntry::directory).unwrap();
    (adapter.connect)(address)
}

fn worker_names(cached: &CachedList) -> Vec<String> {
    let mut names: Vec<String> = cached.list.workers.iter().map(|vm| vm.vm.to_string()).collect();
    names.sort_unstable();
    names
}

/// Changes one worker, removes one and adds one.
fn change_three_workers(list: &mut Vec<ListedVm>) {
    list[5].state = "leaving".into();
    list.remove(7);
    list.push(worker(LISTED_VMS));
}

/// Guards against reads that transfer the whole list although one VM has changed.
#[gtest]
#[actix_rt::test]
async fn a_change_transfers_only_the_changed_vm() {
    // Arrange
    let token = CancellationToken::new();
    let directory = start_directory(&token, ListSupport::Changes).await;
    let relay = RelayStandin::start(directory.address, token.child_token()).await.unwrap();
    let (client, mut cached) = (connect(&relay.address.to_string()), CachedList::default());
    cached.refresh(&client).await.unwrap();
    let bytes_before = relay.count().await;

    // Act
    directory.change(|list| list[3].state = "leaving".into());
    let changed = cached.refresh(&client).await.unwrap();
    let bytes_after = relay.count().await;

    // Assert
    expect_true!(changed);
    expect_that!(cached.list.workers.iter().filter(|vm| vm.leaving).count(), eq(1));
    expect_that!(
        bytes_after.sent + bytes_after.received - bytes_before.sent - bytes_before.received,
        le(MAX_CHANGE_BYTES)
    );
    token.cancel();
}

/// Guards against a cached list that depends on whether the platform supports conditional reads or reads of
/// changes.
#[gtest]
#[actix_rt::test]
async fn each_kind_of_platform_support_gives_the_same_list() {
    for support in [ListSupport::Whole, ListSupport::Tags, ListSupport::Changes] {
        // Arrange
        let token = CancellationToken::new();
        let directory = start_directory(&token, support).await;
        let (client, mut cached) = (connect(&directory.address.to_string()), CachedList::default());
        cached.refresh(&client).await.unwrap();

        // Act
        directory.change(change_three_workers);
        let changed = cached.refresh(&client).await.unwrap();
        let changed_again = cached.refresh(&client).await.unwrap();

        // Assert: without tags the platform cannot report that nothing changed.
        expect_true!(changed);
        expect_that!(changed_again, eq(support == ListSupport::Whole));
        expect_that!(cached.list.workers.len(), eq(LISTED_VMS));
        expect_that!(worker_names(&cached), contains(eq("worker-1000")).and(not(contains(eq("worker-7")))));
        expect_that!(cached.list.workers.iter().filter(|vm| vm.leaving).count(), eq(1));
        token.cancel();
    }
}

/// Guards against changes that are lost when the list changes several times between two reads.
#[gtest]
#[actix_rt::test]
async fn changes_of_missed_versions_are_applied() {
    for missed in [2, 9, 40] {
        // Arrange
        let token = CancellationToken::new();
        let directory = start_directory(&token, ListSupport::Changes).await;
        let (client, mut cached) = (connect(&directory.address.to_string()), CachedList::default());
        cached.refresh(&client).await.unwrap();

        // Act: a removed worker is added again, so that its last change must win.
        directory.change(change_three_workers);
        (1..missed).for_each(|index| directory.change(|list| list.push(worker(LISTED_VMS + index))));
        directory.change(|list| list.push(worker(7)));
        cached.refresh(&client).await.unwrap();

        // Assert
        let mut expected: Vec<String> = (0..LISTED_VMS + missed).map(|index| worker(index).vm).collect();
        expected.sort_unstable();
        expect_that!(worker_names(&cached), eq(&expected), "{missed} missed versions");
        token.cancel();
    }
}

/// Guards against treating a version from before a restart of the list service as one of the restarted
/// service.
#[gtest]
#[actix_rt::test]
async fn the_whole_list_is_read_after_its_service_restarts() {
    // Arrange: as many changes in both incarnations, so that their version counters are equal.
    let token = CancellationToken::new();
    let (first, second) = (
        start_directory(&token, ListSupport::Changes).await,
        start_directory(&token, ListSupport::Changes).await,
    );
    second.change(|list| list.truncate(10));
    first.change(change_three_workers);
    let mut cached = CachedList::default();

    // Act
    let mut counts = Vec::new();
    for directory in [&first, &second, &first] {
        expect_true!(cached.refresh(&connect(&directory.address.to_string())).await.unwrap());
        counts.push(cached.list.workers.len());
    }

    // Assert
    expect_that!(counts, elements_are![eq(&LISTED_VMS), eq(&10), eq(&LISTED_VMS)]);
    token.cancel();
}

/// Guards against merging the changes of a lagging replica into the newer list of another replica.
#[gtest]
#[actix_rt::test]
async fn the_list_of_a_lagging_replica_replaces_a_newer_one() {
    // Arrange
    let token = CancellationToken::new();
    let directory = start_directory(&token, ListSupport::Changes).await;
    let (client, mut cached) = (connect(&directory.address.to_string()), CachedList::default());
    let mut lagging_list: Vec<String> = (0..LISTED_VMS).map(|index| worker(index).vm).collect();
    lagging_list.sort_unstable();
    directory.change(change_three_workers);
    cached.refresh(&client).await.unwrap();

    // Act
    directory.roll_back(1);
    expect_true!(cached.refresh(&client).await.unwrap());
    let names_while_lagging = worker_names(&cached);
    directory.change(|list| list.retain(|vm| vm.vm != "worker-0"));
    cached.refresh(&client).await.unwrap();

    // Assert
    expect_that!(names_while_lagging, eq(&lagging_list));
    expect_that!(worker_names(&cached).len(), eq(LISTED_VMS - 1));
    expect_that!(worker_names(&cached), not(contains(eq("worker-0"))));
    token.cancel();
}
