use crate::kernel::{EndpointLoad, PluginEntry, RoutingPolicy};

inventory::submit!(PluginEntry::Routing(RoutingPolicy { name: "least_wait", choose }));

/// Share of an endpoint's answer time by which it must beat one in the caller's zone.
const ZONE_PREFERENCE: f64 = 0.05;

fn choose(loads: &[EndpointLoad], _turn: u64) -> Option<usize> {
    (0..loads.len()).min_by(|&left, &right| cost(&loads[left]).total_cmp(&cost(&loads[right])))
}

/// Expected wait, raised for failures so that an endpoint that fails fast does not attract requests.
fn cost(load: &EndpointLoad) -> f64 {
    let fill = f64::from(load.busy + 1) / f64::from(load.slots.max(1));
    let distance = if load.same_zone { 0.0 } else { ZONE_PREFERENCE };
    fill + distance + 4.0 * load.failures
}
