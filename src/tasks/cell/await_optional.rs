//! Awaits a call that is in flight only some of the time, for use in `select!`.

use futures_util::future::LocalBoxFuture;

/// Returns the output of the call; stays pending while there is none.
pub async fn await_optional<T>(call: &mut Option<LocalBoxFuture<'static, T>>) -> T {
    match call {
        Some(call) => call.await,
        None => std::future::pending().await,
    }
}
