use std::time::Duration;

use godwithaven::kernel::cell::WorkerListing;
use godwithaven::prelude::*;
use godwithaven_standins::platform::ModelHost;

use crate::fixture_cell::worker;

/// The entry of a worker in the list of workers, which the worker writes.
pub struct WorkerEntry {
    pub listing: WorkerListing,
    /// When it is written again; `None` while it is up to date.
    pub due: Option<u64>,
    /// Number of the worker's address.
    pub address: u32,
}

impl WorkerEntry {
    pub fn new(name: &str, cores: u64) -> Self {
        let capacity = ResourceVector::new(cores * 1_000, 8_192, 0);
        Self { listing: WorkerListing { capacity, ..worker(name) }, due: Some(0), address: 1 }
    }

    /// Writes the entry if that is due and the worker reaches the list.
    pub fn step(&mut self, host: &ModelHost, now: u64) {
        let is_cut = host.is_cut_from(true, now) && host.is_cut_from(false, now);
        if self.due.is_none_or(|due| now < due) || is_cut || host.is_down() {
            return;
        }
        self.due = None;
        let clock_ms = host.model.clock_ms(Duration::from_millis(now));
        self.listing.incarnation = Some(Duration::from_millis(host.model.born()));
        self.listing.clock = Some(Duration::from_millis(clock_ms));
        self.listing.address = format!("127.0.0.1:{}", self.address).into();
    }
}
