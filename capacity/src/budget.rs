//! What the measured slopes give at the size that the system is designed for.

use std::fmt::Write as _;

use godwithaven::kernel::{
    JobKind, JobOutcome, LogRecord, PriorityClass, RecordGroup, SyncTiming, TrackedTask,
};
use godwithaven::prelude::*;

use crate::report;
use crate::scenario::MeasuredPoint;
use crate::slope::SlopeFit;

/// Seconds in a day.
const DAY: f64 = 86_400.0;
/// VMs on the list whose changes are measured.
const CHANGED_LIST: f64 = 4_000.0;
/// Teams of the bundle whose text is counted.
const BUNDLE_TEAMS: usize = 42;
/// Processor time that control may take on a node, in microseconds a second.
const CPU_LIMIT: f64 = 28_000.0;
/// Bytes a second that control may take on a node.
const BYTES_LIMIT: f64 = 19_000.0;
/// Memory that control may take on a node, in bytes.
const MEMORY_LIMIT: f64 = 128e6;

/// The size for which a budget is worked out.
#[derive(Clone, Copy, Debug)]
pub struct DesignSize {
    /// Entry processes.
    pub processes: f64,
    /// Regions, with an equal part of processes and workers each.
    pub regions: f64,
    /// Workers.
    pub workers: f64,
    /// VMs on the list: workers, endpoints and entry VMs.
    pub listed: f64,
    /// VMs that fail or are replaced a day.
    pub list_changes: f64,
    /// Jobs a day, of one task each.
    pub jobs: f64,
    /// Task starts a second at the peak.
    pub peak_starts: f64,
    /// Running tasks.
    pub running: f64,
    /// Jobs without an outcome, which every process keeps in its ledger.
    pub open_jobs: f64,
    /// Changes of configuration a day.
    pub configurations: f64,
    /// Lease of a worker in seconds.
    pub lease: f64,
    /// Shortest time between syncs in seconds.
    pub interval: f64,
}

impl Default for DesignSize {
    fn default() -> Self {
        Self {
            processes: 9.0,
            regions: 4.0,
            workers: 7_900.0,
            listed: 8_000.0,
            list_changes: 1_563.0,
            jobs: 54_000.0,
            peak_starts: 500.0,
            running: 25_000.0,
            open_jobs: 25_000.0,
            configurations: 5_300.0,
            lease: 90.0,
            interval: 2.0,
        }
    }
}

impl DesignSize {
    fn timing(&self) -> SyncTiming {
        let seconds = Duration::from_secs_f64;
        SyncTiming {
            interval: seconds(self.interval),
            lease: seconds(self.lease),
            answer_timeout: seconds(self.interval),
        }
    }

    /// Returns how many syncs more than an idle worker one costs after a task without a declared run time starts.
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

    /// Returns the part of the peers of a process that is in other regions.
    fn remote_part(&self) -> f64 {
        (self.processes - self.processes / self.regions) / (self.processes - 1.0)
    }
}

/// What one part of an entry process spends at the size.
struct BudgetLine {
    part: String,
    module: &'static str,
    cpu: f64,
    bytes: f64,
    /// Those of the bytes that cross regions.
    crossing: f64,
    memory: f64,
}

/// Returns a Markdown table of what one entry process spends at the size.
#[must_use]
pub fn table(points: &[MeasuredPoint], size: &DesignSize) -> String {
    let lines = lines(points, size);
    let mut text = format!(
        "One of {} processes; {:.0} workers, {:.0} running tasks, {:.0} VMs listed, lease {} s.\n\n\
         | part | module | CPU, µs/s | bytes/s | of them between regions | memory, MB |\n\
         | --- | --- | ---: | ---: | ---: | ---: |\n",
        size.processes,
        size.workers / size.processes,
        size.running / size.processes,
        size.listed,
        size.lease
    );
    let mut row = |part: &str, module: &str, [cpu, bytes, crossing, memory]: [f64; 4]| {
        let memory = memory / 1e6;
        let _ = writeln!(text, "| {part} | {module} | {cpu:.0} | {bytes:.0} | {crossing:.0} | {memory:.1} |");
    };
    let mut sum = [0.0; 4];
    for line in &lines {
        let values = [line.cpu, line.bytes, line.crossing, line.memory];
        row(&line.part, line.module, values);
        sum = std::array::from_fn(|index| sum[index] + values[index]);
    }
    row("sum", "", sum);
    row("limit", "", [CPU_LIMIT, BYTES_LIMIT, BYTES_LIMIT, MEMORY_LIMIT]);
    let margin = [CPU_LIMIT - sum[0], BYTES_LIMIT - sum[1], BYTES_LIMIT - sum[2], MEMORY_LIMIT - sum[3]];
    row("margin", "", margin);
    text
}

