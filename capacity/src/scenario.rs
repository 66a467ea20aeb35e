//! The measured scenarios; each gives points of units and values.

use std::time::Duration;

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::platform::{CapacityPlatform, PlatformShape, StepResult, TrafficCount};

/// Wait before a measurement, so that start-up work is over.
const SETTLE: Duration = Duration::from_secs(4);
/// Requests that are sent to each process, one after another, to measure a forward.
const HOP_REQUESTS: usize = 300;
/// Run time of the tasks of measured jobs, in milliseconds.
const TASK_MS: u64 = 500;

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredPoint {
    /// What was varied.
    pub scenario: &'static str,
    /// How much of it.
    pub units: f64,
    /// What was measured, with its unit.
    pub metric: &'static str,
    /// The value.
    pub value: f64,
}

/// What the first entry process spent in a window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowUse {
    cpu_us: f64,
    resident: f64,
    log_bytes: f64,
    directory_bytes: f64,
    worker_bytes: f64,
    peer_bytes: f64,
    appends: f64,
    syncs: f64,
    seconds: f64,
}

/// How long each point is measured and at which sizes.
#[derive(Clone, Debug)]
pub struct ScenarioPlan {
    /// Length of each measured window.
    pub window: Duration,
    /// Numbers of workers.
    pub workers: Vec<usize>,
    /// Numbers of VMs on the list.
    pub listed: Vec<usize>,
    /// Numbers of entry processes.
    pub processes: Vec<usize>,
    /// Jobs a second.
    pub jobs: Vec<usize>,
    /// Requests a second.
    pub requests: Vec<usize>,
    /// Waiting jobs.
    pub waiting: Vec<usize>,
    /// Running tasks.
    pub running: Vec<usize>,
    /// Changes of the VM list a second.
    pub changes: Vec<usize>,
}

impl ScenarioPlan {
    /// Measures all scenarios.
    ///
    /// # Errors
    ///
    /// Returns the first error of a platform.
    pub async fn run(&self) -> StepResult<Vec<MeasuredPoint>> {
        let mut points = Vec::new();
        for &workers in &self.workers {
            points.extend(self.measure_workers(workers).await?);
        }
        for &listed in &self.listed {
            points.extend(self.measure_listed(listed).await?);
        }
        for &processes in &self.processes {
            points.extend(self.measure_processes(processes).await?);
        }
        for &rate in &self.jobs {
            points.extend(self.measure_jobs(rate).await?);
        }
        for &rate in &self.requests {
            points.extend(self.measure_requests(rate).await?);
        }
        points.extend(measure_hop().await?);
        for &jobs in &self.waiting {
            points.extend(self.measure_held("waiting_jobs", jobs, 1_000).await?);
        }
        for &jobs in &self.running {
            points.extend(self.measure_held("running_tasks", jobs, 100_000_000).await?);
        }
        for &rate in &self.changes {
            points.extend(self.measure_changes(rate).await?);
        }
        Ok(points)
    }

    async fn measure_workers(&self, workers: usize) -> StepResult<Vec<MeasuredPoint>> {
        let platform =
            CapacityPlatform::start(&PlatformShape { workers, ..PlatformShape::default() }).await?;
        tokio::time::sleep(SETTLE).await;
        let used = window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point("workers", workers, metric, value);
        Ok(vec![
            point("cpu_us_per_s", used.cpu_us / used.seconds),
            point("resident_bytes", used.resident),
            point("worker_bytes_per_s", used.worker_bytes / used.seconds),
            point("syncs_per_s", used.syncs / used.seconds),
        ])
    }

    async fn measure_listed(&self, listed: usize) -> StepResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { other_vms: listed, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        tokio::time::sleep(SETTLE).await;
        let used = window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point("listed_vms", listed, metric, value);
        Ok(vec![
            point("cpu_us_per_s", used.cpu_us / used.seconds),
            point("resident_bytes", used.resident),
            point("directory_bytes_per_s", used.directory_bytes / used.seconds),
        ])
    }

