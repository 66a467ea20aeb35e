//! Admission check that the team, and the queue or service, of a request exist.

use crate::kernel::{AdmissionCheck, FrontRequest, PluginEntry, RefusalReason, RequestRefusal};
use crate::prelude::*;

// Ranked after the key check, so that callers without a key cannot probe which names exist.
inventory::submit!(PluginEntry::Admission(AdmissionCheck { name: "known_target", rank: 30, check }));

fn check(request: &FrontRequest, bundle: &PolicyBundle) -> Option<RequestRefusal> {
    let refuse = |text: String| Some(RequestRefusal::not_run(RefusalReason::NotFound, text));
    if bundle.team(request.team()).is_none() {
        return refuse(format!("team {:?} does not exist", request.team()));
    }
    match request {
        FrontRequest::Submit { spec, .. } if bundle.queue(&spec.queue).is_none() => {
            refuse(format!("queue {:?} does not exist", spec.queue))
        }
        FrontRequest::Call { service, .. } if bundle.service(service).is_none() => {
            refuse(format!("service {service:?} does not exist"))
        }
        _ => None,
    }
}
