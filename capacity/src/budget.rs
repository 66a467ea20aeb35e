//! Works out what an entry process spends at the size that the system is designed for, from the measured
//! slopes.

use std::fmt::Write as _;

use godwithaven::kernel::{
    JobKind, JobOutcome, LogRecord, PriorityClass, RecordGroup, SyncTiming, TrackedTask,
};
use godwithaven::prelude::*;

use crate::report;
use crate::scenario::MeasuredPoint;
use crate::slope::SlopeFit;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// VMs on the list in the scenario `list_changes_per_s`.
const VMS_ON_CHANGED_LIST: f64 = 4_000.0;
/// Teams in the sample bundle whose size is counted.
const SAMPLE_BUNDLE_TEAMS: usize = 42;
/// CPU time that the control plane may use on a node, in microseconds per second.
const MAX_CPU_US_PER_S: f64 = 28_000.0;
/// Network traffic that the control plane may use on a node, in bytes per second.
const MAX_BYTES_PER_S: f64 = 19_000.0;
/// Memory that the control plane may use on a node, in bytes.
const MAX_MEMORY_BYTES: f64 = 128e6;

/// The size of the system for which a budget is worked out.
#[derive(Clone, Copy, Debug)]
pub struct DesignSize {
    /// Number of entry processes.
    pub processes: f64,
    /// Number of regions; each has the same number of processes and of workers.
    pub regions: f64,
    /// Number of workers in all regions.
    pub workers: f64,
    /// VMs on the list: workers, endpoints and entry VMs.
    pub listed_vms: f64,
    /// VMs that fail or are replaced per day.
    pub list_changes_per_day: f64,
    /// Jobs per day, each of one task.
    pub jobs_per_day: f64,
    /// Task starts per second at the peak.
    pub peak_starts_per_s: f64,
    /// Tasks that run at the same time.
    pub running_tasks: f64,
    /// Jobs without an outcome; every process keeps all of them in its ledger.
    pub open_jobs: f64,
    /// Configuration bundles published per day.
    pub bundles_per_day: f64,
    /// Lease of a worker in seconds.
    pub lease_s: f64,
    /// Shortest time between two syncs of a worker, in seconds.
    pub sync_interval_s: f64,
}

impl Default for DesignSize {
    fn default() -> Self {
        Self {
            processes: 9.0,
            regions: 4.0,
            workers: 7_900.0,
            listed_vms: 8_000.0,
            list_changes_per_day: 1_563.0,
            jobs_per_day: 54_000.0,
            peak_starts_per_s: 500.0,
            running_tasks: 25_000.0,
            open_jobs: 25_000.0,
            bundles_per_day: 5_300.0,
            lease_s: 90.0,
            sync_interval_s: 2.0,
        }
    }
}

impl DesignSize {
    fn timing(&self) -> SyncTiming {
        let seconds = Duration::from_secs_f64;
        SyncTiming {
            interval: seconds(self.sync_interval_s),
            lease: seconds(self.lease_s),
            answer_timeout: seconds(self.sync_interval_s),
        }
    }

    /// Returns how many syncs the start of a task without a declared run time adds to those of an idle
    /// worker.
    fn syncs_after_start(&self) -> f64 {
        let (timing, start) = (self.timing(), Instant::now());
        let run = TrackedTask { since: start, run_time: None };
        let (mut now, mut extra) = (start, 0.0);
        loop {
            let wait = timing.next(std::iter::once(run), now);
            if wait >= timing.max_interval() {
                return extra;
            }
            extra += 1.0 - wait.as_secs_f64() / timing.max_interval().as_secs_f64();
            now += wait;
        }
    }

    /// Returns the share of a process's peers that are in other regions.
    fn remote_peer_share(&self) -> f64 {
        (self.processes - self.processes / self.regions) / (self.processes - 1.0)
    }
}

