//! Counters and latency histograms of an entry process that serves a cell, served at `/metrics`.

use prometheus::{
    GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder, exponential_buckets,
};

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;

use crate::kernel::cell::TeamUsage;
use crate::log_pipe;
use crate::tasks::connection_metrics::ConnectionMetrics;
use crate::tasks::metric_registration::register_metric;

/// Upper bound of the smallest histogram bucket; each further bound is twice as large.
const SMALLEST_BUCKET_SECONDS: f64 = 0.001;
/// Number of histogram buckets; the largest bound is 33 s.
const BUCKET_COUNT: usize = 16;

/// Metrics of the process; clones share the same values.
#[derive(Clone)]
pub struct CellMetrics {
    registry: Registry,
    /// Calls of callers, by the result of the admission; an admitted call may still be refused later.
    pub calls: IntCounterVec,
    /// Submissions that were to be refused for load, by what became of them.
    pub load_checks: IntCounterVec,
    /// Time from the arrival of a submission or cancellation until this process has stored it, in seconds;
    /// relayed and refused ones are not observed.
    pub store_seconds: Histogram,
    /// Start and stop commands to workers, by kind and outcome.
    pub commands: IntCounterVec,
    /// Slow runs, by what was done about them.
    pub slow_runs: IntCounterVec,
    /// Requests to workers for the progress of their runs, beside the usual polls.
    pub looks: IntCounter,
    /// Ended runs, by cause.
    pub run_ends: IntCounterVec,
    /// Decisions to stop a run, by reason.
    pub run_stops: IntCounterVec,
    /// Appends of the owner to its log, by result.
    pub appends: IntCounterVec,
    /// Time of an append of the owner, with its repetitions, in seconds.
    pub append_seconds: Histogram,
    /// Permit requests to the placement advisor, by result.
    pub advisor_questions: IntCounterVec,
    /// Time from a permit request to its answer, including the time in the queue, in seconds.
    pub advisor_question_seconds: Histogram,
    /// Time of a scheduling pass over the waiting steps, in seconds.
    pub pass_seconds: Histogram,
    /// 1 while this process owns the cell.
    pub owner: IntGauge,
    /// Jobs that are not in a final state; 0 unless this process owns the cell.
    pub open_jobs: IntGauge,
    /// Tasks that wait to be placed; 0 unless this process owns the cell.
    pub waiting_tasks: IntGauge,
    /// Steps that wait to be placed, by class; 0 unless this process owns the cell.
    pub waiting_steps: IntGaugeVec,
    /// Free accelerators on workers that are granted to a waiting step without a valid ticket; 0 unless this
    /// process owns the cell.
    pub accelerators_without_ticket: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Decayed average of the dominant share, by team; nothing unless this process owns the cell.
    team_past_use: GaugeVec,
    /// Weight by team, as above.
    team_weight: GaugeVec,
    /// Part of the latency objective by which steps of a team rank later, as above.
    team_correction: GaugeVec,
    /// Steps that were ranked behind those of other teams because of past use, by team, in this term.
    team_moved_back: GaugeVec,
    /// Metrics of the connections of clients.
    pub connections: ConnectionMetrics,
}

