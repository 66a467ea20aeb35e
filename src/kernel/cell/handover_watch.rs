use crate::prelude::*;

/// Processor time of a process in thousandths of a core.
pub type Millicores = u64;
/// Number of a process that asks the advisor for the owner, unique within the owner's process.
pub type ProxyNumber = u64;

/// Processor time below which an owner hands the cell over to a process with more.
pub const MIN_OWNER_MILLICORES: Millicores = 250;
/// How many times as much processor time makes up for the pause that a change of the owner brings.
const HANDOVER_FACTOR: u64 = 2;
/// Shortest term that ends by a handover, so that a process that cannot claim does not cause one after another.
const SHORTEST_TERM: Duration = Duration::from_secs(4);

/// Says when a process with little processor time should hand the cell over to one with more.
#[derive(Clone, Debug)]
pub struct HandoverWatch {
    own: Millicores,
    term: Option<Instant>,
    proxies: FastMap<ProxyNumber, Millicores>,
}

impl HandoverWatch {
    /// Returns the watch of a process with this processor time.
    #[must_use]
    pub fn new(own: Millicores) -> Self {
        Self { own, term: None, proxies: FastMap::default() }
    }

    /// Notes that a term of this process begins.
    pub fn note_term(&mut self, now: Instant) {
        self.term = Some(now);
        self.proxies.clear();
    }

    /// Notes a process that reaches this owner.
    pub fn add_proxy(&mut self, proxy: ProxyNumber, cpu_limit: Millicores) {
        self.proxies.insert(proxy, cpu_limit);
    }

    /// Notes that a process no longer reaches this owner.
    pub fn remove_proxy(&mut self, proxy: ProxyNumber) {
        self.proxies.remove(&proxy);
    }

    /// Whether the term should end now so that another process claims the cell.
    #[must_use]
    pub fn should_hand_over(&self, now: Instant) -> bool {
        let Some(term) = self.term else { return false };
        self.own < MIN_OWNER_MILLICORES
            && now.saturating_duration_since(term) >= SHORTEST_TERM
            && self.proxies.values().any(|cpu_limit| *cpu_limit >= self.own * HANDOVER_FACTOR)
    }
}
