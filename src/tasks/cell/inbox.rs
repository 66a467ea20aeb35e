//! Takes messages that wait for a task.

use tokio::sync::mpsc;

/// Returns a message and those that wait behind it, `most` in all; further ones stay in the inbox.
pub fn batch<T>(first: T, inbox: &mut mpsc::Receiver<T>, most: usize) -> impl Iterator<Item = T> {
    // `take` does not ask for a message beyond the last one, which nobody would handle.
    std::iter::once(first).chain(std::iter::from_fn(|| inbox.try_recv().ok())).take(most)
}
