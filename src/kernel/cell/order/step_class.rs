/// Class of a waiting step. A step of an earlier class starts before each step of a later one, whatever their
/// priorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StepClass {
    /// A task of a long-running step has run before and has to be back soon.
    Restart,
    /// The job is still of use to its caller, or its run time is not known.
    Useful,
    /// The job was submitted above the rate of its team.
    Excess,
    /// The job will be too late to be of use. It still has to end, in room that no other step can use.
    Expired,
}
