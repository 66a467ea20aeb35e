use crate::kernel::{AdmissionCheck, FrontRequest, PluginEntry, RefusalReason, TeamRefusal};
use crate::prelude::*;

inventory::submit!(PluginEntry::Admission(AdmissionCheck { name: "job_form", rank: 0, check }));

/// Most tasks in one job.
const MAX_TASKS: u32 = 10_000;

/// Longest job or request name in bytes.
const MAX_NAME: usize = 200;

fn check(request: &FrontRequest, _bundle: &PolicyBundle) -> Option<TeamRefusal> {
    let refuse = |text: &str| Some(TeamRefusal::not_run(RefusalReason::BadRequest, text));
    match request {
        FrontRequest::Submit { spec, .. } if spec.tasks == 0 || spec.tasks > MAX_TASKS => {
            refuse("a job has 1 to 10000 tasks")
        }
        FrontRequest::Submit { spec, .. } if spec.need.is_zero() => refuse("a task needs some resource"),
        FrontRequest::Submit { spec, .. } if !plain_name(&spec.id) => {
            refuse("a job name has up to 200 letters, digits, '-', '_' or '.'")
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
