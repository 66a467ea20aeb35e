use crate::platform::WorkerAction;

/// What a call asks of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// The worker reports its runs, and its lease is renewed.
    Poll,
    /// A task starts.
    Start,
    /// A run is stopped.
    Stop,
}

impl From<&WorkerAction> for CallKind {
    fn from(action: &WorkerAction) -> Self {
        match action {
            WorkerAction::Start(..) => Self::Start,
            WorkerAction::Stop(..) => Self::Stop,
            WorkerAction::Report(_) => Self::Poll,
        }
    }
}

/// Delays the calls of some time.
#[derive(Clone, Copy, Debug)]
pub struct CallDelay {
    /// For how many milliseconds calls are delayed that are sent.
    pub for_ms: u64,
    /// By how much; `None` lets them be carried out at once and not be answered.
    pub delay_ms: Option<u64>,
    /// Which calls are delayed; `None` for all.
    pub kind: Option<CallKind>,
    /// Whether later calls are carried out first.
    pub reversed: bool,
}
