//! Awaits a future that exists only some of the time, for use in `select!`.

use futures_util::future::LocalBoxFuture;

/// Returns the output of the future; stays pending while there is none.
pub async fn await_optional<T>(future: &mut Option<LocalBoxFuture<'static, T>>) -> T {
    match future {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}
