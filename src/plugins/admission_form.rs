use crate::kernel::{AdmissionCheck, FrontRequest, PluginEntry, RefusalReason, RequestRefusal};
use crate::prelude::*;

inventory::submit!(PluginEntry::Admission(AdmissionCheck { name: "job_form", rank: 0, check }));

/// Most tasks in one job.
const MAX_TASKS: u32 = 10_000;

/// Longest job or request name in bytes.
const MAX_NAME: usize = 200;

/// Longest declared run time; times that cannot be added to a clock end here.
const MAX_RUN_TIME: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Longest deadline of a request.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Most repeats of a failed task.
const MAX_RETRIES: u32 = 1_000;

/// Most that a task may ask for; larger amounts fit no VM and would overflow sums over many tasks.
const MAX_NEED: ResourceVector = ResourceVector::new(1_000_000_000, 1_000_000_000, 1_000_000);

fn check(request: &FrontRequest, _bundle: &PolicyBundle) -> Option<RequestRefusal> {
    let refuse = |text: &str| Some(RequestRefusal::not_run(RefusalReason::BadRequest, text));
    match request {
        FrontRequest::Submit { spec, .. } if spec.tasks == 0 || spec.tasks > MAX_TASKS => {
            refuse("a job has 1 to 10000 tasks")
        }
        FrontRequest::Submit { spec, .. } if spec.need.is_zero() => refuse("a task needs some resource"),
        FrontRequest::Submit { spec, .. } if !plain_name(&spec.id) => {
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
        FrontRequest::Call { request, .. } if !plain_name(request) => {
            refuse("a request id has up to 200 letters, digits, '-', '_' or '.'")
        }
        _ => None,
    }
}

/// Whether the part after the team is a short plain name; '#', '@' and '/' separate parts of task names.
fn plain_name(id: &str) -> bool {
    let name = id.split_once('/').map_or("", |(_, name)| name);
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain)
}
