use godwithaven_standins::platform::{CallDelay, CutSide};

/// How a term ends, and how the next owner takes over.
#[derive(Clone, Copy, Debug)]
pub enum OwnerChange {
    /// The owner is killed, if this is set after it has stored so many records more; the records of the same
    /// moment that follow are lost.
    Kill {
        stores_left: Option<usize>,
        takeover_ms: u64,
    },
    /// The owner loses the store and goes on for this time beside the next one.
    Depose {
        for_ms: u64,
    },
    Release {
        takeover_ms: u64,
    },
}

/// One fault, or the submission of work.
#[derive(Clone, Copy, Debug)]
pub enum LifeAction {
    Submit {
        tasks: u32,
        run_ms: u64,
    },
    /// Delays calls to the troubled worker.
    Delay(CallDelay),
    /// The troubled worker ends, and starts again after `dark_ms` with a clock that differs from the former one by
    /// `clock_ms`, and with its wall clock set by `wall_ms`. With `resets`, its callers are told at once.
    Restart {
        dark_ms: u64,
        clock_ms: i64,
        wall_ms: i64,
        listed_after_ms: u64,
        resets: bool,
    },
    Cut {
        for_ms: u64,
        side: CutSide,
    },
    Replace(OwnerChange),
    /// The troubled worker is listed at another address.
    Move {
        listed_after_ms: u64,
    },
}

/// Kinds of moments at which the decisions are known to be wrong; those that are not set are left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenMoments {
    /// A call for a former incarnation acknowledges the end of a run whose start was meant for a former incarnation
    /// too, and no record says that it has ended.
    pub restarts_with_open_starts: bool,
    /// A start is carried out by an incarnation that began after a report had proved the run absent.
    pub restarts_after_proofs: bool,
    /// A start is carried out by an incarnation of which the owner did not know when the lease of the worker, and with
    /// it the run, counted as ended.
    pub unknown_restarts: bool,
}

/// The faults of one case, each with the time since the one before it, and the clocks.
#[derive(Clone, Debug)]
pub struct LifeCase {
    pub moments: OpenMoments,
    /// Rate of the troubled worker's clock in thousandths of the true one.
    pub clock_rate: u32,
    /// By how many milliseconds the wall clocks of the troubled worker and of the owners are ahead.
    pub wall_ms: [i64; 4],
    pub actions: Vec<(u64, LifeAction)>,
}
