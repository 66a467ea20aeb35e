//! What the measured slopes give at the size that the system is designed for.

use std::fmt::Write as _;

use godwithaven::kernel::{JobKind, JobOutcome, LogRecord, PriorityClass, RecordGroup};
use godwithaven::prelude::*;

use crate::report;
use crate::scenario::MeasuredPoint;
use crate::slope::SlopeFit;

/// Seconds in a day.
const DAY: f64 = 86_400.0;
/// Entry processes.
const PROCESSES: f64 = 9.0;
/// Workers.
const WORKERS: f64 = 7_900.0;
/// VMs on the list: workers, endpoints and entry VMs.
const LISTED: f64 = 8_000.0;
/// Jobs a day.
const JOBS: f64 = 54_000.0;
/// Task starts a second at the peak.
const PEAK_STARTS: f64 = 500.0;
/// Running tasks and an equal number of waiting ones.
const TASKS: f64 = 25_000.0;
/// Changes of configuration a day.
const CHANGES: f64 = 5_300.0;
/// Seconds between two syncs of a worker in this budget.
const SYNC_INTERVAL: f64 = 10.0;
/// Seconds between two syncs in the measurement.
const MEASURED_INTERVAL: f64 = 2.0;
/// Bytes of a bundle with 42 teams; the text is counted by the program that prints this table.
const BUNDLE_TEAMS: usize = 42;
/// Processor time that control may take on a node, in microseconds a second.
const CPU_LIMIT: f64 = 28_000.0;
/// Bytes a second that control may take on a node.
const BYTES_LIMIT: f64 = 19_000.0;
/// Memory that control may take on a node, in bytes.
const MEMORY_LIMIT: f64 = 128e6;

/// What one part of an entry process spends at the designed size.
struct BudgetLine {
    part: &'static str,
    mechanism: &'static str,
    cpu: f64,
    bytes: f64,
    memory: f64,
}

/// Returns a Markdown table of what one entry process spends at the designed size.
#[must_use]
pub fn table(points: &[MeasuredPoint]) -> String {
    let lines = lines(points);
    let mut text = String::from(
        "| part | mechanism | CPU, µs/s | bytes/s | memory, MB |\n| --- | --- | ---: | ---: | ---: |\n",
    );
    for line in &lines {
        let memory = line.memory / 1e6;
        let _ = writeln!(
            text,
            "| {} | {} | {:.0} | {:.0} | {memory:.1} |",
            line.part, line.mechanism, line.cpu, line.bytes
        );
    }
    let sum = |get: fn(&BudgetLine) -> f64| lines.iter().map(get).sum::<f64>();
    let (cpu, bytes, memory) = (sum(|line| line.cpu), sum(|line| line.bytes), sum(|line| line.memory));
    let _ = writeln!(text, "| sum | | {cpu:.0} | {bytes:.0} | {:.1} |", memory / 1e6);
    let _ = writeln!(text, "| limit | | {CPU_LIMIT:.0} | {BYTES_LIMIT:.0} | {:.1} |", MEMORY_LIMIT / 1e6);
    let _ = writeln!(
        text,
        "| margin | | {:.0} | {:.0} | {:.1} |",
        CPU_LIMIT - cpu,
        BYTES_LIMIT - bytes,
        (MEMORY_LIMIT - memory) / 1e6
    );
    text
}

fn lines(points: &[MeasuredPoint]) -> Vec<BudgetLine> {
    let fit = |scenario: &str, metric: &str| {
        SlopeFit::new(&report::values(points, scenario, metric)).unwrap_or(SlopeFit {
            slope: 0.0,
            base: 0.0,
            error: 0.0,
        })
    };
    let per_unit = |scenario: &str, metric: &str| fit(scenario, metric).slope;
    let syncs = MEASURED_INTERVAL / SYNC_INTERVAL * WORKERS / PROCESSES;
    // The list travels with every poll, so its slope is part of the slope of workers.
    let list_cpu = per_unit("listed_vms", "cpu_us_per_s");
    let job_rate = JOBS / DAY;
    let log_per_job = per_unit("jobs_per_s", "log_bytes_per_s");
    let cpu_per_job = per_unit("jobs_per_s", "cpu_us_per_s");
    let change_bytes = bundle_bytes() * CHANGES / DAY;
    vec![
        BudgetLine {
            part: "idle process",
            mechanism: "all tasks, no workers",
            cpu: fit("listed_vms", "cpu_us_per_s").base,
            bytes: 0.0,
            memory: fit("listed_vms", "resident_bytes").base,
        },
        BudgetLine {
            part: "worker syncs",
            mechanism: "`tasks::worker`, every 10 s",
            cpu: (per_unit("workers", "cpu_us_per_s") - list_cpu) * syncs,
            bytes: per_unit("workers", "worker_bytes_per_s") * syncs,
            memory: per_unit("workers", "resident_bytes") * WORKERS / PROCESSES,
        },
        BudgetLine {
            part: "VM list",
            mechanism: "`tasks::directory`, conditional read every 1 s, nothing changed",
            cpu: list_cpu * LISTED,
            bytes: per_unit("listed_vms", "directory_bytes_per_s") * LISTED,
            memory: per_unit("listed_vms", "resident_bytes") * LISTED,
        },
        BudgetLine {
            part: "heartbeats",
            mechanism: "`tasks::peer`, every 1 s to 8 peers",
            cpu: per_unit("processes", "cpu_us_per_s") * (PROCESSES - 1.0),
            bytes: per_unit("processes", "peer_bytes_per_s") * (PROCESSES - 1.0),
            memory: 0.0,
        },
        BudgetLine {
            part: "jobs, day's mean",
            mechanism: "`tasks::gate`, `tasks::journal`, `tasks::scheduler`",
            cpu: cpu_per_job * job_rate,
            bytes: log_per_job * job_rate,
            memory: per_unit("waiting_jobs", "resident_bytes") * TASKS,
        },
        BudgetLine {
            part: "bundles",
            mechanism: "`kernel::LedgerState`, 5,300 a day",
            cpu: 0.0,
            bytes: change_bytes,
            memory: 0.0,
        },
    ]
}

