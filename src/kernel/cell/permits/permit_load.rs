use crate::kernel::cell::{StepKey, StepRank};
use crate::prelude::*;

/// Part of the processes that long-running steps and gangs may keep busy whatever else asks, as a divisor.
const ASSURED_DIVISOR: usize = 8;

/// A permit request without an answer.
#[derive(Clone, Copy, Debug)]
struct OpenPermitRequest {
    rank: StepRank,
    assured: bool,
    decision_time: Duration,
}

/// Permit requests without an answer, and the processes that send them to the advisor.
#[derive(Clone, Debug, Default)]
pub struct PermitLoad {
    open: FastMap<StepKey, OpenPermitRequest>,
    proxies: usize,
}

impl PermitLoad {
    /// Returns how many of `proxies` processes long-running steps and gangs may keep busy, at least one.
    #[must_use]
    pub fn assured_share(proxies: usize) -> usize {
        (proxies / ASSURED_DIVISOR).max(1)
    }

    /// Sets the number of processes that send requests.
    pub const fn set_proxies(&mut self, proxies: usize) {
        self.proxies = proxies;
    }

    /// Returns the number of processes that send requests.
    #[must_use]
    pub const fn proxies(&self) -> usize {
        self.proxies
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Whether more than half of the processes have a request.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.open.len() * 2 > self.proxies
    }

    /// Returns the decision time of all open requests.
    #[must_use]
    pub fn open_decision_time(&self) -> Duration {
        self.open.values().map(|request| request.decision_time).sum()
    }

    /// Adds the request of a step. `assured` is set for long-running steps and gangs.
    pub fn add(&mut self, key: &StepKey, rank: StepRank, assured: bool, decision_time: Duration) {
        self.open.insert(key.clone(), OpenPermitRequest { rank, assured, decision_time });
    }

    /// Removes the request of a step after its answer or its failure.
    pub fn remove(&mut self, key: &StepKey) {
        self.open.remove(key);
    }

    /// Returns how long a new request is expected to wait until a process sends it.
    #[must_use]
    pub fn expected_wait(&self, rank: StepRank, assured: bool) -> Duration {
        let proxies = self.proxies.max(1);
        if self.open.len() < proxies {
            return Duration::ZERO;
        }
        if assured
            && self.open.values().filter(|request| request.assured).count() < Self::assured_share(proxies)
        {
            return Duration::ZERO;
        }
        let before = self.open.values().filter(|request| request.rank <= rank);
        let (count, decision_time) = before.fold((0, Duration::ZERO), |(count, sum), request| {
            (count + 1_usize, sum + request.decision_time)
        });
        // As many requests as there are processes are being decided on; only the others have to wait.
        let queued = u32::try_from(count.saturating_sub(proxies)).unwrap_or(u32::MAX);
        let mean = decision_time / u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        mean * queued / u32::try_from(proxies).unwrap_or(u32::MAX)
    }
}
