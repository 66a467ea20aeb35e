/// Which callers do not reach a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutSide {
    /// No caller does.
    All,
    /// The newest owner.
    Newest,
    /// Former owners.
    Former,
}
