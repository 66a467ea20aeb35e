use tokio::sync::mpsc;
use tonic::transport::Channel;

use super::job_state_codec::decode_job_state;
use super::owner_query::{call_with_retry, query_owner};
use crate::kernel::cell::{CellOwner, GraphSpec, JobForecast};
use crate::prelude::*;
use crate::proto::cell::cell_client::CellClient;
use crate::proto::cell::{CountRequest, InspectRequest};
use crate::tasks::cell::owner::{JobAnswer, OwnerMessage};

/// How the owner of the cell is reached.
#[derive(Clone, Debug)]
pub enum OwnerRoute {
    /// The owner is not known.
    Unknown,
    /// The owner is a task of this process.
    Local(CellOwner, mpsc::Sender<OwnerMessage>),
    /// The owner is in another process.
    Remote(CellOwner, CellClient<Channel>),
}

impl OwnerRoute {
    /// Queries the owner for the state of a job; failed calls to another process are retried until the
    /// deadline.
    ///
    /// # Errors
    ///
    /// Returns the reason why the owner gave no answer.
    pub async fn inspect(&self, job: &JobId, deadline: Instant) -> Result<JobAnswer, String> {
        match self {
            Self::Unknown => Err("cell has no owner".to_owned()),
            Self::Local(_, owner) => {
                query_owner(owner, |reply| OwnerMessage::Inspect(job.clone(), reply), deadline).await
            }
            Self::Remote(_, client) => {
                let request = InspectRequest { job: job.to_string() };
                let call = || {
                    let (mut client, request) = (client.clone(), request.clone());
                    async move { client.inspect(request).await }
                };
                let reply = call_with_retry(call, deadline).await?;
                Ok(decode_job_state(reply.state()))
            }
        }
    }

    /// Asks an owner in this process what it would do now with a job.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no forecast, such as the name of another process that owns the cell.
    pub async fn forecast(&self, spec: GraphSpec, deadline: Instant) -> Result<JobForecast, String> {
        match self {
            Self::Unknown => Err("cell has no owner".to_owned()),
            Self::Local(_, owner) => {
                query_owner(owner, |reply| OwnerMessage::Forecast(spec.into(), reply), deadline).await?
            }
            Self::Remote(owner, _) => Err(format!("{} owns the cell; ask that process", owner.process)),
        }
    }

    /// Queries the owner for the number of jobs of a queue that have not started; `None` if an owner in this
    /// process has not read the submissions recently. An owner in another process returns an error instead.
    ///
    /// # Errors
    ///
    /// Returns the reason why the owner gave no answer.
    pub async fn count(&self, queue: &QueueId, deadline: Instant) -> Result<Option<u64>, String> {
        match self {
            Self::Unknown => Err("cell has no owner".to_owned()),
            Self::Local(_, owner) => {
                query_owner(owner, |reply| OwnerMessage::Count(queue.clone(), reply), deadline).await
            }
            Self::Remote(_, client) => {
                let request = CountRequest { queue: queue.to_string() };
                let call = || {
                    let (mut client, request) = (client.clone(), request.clone());
                    async move { client.count(request).await }
                };
                Ok(Some(call_with_retry(call, deadline).await?.jobs))
            }
        }
    }
}