/// The fitted slopes of the measured points.
struct SlopeTable<'a>(&'a [MeasuredPoint]);

impl SlopeTable<'_> {
    fn fit(&self, scenario: &str, metric: &str) -> SlopeFit {
        let none = SlopeFit { slope: 0.0, base: 0.0, error: 0.0 };
        SlopeFit::new(&report::values(self.0, scenario, metric)).unwrap_or(none)
    }

    /// Returns the value at zero units; below zero it is noise and counts as zero.
    fn base(&self, scenario: &str, metric: &str) -> f64 {
        self.fit(scenario, metric).base.max(0.0)
    }

    /// Returns the growth for each unit; below zero it is noise and counts as zero.
    fn per_unit(&self, scenario: &str, metric: &str) -> f64 {
        self.fit(scenario, metric).slope.max(0.0)
    }
}

fn lines(points: &[MeasuredPoint], size: &DesignSize) -> Vec<BudgetLine> {
    let slopes = SlopeTable(points);
    let mut lines = Vec::from(worker_lines(&slopes, size));
    lines.extend(list_lines(&slopes, size));
    lines.extend(process_lines(&slopes, size));
    lines
}

/// Returns the lines of workers; their owner is in their region, so none of the bytes crosses regions.
fn worker_lines(slopes: &SlopeTable<'_>, size: &DesignSize) -> [BudgetLine; 3] {
    let syncs_per_worker = slopes.per_unit("workers", "syncs_per_s").max(f64::MIN_POSITIVE);
    // Each worker is on the list, so the slope of the list is part of the slope of workers.
    let list_cpu = slopes.per_unit("listed_vms", "cpu_us_per_s");
    let cpu = (slopes.per_unit("workers", "cpu_us_per_s") - list_cpu).max(0.0) / syncs_per_worker;
    let bytes = slopes.per_unit("workers", "worker_bytes_per_s") / syncs_per_worker;
    let (workers, running) = (size.workers / size.processes, size.running / size.processes);
    let syncs = workers / size.timing().max_interval().as_secs_f64();
    let follow_up = size.jobs / DAY / size.processes * size.syncs_after_start();
    // Tasks that are young in the measurement bring more syncs, which are counted in the line after starts.
    let young = slopes.per_unit("running_tasks", "syncs_per_s");
    let in_reports = |metric: &str, per_sync: f64| {
        (slopes.per_unit("running_tasks", metric) - young * per_sync).max(0.0) * running
    };
    [
        BudgetLine {
            part: format!("{syncs:.1} syncs/s of {bytes:.0} bytes"),
            module: "`tasks::worker`, `kernel::SyncTiming`",
            cpu: cpu * syncs,
            bytes: bytes * syncs,
            crossing: 0.0,
            memory: slopes.per_unit("workers", "resident_bytes") * workers,
        },
        BudgetLine {
            part: format!("{follow_up:.1} syncs/s after starts"),
            module: "`kernel::SyncTiming`",
            cpu: cpu * follow_up,
            bytes: bytes * follow_up,
            crossing: 0.0,
            memory: 0.0,
        },
        BudgetLine {
            part: "running tasks in reports".into(),
            module: "`plugins::worker_http`, `kernel::FleetView`",
            cpu: in_reports("cpu_us_per_s", cpu),
            bytes: in_reports("worker_bytes_per_s", bytes),
            crossing: 0.0,
            memory: slopes.per_unit("running_tasks", "resident_bytes") * running,
        },
    ]
}

