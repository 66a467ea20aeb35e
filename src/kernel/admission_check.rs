use crate::kernel::{FrontRequest, RequestRefusal};
use crate::prelude::*;

/// An admission check plug-in. The registered checks run in the order of their rank, and all must pass.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCheck {
    /// Unique name, for log messages; orders checks of the same rank.
    pub name: &'static str,
    /// Checks with a lower rank run first.
    pub rank: u32,
    /// Returns the refusal of a request under the bundle in force, `None` if the check passes.
    pub check: fn(&FrontRequest, &PolicyBundle) -> Option<RequestRefusal>,
}
