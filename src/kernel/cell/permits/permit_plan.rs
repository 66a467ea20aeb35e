use crate::kernel::cell::permits::PermitSkip;

/// Why a step sends a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum PermitRequestKind {
    /// The step has no verdict yet.
    #[display("first")]
    First,
    /// Tickets for granted workers have expired.
    #[display("renewal")]
    Renewal,
    /// The granted workers do not suffice.
    #[display("more_workers")]
    MoreWorkers,
}

/// Whether a step sends a permit request now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitPlan {
    /// Send a request that names the workers in these slots.
    Request(PermitRequestKind, Vec<u32>),
    /// Send none.
    Skip(PermitSkip),
}