impl CellMetrics {
    /// Returns all metrics at zero, registered under their exported names.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            register_metric(&registry, IntCounterVec::new(Opts::new(name, help), labels)?)
        };
        let histogram = |name: &str, help: &str| {
            let buckets = exponential_buckets(SMALLEST_BUCKET_SECONDS, 2.0, BUCKET_COUNT)?;
            register_metric(&registry, Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))?)
        };
        let gauge = |name: &str, help: &str| register_metric(&registry, IntGauge::new(name, help)?);
        let looks =
            IntCounter::new("godwithaven_progress_requests_total", "Requests for the progress of runs")?;
        let looks = register_metric(&registry, looks)?;
        let by_team = |name: &str, help: &str| {
            register_metric(&registry, GaugeVec::new(Opts::new(name, help), &["team"])?)
        };
        let waiting_steps = IntGaugeVec::new(
            Opts::new("godwithaven_cell_waiting_steps", "Steps that wait to be placed, by class"),
            &["class"],
        )?;
        let waiting_steps = register_metric(&registry, waiting_steps)?;
        registry.register(Box::new(log_pipe::dropped_lines()))?;
        Ok(Self {
            calls: counter("godwithaven_calls_total", "Answered calls of callers", &["result"])?,
            load_checks: counter(
                "godwithaven_load_checks_total",
                "Submissions that the load leaves no use for",
                &["outcome"],
            )?,
            store_seconds: histogram(
                "godwithaven_call_store_seconds",
                "Time from a submission or cancellation to its answer",
            )?,
            commands: counter("godwithaven_orders_total", "Orders to workers", &["kind", "outcome"])?,
            slow_runs: counter("godwithaven_slow_runs_total", "Slow runs that were acted on", &["action"])?,
            looks,
            run_ends: counter("godwithaven_run_ends_total", "Ended runs", &["cause"])?,
            run_stops: counter("godwithaven_run_stops_total", "Stopped runs", &["reason"])?,
            appends: counter("godwithaven_owner_appends_total", "Appends of the owner", &["result"])?,
            append_seconds: histogram("godwithaven_owner_append_seconds", "Time of an append of the owner")?,
            advisor_questions: counter(
                "godwithaven_advisor_questions_total",
                "Questions to the advisor",
                &["result"],
            )?,
            advisor_question_seconds: histogram(
                "godwithaven_advisor_question_seconds",
                "Time from a question to the advisor to its answer",
            )?,
            pass_seconds: histogram("godwithaven_pass_seconds", "Time of a pass over the waiting steps")?,
            owner: gauge("godwithaven_owner", "1 while this process owns the cell")?,
            open_jobs: gauge("godwithaven_open_jobs", "Jobs that are not in a final state")?,
            waiting_tasks: gauge("godwithaven_cell_waiting_tasks", "Tasks that wait to be placed")?,
            waiting_steps,
            accelerators_without_ticket: gauge(
                "godwithaven_accelerators_without_ticket",
                "Free accelerators on workers granted to a waiting step without a ticket",
            )?,
            config_version: gauge("godwithaven_config_version", "Version of the configuration in force")?,
            team_past_use: by_team("godwithaven_team_past_use", "Decayed average of the dominant share")?,
            team_weight: by_team("godwithaven_team_weight", "Weight of the team")?,
            team_correction: by_team(
                "godwithaven_team_correction",
                "Part of the latency objective by which steps rank later because of past use",
            )?,
            team_moved_back: by_team(
                "godwithaven_team_moved_back",
                "Steps ranked behind those of other teams because of past use, in this term",
            )?,
            connections: ConnectionMetrics::new(&registry)?,
            registry,
        })
    }

    /// Replaces the past use of all teams.
    pub fn set_team_usages(&self, usages: &[TeamUsage]) {
        for gauge in [&self.team_past_use, &self.team_weight, &self.team_correction, &self.team_moved_back] {
            gauge.reset();
        }
        for usage in usages {
            let team = [&*usage.team];
            self.team_past_use.with_label_values(&team).set(usage.past_use);
            self.team_weight.with_label_values(&team).set(usage.weight);
            self.team_correction.with_label_values(&team).set(usage.correction);
            let steps = u32::try_from(usage.steps_moved_back).unwrap_or(u32::MAX);
            self.team_moved_back.with_label_values(&team).set(f64::from(steps));
        }
    }

    /// Returns the page at a path; only `/metrics` exists.
    pub(super) fn respond(&self, path: &str) -> Response<Bytes> {
        if path != "/metrics" {
            return Response::with_body(StatusCode::NOT_FOUND, Bytes::new());
        }
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => {
                let mut response = Response::with_body(StatusCode::OK, Bytes::from(text));
                let kind = HeaderValue::from_static("text/plain; version=0.0.4");
                response.headers_mut().insert(CONTENT_TYPE, kind);
                response
            }
            Err(error) => {
                log::error!(error:%; "metrics cannot be encoded");
                Response::with_body(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    }
}