    async fn measure_processes(&self, processes: usize) -> StepResult<Vec<MeasuredPoint>> {
        let platform =
            CapacityPlatform::start(&PlatformShape { processes, ..PlatformShape::default() }).await?;
        tokio::time::sleep(SETTLE).await;
        let used = window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point("processes", processes, metric, value);
        Ok(vec![
            point("cpu_us_per_s", used.cpu_us / used.seconds),
            // The relay sees the heartbeats that the others send; the process sends as many itself.
            point("peer_bytes_per_s", 2.0 * used.peer_bytes / used.seconds),
            point("log_bytes_per_s", used.log_bytes / used.seconds),
        ])
    }

    async fn measure_jobs(&self, rate: usize) -> StepResult<Vec<MeasuredPoint>> {
        let platform =
            CapacityPlatform::start(&PlatformShape { workers: 79, ..PlatformShape::default() }).await?;
        tokio::time::sleep(SETTLE).await;
        let mut waits = Histogram::<u64>::new(3)?;
        let load = submit_jobs(&platform, rate, self.window, &mut waits);
        let used = window(&platform, self.window, load).await?;
        platform.stop();
        let point = |metric, value| point("jobs_per_s", rate, metric, value);
        Ok(vec![
            point("cpu_us_per_s", used.cpu_us / used.seconds),
            point("log_bytes_per_s", used.log_bytes / used.seconds),
            point("worker_bytes_per_s", used.worker_bytes / used.seconds),
            point("appends_per_s", used.appends / used.seconds),
            point("accept_p50_us", as_float(usize::try_from(waits.value_at_quantile(0.5))?)),
            point("accept_p99_us", as_float(usize::try_from(waits.value_at_quantile(0.99))?)),
        ])
    }

    async fn measure_requests(&self, rate: usize) -> StepResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { endpoints: 12, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        tokio::time::sleep(SETTLE).await;
        let load = send_requests(&platform, rate, self.window);
        let used = window(&platform, self.window, load).await?;
        platform.stop();
        Ok(vec![point("requests_per_s", rate, "cpu_us_per_s", used.cpu_us / used.seconds)])
    }

    /// Measures long jobs of one task each that wait or run, depending on what their team may use.
    async fn measure_held(
        &self,
        scenario: &'static str,
        jobs: usize,
        team_cores: u64,
    ) -> StepResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { workers: 79, team_cores, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        let client = awc::Client::builder().timeout(Duration::from_secs(30)).finish();
        for chunk in (0..jobs).collect::<Vec<_>>().chunks(100) {
            let names: Vec<String> = chunk.iter().map(|index| format!("w{index}")).collect();
            join_all(names.iter().map(|name| platform.submit(&client, name, 3_600_000))).await;
        }
        tokio::time::sleep(SETTLE).await;
        let used = window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point(scenario, jobs, metric, value);
        Ok(vec![
            point("resident_bytes", used.resident),
            point("cpu_us_per_s", used.cpu_us / used.seconds),
            point("worker_bytes_per_s", used.worker_bytes / used.seconds),
            point("syncs_per_s", used.syncs / used.seconds),
        ])
    }

    /// Measures changes of a list of 4,000 VMs.
    async fn measure_changes(&self, rate: usize) -> StepResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { other_vms: 4_000, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        tokio::time::sleep(SETTLE).await;
        let used = window(&platform, self.window, change_list(&platform, rate, self.window)).await?;
        platform.stop();
        let point = |metric, value| point("list_changes_per_s", rate, metric, value);
        Ok(vec![
            point("cpu_us_per_s", used.cpu_us / used.seconds),
            point("directory_bytes_per_s", used.directory_bytes / used.seconds),
        ])
    }
}

/// Replaces one worker of no concern after another.
async fn change_list(platform: &CapacityPlatform, rate: usize, length: Duration) {
    let Some(pause) = u32::try_from(rate).ok().and_then(|rate| Duration::from_secs(1).checked_div(rate))
    else {
        return;
    };
    let end = Instant::now() + length;
    let mut tick = tokio::time::interval(pause);
    let mut number = 0;
    while Instant::now() < end {
        tick.tick().await;
        platform.replace_vm(number);
        number += 1;
    }
}

