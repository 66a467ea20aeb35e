use crate::prelude::*;

/// How long the placement advisor needs and how long its permits hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRule {
    /// Time of one question.
    pub decision: Duration,
    /// Further time for each worker that the question names.
    pub per_worker: Duration,
    /// How long a permit holds.
    pub validity: Duration,
}

/// What the configuration says of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRule {
    /// The service whose workers run the tasks.
    pub service: ServiceId,
    /// Order before fairness applies, 0 first.
    pub priority: u32,
    /// Failed attempts after which a task is given up.
    pub max_attempts: u32,
    /// Part of the latency objective that grows with the work of a job.
    pub stretch: f64,
    /// Fixed part of the latency objective.
    pub target: Duration,
    /// Permits that starts need; `None` if they need none.
    pub permits: Option<PermitRule>,
    /// Whether jobs need no key.
    pub open: bool,
    /// Host name by which callers reach the queue.
    pub host: Arc<str>,
    /// Prefix of the paths by which callers reach the queue.
    pub prefix: Arc<str>,
}

/// What the configuration says of a team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Share when the fleet is full, and jobs per second that are owed service.
    pub weight: u32,
    /// Most that the team may have running; a dimension of 0 has no limit.
    pub limit: ResourceVector,
}

/// The configuration of a cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellConfig {
    /// Version; a higher one replaces a lower one.
    pub version: BundleVersion,
    /// Queues by name.
    pub queues: FastMap<QueueId, QueueRule>,
    /// Teams by name.
    pub teams: FastMap<TeamId, TeamRule>,
    /// Teams by key.
    pub keys: FastMap<Arc<str>, TeamId>,
}

impl CellConfig {
    /// Returns the queue that a call reaches, the one with the longest matching prefix.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<(&QueueId, &QueueRule)> {
        let matching = |rule: &QueueRule| &*rule.host == host && path.starts_with(&*rule.prefix);
        let queues = self.queues.iter().filter(|(_, rule)| matching(rule));
        queues.max_by_key(|(_, rule)| rule.prefix.len())
    }
}
