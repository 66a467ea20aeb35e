//! The scenarios. Each varies one quantity and returns measured points.

use std::time::Duration;

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use tokio::time::Instant;

use crate::platform::{CapacityPlatform, CapacityResult, PlatformShape, TrafficCount};

/// Wait before a measurement, so that start-up work does not count.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Requests that are sent to each process, one after another, to measure the latency of forwarding.
const FORWARDING_REQUESTS: usize = 300;
/// Run time of the tasks in the scenario `jobs_per_s`, in milliseconds.
const TASK_RUN_MS: u64 = 500;

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasuredPoint {
    /// Name of the scenario, which says what was varied.
    pub scenario: &'static str,
    /// Amount of the varied quantity.
    pub units: f64,
    /// Name of the metric, with its unit.
    pub metric: &'static str,
    /// Measured value in the unit of the metric.
    pub value: f64,
}

/// Resources that the first entry process used, and traffic that the relays counted, in a window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowUsage {
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

/// Length of the measurements and the sizes to measure; an empty list skips its scenario.
#[derive(Clone, Debug)]
pub struct ScenarioPlan {
    /// Length of each measurement window.
    pub window: Duration,
    /// Numbers of workers.
    pub workers: Vec<usize>,
    /// Numbers of additional VMs on the list.
    pub listed: Vec<usize>,
    /// Numbers of entry processes.
    pub processes: Vec<usize>,
    /// Rates of submitted jobs per second.
    pub jobs: Vec<usize>,
    /// Rates of service requests per second.
    pub requests: Vec<usize>,
    /// Numbers of queued jobs.
    pub waiting: Vec<usize>,
    /// Numbers of running tasks.
    pub running: Vec<usize>,
    /// Rates of VM list changes per second.
    pub changes: Vec<usize>,
}

impl ScenarioPlan {
    /// Measures all scenarios, each size on a newly started system.
    ///
    /// # Errors
    ///
    /// Returns the first error of a measured system.
    pub async fn run(&self) -> CapacityResult<Vec<MeasuredPoint>> {
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
        points.extend(measure_forwarding().await?);
        for &jobs in &self.waiting {
            points.extend(self.measure_open_jobs("waiting_jobs", jobs, 1_000).await?);
        }
        for &jobs in &self.running {
            points.extend(self.measure_open_jobs("running_tasks", jobs, 100_000_000).await?);
        }
        for &rate in &self.changes {
            points.extend(self.measure_changes(rate).await?);
        }
        Ok(points)
    }

    async fn measure_workers(&self, workers: usize) -> CapacityResult<Vec<MeasuredPoint>> {
        let platform =
            CapacityPlatform::start(&PlatformShape { workers, ..PlatformShape::default() }).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let usage = measure_window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point("workers", workers, metric, value);
        Ok(vec![
            point("cpu_us_per_s", usage.cpu_us / usage.seconds),
            point("resident_bytes", usage.resident),
            point("worker_bytes_per_s", usage.worker_bytes / usage.seconds),
            point("syncs_per_s", usage.syncs / usage.seconds),
        ])
    }

    async fn measure_listed(&self, listed: usize) -> CapacityResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { other_vms: listed, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let usage = measure_window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point("listed_vms", listed, metric, value);
        Ok(vec![
            point("cpu_us_per_s", usage.cpu_us / usage.seconds),
            point("resident_bytes", usage.resident),
            point("directory_bytes_per_s", usage.directory_bytes / usage.seconds),
        ])
    }

    async fn measure_processes(&self, processes: usize) -> CapacityResult<Vec<MeasuredPoint>> {
        let platform =
            CapacityPlatform::start(&PlatformShape { processes, ..PlatformShape::default() }).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let usage = measure_window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point("processes", processes, metric, value);
        Ok(vec![
            point("cpu_us_per_s", usage.cpu_us / usage.seconds),
            // The relay counts only heartbeats that peers send to the process; it sends as many itself.
            point("peer_bytes_per_s", 2.0 * usage.peer_bytes / usage.seconds),
            point("log_bytes_per_s", usage.log_bytes / usage.seconds),
        ])
    }

    async fn measure_jobs(&self, rate: usize) -> CapacityResult<Vec<MeasuredPoint>> {
        let platform =
            CapacityPlatform::start(&PlatformShape { workers: 79, ..PlatformShape::default() }).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let mut latencies = Histogram::<u64>::new(3)?;
        let load = submit_jobs(&platform, rate, self.window, &mut latencies);
        let usage = measure_window(&platform, self.window, load).await?;
        platform.stop();
        let point = |metric, value| point("jobs_per_s", rate, metric, value);
        Ok(vec![
            point("cpu_us_per_s", usage.cpu_us / usage.seconds),
            point("log_bytes_per_s", usage.log_bytes / usage.seconds),
            point("worker_bytes_per_s", usage.worker_bytes / usage.seconds),
            point("appends_per_s", usage.appends / usage.seconds),
            point("accept_p50_us", as_float(usize::try_from(latencies.value_at_quantile(0.5))?)),
            point("accept_p99_us", as_float(usize::try_from(latencies.value_at_quantile(0.99))?)),
        ])
    }

    async fn measure_requests(&self, rate: usize) -> CapacityResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { endpoints: 12, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let load = send_requests(&platform, rate, self.window);
        let usage = measure_window(&platform, self.window, load).await?;
        platform.stop();
        Ok(vec![point("requests_per_s", rate, "cpu_us_per_s", usage.cpu_us / usage.seconds)])
    }

