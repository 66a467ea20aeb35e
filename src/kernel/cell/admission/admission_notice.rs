use crate::kernel::cell::admission::QueueWait;

/// What the owner of the cell tells all processes about long waits. A queue or team that it does not name has
/// no long wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionNotice {
    /// The long waits.
    pub waits: Vec<QueueWait>,
}
