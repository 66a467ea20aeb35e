//! Counters of one entry process, served at `/metrics`.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, exponential_buckets,
};

/// Counters that the tasks add to.
#[derive(Clone)]
pub struct EntryMetrics {
    /// What `/metrics` gathers.
    pub registry: Registry,
    /// Placed tasks.
    pub placements: IntCounter,
    /// Time of a placement decision in seconds, each event's time divided by its placements.
    pub placement_seconds: Histogram,
    /// Ended jobs by outcome.
    pub jobs_ended: IntCounterVec,
    /// Requests dispatched to endpoints.
    pub dispatches: IntCounter,
    /// Answers of endpoints that were dropped, by reason.
    pub dropped_answers: IntCounterVec,
    /// Refusals by code.
    pub refusals: IntCounterVec,
    /// Appends to the log.
    pub appends: IntCounter,
    /// Failed appends and reads of the log.
    pub log_faults: IntCounter,
    /// Worker syncs by result.
    pub syncs: IntCounterVec,
    /// Version of the bundle by which the process admits; it may come from a peer.
    pub bundle_version: IntGauge,
}

impl EntryMetrics {
    /// Returns counters at zero.
    ///
    /// # Errors
    ///
    /// Returns an error if two counters have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let plain = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let labelled = |name: &str, help: &str, label: &str| -> prometheus::Result<IntCounterVec> {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        // 1 µs to 2 s.
        let buckets = exponential_buckets(0.000_001, 2.0, 22)?;
        let options = HistogramOpts::new("godwithaven_placement_seconds", "Time of a placement decision");
        let placement_seconds = Histogram::with_opts(options.buckets(buckets))?;
        registry.register(Box::new(placement_seconds.clone()))?;
        let bundle_version =
            IntGauge::new("godwithaven_bundle_version", "Version of the bundle in force in this process")?;
        registry.register(Box::new(bundle_version.clone()))?;
        Ok(Self {
            placement_seconds,
            bundle_version,
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
            registry,
        })
    }
}