/// Resources that one activity of an entry process needs at the design size.
struct BudgetLine {
    /// Label of the row in the table.
    part: String,
    /// Code that causes the spending, as Markdown.
    module: &'static str,
    /// CPU time in microseconds per second.
    cpu: f64,
    /// Network traffic in bytes per second.
    bytes: f64,
    /// Part of `bytes` that crosses regions, in bytes per second.
    cross_region_bytes: f64,
    /// Resident memory in bytes.
    memory: f64,
}

/// Returns a Markdown table of the resources that one entry process needs at the size, with their sum, the
/// limits and the margins.
#[must_use]
pub fn table(points: &[MeasuredPoint], size: &DesignSize) -> String {
    let lines = lines(points, size);
    let mut text = format!(
        "One of {} processes; {:.0} workers, {:.0} running tasks, {:.0} VMs listed, lease {} s.\n\n\
         | part | module | CPU, µs/s | bytes/s | of them between regions | memory, MB |\n\
         | --- | --- | ---: | ---: | ---: | ---: |\n",
        size.processes,
        size.workers / size.processes,
        size.running_tasks / size.processes,
        size.listed_vms,
        size.lease_s
    );
    let mut row = |part: &str, module: &str, [cpu, bytes, crossing, memory]: [f64; 4]| {
        let memory = memory / 1e6;
        let _ = writeln!(text, "| {part} | {module} | {cpu:.0} | {bytes:.0} | {crossing:.0} | {memory:.1} |");
    };
    let mut sum = [0.0; 4];
    for line in &lines {
        let values = [line.cpu, line.bytes, line.cross_region_bytes, line.memory];
        row(&line.part, line.module, values);
        sum = std::array::from_fn(|index| sum[index] + values[index]);
    }
    row("sum", "", sum);
    row("limit", "", [MAX_CPU_US_PER_S, MAX_BYTES_PER_S, MAX_BYTES_PER_S, MAX_MEMORY_BYTES]);
    let margin = [
        MAX_CPU_US_PER_S - sum[0],
        MAX_BYTES_PER_S - sum[1],
        MAX_BYTES_PER_S - sum[2],
        MAX_MEMORY_BYTES - sum[3],
    ];
    row("margin", "", margin);
    text
}

/// Fits lines to the measured points on demand.
struct SlopeFits<'a>(&'a [MeasuredPoint]);

impl SlopeFits<'_> {
    fn fit(&self, scenario: &str, metric: &str) -> SlopeFit {
        let zero = SlopeFit { slope: 0.0, intercept: 0.0, max_relative_error: 0.0 };
        SlopeFit::new(&report::values(self.0, scenario, metric)).unwrap_or(zero)
    }

    /// Returns the value at zero units. A negative value is noise and counts as zero.
    fn intercept(&self, scenario: &str, metric: &str) -> f64 {
        self.fit(scenario, metric).intercept.max(0.0)
    }

    /// Returns the increase per unit. A negative value is noise and counts as zero.
    fn per_unit(&self, scenario: &str, metric: &str) -> f64 {
        self.fit(scenario, metric).slope.max(0.0)
    }
}

fn lines(points: &[MeasuredPoint], size: &DesignSize) -> Vec<BudgetLine> {
    let slopes = SlopeFits(points);
    let mut lines = Vec::from(worker_lines(&slopes, size));
    lines.extend(list_lines(&slopes, size));
    lines.extend(process_lines(&slopes, size));
    lines
}

