use godwithaven_standins::invariant::BrokenPromises;
use serde::Serialize;

/// What a demo run saw, counted at the callers and at the stand-ins.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoTally {
    /// Jobs that callers submitted.
    pub submitted: u32,
    /// Task starts that workers saw.
    pub placed: u32,
    /// Jobs with the outcome `finished` or `cancelled` by their team.
    pub finished: u32,
    /// Jobs and submissions that were refused.
    pub refused: u32,
    /// Requests that callers sent.
    pub requests: u32,
    /// Requests with a whole answer.
    pub answered: u32,
    /// Requests with a reply that they may have run.
    pub may_have_run: u32,
    /// Requests refused as not run, after all tries.
    pub not_run: u32,
    /// Acknowledged jobs without an outcome and requests without any reply.
    pub lost: u32,
    /// Tasks that ran in two places and non-idempotent requests that ran twice.
    pub doubled: u32,
    /// Answers that belong to another request or are not whole.
    pub wrong_answers: u32,
    /// Requests told `not_run` that an endpoint ran.
    pub false_not_run: u32,
    /// Starts that took a team over its upper limit.
    pub over_limit: u32,
    /// Starts that took a worker over its capacity.
    pub over_capacity: u32,
    /// Starts in a zone that was out for more than two seconds.
    pub started_in_closed_zone: u32,
    /// Submissions accepted with a withdrawn key.
    pub withdrawn_key_accepted: u32,
    /// Requests cut by the graceful stop.
    pub cut_by_graceful_stop: u32,
    /// Median of a placement decision, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of a placement decision, in milliseconds.
    pub p99_ms: f64,
}

impl DemoTally {
    /// Adds what the checker of the workers' records found.
    pub fn add_broken(&mut self, broken: BrokenPromises) {
        self.over_capacity += broken.over_capacity;
        self.over_limit += broken.over_limit;
        self.doubled += broken.doubled;
        self.started_in_closed_zone += broken.started_in_closed_zone;
    }

    /// Whether a promise was broken.
    #[must_use]
    pub fn broken(&self) -> bool {
        self.promises().iter().any(|(_, count)| *count > 0)
    }

    /// Returns the counts that must be zero.
    #[must_use]
    pub fn promises(&self) -> [(&'static str, u32); 9] {
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

    /// Prints the table of the run.
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
        for (name, count) in self.promises() {
            println!("{name:<28} {count:>8}");
        }
        println!("\nplacement decision: p50 {:.3} ms, p99 {:.3} ms", self.p50_ms, self.p99_ms);
    }
}