    /// Measures jobs of one long task each. They stay queued or run, depending on the limit of their team.
    async fn measure_open_jobs(
        &self,
        scenario: &'static str,
        jobs: usize,
        team_millicores: u64,
    ) -> CapacityResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { workers: 79, team_millicores, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        let client = awc::Client::builder().timeout(Duration::from_secs(30)).finish();
        for chunk in (0..jobs).collect::<Vec<_>>().chunks(100) {
            let names: Vec<String> = chunk.iter().map(|index| format!("w{index}")).collect();
            join_all(names.iter().map(|name| platform.submit(&client, name, 3_600_000))).await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let usage = measure_window(&platform, self.window, std::future::ready(())).await?;
        platform.stop();
        let point = |metric, value| point(scenario, jobs, metric, value);
        Ok(vec![
            point("resident_bytes", usage.resident),
            point("cpu_us_per_s", usage.cpu_us / usage.seconds),
            point("worker_bytes_per_s", usage.worker_bytes / usage.seconds),
            point("syncs_per_s", usage.syncs / usage.seconds),
        ])
    }

    /// Measures changes of a VM list of 4,000 VMs.
    async fn measure_changes(&self, rate: usize) -> CapacityResult<Vec<MeasuredPoint>> {
        let shape = PlatformShape { other_vms: 4_000, ..PlatformShape::default() };
        let platform = CapacityPlatform::start(&shape).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let usage =
            measure_window(&platform, self.window, replace_listed_vms(&platform, rate, self.window)).await?;
        platform.stop();
        let point = |metric, value| point("list_changes_per_s", rate, metric, value);
        Ok(vec![
            point("cpu_us_per_s", usage.cpu_us / usage.seconds),
            point("directory_bytes_per_s", usage.directory_bytes / usage.seconds),
        ])
    }
}

/// Replaces `rate` of the additional VMs on the list per second.
async fn replace_listed_vms(platform: &CapacityPlatform, rate: usize, length: Duration) {
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

/// Measures the latency of requests at each of two processes; the one that does not own the service forwards
/// them.
async fn measure_forwarding() -> CapacityResult<Vec<MeasuredPoint>> {
    let platform =
        CapacityPlatform::start(&PlatformShape { processes: 2, ..PlatformShape::default() }).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let client = awc::Client::default();
    let mut points = Vec::new();
    for entry in 0..2 {
        let mut latencies = Histogram::<u64>::new(3)?;
        for number in 0..FORWARDING_REQUESTS {
            let started = Instant::now();
            platform.call(&client, entry, &format!("hop-{entry}-{number}")).await;
            latencies.record(u64::try_from(started.elapsed().as_micros())?)?;
        }
        let median = usize::try_from(latencies.value_at_quantile(0.5))?;
        points.push(point("request_by_process", entry, "answer_p50_us", as_float(median)));
    }
    platform.stop();
    Ok(points)
}

/// Runs the load and returns the usage of the first process until both the window and the load have ended.
async fn measure_window(
    platform: &CapacityPlatform,
    length: Duration,
    load: impl Future<Output = ()>,
) -> CapacityResult<WindowUsage> {
    let started = Instant::now();
    let (usage_before, traffic_before) = (platform.entries[0].usage()?, platform.traffic().await);
    let counters_before = read_counters(platform).await?;
    futures_util::future::join(load, tokio::time::sleep(length)).await;
    let (usage_after, traffic_after) = (platform.entries[0].usage()?, platform.traffic().await);
    let counters_after = read_counters(platform).await?;
    let bytes = |read: fn(&TrafficCount) -> u64| {
        as_float(usize::try_from(read(&traffic_after) - read(&traffic_before)).unwrap_or(usize::MAX))
    };
    Ok(WindowUsage {
        cpu_us: usage_after.cpu.saturating_sub(usage_before.cpu).as_secs_f64() * 1e6,
        resident: as_float(usize::try_from(usage_after.resident)?),
        log_bytes: bytes(|count| count.log.sent + count.log.received),
        directory_bytes: bytes(|count| count.directory.sent + count.directory.received),
        worker_bytes: bytes(|count| count.workers.sent + count.workers.received),
        peer_bytes: bytes(|count| count.peers.sent + count.peers.received),
        appends: counters_after.0 - counters_before.0,
        syncs: counters_after.1 - counters_before.1,
        seconds: started.elapsed().as_secs_f64(),
    })
}

/// Reads the numbers of log appends and answered worker syncs of the first process.
async fn read_counters(platform: &CapacityPlatform) -> CapacityResult<(f64, f64)> {
    let appends = platform.counter("godwithaven_log_appends_total ").await?;
    let syncs = platform.counter("godwithaven_worker_syncs_total{result=\"answered\"} ").await?;
    Ok((appends, syncs))
}

/// Submits `rate` jobs per second in batches, ten a second, and records how long each submission takes.
async fn submit_jobs(
    platform: &CapacityPlatform,
    rate: usize,
    length: Duration,
    latencies: &mut Histogram<u64>,
) {
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
                    platform.submit(&client, name, TASK_RUN_MS).await;
                    started.elapsed()
                }
            });
            join_all(submits).await
        });
        if let Some(batch) = batches.pop() {
            for latency in batch.await {
                // The histogram resizes itself, so recording cannot fail within its 64-bit range.
                let _ = latencies.record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
        }
    }
}

/// Sends `rate` requests per second in batches, twenty a second.
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
