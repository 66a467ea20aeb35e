//! Routing policy that takes the endpoints in turn.

use crate::kernel::{EndpointLoad, PluginEntry, RoutingPolicy};

inventory::submit!(PluginEntry::Routing(RoutingPolicy { name: "round_robin", choose }));

fn choose(loads: &[EndpointLoad], turn: u64) -> Option<usize> {
    let count = u64::try_from(loads.len()).ok().filter(|count| *count > 0)?;
    usize::try_from(turn % count).ok()
}
