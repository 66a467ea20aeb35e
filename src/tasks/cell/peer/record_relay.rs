use tonic::transport::Channel;

use super::call_fault::describe;
use crate::prelude::*;
use crate::proto::cell::cell_client::CellClient;
use crate::proto::cell::{RelayOutcome, RelayRequest};

/// Part of a caller's deadline that is kept for the answer of the owner's process, as only an answer shows
/// that the record was refused.
const RELAY_MARGIN: Duration = Duration::from_millis(200);

/// Relays a record to the owner's process, which stores it.
///
/// The record is sent only once: an unanswered call may still take effect later, so the refusal of a second
/// one would not show that the record is not stored.
///
/// # Errors
///
/// Returns the reason why the outcome is unknown; the record may be stored.
pub async fn relay(
    client: &CellClient<Channel>,
    record: &[u8],
    deadline: Instant,
) -> Result<RelayOutcome, String> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let time = time_left.saturating_sub(RELAY_MARGIN);
    let time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let mut client = client.clone();
    let call = client.relay(RelayRequest { record: record.to_vec(), time_ms });
    match tokio::time::timeout(time_left, call).await {
        Ok(Ok(reply)) => Ok(reply.into_inner().outcome()),
        Ok(Err(status)) => Err(describe(&status)),
        Err(_) => Err("owner is too slow".to_owned()),
    }
}
