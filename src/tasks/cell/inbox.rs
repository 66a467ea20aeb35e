//! Batches messages from the inbox of a task.

use tokio::sync::mpsc;

/// Returns `first` and the messages that are queued behind it, up to `limit` in all; the others stay in the
/// inbox.
pub fn batch<T>(first: T, inbox: &mut mpsc::Receiver<T>, limit: usize) -> impl Iterator<Item = T> {
    // `take` stops before a message beyond the limit is received; a received message could not be put back.
    std::iter::once(first).chain(std::iter::from_fn(|| inbox.try_recv().ok())).take(limit)
}
