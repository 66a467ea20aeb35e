use serde::{Deserialize, Serialize};

use crate::kernel::cell::{
    CellJob, CellState, CopyKeeper, GraphSpec, JobStatus, OccurrenceState, PlacementPhase, StepKey,
    StepState, TaskKey, TaskPlacement,
};
use crate::prelude::*;

/// State of a job that a new owner needs, recorded before the store drops the earlier records of the job.
///
/// Backoffs, the numbers of preemptions and slow restarts, permits and averages of run times are left
/// out; they start anew.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSnapshot {
    /// The job as it was submitted.
    pub spec: Arc<GraphSpec>,
    /// State of the job as callers see it.
    pub status: JobStatus,
    /// Whether the team was above its submission rate when it submitted the job.
    pub excess: bool,
    /// Number of the next occurrence to become due.
    pub next_occurrence: u32,
    /// Occurrences that have become due, without the complete ones that were dropped.
    pub occurrences: Vec<OccurrenceSnapshot>,
    /// Current runs of placed tasks, with their workers.
    pub placed: Vec<(TaskKey, RunNumber, WorkerId)>,
    /// The runs beside the current run of their task, with their workers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub copies: Vec<(TaskKey, RunNumber, WorkerId)>,
}

/// State of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceSnapshot {
    /// Number of the occurrence, from 0.
    pub number: u32,
    /// State of its steps, in the order of the specification.
    pub steps: Vec<StepSnapshot>,
}

/// State of one step of an occurrence; tasks that were never started are left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSnapshot {
    /// Indices of the tasks that are done.
    pub done: Vec<u32>,
    /// Tasks that were started and are not done.
    pub begun: Vec<TaskSnapshot>,
    /// Number of failed attempts of the whole gang, and the run number of the last one.
    pub gang_failures: (u32, RunNumber),
}

/// State of a task that was started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSnapshot {
    /// Index of the task in its step.
    pub index: u32,
    /// Number of its last run.
    pub last_run: RunNumber,
    /// Number of failed attempts.
    pub failures: u32,
    /// Newest checkpoint; `None` if the task has written none.
    pub checkpoint: Option<CheckpointId>,
}

impl JobSnapshot {
    /// Returns the snapshot of a job in its present state.
    #[must_use]
    pub fn of(state: &CellState, job: &CellJob) -> Self {
        if job.status.is_final() && job.placed == 0 {
            return Self::of_closed(job);
        }
        let occurrences = job.occurrences.iter();
        let occurrences = occurrences.map(|(number, occurrence)| OccurrenceSnapshot {
            number: *number,
            steps: occurrence.steps.iter().map(StepSnapshot::of).collect(),
        });
        let placed = if job.placed > 0 { placed_runs(state, job) } else { Vec::new() };
        let copies = if job.placed > 0 { copies(state, job) } else { Vec::new() };
        Self {
            spec: job.spec.clone(),
            status: job.status,
            excess: job.excess,
            next_occurrence: job.next_occurrence,
            occurrences: occurrences.collect(),
            placed,
            copies,
        }
    }

    /// Returns the snapshot of a closed job without runs, of which only the state is asked for. It has neither
    /// steps nor a payload, as most of the jobs that are recorded again are closed.
    fn of_closed(job: &CellJob) -> Self {
        Self {
            spec: job.spec.without_steps().into(),
            status: job.status,
            excess: job.excess,
            next_occurrence: job.next_occurrence,
            occurrences: Vec::new(),
            placed: Vec::new(),
            copies: Vec::new(),
        }
    }

    /// Replaces the state of the job. `slot_of` returns the slot of a worker and adds workers that are not
    /// listed.
    pub fn restore(
        self,
        state: &mut CellState,
        mut slot_of: impl FnMut(&mut CellState, WorkerId) -> u32,
        now: Instant,
    ) {
        let id = self.spec.id.clone();
        state.remove_job(&id, now);
        let mut job = CellJob::new(self.spec.clone(), now, self.excess, state.partition_bound.position());
        job.status = self.status;
        job.closed_at = self.status.is_final().then_some(now);
        job.next_occurrence = self.next_occurrence;
        let restored = self.occurrences.into_iter().map(|occurrence| {
            let steps = self.spec.steps.iter().zip(occurrence.steps);
            let steps = steps.map(|(step, step_snapshot)| step_snapshot.restore(step.tasks)).collect();
            (occurrence.number, OccurrenceState { steps })
        });
        job.occurrences = restored.collect();
        let numbers: Vec<u32> = job.occurrences.keys().copied().collect();
        state.jobs.insert(id.clone(), job);
        for number in numbers {
            state.enqueue_ready_steps(&id, number, now);
        }
        // The current run of a task is added last, so that no copy takes its place.
        for (task, run, worker) in self.copies {
            let slot = slot_of(state, worker);
            state.add_placement(&task, TaskPlacement::new(slot, run, PlacementPhase::Inherited, now));
            CopyKeeper { state, now }.demote(&task);
            state.requeue(&task);
        }
        for (task, run, worker) in self.placed {
            let slot = slot_of(state, worker);
            state.add_placement(&task, TaskPlacement::new(slot, run, PlacementPhase::Inherited, now));
        }
    }
}

impl StepSnapshot {
    fn of(step: &StepState) -> Self {
        let mut snapshot = Self { gang_failures: step.gang_failures, ..Self::default() };
        for (index, task) in (0u32..).zip(step.tasks.begun()) {
            if task.done {
                snapshot.done.push(index);
            } else if task.last_run > 0 {
                let (last_run, failures) = (task.last_run, task.failures);
                snapshot.begun.push(TaskSnapshot {
                    index,
                    last_run,
                    failures,
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
        snapshot
    }

    fn restore(self, tasks: u32) -> StepState {
        let mut step = StepState::new(tasks);
        step.gang_failures = self.gang_failures;
        for index in self.done {
            if let Some(task) = step.tasks.get_mut(index) {
                task.done = true;
                step.waiting.remove(index);
                step.remaining = step.remaining.saturating_sub(1);
            }
        }
        for begun in self.begun {
            if let Some(task) = step.tasks.get_mut(begun.index) {
                (task.last_run, task.failures) = (begun.last_run, begun.failures);
                task.checkpoint = begun.checkpoint;
            }
        }
        step
    }
}

/// Returns the runs of a job beside the current run of their task.
fn copies(state: &CellState, job: &CellJob) -> Vec<(TaskKey, RunNumber, WorkerId)> {
    let copies = state.copies.iter().filter(|((task, _), _)| task.step.job == job.spec.id);
    let copies = copies.filter_map(|((task, run), placement)| {
        Some((task.clone(), *run, state.worker(placement.slot)?.listing.worker.clone()))
    });
    copies.collect()
}

fn placed_runs(state: &CellState, job: &CellJob) -> Vec<(TaskKey, RunNumber, WorkerId)> {
    let mut placed = Vec::new();
    for (occurrence, occurrence_state) in &job.occurrences {
        for (step, step_state) in (0u32..).zip(&occurrence_state.steps) {
            let key = StepKey { job: job.spec.id.clone(), occurrence: *occurrence, step };
            for index in step_state.tasks.begun_indices() {
                let task = key.task(index);
                let Some(placement) = state.placements.get(&task) else { continue };
                let Some(worker) = state.worker(placement.slot) else { continue };
                placed.push((task, placement.run, worker.listing.worker.clone()));
            }
        }
    }
    placed
}