fn list_lines(slopes: &SlopeTable<'_>, size: &DesignSize) -> [BudgetLine; 2] {
    let changes = size.list_changes / DAY;
    [
        BudgetLine {
            part: "VM list, unchanged".into(),
            module: "`tasks::directory`, `plugins::directory_http`",
            cpu: slopes.per_unit("listed_vms", "cpu_us_per_s") * size.listed,
            bytes: slopes.base("listed_vms", "directory_bytes_per_s"),
            crossing: 0.0,
            memory: slopes.per_unit("listed_vms", "resident_bytes") * size.listed,
        },
        BudgetLine {
            part: format!("VM list, {} changes a day", size.list_changes),
            module: "`tasks::vm_list`",
            // A change is read with the next poll and costs more with a longer list.
            cpu: slopes.per_unit("list_changes_per_s", "cpu_us_per_s") * changes * size.listed / CHANGED_LIST,
            bytes: slopes.per_unit("list_changes_per_s", "directory_bytes_per_s") * changes,
            crossing: 0.0,
            memory: 0.0,
        },
    ]
}

fn process_lines(slopes: &SlopeTable<'_>, size: &DesignSize) -> [BudgetLine; 5] {
    let (peers, job_rate) = (size.processes - 1.0, size.jobs / DAY);
    let peer_bytes = slopes.per_unit("processes", "peer_bytes_per_s") * peers;
    let log_idle = slopes.per_unit("processes", "log_bytes_per_s");
    let job_log = slopes.per_unit("jobs_per_s", "log_bytes_per_s") * job_rate;
    let job_syncs = slopes.per_unit("jobs_per_s", "worker_bytes_per_s") * job_rate / size.processes;
    let bundles = bundle_bytes() * size.configurations / DAY;
    [
        BudgetLine {
            part: "idle process".into(),
            module: "all tasks",
            cpu: slopes.base("listed_vms", "cpu_us_per_s"),
            bytes: 0.0,
            crossing: 0.0,
            memory: slopes.base("listed_vms", "resident_bytes"),
        },
        BudgetLine {
            part: format!("heartbeats with {peers} peers"),
            module: "`tasks::peer`, `kernel::PeerView`",
            cpu: slopes.per_unit("processes", "cpu_us_per_s") * peers,
            bytes: peer_bytes,
            crossing: peer_bytes * size.remote_part(),
            memory: 0.0,
        },
        BudgetLine {
            part: "log tail, idle; CPU in the idle process".into(),
            module: "`tasks::journal`",
            cpu: 0.0,
            bytes: log_idle,
            crossing: log_idle,
            memory: 0.0,
        },
        BudgetLine {
            part: format!("{job_rate:.2} jobs/s, mean of the day; {} open", size.open_jobs),
            module: "`tasks::admission`, `tasks::journal`, `kernel::ShardScheduler`",
            cpu: slopes.per_unit("jobs_per_s", "cpu_us_per_s") * job_rate,
            bytes: job_log + job_syncs,
            crossing: job_log,
            memory: slopes.per_unit("waiting_jobs", "resident_bytes") * size.open_jobs,
        },
        BudgetLine {
            part: format!("{} bundles a day; CPU not measured", size.configurations),
            module: "`kernel::LedgerState`, `plugins::bundle_toml`",
            cpu: 0.0,
            bytes: bundles,
            crossing: bundles,
            memory: 0.0,
        },
    ]
}

/// Returns what a burst at the peak adds to one process, as one line.
#[must_use]
pub fn peak(points: &[MeasuredPoint], size: &DesignSize) -> String {
    let per_job = |metric: &str| {
        SlopeFit::new(&report::values(points, "jobs_per_s", metric)).map_or(0.0, |fit| fit.slope)
    };
    let cpu = per_job("cpu_us_per_s") * size.peak_starts / size.processes;
    let bytes = per_job("log_bytes_per_s") * size.peak_starts;
    let work = per_job("worker_bytes_per_s") * size.peak_starts / size.processes;
    format!(
        "At {} starts/s, one task a job, one of {} processes adds {cpu:.0} µs/s, {bytes:.0} bytes/s of the log and \
         {work:.0} bytes/s to workers.\n",
        size.peak_starts, size.processes
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
