/// What a step needs permits for, and how it stands among the other waiting steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PermitDemand {
    /// Tasks that wait for a start.
    pub missing: u32,
    /// Tasks that a further request should start at least so that it is worth its decision time.
    pub worthwhile_tasks: u32,
    /// Whether the tasks start only all together.
    pub gang: bool,
    /// Number of workers on which the step has a verdict.
    pub verdicts: usize,
    /// Whether a request for a small part of the waiting tasks is worth its decision time.
    pub accepts_small_batch: bool,
    /// Whether the step asks for verdicts whether or not room is expected, so that room can be reserved or freed
    /// for it on workers that are known to be granted.
    pub asks_early: bool,
    /// Number of the step among the blocked ones with the same demand in this pass, from 1.
    pub position: usize,
    /// Number of tasks like those of the step that would take up the room which steps before it in the pass
    /// wait for.
    pub claimed_tasks: u64,
    /// Number of renewals since a task of the step last started.
    pub unused_renewals: u32,
    /// Share of the named workers that the advisor grants in the queue of the step.
    pub grant_rate: f64,
}
