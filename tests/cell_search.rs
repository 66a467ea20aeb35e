//! Tests of the search for workers in cells that are larger than the window of workers that a pass compares.

mod fixture_cell;

use std::time::Duration;

use fixture_cell::{CellDriver, cell_with, config, job, step, submit, worker};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{EndCause, PermitRule, StepSpec, WorkerListing};
use godwithaven::prelude::FastSet;
use googletest::prelude::*;
use proptest::prelude::{Just, Strategy, prop_assert, proptest};
use proptest::sample::select;
use proptest::test_runner::Config;

use WorkerShape::{Capacity, Label, Room, Spread, Victim};

/// Why all workers but one cannot take a task of the step, or why it needs more than a window of workers.
#[derive(Clone, Copy, Debug)]
enum WorkerShape {
    /// Only one worker has the label.
    Label,
    /// Only one worker is large enough.
    Capacity,
    /// Only one worker is idle.
    Room,
    /// The step may have one task on a worker and has a task for each worker.
    Spread,
    /// Only one worker runs a task that the step may preempt.
    Victim,
}

/// Returns a worker with the label `lone` if `is_lone`, otherwise `usual`.
fn labelled_worker(number: usize, is_lone: bool, shape: WorkerShape) -> WorkerListing {
    let label = if is_lone { "lone" } else { "usual" };
    let cores = if is_lone && matches!(shape, Capacity) { 64_000 } else { 8_000 };
    WorkerListing {
        labels: vec![label.into()],
        capacity: ResourceVector::new(cores, 8_192, 4),
        ..worker(&format!("w{number}"))
    }
}

/// Submits tasks with checkpoints, which may be preempted, that fill the workers with a label.
fn fill(driver: &mut CellDriver, id: &str, queue: &str, label: &str, workers: usize) {
    let need = ResourceVector::new(8_000, 100, 0);
    let tasks = u32::try_from(workers).expect("the fleet is small");
    let filler = StepSpec { need, label: Some(label.into()), checkpoints: true, ..step(tasks) };
    submit(driver, job(id, queue, vec![filler]));
}

/// Returns a cell in which only the worker `lone` can take the step that is returned with it.
fn scarce_cell(shape: WorkerShape, advised: bool, workers: usize, lone: usize) -> (CellDriver, StepSpec) {
    let listings = (0..workers).map(|number| labelled_worker(number, number == lone, shape));
    let mut driver = cell_with(config(advised.then(permit_rule)), listings.collect());
    let wanted = match shape {
        Label => StepSpec { label: Some("lone".into()), ..step(1) },
        Capacity => StepSpec { need: ResourceVector::new(9_000, 100, 0), ..step(1) },
        Room => {
            fill(&mut driver, "filler", "urgent", "usual", workers - 1);
            step(1)
        }
        Spread => {
            let tasks = u32::try_from(workers).expect("the fleet is small");
            StepSpec { most_per_worker: Some(1), ..step(tasks) }
        }
        Victim => {
            fill(&mut driver, "filler", "urgent", "usual", workers - 1);
            fill(&mut driver, "victim", "batch", "lone", 1);
            step(1)
        }
    };
    (driver, wanted)
}

/// Returns the rule of an advisor that answers at once.
const fn permit_rule() -> PermitRule {
    PermitRule {
        decision_time: Duration::from_millis(20),
        time_per_worker: Duration::ZERO,
        validity: Duration::from_secs(2),
    }
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, ..Config::default() })]

    /// Guards against jobs that never start because the only worker that can take them is outside the window of
    /// workers that is searched for their step.
    #[test]
    fn a_step_reaches_the_only_worker_that_can_take_it(
        (shape, advised) in select(vec![Label, Capacity, Room, Spread, Victim])
            .prop_flat_map(|shape| (Just(shape), select(vec![false, !matches!(shape, Victim)]))),
        workers in 129_usize..400,
        position in 0_usize..400,
        id in "[a-z]{6}",
    ) {
        let (mut driver, wanted) = scarce_cell(shape, advised, workers, position % workers);

        let served = is_served(&mut driver, &id, wanted);

        prop_assert!(served, "not all tasks have started");
    }

    /// Guards against an urgent step with permits that preempts only among the first workers that the advisor was
    /// asked about.
    #[test]
    fn an_advised_step_preempts_on_the_only_worker_with_a_victim(
        workers in 129_usize..400,
        position in 0_usize..400,
        id in "[a-z]{6}",
    ) {
        let (mut driver, wanted) = scarce_cell(Victim, true, workers, position % workers);

        let served = is_served(&mut driver, &id, wanted);

        prop_assert!(served, "nothing was preempted");
    }
}

/// Submits an urgent job of one step; returns whether all of its tasks start within 16 s, or a task is preempted for
/// them.
fn is_served(driver: &mut CellDriver, id: &str, wanted: StepSpec) -> bool {
    let tasks = wanted.tasks as usize;
    submit(driver, job(id, "urgent", vec![wanted]));
    // Room is reserved in one window for four seconds; 400 workers have four of them.
    for _ in 0..16 {
        driver.advance(1_000);
    }
    let started = driver.started_tasks().into_iter().filter(|task| task.starts_with(id));
    let started: FastSet<String> = started.collect();
    started.len() == tasks || driver.stops.iter().any(|stop| stop.task.to_string() == "victim.0.0.0")
}

/// Guards against a pass whose steps each search all workers although none of them has room.
#[gtest]
fn a_full_cell_still_takes_the_first_room_that_becomes_free() -> Result<()> {
    let (mut driver, _) = scarce_cell(Victim, false, 300, 299);
    submit(&mut driver, job("late", "batch", vec![step(1)]));
    let before = driver.started_tasks().len();

    driver.end("filler.0.0.7", EndCause::Done);

    let started = driver.started_tasks().split_off(before);
    verify_that!(started, elements_are![eq("late.0.0.0")])
}
