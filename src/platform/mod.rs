//! The adapter of the platform on which the cell runs: the names, formats and calls of its interfaces,
//! without scheduling decisions.

mod advisor;
mod calls;
mod config;
mod front;
mod jobs;
mod settings;
mod store;
mod workers;

use crate::tasks::cell::ports::CellAdapter;

inventory::submit!(CellAdapter {
    name: "platform",
    variable: "GODWITHAVEN_CONFIG",
    operator_topic: "keyed.op",
    worker_topic: "keyed.servers",
    load: settings::load,
    store: store::connect,
    worker: workers::connect,
    advisor: advisor::connect,
    parse_operator_change: config::parse_operator_change,
    parse_worker_registration: workers::parse_worker_registration,
    parse_job: jobs::decode,
    serve: front::serve,
});
