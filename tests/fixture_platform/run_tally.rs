//! A tally of the runs on the workers of a stand-in platform.

use godwithaven::prelude::{FastMap, FastSet};
use godwithaven_standins::platform::WorkerEvent;
use tokio::sync::mpsc;

/// Number of tasks with one core each that fit on a worker.
const MAX_WORKER_TASKS: usize = 8;

/// Worker, task and run number of a run.
type RunKey = (String, String, u64);

/// A start of a task that was running elsewhere or had ended as done.
#[derive(Debug)]
pub struct DuplicateStart {
    pub run: RunKey,
    /// Whether another run of the task was going on.
    pub overlaps: bool,
    /// The earlier ends of the task as done, except those whose lease expired before their acknowledgement.
    pub done_before: Vec<RunKey>,
}

/// Tally of the runs on all workers so far.
///
/// An end as done that is acknowledged stands for good, and so does one that is not acknowledged yet. Only if
/// the lease of the worker expires, or the worker restarts, before the acknowledgement may the task start again.
#[derive(Debug, Default)]
pub struct RunTally {
    /// Starts of tasks that were running or done.
    pub duplicated: Vec<DuplicateStart>,
    /// Workers that ran more tasks than fit on them.
    pub overloaded: Vec<String>,
    /// Number of runs that started.
    pub starts: usize,
    /// Tasks that have ended as done at least once.
    pub done: FastSet<String>,
    /// All events in their order.
    pub events: Vec<WorkerEvent>,
    /// Ends as done that keep a task from starting again, by task.
    valid_ends: FastMap<String, Vec<RunKey>>,
    /// Ends as done that are not acknowledged, by worker.
    unacknowledged: FastMap<String, Vec<RunKey>>,
    /// Number of runs of each task at present.
    running_by_task: FastMap<String, u32>,
    /// Number of running tasks on each worker.
    running_by_worker: FastMap<String, usize>,
}

impl RunTally {
    /// Returns the tally of all events so far.
    pub fn of(events: &mut mpsc::UnboundedReceiver<WorkerEvent>) -> Self {
        let mut tally = Self::default();
        tally.add_events(events);
        tally
    }

    /// Adds the events that have arrived since.
    pub fn add_events(&mut self, events: &mut mpsc::UnboundedReceiver<WorkerEvent>) {
        while let Ok(event) = events.try_recv() {
            self.events.push(event.clone());
            match event {
                WorkerEvent::Started(worker, task, run) => self.record_start((worker, task, run)),
                WorkerEvent::Ended(worker, task, run, done) => self.record_end((worker, task, run), done),
                WorkerEvent::Acknowledged(worker, task, run) => {
                    let open = self.unacknowledged.entry(worker.clone()).or_default();
                    open.retain(|end| *end != (worker.clone(), task.clone(), run));
                }
                // Ends that a worker has lost cannot be acknowledged any more either.
                WorkerEvent::Lapsed(worker) | WorkerEvent::Restarted(worker) => self.record_lapse(&worker),
            }
        }
    }

    /// Returns whether a start was recorded that counts as duplicated unless a lease expires before an end is
    /// acknowledged.
    pub fn is_undecided(&self) -> bool {
        let mut open = self.unacknowledged.values().flatten();
        open.any(|end| self.duplicated.iter().any(|start| start.done_before.contains(end)))
    }

    fn record_start(&mut self, run: RunKey) {
        let (worker, task, _) = run.clone();
        self.starts += 1;
        let count = self.running_by_task.entry(task.clone()).or_default();
        *count += 1;
        let overlaps = *count > 1;
        let done_before = self.valid_ends.get(&task).cloned().unwrap_or_default();
        if overlaps || !done_before.is_empty() {
            self.duplicated.push(DuplicateStart { run, overlaps, done_before });
        }
        let task_count = self.running_by_worker.entry(worker.clone()).or_default();
        *task_count += 1;
        if *task_count > MAX_WORKER_TASKS {
            self.overloaded.push(worker);
        }
    }

    fn record_end(&mut self, run: RunKey, done: bool) {
        let (worker, task, _) = run.clone();
        self.running_by_task.entry(task.clone()).and_modify(|count| *count -= 1);
        self.running_by_worker.entry(worker.clone()).and_modify(|count| *count -= 1);
        if done {
            self.done.insert(task.clone());
            self.valid_ends.entry(task).or_default().push(run.clone());
            self.unacknowledged.entry(worker).or_default().push(run);
        }
    }

    /// Drops the ends of a worker whose lease expired before their acknowledgement.
    fn record_lapse(&mut self, worker: &str) {
        for end in self.unacknowledged.remove(worker).unwrap_or_default() {
            self.valid_ends.entry(end.1.clone()).and_modify(|ends| ends.retain(|valid| *valid != end));
            for start in &mut self.duplicated {
                start.done_before.retain(|valid| *valid != end);
            }
        }
        self.duplicated.retain(|start| start.overlaps || !start.done_before.is_empty());
    }
}
