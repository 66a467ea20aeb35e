//! Compares placement with first fit on the same seeded arrivals, on a logical clock.
//!
//! `GODWITHAVEN_LONG_TESTS=1` replays 25,000 tasks on 790 workers. `GODWITHAVEN_REPLAY_WORKERS=160` replays
//! as many tasks per worker on 160 workers. `-- --nocapture` prints the figures.

mod fixture_replay;

use fixture_replay::load::{LoadFigures, LoadShape, first_fit_decider, replay};
use fixture_replay::{kernel_decider, new_scheduler};
use godwithaven::prelude::*;
use googletest::prelude::*;

/// Variable that selects the large replay.
const LONG_TESTS_VARIABLE: &str = "GODWITHAVEN_LONG_TESTS";
/// Variable that sets the number of workers.
const REPLAY_WORKERS_VARIABLE: &str = "GODWITHAVEN_REPLAY_WORKERS";
/// Number of workers in CI. One gang job takes up to 60% of their accelerators.
const CI_WORKERS: usize = 40;
const LONG_WORKERS: usize = 790;
const LONG_TASKS: usize = 25_000;

fn load_shape(with_faults: bool) -> LoadShape {
    let long = std::env::var_os(LONG_TESTS_VARIABLE).map(|_| LONG_WORKERS);
    let workers =
        std::env::var(REPLAY_WORKERS_VARIABLE).ok().and_then(|workers| workers.parse().ok()).or(long);
    let tasks = |workers: usize| u32::try_from(LONG_TASKS * workers / LONG_WORKERS).unwrap();
    let (workers, tasks) = workers.map_or((CI_WORKERS, 1_250), |workers| (workers, tasks(workers)));
    LoadShape { workers, tasks, seed: 1, with_faults }
}

/// Replays the same load with first fit and with the kernel's scheduler.
fn compare(with_faults: bool) -> (LoadFigures, LoadFigures) {
    let shape = load_shape(with_faults);
    let now = Instant::now();
    let first_fit = replay(shape, first_fit_decider(), now);
    let kernel = replay(shape, kernel_decider(new_scheduler(now)), now);
    print_figures("first fit", shape, &first_fit);
    print_figures("kernel", shape, &kernel);
    (first_fit, kernel)
}

fn print_figures(name: &str, shape: LoadShape, figures: &LoadFigures) {
    println!("{name}, {shape:?}");
    for (kind, median, p99, count) in &figures.waits {
        println!(
            "  wait {kind}: median {:.1} s, p99 {:.1} s, {count} tasks",
            median.as_secs_f64(),
            p99.as_secs_f64()
        );
    }
    println!("  used: cores {:.4}, accelerators {:.4}", figures.used.0, figures.used.1);
    println!("  distance from share: largest {:.5}, mean {:.5}", figures.distance.0, figures.distance.1);
    println!("  avoidable distance: largest {:.5}, mean {:.5}", figures.avoidable.0, figures.avoidable.1);
    println!("  drift from share: largest {:.5}, mean {:.5}", figures.drift.0, figures.drift.1);
    println!(
        "  lost work {:.0} s, jobs finished {}, otherwise ended {}",
        figures.lost_work.as_secs_f64(),
        figures.ended.0,
        figures.ended.1
    );
    println!("  events {}, effects {}, starts {}", figures.counts.0, figures.counts.1, figures.counts.2);
    println!("  broken promises {}: {:?}", figures.violations.len(), figures.violations.first());
}

/// Which distance of the teams from their fair shares must be at most a quarter of that of first fit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Distance {
    /// The whole distance.
    Total,
    /// The distance without the part that is unavoidable because gang jobs are indivisible; on few workers
    /// that part is large.
    Avoidable,
}

fn check(with_faults: bool, distance: Distance) {
    let (first_fit, kernel) = compare(with_faults);

    let urgent = kernel.waits.iter().find(|(kind, ..)| *kind == "urgent").map(|(_, _, p99, _)| *p99);
    let (own, other) = match distance {
        Distance::Total => (kernel.distance, first_fit.distance),
        Distance::Avoidable => (kernel.avoidable, first_fit.avoidable),
    };
    expect_that!(kernel.violations, is_empty());
    expect_that!(urgent, some(lt(Duration::from_millis(8_500))));
    expect_that!(own.0, le(other.0 / 4.0));
    expect_that!(own.1, le(other.1 / 4.0));
    expect_that!(kernel.distance.0, lt(first_fit.distance.0));
    expect_that!(kernel.distance.1, lt(first_fit.distance.1));
    expect_that!(kernel.used.0, ge(first_fit.used.0));
    expect_that!(kernel.used.1, ge(first_fit.used.1));
}

/// Guards against unfair, slow or wasteful placement under contention.
#[gtest]
fn placement_beats_first_fit() {
    check(false, Distance::Total);
}

/// Guards against the same while a zone is out of service, run times are misdeclared and some workers fail
/// all tasks.
#[gtest]
fn placement_beats_first_fit_in_trouble() {
    check(true, Distance::Total);
}

/// Guards against the same on few workers, where indivisible gang jobs alone keep teams from their fair
/// shares.
#[gtest]
fn placement_beats_first_fit_but_for_gang_jobs() {
    check(false, Distance::Avoidable);
}

/// Guards against the same with few workers and faults.
#[gtest]
fn placement_beats_first_fit_but_for_gang_jobs_in_trouble() {
    check(true, Distance::Avoidable);
}
