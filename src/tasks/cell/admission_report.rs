//! The owner's part in refusals for load: it estimates waits, logs them and gives notice of the long ones.

use tokio::sync::mpsc;

use crate::kernel::cell::CellState;
use crate::kernel::cell::admission::{
    AdmissionEstimate, AdmissionNotice, AdmissionWatch, MemoryBudget, StartRates,
};
use crate::prelude::*;
use crate::tasks::cell::admission::AdmissionMessage;
use crate::tasks::cell::decision_log::milliseconds;

/// Interval between two estimates.
pub(super) const ESTIMATE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two notices while there are no long waits and there is ample memory.
const CALM_NOTICE_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest time between two log lines of the expected waits.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// State of the estimates of one term.
pub(super) struct AdmissionReport {
    rates: StartRates,
    watch: AdmissionWatch,
    sender: mpsc::Sender<AdmissionMessage>,
    logged_at: Option<Instant>,
    budget: MemoryBudget,
    /// Whether the last notice named a wait, so that the processes have to be told when there is none.
    is_long: bool,
    noticed_at: Option<Instant>,
}

impl AdmissionReport {
    pub(super) fn new(sender: mpsc::Sender<AdmissionMessage>, budget: MemoryBudget) -> Self {
        Self {
            rates: StartRates::default(),
            watch: AdmissionWatch::default(),
            sender,
            logged_at: None,
            budget,
            is_long: false,
            noticed_at: None,
        }
    }

    /// Estimates the waits for the state of the cell at `now`, and gives notice of the long ones and of the memory
    /// for further jobs.
    pub(super) async fn update(&mut self, state: &CellState, now: Instant) {
        let estimate = AdmissionEstimate::of(state, now).raised_to(self.rates.observe(state, now));
        if self.logged_at.is_none_or(|at| now.saturating_duration_since(at) >= LINE_INTERVAL) {
            self.logged_at = Some(now);
            log_waits(&estimate);
        }
        let waits = self.watch.update(estimate, &state.config, now);
        let is_long = !waits.waits.is_empty();
        let is_due =
            self.noticed_at.is_none_or(|at| now.saturating_duration_since(at) >= CALM_NOTICE_INTERVAL);
        if !std::mem::replace(&mut self.is_long, is_long)
            && !is_long
            && !is_due
            && !self.budget.is_tight(state)
        {
            return;
        }
        self.noticed_at = Some(now);
        let notice = AdmissionNotice { rooms: self.budget.rooms(state), ..waits };
        // The task ends only with the process.
        if self.sender.send(AdmissionMessage::Noticed(notice)).await.is_err() {
            log::debug!("notice of long waits dropped: this process is stopping");
        }
    }
}

/// Logs the expected waits of each queue in which work is waiting.
fn log_waits(estimate: &AdmissionEstimate) {
    for (queue, estimate) in &estimate.queues {
        let Some((team, longest)) = estimate.teams.iter().max_by_key(|(_, wait)| wait.time) else { continue };
        log::info!(queue = &**queue, waiting_steps = estimate.waiting_steps, wait_ms = milliseconds(estimate.other_teams.time),
            cause:% = estimate.other_teams.cause, longest_ms = milliseconds(longest.time),
            longest_cause:% = longest.cause, longest_team = &**team, teams = estimate.teams.len();
            "expected waits of a queue");
    }
}
