//! Network partitions of a soak run.

use std::time::{Duration, Instant};

use godwithaven_standins::platform::PlatformWorker;

use crate::fixture_platform::Platform;
use crate::fixture_soak::{SeededRandom, SoakProcess};

/// Shortest partition.
const MIN_PARTITION: Duration = Duration::from_secs(2);
/// Range of the lengths above the shortest, in milliseconds. The longest partition outlasts the 9 s after which
/// a new owner counts the leases of workers that it does not reach as expired.
const PARTITION_RANGE_MS: u64 = 12_000;
/// Shortest time between the beginnings of two partitions.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the times above the shortest, in milliseconds.
const INTERVAL_RANGE_MS: u64 = 5_000;

/// Random numbers of one partition.
#[derive(Debug)]
struct PartitionDraw {
    duration: Duration,
    /// Whether the owner is cut off if the workers are not divided already.
    prefers_owner: bool,
    /// Which of the other processes is cut off otherwise.
    other: u64,
    /// For each worker, whether it is on the owner's side; at least one is on each side.
    with_owner: Vec<bool>,
}

/// Cuts processes from the store, and an owner from some workers, at times that depend only on the seed.
///
/// A draw for partitions changes no draw for other faults, as they have generators of their own.
pub struct Partitions {
    random: SeededRandom,
    next_at: Instant,
    /// When all processes reach all workers again.
    workers_back_at: Option<Instant>,
}

impl Partitions {
    /// Returns a series of partitions whose first begins at this time.
    pub fn new(seed: u64, first_at: Instant) -> Self {
        Self { random: SeededRandom(seed), next_at: first_at, workers_back_at: None }
    }

    /// Ends the partitions that are over.
    pub fn end_due(&mut self, platform: &Platform, processes: &mut [SoakProcess]) {
        for process in processes {
            process.reconnect_store();
        }
        if self.workers_back_at.is_some_and(|back_at| Instant::now() >= back_at) {
            self.workers_back_at = None;
            for worker in &platform.workers {
                worker.set_reachable_by(0..=u64::MAX);
            }
        }
    }

    /// Begins a partition if one is due and returns its description. Two of three concern the owner, unless it is
    /// spared or the workers are divided already. None begins that leaves no process with the store.
    pub fn begin_due(
        &mut self,
        platform: &Platform,
        processes: &mut [SoakProcess],
        spares_owner: bool,
    ) -> Option<String> {
        if Instant::now() < self.next_at {
            return None;
        }
        let (owner, token) = owner_of(platform, processes)?;
        self.next_at = Instant::now() + self.next_time(MIN_INTERVAL, INTERVAL_RANGE_MS);
        let draw = self.draw_partition(platform.workers.len());
        let of_owner = draw.prefers_owner && !spares_owner && self.workers_back_at.is_none();
        let index = if of_owner { owner } else { other_index(owner, draw.other, processes.len()) };
        if !another_reaches_store(processes, index) {
            return None;
        }
        processes[index].cut_from_store(draw.duration);
        let name = &processes[index].name;
        if of_owner {
            self.divide_workers(platform, token, &draw);
            return Some(format!("partition of {name}, token {token}: {draw:?}"));
        }
        Some(format!("partition of {name} for {:?}", draw.duration))
    }

    fn draw_partition(&mut self, worker_count: usize) -> PartitionDraw {
        PartitionDraw {
            duration: self.next_time(MIN_PARTITION, PARTITION_RANGE_MS),
            prefers_owner: self.random.next_below(3) > 0,
            other: self.random.next_below(2),
            with_owner: self.random.next_share(worker_count),
        }
    }

    /// Lets only the owner with this token reach these workers, and only later owners the others.
    fn divide_workers(&mut self, platform: &Platform, token: u64, draw: &PartitionDraw) {
        self.workers_back_at = Some(Instant::now() + draw.duration);
        for (worker, with_owner) in platform.workers.iter().zip(&draw.with_owner) {
            worker.set_reachable_by(if *with_owner { 0..=token } else { token + 1..=u64::MAX });
        }
    }

    fn next_time(&mut self, shortest: Duration, range_ms: u64) -> Duration {
        shortest + Duration::from_millis(self.random.next_below(range_ms))
    }
}

/// Returns the index of the owner and its fencing token, the highest one that a worker has seen.
pub fn owner_of(platform: &Platform, processes: &[SoakProcess]) -> Option<(usize, u64)> {
    let token = platform.workers.iter().map(PlatformWorker::highest_token).max().unwrap_or_default();
    let owned_token = |index: &usize| processes[*index].owned_token(platform, token);
    let owner = (0..processes.len()).max_by_key(owned_token).filter(|index| owned_token(index).is_some())?;
    Some((owner, token))
}

/// Returns whether a process other than this one is not cut from the store.
fn another_reaches_store(processes: &[SoakProcess], index: usize) -> bool {
    let mut others = processes.iter().enumerate().filter(|(other, _)| *other != index);
    others.any(|(_, process)| process.store_back_at.is_none())
}

/// Returns the index of one of the two processes that are not the owner.
fn other_index(owner: usize, choice: u64, count: usize) -> usize {
    (owner + 1 + usize::try_from(choice).unwrap_or_default()) % count
}
