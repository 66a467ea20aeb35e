/// Class of a waiting step. A step of an earlier class starts before each step of a later one, whatever their
/// priorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum StepClass {
    /// A task of a long-running step has run before and has to be back soon.
    #[display("restart")]
    Restart,
    /// The job is still of use to its caller, or its run time is not known.
    #[display("useful")]
    Useful,
    /// The job was submitted above the rate of its team.
    #[display("excess")]
    Excess,
    /// The job will be too late to be of use. It still has to end, in room that no other step can use.
    #[display("expired")]
    Expired,
}
