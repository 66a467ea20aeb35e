use crate::kernel::{FrontRequest, RequestRefusal};
use crate::prelude::*;

/// An admission check plug-in; all registered checks must pass, in the order of their rank.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCheck {
    /// Name in the log.
    pub name: &'static str,
    /// Checks with a lower rank run first.
    pub rank: u32,
    /// Returns why the request is refused.
    pub check: fn(&FrontRequest, &PolicyBundle) -> Option<RequestRefusal>,
}
