//! The JSON form in which callers submit jobs.

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use crate::kernel::cell::{MAX_STEPS_PER_JOB, RepeatSchedule, StepSpec};
use crate::platform::config::milliseconds;
use crate::prelude::*;
use crate::tasks::cell::intake::JobSubmission;

#[derive(Deserialize)]
struct JobBody {
    /// Text that is passed to each task.
    #[serde(default)]
    spec: Arc<str>,
    #[serde(deserialize_with = "bounded_steps")]
    steps: Vec<StepBody>,
    #[serde(default)]
    repeat_count: u32,
    /// Due time of the first occurrence, in Unix milliseconds.
    #[serde(default)]
    first_ms: u64,
    #[serde(default)]
    interval_ms: u64,
}

/// A step as the platform writes it.
#[derive(Deserialize)]
#[serde(default)]
#[derive(Default)]
#[expect(clippy::struct_excessive_bools, reason = "as the platform writes them")]
struct StepBody {
    /// Number of tasks.
    count: u32,
    /// Need of each task in thousandths of a core.
    cpu: u64,
    /// Need of each task in MiB of memory.
    mem_mb: u64,
    /// Number of accelerators that each task needs.
    gpu: u64,
    estimated_ms: f64,
    after: Vec<u32>,
    checkpointing: bool,
    gang: bool,
    same_rack: bool,
    /// Label that a worker must have; none if empty.
    requirements: Option<LabelId>,
    /// Rack that holds the data of the tasks; none if empty.
    affinity: Option<RackId>,
    /// Largest number of tasks on one worker; 0 for no limit.
    anti_affinity: u32,
    /// See [`StepSpec::copies`].
    allow_duplicates: bool,
    long_running: bool,
    image: Option<ImageId>,
    /// Bound on the tail latency; 0 for none.
    target_ms: f64,
    /// See [`StepSpec::uses_idle_cpu`].
    fills: bool,
    /// See [`StepSpec::disruption_budget`].
    may_miss: u32,
}

/// Reads at most [`MAX_STEPS_PER_JOB`] steps: an empty step takes three bytes in a body, and many times that in
/// memory.
fn bounded_steps<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<StepBody>, D::Error> {
    struct StepsVisitor;

    impl<'de> Visitor<'de> for StepsVisitor {
        type Value = Vec<StepBody>;

        fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            formatter.write_str("a list of steps")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
            let mut steps = Vec::new();
            while let Some(step) = list.next_element()? {
                if steps.len() >= MAX_STEPS_PER_JOB {
                    return Err(A::Error::custom(format!("more than {MAX_STEPS_PER_JOB} steps")));
                }
                steps.push(step);
            }
            Ok(steps)
        }
    }

    deserializer.deserialize_seq(StepsVisitor)
}

/// Parses a job; an error describes the first fault.
pub fn decode(body: &[u8]) -> Result<JobSubmission, String> {
    let body: JobBody = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let schedule = (body.repeat_count > 0).then(|| RepeatSchedule {
        first: Duration::from_millis(body.first_ms),
        interval: Duration::from_millis(body.interval_ms),
        count: body.repeat_count,
    });
    Ok(JobSubmission {
        payload: body.spec,
        steps: body.steps.into_iter().map(StepSpec::from).collect(),
        schedule,
    })
}

impl From<StepBody> for StepSpec {
    fn from(body: StepBody) -> Self {
        let non_empty = |text: &Arc<str>| !text.is_empty();
        Self {
            tasks: body.count,
            need: ResourceVector::new(body.cpu, body.mem_mb, body.gpu),
            estimate: milliseconds(body.estimated_ms),
            after: body.after,
            checkpoints: body.checkpointing,
            gang: body.gang,
            same_rack: body.same_rack,
            label: body.requirements.filter(non_empty),
            rack: body.affinity.filter(non_empty),
            most_per_worker: (body.anti_affinity > 0).then_some(body.anti_affinity),
            copies: body.allow_duplicates,
            long_running: body.long_running,
            image: body.image.filter(non_empty),
            tail_bound: (body.target_ms > 0.0).then(|| milliseconds(body.target_ms)),
            uses_idle_cpu: body.fills,
            disruption_budget: body.may_miss,
        }
    }
}
