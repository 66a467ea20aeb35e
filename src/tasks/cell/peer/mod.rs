//! Calls between entry processes over gRPC: queries to the owner of the cell, relayed records, permit requests of
//! the owner to the placement advisor, and its notices of long waits.

mod advisor_codec;
mod assist_session;
mod call_fault;
mod cell_connection;
mod cell_service;
mod claim_notice;
mod job_state_codec;
mod owner_query;
mod owner_route;
mod owner_search;
mod record_relay;

pub use assist_session::AssistSession;
pub use cell_connection::{connect, serve};
pub use cell_service::CellService;
pub use owner_route::OwnerRoute;
pub use owner_search::locate;
pub use record_relay::relay;

/// Number of permit requests or answers that may be queued in a stream.
const ASSIST_CAPACITY: usize = 4;
