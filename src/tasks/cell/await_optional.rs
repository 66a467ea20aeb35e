//! Waits for calls that may not be open.

use futures_util::future::LocalBoxFuture;

/// Waits for the call; never returns while there is none.
pub async fn await_optional<T>(call: &mut Option<LocalBoxFuture<'static, T>>) -> T {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
