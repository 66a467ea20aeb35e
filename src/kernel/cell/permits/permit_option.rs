/// A worker that a permit request of a step may name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitOption {
    /// Slot of the worker.
    pub slot: u32,
    /// Whether the advisor has granted the worker before; otherwise there is no verdict on it. Denied workers
    /// are no options.
    pub granted: bool,
    /// Whether the step has a ticket for the worker that outlives a new request.
    pub ticketed: bool,
    /// Tasks of the step that fit now.
    pub fitting_now: u32,
    /// Tasks of the step that are expected to fit soon after the answer to a new request.
    pub fitting_soon: u32,
    /// Tasks of the step that are expected to fit by the time at which the tickets of a new request expire.
    pub fitting_later: u32,
    /// Tasks of the step that fit on the worker when it is empty.
    pub fitting_empty: u32,
}
