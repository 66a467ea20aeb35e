//! Generated messages and services of the protocol between entry processes.
//!
//! `GODWITHAVEN_REGENERATE=1 cargo test --test proto` writes them again.

#[allow(missing_docs, clippy::pedantic, clippy::disallowed_methods)]
#[rustfmt::skip]
pub mod cell;
#[allow(missing_docs, clippy::pedantic, clippy::disallowed_methods)]
#[rustfmt::skip]
pub mod peer;
