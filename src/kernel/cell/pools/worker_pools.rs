use crate::kernel::cell::WorkerListing;
use crate::prelude::*;

/// Slots of the listed workers by service, by service and label, and by rack.
#[derive(Clone, Debug, Default)]
pub struct WorkerPools {
    services: FastMap<ServiceId, Vec<u32>>,
    labels: FastMap<ServiceId, FastMap<LabelId, Vec<u32>>>,
    racks: FastMap<RackId, Vec<u32>>,
}

impl WorkerPools {
    /// Adds a listed worker.
    pub fn add(&mut self, slot: u32, listing: &WorkerListing) {
        self.services.entry(listing.service.clone()).or_default().push(slot);
        let labels = self.labels.entry(listing.service.clone()).or_default();
        for label in &listing.labels {
            labels.entry(label.clone()).or_default().push(slot);
        }
        if let Some(rack) = &listing.rack {
            self.racks.entry(rack.clone()).or_default().push(slot);
        }
    }

    /// Returns the services that have workers, each with these.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceId, &[u32])> {
        self.services.iter().map(|(service, slots)| (service, slots.as_slice()))
    }

    /// Returns the workers of a service.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[u32] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the workers of a service that have a label, or all of them if none is required.
    #[must_use]
    pub fn with_label(&self, service: &str, label: Option<&LabelId>) -> &[u32] {
        let Some(label) = label else { return self.of_service(service) };
        self.labels.get(service).and_then(|labels| labels.get(label)).map_or(&[], Vec::as_slice)
    }

    /// Returns the workers of a rack, of any service.
    #[must_use]
    pub fn of_rack(&self, rack: &str) -> &[u32] {
        self.racks.get(rack).map_or(&[], Vec::as_slice)
    }
}
