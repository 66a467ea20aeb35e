use crate::kernel::connections::ClientLimits;
use crate::prelude::*;

/// Expected response time of a permit request to the placement advisor, and validity of the permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRule {
    /// Time that the advisor takes for one request.
    pub decision_time: Duration,
    /// Additional time for each worker that the request names.
    pub time_per_worker: Duration,
    /// How long a permit is valid.
    pub validity: Duration,
}

impl PermitRule {
    /// Returns the time that the advisor takes for a request that names `workers` workers.
    #[must_use]
    pub fn decision_time_for(&self, workers: usize) -> Duration {
        self.decision_time + self.time_per_worker * u32::try_from(workers).unwrap_or(u32::MAX)
    }
}

/// Configuration of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRule {
    /// Service whose workers run the tasks of the queue.
    pub service: ServiceId,
    /// Priority of the queue, 0 first. It decides within a class of steps, see
    /// [`StepClass`](crate::kernel::cell::StepClass).
    pub priority: u32,
    /// Failed attempts of a task or gang after which its job fails.
    pub max_attempts: u32,
    /// Factor on the estimated critical path of a job, for the part of the latency objective that grows with
    /// its work.
    pub stretch: f64,
    /// Fixed part of the latency objective.
    pub target: Duration,
    /// Rule for the permits that starts need; `None` if they need none.
    pub permits: Option<PermitRule>,
    /// Whether callers may submit jobs without a key.
    pub open_to_all: bool,
    /// Host name under which callers reach the queue.
    pub host: Arc<str>,
    /// Prefix of the paths under which callers reach the queue.
    pub prefix: Arc<str>,
}

impl QueueRule {
    /// Returns the latency objective of a job with this critical path, counted from the time at which it is due.
    #[must_use]
    pub fn objective(&self, critical_path: Duration) -> Duration {
        let stretched = Duration::try_from_secs_f64(critical_path.as_secs_f64() * self.stretch);
        self.target.saturating_add(stretched.unwrap_or_default())
    }
}

/// Configuration of a team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Configured weight of the team: its submission rate in jobs per second, above which jobs rank behind those
    /// of other teams, and its weight in the comparison of shares.
    pub weight: u32,
    /// Limit on the resources of the team's running tasks; a dimension of 0 has no limit.
    pub limit: ResourceVector,
}

/// Configuration of a cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellConfig {
    /// Version of the configuration; a higher one replaces a lower one.
    pub version: BundleVersion,
    /// Queues by name.
    pub queues: FastMap<QueueId, QueueRule>,
    /// Teams by name.
    pub teams: FastMap<TeamId, TeamRule>,
    /// Teams by the key that callers present.
    pub keys: FastMap<Arc<str>, TeamId>,
    /// Limits on each connection of a client.
    pub client_limits: ClientLimits,
}

impl CellConfig {
    /// Returns the queue that a call reaches: the one of the host with the longest matching path prefix.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<(&QueueId, &QueueRule)> {
        let matching = |rule: &QueueRule| &*rule.host == host && path.starts_with(&*rule.prefix);
        let queues = self.queues.iter().filter(|(_, rule)| matching(rule));
        queues.max_by_key(|(_, rule)| rule.prefix.len())
    }
}
