//! Admission check that the fields of a job or a call are within their limits.

use crate::kernel::{AdmissionCheck, FrontRequest, PluginEntry, RefusalReason, RequestRefusal};
use crate::prelude::*;

inventory::submit!(PluginEntry::Admission(AdmissionCheck { name: "job_form", rank: 0, check }));

/// Maximum number of tasks in one job.
const MAX_TASKS: u32 = 10_000;

/// Maximum length of a job name or request id, without the team prefix.
const MAX_NAME_BYTES: usize = 200;

/// Maximum declared run time; keeps a time plus a run time from overflowing.
const MAX_RUN_TIME: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Maximum deadline of a call.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Maximum number of retries of a failed task.
const MAX_RETRIES: u32 = 1_000;

/// Maximum resources of one task; larger amounts fit on no VM and would overflow sums over many tasks.
const MAX_NEED: ResourceVector = ResourceVector::new(1_000_000_000, 1_000_000_000, 1_000_000);

fn check(request: &FrontRequest, _bundle: &PolicyBundle) -> Option<RequestRefusal> {
    let refuse = |text: &str| Some(RequestRefusal::not_run(RefusalReason::BadRequest, text));
    match request {
        FrontRequest::Submit { spec, .. } if spec.tasks == 0 || spec.tasks > MAX_TASKS => {
            refuse("a job has 1 to 10000 tasks")
        }
        FrontRequest::Submit { spec, .. } if spec.need.is_zero() => refuse("a task needs some resource"),
        FrontRequest::Submit { spec, .. } if !is_valid_name(&spec.id) => {
            refuse("a job name has up to 200 letters, digits, '-', '_' or '.'")
        }
        FrontRequest::Submit { spec, .. } if !spec.need.fits(MAX_NEED) => {
            refuse("a task needs at most 10^9 thousandths of a core, 10^9 MiB and 10^6 accelerators")
        }
        FrontRequest::Submit { spec, .. } if spec.run_time.is_some_and(|time| time > MAX_RUN_TIME) => {
            refuse("run_ms is at most 366 days")
        }
        FrontRequest::Submit { spec, .. } if spec.retries > MAX_RETRIES => refuse("retries is at most 1000"),
        FrontRequest::Call { deadline, .. } if deadline.is_some_and(|time| time > MAX_DEADLINE) => {
            refuse("x-deadline-ms is at most 3600000")
        }
        FrontRequest::Call { request, .. } if !is_valid_name(request) => {
            refuse("a request id has up to 200 letters, digits, '-', '_' or '.'")
        }
        _ => None,
    }
}

/// Whether the part after `team/` is a valid name; '#', '@' and '/' are excluded because they separate the
/// parts of a task id.
fn is_valid_name(id: &str) -> bool {
    let name = id.split_once('/').map_or("", |(_, name)| name);
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
