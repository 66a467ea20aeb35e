//! Checks promises against what workers and callers saw; knows nothing of the implementation.

use std::time::Instant;

use rustc_hash::FxHashMap;

/// Something that happened to a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkEvent {
    /// The task started.
    Started {
        /// Its team.
        team: String,
        /// Millicores, MiB and accelerators.
        need: [u64; 3],
    },
    /// The task ended; holds how.
    Ended(String),
}

/// One event with worker, task and time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkRecord {
    /// The worker.
    pub vm: String,
    /// The task with its attempt.
    pub task: String,
    /// What happened.
    pub event: WorkEvent,
    /// When it happened.
    pub at: Instant,
}

impl WorkRecord {
    /// Returns a record of this moment.
    #[must_use]
    pub fn new(vm: &str, task: &str, event: WorkEvent) -> Self {
        Self { vm: vm.into(), task: task.into(), event, at: Instant::now() }
    }
}

/// What the checker needs to know of the world.
#[derive(Clone, Debug, Default)]
pub struct WorldFacts {
    /// Capacity of each worker.
    pub capacity: FxHashMap<String, [u64; 3]>,
    /// Zone of each worker.
    pub zones: FxHashMap<String, String>,
    /// Upper limit of each team.
    pub limits: FxHashMap<String, [u64; 3]>,
    /// Times in which no task may start in a zone.
    pub closed: Vec<(String, Instant, Instant)>,
}

/// Counts of broken promises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BrokenPromises {
    /// Starts that took a worker over its capacity.
    pub over_capacity: u32,
    /// Starts that took a team over its upper limit.
    pub over_limit: u32,
    /// Starts of a task that ran already.
    pub doubled: u32,
    /// Starts in a zone that was out.
    pub started_in_closed_zone: u32,
}

/// Replays the records and counts broken promises.
#[must_use]
pub fn check(records: &[WorkRecord], facts: &WorldFacts) -> BrokenPromises {
    let mut broken = BrokenPromises::default();
    let mut running: FxHashMap<&str, (&WorkRecord, &str, [u64; 3])> = FxHashMap::default();
    let mut vm_use: FxHashMap<&str, [u64; 3]> = FxHashMap::default();
    let mut team_use: FxHashMap<&str, [u64; 3]> = FxHashMap::default();
    for record in records {
        let name = record.task.rsplit_once('@').map_or(record.task.as_str(), |(name, _)| name);
        match &record.event {
            WorkEvent::Started { team, need } => {
                broken.doubled += u32::from(running.insert(name, (record, team, *need)).is_some());
                let used = add(vm_use.entry(&record.vm).or_default(), need);
                let capacity = facts.capacity.get(&record.vm).copied().unwrap_or_default();
                broken.over_capacity += u32::from(exceeds(used, capacity));
                let used = add(team_use.entry(team).or_default(), need);
                let limit = facts.limits.get(team).copied().unwrap_or_default();
                broken.over_limit += u32::from(exceeds(used, limit));
                broken.started_in_closed_zone += u32::from(in_closed_zone(record, facts));
            }
            WorkEvent::Ended(_) => {
                if let Some((start, team, need)) = running.remove(name) {
                    subtract(vm_use.entry(&start.vm).or_default(), &need);
                    subtract(team_use.entry(team).or_default(), &need);
                }
            }
        }
    }
    broken
}

fn in_closed_zone(record: &WorkRecord, facts: &WorldFacts) -> bool {
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
