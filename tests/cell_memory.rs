//! Tests of the memory that accepted jobs take in the scheduler of a cell before they run.

mod fixture_cell;

use std::alloc::System;

use fixture_cell::{CellDriver, cell, job, step, submit};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::admission::{AdmissionNotice, MemoryBudget, MemoryGate, waiting_bytes};
use godwithaven::kernel::cell::{CellEvent, EndCause, GraphSpec, StepSpec};
use googletest::prelude::*;
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Jobs that a flood of one team brings; the smallest machine that may own a cell has 260 MB.
const FLOOD: usize = 780;
/// Bytes that the flood may take: a quarter of the smallest machine.
const MAX_FLOOD_BYTES: usize = 65_000_000;

/// Number of processes that accept jobs.
const PROCESSES: usize = 6;

/// Returns a step of a long-running task that no worker can hold.
fn lasting() -> StepSpec {
    StepSpec { need: ResourceVector::new(96_000, 100, 0), long_running: true, ..step(1) }
}

/// Submits jobs of 10,000 tasks, of which none fits; returns the bytes that the scheduler has kept for them.
fn flood(driver: &mut CellDriver, spec: impl Fn(usize) -> GraphSpec) -> usize {
    let region = Region::new(ALLOCATOR);
    for number in 0..FLOOD {
        driver.scheduler.handle(CellEvent::Submitted(spec(number).into()), driver.now);
    }
    driver.advance(100);
    let change = region.change();
    change.bytes_allocated.saturating_sub(change.bytes_deallocated)
}

/// Returns a job of one step with the largest number of tasks, too large for any worker.
fn dense(number: usize) -> GraphSpec {
    let need = ResourceVector::new(96_000, 100, 0);
    job(&format!("dense{number}"), "batch", vec![StepSpec { need, ..step(10_000) }])
}

/// Guards against an owner that exceeds its memory by tasks that have not begun, and again in each recovery.
#[gtest]
fn tasks_that_have_not_begun_take_little_memory() -> Result<()> {
    let mut driver = cell(2);

    let bytes = flood(&mut driver, dense);

    verify_that!(bytes, le(MAX_FLOOD_BYTES))
}

/// Guards against an owner that keeps the steps of cancelled jobs for as long as their state may be asked for.
#[gtest]
fn cancelled_jobs_keep_no_steps() -> Result<()> {
    let mut driver = cell(2);
    for number in 0..50 {
        submit(&mut driver, job(&format!("wide{number}"), "batch", vec![step(1); 100]));
    }
    for number in 0..50 {
        let event = CellEvent::Cancelled(format!("wide{number}").into());
        driver.scheduler.handle(event, driver.now);
    }

    for task in driver.started_tasks() {
        driver.end(&task, EndCause::Stopped);
    }
    driver.advance(100);

    let mut jobs = driver.scheduler.state().jobs.values();
    verify_that!(jobs.all(|job| job.occurrences.is_empty()), eq(true))
}

/// Guards against bodies that are legal one by one and that all processes together accept until the owner exceeds its
/// memory, and against a flood of one team for which jobs of other teams are refused.
#[gtest]
fn a_flood_of_steps_stays_within_the_budget_and_leaves_room_for_others() -> Result<()> {
    let budget = MemoryBudget::of_process(260_000_000);
    let mut driver = cell(2);
    let mut gates = vec![MemoryGate::new(budget); PROCESSES];
    let (mut refused, mut small_refused) = (0, 0);
    for number in 0..2_000 {
        let flood =
            GraphSpec { team: "blue".into(), ..job(&format!("wide{number}"), "batch", vec![lasting(); 480]) };
        let small = job(&format!("small{number}"), "urgent", vec![lasting()]);
        // Notices come every half second, in which 40 jobs do.
        if number % 40 == 39 {
            let notice = AdmissionNotice {
                rooms: budget.rooms(driver.scheduler.state()),
                processes: PROCESSES as u64,
                ..AdmissionNotice::default()
            };
            for gate in &mut gates {
                gate.apply(&notice);
            }
        }
        let gate = &mut gates[number % PROCESSES];
        for (spec, refusals) in [(flood, &mut refused), (small, &mut small_refused)] {
            match gate.admit(&spec) {
                Ok(()) => driver.scheduler.handle(CellEvent::Submitted(spec.into()), driver.now),
                Err(_) => *refusals += 1,
            }
        }
    }

    let kept: u64 = driver.scheduler.state().jobs.values().map(|job| job.waiting_bytes).sum();
    verify_that!(kept, le(budget.limit))?;
    verify_that!(refused, gt(0))?;
    verify_that!(small_refused, eq(0))
}

/// Guards against a process that accepts without end while no owner tells it how much room is left.
#[gtest]
fn a_process_without_notices_accepts_a_bounded_amount() -> Result<()> {
    let budget = MemoryBudget::of_process(260_000_000);
    let mut gate = MemoryGate::new(budget);

    let admitted = (0..10_000).filter(|number| {
        let spec = job(&format!("wide{number}"), "batch", vec![lasting(); 480]);
        gate.admit(&spec).is_ok()
    });

    let bytes = waiting_bytes(&job("wide", "batch", vec![lasting(); 480])) * admitted.count() as u64;
    verify_that!(bytes, le(budget.limit / 8))
}

/// Guards against a process that refuses all jobs because the owner is of a release that tells no rooms.
#[gtest]
fn a_notice_without_rooms_leaves_the_room_as_it_was() -> Result<()> {
    let mut gate = MemoryGate::new(MemoryBudget::of_process(260_000_000));

    gate.apply(&AdmissionNotice::default());
    let admitted = gate.admit(&job("small", "batch", vec![step(1)]));

    verify_that!(admitted, ok(eq(())))
}

/// Guards against a budget that refuses the largest legal job although nothing else is kept.
#[gtest]
fn the_largest_job_is_accepted_in_calm() -> Result<()> {
    let mut gate = MemoryGate::new(MemoryBudget::of_process(160_000_000));

    let admitted = gate.admit(&job("largest", "batch", vec![lasting(); 500]));

    verify_that!(admitted, ok(eq(())))
}

/// Guards against tasks that are left out, started twice or started out of turn because only those that have begun have
/// a state of their own.
#[gtest]
fn all_tasks_of_a_wide_step_start_once() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, job("wide", "batch", vec![step(100)]));

    for index in 0..100 {
        driver.end(&format!("wide.0.0.{index}"), EndCause::Done);
    }

    let expected: Vec<String> = (0..100).map(|index| format!("wide.0.0.{index}")).collect();
    verify_that!(driver.started_tasks(), eq(&expected))
}
