//! Client of the placement advisor, the service that decides which workers may run a step.

use std::rc::Rc;

use awc::http::StatusCode;
use futures_util::FutureExt;
use serde::{Deserialize, Serialize};

use crate::kernel::cell::StepKey;
use crate::platform::calls;
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::cell::ports::AdvisorClient;
use crate::tasks::cell::settings::CellSettings;

/// Largest number of connections to the advisor, which serves the calls of one VM one after another.
const MAX_CONNECTIONS: usize = 2;
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

#[derive(Serialize)]
struct AdviseBody {
    step: String,
    workers: Vec<WorkerId>,
}

#[derive(Deserialize)]
struct AdviseReply {
    /// Name and ticket of each worker that may run the step.
    #[serde(default)]
    good: Vec<(WorkerId, PermitTicket)>,
}

/// Returns a client of the advisor; `None` if the settings name none.
pub fn connect(settings: &CellSettings) -> Option<AdvisorClient> {
    let client = http::persistent_client(MAX_CONNECTIONS);
    let url: Rc<str> = format!("http://{}/api/advise", settings.advisor_address.as_ref()?).into();
    Some(Rc::new(move |step, workers| {
        request_permits(client.clone(), url.clone(), step, workers).boxed_local()
    }))
}

async fn request_permits(
    client: awc::Client,
    url: Rc<str>,
    step: StepKey,
    workers: Vec<WorkerId>,
) -> Result<Vec<(WorkerId, PermitTicket)>, String> {
    let body = AdviseBody { step: step.to_string(), workers };
    let response =
        calls::post(client.post(&*url), &body, ANSWER_TIMEOUT).await.map_err(|fault| fault.reason)?;
    if response.status != StatusCode::OK {
        return Err(response.status.to_string());
    }
    Ok(response.json::<AdviseReply>()?.good)
}
