use crate::prelude::*;
use crate::proto::cell::{AdvisorAnswer, AdvisorGrant};

pub(super) fn encode_grants(
    number: u64,
    result: Result<Vec<(WorkerId, PermitTicket)>, String>,
) -> AdvisorAnswer {
    match result {
        Ok(granted) => {
            let grant = |(worker, ticket): (WorkerId, PermitTicket)| AdvisorGrant {
                worker: worker.to_string(),
                ticket: ticket.to_string(),
            };
            AdvisorAnswer {
                number,
                failed: false,
                granted: granted.into_iter().map(grant).collect(),
                millicores: None,
            }
        }
        Err(reason) => {
            log::info!(question = number, reason = &*reason; "advisor question failed");
            AdvisorAnswer { number, failed: true, granted: Vec::new(), millicores: None }
        }
    }
}

pub(super) fn decode_grants(answer: AdvisorAnswer) -> Result<Vec<(WorkerId, PermitTicket)>, String> {
    if answer.failed {
        return Err("proxy got no permits from the advisor".to_owned());
    }
    Ok(answer.granted.into_iter().map(|grant| (grant.worker.into(), grant.ticket.into())).collect())
}
