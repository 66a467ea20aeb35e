//! Checks scheduling invariants against the events that workers recorded, independently of the
//! implementation.

use std::time::Instant;

use rustc_hash::FxHashMap;

/// Start or end of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEvent {
    /// The task started.
    Started {
        /// Team of the task, whose limit it counts against.
        team: String,
        /// Reserved millicores, MiB of memory and accelerators.
        need: [u64; 3],
    },
    /// The task ended; holds the cause, such as `finished` or `lapsed`.
    Ended(String),
}

/// An event with its worker, task and time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRecord {
    /// Name of the worker's VM.
    pub vm: String,
    /// Task id with its attempt, `NAME@ATTEMPT`.
    pub task: String,
    /// Whether the task started or ended.
    pub event: TaskEvent,
    /// Time at which the worker recorded the event.
    pub at: Instant,
}

impl TaskRecord {
    /// Returns a record with the present time.
    #[must_use]
    pub fn new(vm: &str, task: &str, event: TaskEvent) -> Self {
        Self { vm: vm.into(), task: task.into(), event, at: Instant::now() }
    }
}

/// Capacities, limits and zone closures that [`check`] measures the events against.
#[derive(Clone, Debug, Default)]
pub struct WorldFacts {
    /// Millicores, MiB of memory and accelerators of each worker; a worker that is absent has none.
    pub capacity: FxHashMap<String, [u64; 3]>,
    /// Availability zone of each worker.
    pub zones: FxHashMap<String, String>,
    /// Millicores, MiB of memory and accelerators that each team may use at once; none for a team that is
    /// absent.
    pub limits: FxHashMap<String, [u64; 3]>,
    /// Zones with the start and the end of a period in which no task may start there; the end is excluded.
    pub closed: Vec<(String, Instant, Instant)>,
}

/// Number of violations of each invariant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InvariantViolations {
    /// Task starts that exceeded the capacity of the worker.
    pub over_capacity: u32,
    /// Task starts that exceeded the limit of the team.
    pub over_limit: u32,
    /// Starts of a task that was already running, whatever the attempt.
    pub doubled: u32,
    /// Task starts in a zone while it was closed.
    pub started_in_closed_zone: u32,
}

/// Replays the records, which must be in the order of their times, and counts the invariant violations.
#[must_use]
pub fn check(records: &[TaskRecord], facts: &WorldFacts) -> InvariantViolations {
    let mut violations = InvariantViolations::default();
    let mut running: FxHashMap<&str, (&TaskRecord, &str, [u64; 3])> = FxHashMap::default();
    let mut vm_usage: FxHashMap<&str, [u64; 3]> = FxHashMap::default();
    let mut team_usage: FxHashMap<&str, [u64; 3]> = FxHashMap::default();
    for record in records {
        let name = record.task.rsplit_once('@').map_or(record.task.as_str(), |(name, _)| name);
        match &record.event {
            TaskEvent::Started { team, need } => {
                violations.doubled += u32::from(running.insert(name, (record, team, *need)).is_some());
                let used = add(vm_usage.entry(&record.vm).or_default(), need);
                let capacity = facts.capacity.get(&record.vm).copied().unwrap_or_default();
                violations.over_capacity += u32::from(exceeds(used, capacity));
                let used = add(team_usage.entry(team).or_default(), need);
                let limit = facts.limits.get(team).copied().unwrap_or_default();
                violations.over_limit += u32::from(exceeds(used, limit));
                violations.started_in_closed_zone += u32::from(starts_in_closed_zone(record, facts));
            }
            TaskEvent::Ended(_) => {
                if let Some((start, team, need)) = running.remove(name) {
                    subtract(vm_usage.entry(&start.vm).or_default(), &need);
                    subtract(team_usage.entry(team).or_default(), &need);
                }
            }
        }
    }
    violations
}

fn starts_in_closed_zone(record: &TaskRecord, facts: &WorldFacts) -> bool {
    let Some(zone) = facts.zones.get(&record.vm) else { return false };
    facts.closed.iter().any(|(closed, from, to)| closed == zone && record.at >= *from && record.at < *to)
}

fn add(used: &mut [u64; 3], need: &[u64; 3]) -> [u64; 3] {
    for (used, need) in used.iter_mut().zip(need) {
        *used += need;
    }
    *used
}

fn subtract(used: &mut [u64; 3], need: &[u64; 3]) {
    for (used, need) in used.iter_mut().zip(need) {
        *used -= need;
    }
}

fn exceeds(used: [u64; 3], bound: [u64; 3]) -> bool {
    used.iter().zip(bound).any(|(used, bound)| *used > bound)
}
