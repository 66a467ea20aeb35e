//! What the connection to one worker may send during a term, and what its answers tell.

mod answer_change;
mod known_worker;
mod not_sent_reason;
mod poll_request;
mod poll_state;
mod term_authority;
mod worker_session;

pub use answer_change::AnswerChange;
pub use known_worker::KnownWorker;
pub use not_sent_reason::NotSentReason;
pub use poll_request::PollRequest;
pub use term_authority::TermAuthority;
pub use worker_session::WorkerSession;
