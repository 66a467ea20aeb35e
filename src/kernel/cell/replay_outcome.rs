/// Effect of a replayed record on the state of a new owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplayOutcome {
    /// The record was applied.
    Applied,
    /// The job of the record is unknown, for example as its submission has expired.
    UnknownJob,
    /// The job of the record is closed, so that none of its tasks starts again.
    ClosedJob,
    /// The job is open, but the step or its occurrence is unknown. The run of the record may start again.
    UnknownStep,
}
