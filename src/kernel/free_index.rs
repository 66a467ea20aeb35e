use std::collections::BTreeMap;

use crate::prelude::*;

/// Cell of workers that are alike: zone, has accelerators, free accelerators, free cores, free memory.
///
/// Cores and memory are powers of two, so the number of cells does not grow with the number of workers.
type CellKey = (u32, bool, u64, u8, u8);

/// How a search goes on after a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// With the next worker.
    Next,
    /// With the next cell.
    NextBucket,
    /// Not at all.
    Stop,
}

/// Workers on which tasks may start, by zone and free capacity.
#[derive(Clone, Debug, Default)]
pub struct FreeIndex {
    cells: BTreeMap<CellKey, Vec<u32>>,
    /// Cell of each worker and its place there.
    places: Vec<Option<(CellKey, usize)>>,
}

impl FreeIndex {
    /// Puts a worker into the cell of its free capacity.
    pub fn put(&mut self, slot: u32, zone: u32, capacity: ResourceVector, free: ResourceVector) {
        let key = (
            zone,
            capacity.accelerators > 0,
            free.accelerators,
            magnitude(free.cores_milli),
            magnitude(free.memory_mib),
        );
        let index = slot as usize;
        if self.places.len() <= index {
            self.places.resize(index + 1, None);
        }
        if self.places[index].is_some_and(|(old, _)| old == key) {
            return;
        }
        self.remove(slot);
        let cell = self.cells.entry(key).or_default();
        self.places[index] = Some((key, cell.len()));
        cell.push(slot);
    }

    /// Takes a worker out.
    pub fn remove(&mut self, slot: u32) {
        let Some((key, place)) = self.places.get_mut(slot as usize).and_then(Option::take) else { return };
        let Some(cell) = self.cells.get_mut(&key) else { return };
        cell.swap_remove(place);
        if let Some(moved) = cell.get(place) {
            self.places[*moved as usize] = Some((key, place));
        }
        if cell.is_empty() {
            self.cells.remove(&key);
        }
    }

    /// Returns the workers of a zone with or without accelerators, those with most room first.
    pub fn members(&self, zone: u32, accelerated: bool) -> impl Iterator<Item = u32> {
        let low = (zone, accelerated, 0, 0, 0);
        let high = (zone, accelerated, u64::MAX, u8::MAX, u8::MAX);
        self.cells.range(low..=high).rev().flat_map(|(_, cell)| cell.iter().copied())
    }

    /// Calls `visit` for the workers of a zone that may have room.
    ///
    /// Workers without accelerators come first; then the fullest ones, or the emptiest if `loose`. `turn` moves
    /// the start within each cell, so that repeated bounded searches reach different workers.
    pub fn search(
        &self,
        zone: u32,
        need: ResourceVector,
        loose: bool,
        turn: usize,
        mut visit: impl FnMut(u32) -> SearchStep,
    ) {
        let (cores, memory) = (magnitude(need.cores_milli), magnitude(need.memory_mib));
        for accelerated in [false, true] {
            if need.accelerators > 0 && !accelerated {
                continue;
            }
            let low = (zone, accelerated, need.accelerators, 0, 0);
            let high = (zone, accelerated, u64::MAX, u8::MAX, u8::MAX);
            let mut range = self.cells.range(low..=high);
            while let Some((key, cell)) = if loose { range.next_back() } else { range.next() } {
                if key.3 < cores || key.4 < memory {
                    continue;
                }
                let start = turn % cell.len();
                for slot in cell[start..].iter().chain(&cell[..start]) {
                    match visit(*slot) {
                        SearchStep::Next => {}
                        SearchStep::NextBucket => break,
                        SearchStep::Stop => return,
                    }
                }
            }
        }
    }
}

/// Returns the number of binary digits, at most 64.
const fn magnitude(amount: u64) -> u8 {
    (u64::BITS - amount.leading_zeros()).to_le_bytes()[0]
}
