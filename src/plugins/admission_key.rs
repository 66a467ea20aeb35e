//! Admission check that a request carries a key granted to its team.

use crate::kernel::{AdmissionCheck, FrontRequest, PluginEntry, RefusalReason, RequestRefusal};
use crate::prelude::*;

inventory::submit!(PluginEntry::Admission(AdmissionCheck { name: "team_key", rank: 20, check }));

fn check(request: &FrontRequest, bundle: &PolicyBundle) -> Option<RequestRefusal> {
    if targets_open_queue(request, bundle) {
        return None;
    }
    let refuse = |code, text: &str| Some(RequestRefusal::not_run(code, text));
    let Some(digest) = request.key() else {
        return refuse(RefusalReason::KeyMissing, "the request carries no team key");
    };
    let digest = hex::encode(digest);
    let Some(key) = bundle.keys.iter().find(|key| key.sha256.eq_ignore_ascii_case(&digest)) else {
        return refuse(RefusalReason::KeyUnknown, "the key is not granted");
    };
    if *key.team != *request.team() {
        return refuse(RefusalReason::KeyOfOtherTeam, "the key belongs to another team");
    }
    None
}

/// Whether the request submits a job to a queue that needs no key, under the team to which that queue is
/// accounted.
fn targets_open_queue(request: &FrontRequest, bundle: &PolicyBundle) -> bool {
    let FrontRequest::Submit { spec, .. } = request else { return false };
    let queue = bundle.queue(&spec.queue);
    queue.and_then(|queue| queue.open_to_all_as.as_ref()).is_some_and(|team| *team == spec.team)
}
