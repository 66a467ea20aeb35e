use crate::prelude::*;

/// CPU limit of a process in thousandths of a core.
pub type Millicores = u64;
/// Identifies a proxy, which is a process that sends permit requests to the advisor on behalf of the owner;
/// unique within the owner's process.
pub type ProxyNumber = u64;

/// CPU limit below which an owner hands the cell over to a process with at least `MIN_HANDOVER_CPU_RATIO`
/// times its limit.
pub const MIN_OWNER_MILLICORES: Millicores = 250;
/// Minimum ratio of CPU limits at which a handover makes up for the pause that it causes.
const MIN_HANDOVER_CPU_RATIO: u64 = 2;
/// Minimum length of a term that ends by a handover, so that a process that cannot claim does not cause one
/// handover after another.
const MIN_TERM_BEFORE_HANDOVER: Duration = Duration::from_secs(4);

/// Decides when an owner with a low CPU limit hands the cell over to a process with a sufficiently higher
/// one.
#[derive(Clone, Debug)]
pub struct HandoverWatch {
    own_cpu_limit: Millicores,
    term_started_at: Option<Instant>,
    proxies: FastMap<ProxyNumber, Millicores>,
}

impl HandoverWatch {
    /// Returns the watch of a process with the CPU limit `own_cpu_limit`.
    #[must_use]
    pub fn new(own_cpu_limit: Millicores) -> Self {
        Self { own_cpu_limit, term_started_at: None, proxies: FastMap::default() }
    }

    /// Records that a term of this process begins.
    pub fn note_term(&mut self, now: Instant) {
        self.term_started_at = Some(now);
        self.proxies.clear();
    }

    /// Records that a process reaches this owner, and the CPU limit of that process.
    pub fn add_proxy(&mut self, proxy: ProxyNumber, cpu_limit: Millicores) {
        self.proxies.insert(proxy, cpu_limit);
    }

    /// Records that a process no longer reaches this owner.
    pub fn remove_proxy(&mut self, proxy: ProxyNumber) {
        self.proxies.remove(&proxy);
    }

    /// Whether the owner should end its term now so that another process claims the cell.
    #[must_use]
    pub fn should_hand_over(&self, now: Instant) -> bool {
        let Some(term_started_at) = self.term_started_at else { return false };
        self.own_cpu_limit < MIN_OWNER_MILLICORES
            && now.saturating_duration_since(term_started_at) >= MIN_TERM_BEFORE_HANDOVER
            && self
                .proxies
                .values()
                .any(|cpu_limit| *cpu_limit >= self.own_cpu_limit * MIN_HANDOVER_CPU_RATIO)
    }
}
