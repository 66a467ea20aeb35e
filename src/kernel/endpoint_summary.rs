use serde::{Deserialize, Serialize};

use crate::prelude::*;

/// An endpoint as the owner of its partition sees it, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSummary {
    /// The endpoint.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// Requests in flight.
    pub busy: u32,
    /// Its slots.
    pub slots: u32,
    /// `live`, `leaving`, `ejected` or `probation`.
    pub state: String,
}