/// Returns the lines for syncs with workers. The owner of a worker is in the same region, so none of this
/// traffic crosses regions.
fn worker_lines(slopes: &SlopeFits<'_>, size: &DesignSize) -> [BudgetLine; 3] {
    let syncs_per_worker = slopes.per_unit("workers", "syncs_per_s").max(f64::MIN_POSITIVE);
    // Each worker is also a VM on the list, so the measured slope of workers includes that of the list.
    let list_cpu = slopes.per_unit("listed_vms", "cpu_us_per_s");
    let cpu = (slopes.per_unit("workers", "cpu_us_per_s") - list_cpu).max(0.0) / syncs_per_worker;
    let bytes = slopes.per_unit("workers", "worker_bytes_per_s") / syncs_per_worker;
    let (workers, running) = (size.workers / size.processes, size.running_tasks / size.processes);
    let syncs = workers / size.timing().max_interval().as_secs_f64();
    let follow_up = size.jobs_per_day / SECONDS_PER_DAY / size.processes * size.syncs_after_start();
    // Tasks that started recently cause more syncs. The line for syncs after starts counts these, so they are
    // subtracted here.
    let recent_start_syncs = slopes.per_unit("running_tasks", "syncs_per_s");
    let report_share = |metric: &str, per_sync: f64| {
        (slopes.per_unit("running_tasks", metric) - recent_start_syncs * per_sync).max(0.0) * running
    };
    [
        BudgetLine {
            part: format!("{syncs:.1} syncs/s of {bytes:.0} bytes"),
            module: "`tasks::worker`, `kernel::SyncTiming`",
            cpu: cpu * syncs,
            bytes: bytes * syncs,
            cross_region_bytes: 0.0,
            memory: slopes.per_unit("workers", "resident_bytes") * workers,
        },
        BudgetLine {
            part: format!("{follow_up:.1} syncs/s after starts"),
            module: "`kernel::SyncTiming`",
            cpu: cpu * follow_up,
            bytes: bytes * follow_up,
            cross_region_bytes: 0.0,
            memory: 0.0,
        },
        BudgetLine {
            part: "running tasks in reports".into(),
            module: "`plugins::worker_http`, `kernel::FleetView`",
            cpu: report_share("cpu_us_per_s", cpu),
            bytes: report_share("worker_bytes_per_s", bytes),
            cross_region_bytes: 0.0,
            memory: slopes.per_unit("running_tasks", "resident_bytes") * running,
        },
    ]
}

/// Returns the lines for polling the VM list and for applying its changes.
fn list_lines(slopes: &SlopeFits<'_>, size: &DesignSize) -> [BudgetLine; 2] {
    let changes = size.list_changes_per_day / SECONDS_PER_DAY;
    [
        BudgetLine {
            part: "VM list, unchanged".into(),
            module: "`tasks::directory`, `plugins::directory_http`",
            cpu: slopes.per_unit("listed_vms", "cpu_us_per_s") * size.listed_vms,
            bytes: slopes.intercept("listed_vms", "directory_bytes_per_s"),
            cross_region_bytes: 0.0,
            memory: slopes.per_unit("listed_vms", "resident_bytes") * size.listed_vms,
        },
        BudgetLine {
            part: format!("VM list, {} changes a day", size.list_changes_per_day),
            module: "`tasks::vm_list`",
            // The next poll reads the change, and its cost is taken to grow with the length of the list.
            cpu: slopes.per_unit("list_changes_per_s", "cpu_us_per_s") * changes * size.listed_vms
                / VMS_ON_CHANGED_LIST,
            bytes: slopes.per_unit("list_changes_per_s", "directory_bytes_per_s") * changes,
            cross_region_bytes: 0.0,
            memory: 0.0,
        },
    ]
}

