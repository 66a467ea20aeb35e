//! Guards against unintended changes in the effects and replies of one request session, which are compared
//! with a golden file.

mod raw_http;
mod routing;

use std::fmt::Write as _;
use std::time::Instant;

use bytes::Bytes;
use godwithaven::kernel::id::AttemptId;
use godwithaven::kernel::{AttemptFailure, FrontReply, RouteEffect, RouteEvent};
use godwithaven::tasks::adapter::EndpointAnswer;
use godwithaven::tasks::metrics::EntryMetrics;
use godwithaven::tasks::partition::PartitionState;
use googletest::prelude::*;
use tokio::sync::oneshot;

use routing::{ms, ready_router, request};

/// A service partition on a logical clock, with its callers and a transcript of events, effects and replies.
struct Session {
    partition: PartitionState,
    metrics: EntryMetrics,
    start: Instant,
    callers: Vec<(String, oneshot::Receiver<FrontReply>)>,
    transcript: String,
}

impl Session {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            partition: PartitionState::new(1, ready_router(3, start)),
            metrics: EntryMetrics::new().unwrap(),
            start,
            callers: Vec::new(),
            transcript: String::new(),
        }
    }

    fn arrive(&mut self, at: u64, caller: &str, id: &str, deadline: u64) {
        let now = self.start + ms(at);
        let mut arrival = request("blue", id, false, now);
        arrival.deadline = now + ms(deadline);
        let (reply, answer) = oneshot::channel();
        self.callers.push((caller.to_owned(), answer));
        let body = Bytes::from(format!("body of {id}"));
        let effects = self.partition.arrive(arrival, body, reply, &self.metrics, now);
        self.record(at, &format!("{caller} sends blue/{id}, deadline {deadline} ms"), effects);
    }

    fn event(&mut self, at: u64, event: RouteEvent) {
        let label = format!("{event:?}");
        let effects = self.partition.router.handle(event, self.start + ms(at));
        self.record(at, &label, effects);
    }

    fn answer(&mut self, at: u64, attempt: AttemptId, text: &'static str) {
        let body = Bytes::from_static(text.as_bytes());
        let size = body.len();
        self.partition.store(attempt, EndpointAnswer { status: 200, body });
        self.event(at, RouteEvent::Answered { attempt, status: 200, size });
    }

    /// Drops a waiting caller, as a closed connection does.
    fn disconnect(&mut self, at: u64, caller: &str) {
        self.callers.retain(|(name, _)| name != caller);
        for id in self.partition.requests_without_callers() {
            self.event(at, RouteEvent::CallersDisconnected(id));
        }
    }

    fn record(&mut self, at: u64, event: &str, effects: Vec<RouteEffect>) {
        let _ = writeln!(self.transcript, "{at:>5} ms  {event}");
        for effect in effects {
            let _ = writeln!(self.transcript, "          -> {effect:?}");
            self.partition.apply(effect, &self.metrics);
        }
        let transcript = &mut self.transcript;
        self.callers.retain_mut(|(caller, answer)| match answer.try_recv() {
            Ok(reply) => {
                let _ = writeln!(transcript, "          <- {caller}: {reply:?}");
                false
            }
            Err(oneshot::error::TryRecvError::Empty) => true,
            Err(oneshot::error::TryRecvError::Closed) => {
                let _ = writeln!(transcript, "          <- {caller}: dropped without an answer");
                false
            }
        });
    }
}

#[gtest]
fn a_session_matches_its_golden_file() {
    // Arrange
    let mut session = Session::new();
    let applied = |id: &str| RouteEvent::IntentAccepted(format!("blue/{id}").into());

    // Act
    // A retry after an endpoint refused to start the request. One caller attaches, and one gets a replay.
    session.arrive(0, "caller-1", "retried", 5_000);
    session.event(10, applied("retried"));
    session.event(20, RouteEvent::Failed(1, AttemptFailure::NotStarted));
    session.arrive(21, "caller-2", "retried", 5_000);
    session.event(60, RouteEvent::Tick);
    session.answer(80, 2, "retried answer");
    session.arrive(90, "caller-3", "retried", 5_000);
    // An answer after the deadline.
    session.arrive(100, "caller-4", "late", 200);
    session.event(110, applied("late"));
    session.event(310, RouteEvent::Tick);
    session.answer(400, 3, "late answer");
    session.arrive(410, "caller-5", "late", 200);
    // Callers that disconnect, one while the request is in flight and one before it is sent.
    session.arrive(500, "caller-6", "cancelled", 5_000);
    session.event(510, applied("cancelled"));
    session.disconnect(520, "caller-6");
    session.answer(530, 4, "unread answer");
    session.arrive(540, "caller-7", "unsent", 5_000);
    session.disconnect(545, "caller-7");
    session.event(550, applied("unsent"));
    // A graceful stop of the owner: requests in flight are answered, new ones are refused.
    session.arrive(600, "caller-8", "running", 5_000);
    session.event(610, applied("running"));
    session.event(620, RouteEvent::Draining);
    session.arrive(630, "caller-9", "next", 5_000);
    session.event(640, RouteEvent::ClaimLost);
    session.answer(700, 5, "running answer");
    let idle = session.partition.is_idle();

    // Assert
    expect_that!(idle, eq(true));
    expect_that!(session.callers.len(), eq(0));
    raw_http::compare_golden("request_session.txt", &session.transcript);
}
