//! Routing policy that weighs the load, the zone and the recent failures of the endpoints.

use crate::kernel::{EndpointLoad, PluginEntry, RoutingPolicy};

inventory::submit!(PluginEntry::Routing(RoutingPolicy { name: "least_wait", choose }));

/// Cost of a failure rate of 1. Load and zone together cost at most 2, so an endpoint that fails every
/// request ranks after all whose failure rate is at most 0.5.
const FAILURE_WEIGHT: f64 = 4.0;

/// Returns the index of the endpoint with the lowest cost. Every endpoint in `loads` has a free slot, so
/// preferring the zone of the entry process adds no wait: of endpoints with the same failure rate, one in
/// that zone ranks before a less loaded one elsewhere.
fn choose(loads: &[EndpointLoad], _turn: u64) -> Option<usize> {
    (0..loads.len()).min_by(|&left, &right| cost(&loads[left]).total_cmp(&cost(&loads[right])))
}

fn cost(load: &EndpointLoad) -> f64 {
    let fill = f64::from(load.busy + 1) / f64::from(load.slots.max(1));
    let distance = if load.same_zone { 0.0 } else { 1.0 };
    fill + distance + FAILURE_WEIGHT * load.failure_rate
}
