//! A submission that is to be refused for load, once the owner has said that it does not know the job.

use tokio::sync::{mpsc, oneshot};

use crate::kernel::cell::GraphSpec;
use crate::kernel::cell::admission::{LoadRefusal, waiting_bytes};
use crate::prelude::*;
use crate::tasks::cell::decision_log::milliseconds;
use crate::tasks::cell::intake::{CellRefusal, CellReply, IntakeMessage, respond};
use crate::tasks::cell::peer::OwnerRoute;

/// Longest wait for the owner's answer; the job is admitted without one.
const INSPECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Why a submission is to be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitRefusal {
    /// The job could not be of use to its caller any more.
    Load(LoadRefusal),
    /// There is no memory for the job; the caller may try again after this time.
    Memory(Duration),
}

/// A submission that is to be refused.
#[derive(Debug)]
pub struct PendingRefusal {
    /// The job.
    pub spec: GraphSpec,
    /// Why it is to be refused.
    pub refusal: SubmitRefusal,
    /// When its caller has to have an answer.
    pub deadline: Instant,
    /// The channel for the answer.
    pub reply: oneshot::Sender<CellReply>,
}

impl PendingRefusal {
    /// Asks the owner whether it knows the job, and sends its answer to the task that admits calls.
    pub async fn inspect(self, route: OwnerRoute, intake_sender: mpsc::Sender<IntakeMessage>) {
        let deadline = self.deadline.min(Instant::now() + INSPECT_TIMEOUT);
        let inspection = tokio::time::timeout_at(deadline.into(), route.inspect(&self.spec.id, deadline));
        let answer = inspection.await.unwrap_or_else(|_| Err("owner is too slow".to_owned()));
        if intake_sender.send(IntakeMessage::Inspected(Box::new(self), answer)).await.is_err() {
            log::debug!("submission dropped: this process is stopping");
        }
    }

    /// Refuses the job, and writes a log line if `refusals` says how many there were since the last one.
    pub fn refuse(self, refusals: Option<u64>) {
        let (refusal, retry_after) = match self.refusal {
            SubmitRefusal::Load(refusal) => (CellRefusal::Overloaded(refusal.wait), refusal.retry_after),
            SubmitRefusal::Memory(retry_after) => (CellRefusal::NoMemory, retry_after),
        };
        if let Some(refusals) = refusals {
            let (job, queue, team) = (&*self.spec.id, &*self.spec.queue, &*self.spec.team);
            match self.refusal {
                SubmitRefusal::Load(LoadRefusal { wait, usable_wait, estimate_age, .. }) => {
                    log::info!(job = job, queue = queue, team = team,
                        wait_ms = milliseconds(wait), usable_ms = milliseconds(usable_wait),
                        estimate_age_ms = milliseconds(estimate_age), retry_after_ms = milliseconds(retry_after),
                        refusals = refusals;
                        "call is refused for load");
                }
                SubmitRefusal::Memory(_) => {
                    log::info!(job = job, queue = queue, team = team,
                        bytes = waiting_bytes(&self.spec), retry_after_ms = milliseconds(retry_after),
                        refusals = refusals;
                        "call is refused for lack of memory");
                }
            }
        }
        respond(self.reply, CellReply::Refused(refusal, Some(retry_after)));
    }
}
