use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// State of an endpoint in the view of the owner of its partition, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// VM of the endpoint.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Number of requests that the owner has in flight on the endpoint.
    pub busy: u32,
    /// Number of requests that the endpoint works on at once.
    pub slots: u32,
    /// `live`, `leaving`, `ejected` or `probation`.
    pub state: String,
}
