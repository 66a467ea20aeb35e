//! Plug-ins: admission checks, placement and routing policies, and adapters for HTTP/1.1.
//!
//! Each of these files registers its own plug-in with `inventory::submit!`. The `bundle_*` modules parse,
//! check and sign policy bundles, `packing_score` holds what two placement policies share, and [`http`] what the
//! adapters share.

mod admission_form;
mod admission_key;
mod admission_target;
mod bundle_document;
pub mod bundle_fault;
mod bundle_rules;
pub mod bundle_signature;
pub mod bundle_toml;
mod directory_http;
mod endpoint_http;
mod front_http;
pub mod http;
mod log_http;
mod packing_score;
mod placement_batch_pack;
mod placement_gang_reserve;
mod placement_service_spread;
mod routing_least_wait;
mod routing_round_robin;
mod worker_http;