/// Measures requests at the owner of the service and at the other of two processes.
async fn measure_hop() -> StepResult<Vec<MeasuredPoint>> {
    let platform =
        CapacityPlatform::start(&PlatformShape { processes: 2, ..PlatformShape::default() }).await?;
    tokio::time::sleep(SETTLE).await;
    let client = awc::Client::default();
    let mut points = Vec::new();
    for entry in 0..2 {
        let mut waits = Histogram::<u64>::new(3)?;
        for number in 0..HOP_REQUESTS {
            let started = Instant::now();
            platform.call(&client, entry, &format!("hop-{entry}-{number}")).await;
            waits.record(u64::try_from(started.elapsed().as_micros())?)?;
        }
        let median = usize::try_from(waits.value_at_quantile(0.5))?;
        points.push(point("request_by_process", entry, "answer_p50_us", as_float(median)));
    }
    platform.stop();
    Ok(points)
}

/// Runs the load and returns what the first process spent until the window and the load are over.
async fn window(
    platform: &CapacityPlatform,
    length: Duration,
    load: impl Future<Output = ()>,
) -> StepResult<WindowUse> {
    let started = Instant::now();
    let (before, before_traffic) = (platform.entries[0].usage()?, platform.traffic().await);
    let counters = counters(platform).await?;
    futures_util::future::join(load, tokio::time::sleep(length)).await;
    let (after, traffic) = (platform.entries[0].usage()?, platform.traffic().await);
    let later = self::counters(platform).await?;
    let bytes = |read: fn(&TrafficCount) -> u64| {
        as_float(usize::try_from(read(&traffic) - read(&before_traffic)).unwrap_or(usize::MAX))
    };
    Ok(WindowUse {
        cpu_us: after.cpu.saturating_sub(before.cpu).as_secs_f64() * 1e6,
        resident: as_float(usize::try_from(after.resident)?),
        log_bytes: bytes(|count| count.log.sent + count.log.received),
        directory_bytes: bytes(|count| count.directory.sent + count.directory.received),
        worker_bytes: bytes(|count| count.workers.sent + count.workers.received),
        peer_bytes: bytes(|count| count.peers.sent + count.peers.received),
        appends: later.0 - counters.0,
        syncs: later.1 - counters.1,
        seconds: started.elapsed().as_secs_f64(),
    })
}

async fn counters(platform: &CapacityPlatform) -> StepResult<(f64, f64)> {
    let appends = platform.counter("godwithaven_log_appends_total ").await?;
    let syncs = platform.counter("godwithaven_worker_syncs_total{result=\"answered\"} ").await?;
    Ok((appends, syncs))
}

async fn submit_jobs(platform: &CapacityPlatform, rate: usize, length: Duration, waits: &mut Histogram<u64>) {
    let client = awc::Client::builder().timeout(Duration::from_secs(30)).finish();
    let mut tick = tokio::time::interval(Duration::from_millis(100));
    let end = Instant::now() + length;
    let mut sent = 0;
    let mut batches = Vec::new();
    while Instant::now() < end {
        tick.tick().await;
        let names: Vec<String> = (sent..sent + rate / 10).map(|index| format!("j{rate}-{index}")).collect();
        sent += names.len();
        let client = client.clone();
        batches.push(async move {
            let submits = names.iter().map(|name| {
                let client = client.clone();
                async move {
                    let started = Instant::now();
                    platform.submit(&client, name, TASK_MS).await;
                    started.elapsed()
                }
            });
            join_all(submits).await
        });
        if let Some(batch) = batches.pop() {
            for wait in batch.await {
                // The histogram grows as needed, so only a wait beyond its 64-bit range would fail.
                let _ = waits.record(u64::try_from(wait.as_micros()).unwrap_or(u64::MAX));
            }
        }
    }
}

async fn send_requests(platform: &CapacityPlatform, rate: usize, length: Duration) {
    let client = awc::Client::default();
    let mut tick = tokio::time::interval(Duration::from_millis(50));
    let end = Instant::now() + length;
    let mut sent = 0;
    while Instant::now() < end {
        tick.tick().await;
        let ids: Vec<String> = (sent..sent + rate / 20).map(|index| format!("q{rate}-{index}")).collect();
        sent += ids.len();
        join_all(ids.iter().map(|id| platform.call(&client, 0, id))).await;
    }
}

fn point(scenario: &'static str, units: usize, metric: &'static str, value: f64) -> MeasuredPoint {
    MeasuredPoint { scenario, units: as_float(units), metric, value }
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
const fn as_float(number: usize) -> f64 {
    number as f64
}
