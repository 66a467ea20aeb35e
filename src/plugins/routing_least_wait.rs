use crate::kernel::{EndpointLoad, PluginEntry, RoutingPolicy};

inventory::submit!(PluginEntry::Routing(RoutingPolicy { name: "least_wait", choose }));

/// Weight of failures; an endpoint that fails every request comes after all others.
const FAILURE_WEIGHT: f64 = 4.0;

/// Every load has a free slot, so the caller's zone costs no wait and comes before an emptier endpoint.
fn choose(loads: &[EndpointLoad], _turn: u64) -> Option<usize> {
    (0..loads.len()).min_by(|&left, &right| cost(&loads[left]).total_cmp(&cost(&loads[right])))
}

fn cost(load: &EndpointLoad) -> f64 {
    let fill = f64::from(load.busy + 1) / f64::from(load.slots.max(1));
    let distance = if load.same_zone { 0.0 } else { 1.0 };
    fill + distance + FAILURE_WEIGHT * load.failure_rate
}
