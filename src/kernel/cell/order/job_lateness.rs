/// How late a job is expected to be. The value of its result falls with its lateness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum JobLateness {
    /// The job may complete within its latency objective, with its full value.
    InTime,
    /// The job will miss its objective and loses most of its value.
    Late,
    /// The job will be so late that it has no value left.
    Expired,
}
