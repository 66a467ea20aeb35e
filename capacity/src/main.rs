//! Runs the capacity scenarios on loopback and prints the tables of docs/CAPACITY.md.

use std::process::ExitCode;
use std::time::Duration;

use godwithaven_capacity::budget::DesignSize;
use godwithaven_capacity::platform::CapacityResult;
use godwithaven_capacity::scenario::ScenarioPlan;
use godwithaven_capacity::{budget, report};

mod flags {
    #![allow(missing_docs, reason = "the macro generates the items from the comments below")]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Measures CPU time, memory and traffic of an entry process on loopback. With windows of 6 s a run
        /// takes about six minutes.
        cmd capacity {
            /// Length of each measurement window in seconds.
            optional --seconds seconds: u64
            /// Numbers of workers, comma-separated; an empty list skips the scenario.
            optional --workers workers: String
            /// Numbers of additional VMs on the list, comma-separated.
            optional --listed listed: String
            /// Numbers of entry processes, comma-separated.
            optional --processes processes: String
            /// Rates of submitted jobs per second, comma-separated.
            optional --jobs jobs: String
            /// Rates of service requests per second, comma-separated.
            optional --requests requests: String
            /// Numbers of queued jobs, comma-separated.
            optional --waiting waiting: String
            /// Numbers of running tasks, comma-separated.
            optional --running running: String
            /// Rates of VM list changes per second, comma-separated.
            optional --changes changes: String
            /// Number of entry processes in the budget.
            optional --budget-processes budget_processes: f64
            /// Number of workers in the budget.
            optional --budget-workers budget_workers: f64
            /// Worker lease in the budget, in seconds.
            optional --budget-lease budget_lease: f64
            /// Folder that receives points.csv and the SVG plots; created if it is missing.
            optional --out out: PathBuf
        }
    }
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let flags = match flags::Capacity::from_env() {
        Ok(flags) => flags,
        Err(error) => error.exit(),
    };
    match measure(flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("capacity measurement failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(flags: flags::Capacity) -> CapacityResult<()> {
    let plan = ScenarioPlan {
        window: Duration::from_secs(flags.seconds.unwrap_or(8)),
        workers: parse_numbers(flags.workers, "79,395,790,1580")?,
        listed: parse_numbers(flags.listed, "0,1000,4000")?,
        processes: parse_numbers(flags.processes, "1,3,6,9")?,
        jobs: parse_numbers(flags.jobs, "20,50,100,200")?,
        requests: parse_numbers(flags.requests, "100,200,400")?,
        waiting: parse_numbers(flags.waiting, "0,1000,3000")?,
        running: parse_numbers(flags.running, "0,1000,3000")?,
        changes: parse_numbers(flags.changes, "0,1,2,4")?,
    };
    let mut size = DesignSize::default();
    size.processes = flags.budget_processes.unwrap_or(size.processes);
    size.workers = flags.budget_workers.unwrap_or(size.workers);
    size.lease_s = flags.budget_lease.unwrap_or(size.lease_s);
    let points = plan.run().await?;
    println!("{}", report::fit_table(&points));
    println!("{}", budget::table(&points, &size));
    println!("{}", budget::table(&points, &DesignSize { processes: 4.0 * size.processes, ..size }));
    println!("{}", budget::peak(&points, &size));
    println!("{}", budget::record_sizes());
    if let Some(out) = flags.out {
        std::fs::create_dir_all(&out)?;
        std::fs::write(out.join("points.csv"), report::csv(&points))?;
        report::plot(&points, "workers", "cpu_us_per_s", &out.join("workers-cpu.svg"))?;
        report::plot(&points, "processes", "peer_bytes_per_s", &out.join("processes-bytes.svg"))?;
    }
    Ok(())
}

fn parse_numbers(given: Option<String>, default: &str) -> CapacityResult<Vec<usize>> {
    let text = given.unwrap_or_else(|| default.to_owned());
    text.split(',').filter(|number| !number.is_empty()).map(|number| Ok(number.trim().parse()?)).collect()
}