/// Returns the lines for the idle process, its peers, the log, jobs and bundles.
fn process_lines(slopes: &SlopeFits<'_>, size: &DesignSize) -> [BudgetLine; 5] {
    let (peers, job_rate) = (size.processes - 1.0, size.jobs_per_day / SECONDS_PER_DAY);
    let peer_bytes = slopes.per_unit("processes", "peer_bytes_per_s") * peers;
    let log_tail_bytes = slopes.per_unit("processes", "log_bytes_per_s");
    let job_log_bytes = slopes.per_unit("jobs_per_s", "log_bytes_per_s") * job_rate;
    let job_worker_bytes = slopes.per_unit("jobs_per_s", "worker_bytes_per_s") * job_rate / size.processes;
    let bundle_rate_bytes = bundle_bytes() * size.bundles_per_day / SECONDS_PER_DAY;
    [
        BudgetLine {
            part: "idle process".into(),
            module: "all tasks",
            cpu: slopes.intercept("listed_vms", "cpu_us_per_s"),
            bytes: 0.0,
            cross_region_bytes: 0.0,
            memory: slopes.intercept("listed_vms", "resident_bytes"),
        },
        BudgetLine {
            part: format!("heartbeats with {peers} peers"),
            module: "`tasks::peer`, `kernel::PeerView`",
            cpu: slopes.per_unit("processes", "cpu_us_per_s") * peers,
            bytes: peer_bytes,
            cross_region_bytes: peer_bytes * size.remote_peer_share(),
            memory: 0.0,
        },
        BudgetLine {
            part: "log tail, idle; CPU in the idle process".into(),
            module: "`tasks::journal`",
            cpu: 0.0,
            bytes: log_tail_bytes,
            cross_region_bytes: log_tail_bytes,
            memory: 0.0,
        },
        BudgetLine {
            part: format!("{job_rate:.2} jobs/s, mean of the day; {} open", size.open_jobs),
            module: "`tasks::admission`, `tasks::journal`, `kernel::ShardScheduler`",
            cpu: slopes.per_unit("jobs_per_s", "cpu_us_per_s") * job_rate,
            bytes: job_log_bytes + job_worker_bytes,
            cross_region_bytes: job_log_bytes,
            memory: slopes.per_unit("waiting_jobs", "resident_bytes") * size.open_jobs,
        },
        BudgetLine {
            part: format!("{} bundles a day; CPU not measured", size.bundles_per_day),
            module: "`kernel::LedgerState`, `plugins::bundle_toml`",
            cpu: 0.0,
            bytes: bundle_rate_bytes,
            cross_region_bytes: bundle_rate_bytes,
            memory: 0.0,
        },
    ]
}

/// Returns a sentence with the load that task starts at the peak rate add to one process.
#[must_use]
pub fn peak(points: &[MeasuredPoint], size: &DesignSize) -> String {
    let per_job = |metric: &str| {
        SlopeFit::new(&report::values(points, "jobs_per_s", metric)).map_or(0.0, |fit| fit.slope)
    };
    let cpu = per_job("cpu_us_per_s") * size.peak_starts_per_s / size.processes;
    let bytes = per_job("log_bytes_per_s") * size.peak_starts_per_s;
    let work = per_job("worker_bytes_per_s") * size.peak_starts_per_s / size.processes;
    format!(
        "At {} starts/s, one task a job, one of {} processes adds {cpu:.0} µs/s, {bytes:.0} bytes/s of the log and \
         {work:.0} bytes/s to workers.\n",
        size.peak_starts_per_s, size.processes
    )
}

/// Returns a Markdown table of the size in bytes of each kind of log record.
#[must_use]
pub fn record_sizes() -> String {
    let mut text = String::from("| record | bytes in the log |\n| --- | ---: |\n");
    for (name, record) in sample_records() {
        let _ = writeln!(text, "| `{name}` | {} |", group_bytes(vec![record]) - group_bytes(Vec::new()));
    }
    let _ = writeln!(text, "| frame of a group | {} |", group_bytes(Vec::new()));
    let _ = writeln!(text, "| `Bundle` text, {SAMPLE_BUNDLE_TEAMS} teams | {:.0} |", bundle_bytes());
    text
}

/// Returns the size of a group of records as it is written to the log.
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
    let shape = crate::platform::PlatformShape { teams: SAMPLE_BUNDLE_TEAMS, ..Default::default() };
    crate::platform::bundle_text(&shape).len() as f64
}

/// Returns a record of each kind that jobs, shards and requests write, with values of typical length.
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