/// Returns what a burst at the peak adds to one process, as one line.
#[must_use]
pub fn peak(points: &[MeasuredPoint]) -> String {
    let per_job = |metric: &str| {
        SlopeFit::new(&report::values(points, "jobs_per_s", metric)).map_or(0.0, |fit| fit.slope)
    };
    let cpu = per_job("cpu_us_per_s") * PEAK_STARTS / PROCESSES;
    let bytes = per_job("log_bytes_per_s") * PEAK_STARTS;
    let work = per_job("worker_bytes_per_s") * PEAK_STARTS / PROCESSES;
    format!(
        "At {PEAK_STARTS} starts/s, one task a job, one of {PROCESSES} processes adds {cpu:.0} µs/s, {bytes:.0} \
         bytes/s of the log and {work:.0} bytes/s to workers.\n"
    )
}

/// Returns a Markdown table of the bytes of each kind of log record.
#[must_use]
pub fn records() -> String {
    let mut text = String::from("| record | bytes in the log |\n| --- | ---: |\n");
    for (name, record) in sample_records() {
        let _ = writeln!(text, "| `{name}` | {} |", group_bytes(vec![record]) - group_bytes(Vec::new()));
    }
    let _ = writeln!(text, "| frame of a group | {} |", group_bytes(Vec::new()));
    let _ = writeln!(text, "| `Bundle` text, {BUNDLE_TEAMS} teams | {:.0} |", bundle_bytes());
    text
}

fn group_bytes(records: Vec<LogRecord>) -> usize {
    let group = RecordGroup {
        process: "entry-1.0123456789abcdef".into(),
        sequence: 1_000,
        at_ms: 1_796_380_914_657,
        records,
    };
    serde_json::to_string(&group).map_or(0, |text| text.len())
}

#[expect(clippy::cast_precision_loss, reason = "a bundle has some kilobytes")]
fn bundle_bytes() -> f64 {
    let shape = crate::platform::PlatformShape { teams: BUNDLE_TEAMS, ..Default::default() };
    crate::platform::bundle_text(&shape).len() as f64
}

fn sample_records() -> Vec<(&'static str, LogRecord)> {
    let (job, shard): (JobId, ShardId) = ("planner-team/daily-loads-0001".into(), "region-1/12".into());
    let spec = JobSpec {
        id: job.clone(),
        team: "planner-team".into(),
        queue: "main".into(),
        kind: JobKind::Batch,
        priority: PriorityClass::Normal,
        tasks: 4,
        need: ResourceVector::new(4_000, 8_192, 0),
        run_time: Some(Duration::from_secs(300)),
        retries: 2,
    };
    let amount = ResourceVector::new(64_000, 262_144, 8);
    let process = "entry-1.0123456789abcdef".into();
    let request = "planner-team/9c1f7a52-2f0b-4b8a-9d55-0f5a1d7f0c11".into();
    let outcome = JobOutcome::Finished(vec!["result of a task".into(); 4]);
    let token = 1_234_567;
    vec![
        ("Claim", LogRecord::Claim { shard: shard.clone(), process, over: token }),
        ("Submit", LogRecord::Submit { spec, shard: shard.clone() }),
        ("Cancel", LogRecord::Cancel { job: job.clone() }),
        ("Move", LogRecord::Move { job: job.clone(), to: shard.clone(), token }),
        (
            "Transfer",
            LogRecord::Transfer {
                team: "planner-team".into(),
                from: shard.clone(),
                to: shard.clone(),
                amount,
                token,
            },
        ),
        ("Intent", LogRecord::Intent { request, digest: [200; 32], shard, token, at_ms: 1_796_380_914_657 }),
        ("Outcome", LogRecord::Outcome { job, token, outcome }),
    ]
}
