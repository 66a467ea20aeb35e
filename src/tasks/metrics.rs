//! Prometheus metrics of one entry process, served at `/metrics`.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    exponential_buckets,
};

use crate::kernel::TeamWaits;
use crate::tasks::connection_metrics::ConnectionMetrics;
use crate::tasks::metric_registration::register_metric;

/// Metrics that the tasks update; clones share their values.
#[derive(Clone)]
pub struct EntryMetrics {
    /// Registry that `/metrics` gathers from.
    pub registry: Registry,
    /// Number of tasks placed on workers.
    pub placements: IntCounter,
    /// Time of a placement decision in seconds: the time that the scheduler takes for an event, divided by
    /// the number of tasks that it placed.
    pub placement_seconds: Histogram,
    /// Number of ended jobs by outcome.
    pub jobs_ended: IntCounterVec,
    /// Number of requests dispatched to endpoints, retries included.
    pub dispatches: IntCounter,
    /// Number of times that an answer of an endpoint, a part of one or bytes after one were dropped, by
    /// reason.
    pub dropped_answers: IntCounterVec,
    /// Number of refused requests by code.
    pub refusals: IntCounterVec,
    /// Number of record groups whose append to the log was started; retries are not counted.
    pub appends: IntCounter,
    /// Number of failed appends and reads of the log.
    pub log_faults: IntCounter,
    /// Number of worker syncs by result.
    pub syncs: IntCounterVec,
    /// Version of the bundle in force in this process, which may come from a peer; 0 if there is none.
    pub bundle_version: IntGauge,
    /// Metrics of the connections of clients.
    pub connections: ConnectionMetrics,
    ready: IntGauge,
    waiting: IntGaugeVec,
}

impl EntryMetrics {
    /// Returns metrics with all values at zero, registered in a new registry.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered, for example because its name is in use.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let plain = |name: &str, help: &str| register_metric(&registry, IntCounter::new(name, help)?);
        let labelled = |name: &str, help: &str, label: &str| {
            register_metric(&registry, IntCounterVec::new(Opts::new(name, help), &[label])?)
        };
        let gauge = |name: &str, help: &str| register_metric(&registry, IntGauge::new(name, help)?);
        let options = Opts::new("godwithaven_waiting_tasks", "Waiting tasks in the shards of this process");
        let waiting = register_metric(&registry, IntGaugeVec::new(options, &["team", "reason"])?)?;
        // Bucket limits from 1 µs to 2 s.
        let buckets = exponential_buckets(0.000_001, 2.0, 22)?;
        let options = HistogramOpts::new("godwithaven_placement_seconds", "Time of a placement decision");
        let placement_seconds = register_metric(&registry, Histogram::with_opts(options.buckets(buckets))?)?;
        Ok(Self {
            placement_seconds,
            placements: plain("godwithaven_placements_total", "Placed tasks")?,
            jobs_ended: labelled("godwithaven_jobs_ended_total", "Ended jobs", "outcome")?,
            dispatches: plain("godwithaven_dispatches_total", "Requests dispatched to endpoints")?,
            dropped_answers: labelled(
                "godwithaven_dropped_answers_total",
                "Answers of endpoints that were dropped",
                "reason",
            )?,
            refusals: labelled("godwithaven_refusals_total", "Refused requests", "code")?,
            appends: plain("godwithaven_log_appends_total", "Appends to the log")?,
            log_faults: plain("godwithaven_log_faults_total", "Failed appends and reads of the log")?,
            syncs: labelled("godwithaven_worker_syncs_total", "Worker syncs", "result")?,
            connections: ConnectionMetrics::new(&registry)?,
            ready: gauge("godwithaven_ready", "1 while the process takes requests")?,
            bundle_version: gauge(
                "godwithaven_bundle_version",
                "Version in force in this process, 0 if none",
            )?,
            waiting,
            registry,
        })
    }

    /// Sets the gauges that are computed only when the metrics are read.
    pub fn set_state(&self, ready: bool, waiting: &TeamWaits) {
        self.ready.set(ready.into());
        self.waiting.reset();
        for (team, reasons) in waiting {
            for (reason, tasks) in reasons {
                self.waiting.with_label_values(&[&**team, *reason]).set((*tasks).into());
            }
        }
    }
}
