use crate::prelude::*;

/// Load of one endpoint that can take a request, as input of a routing policy.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointLoad {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Number of attempts of this router in flight.
    pub busy: u32,
    /// Number of requests that the endpoint works on at once.
    pub slots: u32,
    /// Whether the endpoint is in the zone of the entry process that received the request.
    pub same_zone: bool,
    /// Smoothed time to an answer; zero before the first one.
    pub latency: Duration,
    /// Smoothed fraction of attempts that failed, 0 to 1.
    pub failure_rate: f64,
}

/// A routing policy plug-in: chooses an endpoint for a request.
#[derive(Clone, Copy, Debug)]
pub struct RoutingPolicy {
    /// Name by which a bundle selects the policy for a service.
    pub name: &'static str,
    /// Returns the index of the chosen endpoint, `None` if there are none; `attempt` is the number of the
    /// attempt to start, by which a policy can rotate.
    pub choose: fn(&[EndpointLoad], attempt: u64) -> Option<usize>,
}
