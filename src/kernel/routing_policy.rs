use crate::prelude::*;

/// The load of one endpoint that has a free slot.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// The endpoint.
    pub vm: VmId,
    /// Requests in flight.
    pub busy: u32,
    /// Slots of the endpoint.
    pub slots: u32,
    /// Whether it is in the caller's zone.
    pub same_zone: bool,
    /// Smoothed time of an answer.
    pub latency: Duration,
    /// Smoothed share of failures, 0 to 1.
    pub failure_rate: f64,
}

/// A routing policy plug-in: chooses an endpoint for a request.
#[derive(Clone, Copy, Debug)]
pub struct RoutingPolicy {
    /// Name in the bundle.
    pub name: &'static str,
    /// Returns the index of the chosen load; `turn` counts the decisions of the router.
    pub choose: fn(&[EndpointLoad], turn: u64) -> Option<usize>,
}
