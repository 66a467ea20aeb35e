use super::call_fault::describe;
use super::connect;
use super::owner_query::QUERY_TIMEOUT;
use crate::kernel::cell::CellOwner;
use crate::prelude::*;
use crate::proto::cell::{LocateReply, LocateRequest};

/// Queries the processes at the addresses for the owner of the cell; returns the newest one that they know.
pub async fn locate(addresses: Vec<Arc<str>>) -> Option<CellOwner> {
    let queries = addresses.into_iter().map(|address| async move {
        let answer = locate_at(&address).await;
        // Some of the addresses belong to processes that have stopped.
        answer.inspect_err(
            |reason| log::debug!(address = &*address, reason = &**reason; "process does not answer"),
        )
    });
    let known = futures_util::future::join_all(queries).await;
    known.into_iter().filter_map(Result::ok).flatten().max_by_key(|owner| owner.token)
}

async fn locate_at(address: &str) -> Result<Option<CellOwner>, String> {
    let mut client = connect(address).map_err(|error| error.to_string())?;
    let answer = tokio::time::timeout(QUERY_TIMEOUT, client.locate(LocateRequest {})).await;
    let reply = answer.map_err(|error| error.to_string())?.map_err(|status| describe(&status))?;
    let LocateReply { token, process, address } = reply.into_inner();
    Ok((token > 0).then(|| CellOwner { process: process.into(), address: address.into(), token }))
}
