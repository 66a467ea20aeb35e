//! Counts of a demo run.

use godwithaven_standins::invariant::InvariantViolations;
use serde::Serialize;

/// Counts of a demo run, taken at the callers and at the stand-ins; the placement times come from the entry
/// processes.
///
/// The demo prints it as JSON under the names of the fields.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoTally {
    /// Jobs that callers submitted, without the one sent with the withdrawn key.
    pub submitted: u32,
    /// Task starts that the workers recorded.
    pub placed: u32,
    /// Accepted jobs with another outcome than `refused`.
    pub finished: u32,
    /// Submissions that were refused and accepted jobs with the outcome `refused`.
    pub refused: u32,
    /// Requests that callers sent to services; retries are not counted.
    pub requests: u32,
    /// Requests that a service answered, with any status.
    pub answered: u32,
    /// Requests whose last reply says that they may have run.
    pub may_have_run: u32,
    /// Requests whose last reply, after all retries, says that they were not run.
    pub not_run: u32,
    /// Accepted jobs without an outcome, submissions without a definite reply, requests without any reply.
    pub lost: u32,
    /// Tasks that started while they ran already, and non-idempotent requests that ran more than once.
    pub doubled: u32,
    /// Answers with status 200 and an unexpected body, which belongs to another request or is cut off.
    pub wrong_answers: u32,
    /// Non-idempotent requests that were refused as `not_run` although an endpoint ran them.
    pub false_not_run: u32,
    /// Task starts that took a team over its upper limit.
    pub over_limit: u32,
    /// Task starts that took a worker over its capacity.
    pub over_capacity: u32,
    /// Task starts in a zone that had been out for more than two seconds.
    pub started_in_closed_zone: u32,
    /// Submissions that were accepted with a withdrawn key.
    pub withdrawn_key_accepted: u32,
    /// Attempts of requests whose connection broke before the response head during the graceful stop of an
    /// entry process.
    pub cut_by_graceful_stop: u32,
    /// Median time of a placement decision in milliseconds, as the upper bound of its histogram bucket.
    pub p50_ms: f64,
    /// 99th percentile of the time of a placement decision in milliseconds, as the upper bound of its
    /// histogram bucket.
    pub p99_ms: f64,
}

impl DemoTally {
    /// Adds the violations that the checker found in the records of the workers.
    pub fn add_violations(&mut self, found: InvariantViolations) {
        self.over_capacity += found.over_capacity;
        self.over_limit += found.over_limit;
        self.doubled += found.doubled;
        self.started_in_closed_zone += found.started_in_closed_zone;
    }

    /// Returns whether any violation was counted, which fails the demo.
    #[must_use]
    pub fn has_violations(&self) -> bool {
        self.violations().iter().any(|(_, count)| *count > 0)
    }

    /// Returns the counts that must be zero, with the names that the table shows.
    #[must_use]
    pub fn violations(&self) -> [(&'static str, u32); 9] {
        [
            ("lost", self.lost),
            ("doubled", self.doubled),
            ("wrong answers", self.wrong_answers),
            ("false not_run", self.false_not_run),
            ("over limit", self.over_limit),
            ("over capacity", self.over_capacity),
            ("started in closed zone", self.started_in_closed_zone),
            ("withdrawn key accepted", self.withdrawn_key_accepted),
            ("cut by graceful stop", self.cut_by_graceful_stop),
        ]
    }

    /// Prints all counts as a table.
    pub fn print(&self) {
        println!("\n{:<28} {:>8}", "counted", "number");
        let work = [
            ("jobs submitted", self.submitted),
            ("tasks started", self.placed),
            ("jobs finished", self.finished),
            ("jobs refused", self.refused),
            ("requests", self.requests),
            ("requests answered", self.answered),
            ("told may_have_run", self.may_have_run),
            ("told not_run", self.not_run),
        ];
        for (name, count) in work {
            println!("{name:<28} {count:>8}");
        }
        println!("\n{:<28} {:>8}", "broken promises", "number");
        for (name, count) in self.violations() {
            println!("{name:<28} {count:>8}");
        }
        println!("\nplacement decision: p50 {:.3} ms, p99 {:.3} ms", self.p50_ms, self.p99_ms);
    }
}
