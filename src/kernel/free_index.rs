use std::collections::BTreeMap;

use crate::prelude::*;

/// Key of a bucket of similar workers: zone, whether they have accelerators, number of free accelerators, bit
/// length of free cores, bit length of free memory.
///
/// Bit lengths round to powers of two, so the number of buckets does not grow with the number of workers.
type BucketKey = (u32, bool, u64, u8, u8);

/// Where a search continues after a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// At the next worker.
    Next,
    /// At the next bucket.
    NextBucket,
    /// Nowhere; the search ends.
    Stop,
}

/// Index of the workers on which tasks may start, by zone and free capacity.
#[derive(Clone, Debug, Default)]
pub struct FreeIndex {
    buckets: BTreeMap<BucketKey, Vec<u32>>,
    /// Bucket of each worker and its position there, by slot; `None` if the worker is not indexed.
    positions: Vec<Option<(BucketKey, usize)>>,
}

impl FreeIndex {
    /// Adds a worker, or moves it to the bucket of its present free capacity.
    pub fn put(&mut self, slot: u32, zone: u32, capacity: ResourceVector, free: ResourceVector) {
        let key = (
            zone,
            capacity.accelerators > 0,
            free.accelerators,
            bit_length(free.cores_milli),
            bit_length(free.memory_mib),
        );
        let index = slot as usize;
        if self.positions.len() <= index {
            self.positions.resize(index + 1, None);
        }
        if self.positions[index].is_some_and(|(old, _)| old == key) {
            return;
        }
        self.remove(slot);
        let bucket = self.buckets.entry(key).or_default();
        self.positions[index] = Some((key, bucket.len()));
        bucket.push(slot);
    }

    /// Removes a worker; does nothing if it is not indexed.
    pub fn remove(&mut self, slot: u32) {
        let Some((key, position)) = self.positions.get_mut(slot as usize).and_then(Option::take) else {
            return;
        };
        let Some(bucket) = self.buckets.get_mut(&key) else { return };
        bucket.swap_remove(position);
        if let Some(moved) = bucket.get(position) {
            self.positions[*moved as usize] = Some((key, position));
        }
        if bucket.is_empty() {
            self.buckets.remove(&key);
        }
    }

    /// Returns the workers of a zone with or without accelerators, those with the most free capacity first.
    pub fn workers_by_room(&self, zone: u32, accelerated: bool) -> impl Iterator<Item = u32> {
        let low = (zone, accelerated, 0, 0, 0);
        let high = (zone, accelerated, u64::MAX, u8::MAX, u8::MAX);
        self.buckets.range(low..=high).rev().flat_map(|(_, bucket)| bucket.iter().copied())
    }

    /// Calls `visit` for the workers of a zone that may have room, with the number of workers of the same
    /// bucket that were visited before.
    ///
    /// Workers without accelerators come first. Among workers with, or without, accelerators, the fullest
    /// come first, or the emptiest if `emptiest_first`. `rotation` shifts the start within each bucket, so
    /// that repeated bounded searches reach different workers.
    pub fn search(
        &self,
        zone: u32,
        need: ResourceVector,
        emptiest_first: bool,
        rotation: usize,
        mut visit: impl FnMut(u32, usize) -> SearchStep,
    ) {
        let (cores, memory) = (bit_length(need.cores_milli), bit_length(need.memory_mib));
        for accelerated in [false, true] {
            if need.accelerators > 0 && !accelerated {
                continue;
            }
            let low = (zone, accelerated, need.accelerators, 0, 0);
            let high = (zone, accelerated, u64::MAX, u8::MAX, u8::MAX);
            let mut range = self.buckets.range(low..=high);
            while let Some((key, bucket)) = if emptiest_first { range.next_back() } else { range.next() } {
                if key.3 < cores || key.4 < memory {
                    continue;
                }
                let start = rotation % bucket.len();
                for (visited, slot) in bucket[start..].iter().chain(&bucket[..start]).enumerate() {
                    match visit(*slot, visited) {
                        SearchStep::Next => {}
                        SearchStep::NextBucket => break,
                        SearchStep::Stop => return,
                    }
                }
            }
        }
    }
}

/// Returns the number of binary digits of `amount`, at most 64.
const fn bit_length(amount: u64) -> u8 {
    (u64::BITS - amount.leading_zeros()).to_le_bytes()[0]
}
