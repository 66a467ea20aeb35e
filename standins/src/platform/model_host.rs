use std::time::Duration;

use crate::platform::{
    CallDelay, CallState, CutSide, ModelCall, WorkerAction, WorkerAnswer, WorkerClock, WorkerModel,
    WorkerOutcome, WorkerRequest,
};

/// Longest time from the sending of a call to the moment at which a worker carries it out, in milliseconds.
const MAX_CALL_DELAY: u64 = 12_000;
/// Time from the sending of a call to the moment at which it is usually carried out.
const USUAL_DELAY: u64 = 20;
/// Time on the clock of the first incarnation at its start.
const FIRST_CLOCK_MS: u64 = 3_000_000;

/// A worker on a logical clock with the calls to it: it restarts under its id, is cut off, and carries calls out late.
/// Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct ModelHost {
    /// The worker.
    pub model: WorkerModel,
    /// Starts of all incarnations in Unix milliseconds.
    births: Vec<u64>,
    clock_rate: u32,
    /// When the next incarnation starts, and its clock; `None` unless the worker is down.
    restart: Option<(u64, u64)>,
    /// Whether callers are told that the worker is down.
    resets: bool,
    /// Until when some callers do not reach the worker.
    cut: (u64, CutSide),
    /// The delays of calls, with the time at which they were set.
    delays: Vec<(u64, CallDelay)>,
    calls: Vec<ModelCall>,
}

impl ModelHost {
    /// Returns a worker whose first incarnation starts at time 0.
    #[must_use]
    pub fn new(name: &str, born: u64, clock_rate: u32) -> Self {
        let clock = WorkerClock { started_at: Duration::ZERO, first_ms: FIRST_CLOCK_MS, rate: clock_rate };
        Self {
            model: WorkerModel::new(name, born, clock),
            births: vec![born],
            clock_rate,
            restart: None,
            resets: false,
            cut: (0, CutSide::All),
            delays: Vec::new(),
            calls: Vec::new(),
        }
    }

    /// Returns the number of the newest incarnation, counted from 0.
    #[must_use]
    pub fn life(&self) -> u32 {
        u32::try_from(self.births.len() - 1).unwrap_or(u32::MAX)
    }

    /// Returns the number of the incarnation with this start; 0 if it is unknown.
    #[must_use]
    pub fn life_of(&self, born: Option<u64>) -> u32 {
        let number = self.births.iter().rposition(|birth| born == Some(*birth));
        u32::try_from(number.unwrap_or_default()).unwrap_or(u32::MAX)
    }

    /// Returns whether the worker is between two incarnations.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.restart.is_some()
    }

    /// Returns whether a caller does not reach the worker.
    #[must_use]
    pub fn is_cut_from(&self, is_newest: bool, now: u64) -> bool {
        let (until, side) = self.cut;
        now < until && (side == CutSide::All || (side == CutSide::Newest) == is_newest)
    }

    /// Returns whether a fault has delayed a call that is not carried out yet.
    #[must_use]
    pub fn has_late_calls(&self) -> bool {
        self.calls.iter().any(|call| call.is_delayed && matches!(call.state, CallState::Due(_)))
    }

    /// Ends the worker; it starts again after `dark_ms` with a clock that differs from the former one by `clock_ms`.
    /// With `resets`, callers are told at once; calls that are delayed are carried out all the same.
    pub fn restart(&mut self, dark_ms: u64, clock_ms: i64, resets: bool, now: u64) {
        if self.is_down() {
            return;
        }
        let clock = self.model.clock_ms(Duration::from_millis(now)).saturating_add_signed(clock_ms);
        self.model.stop();
        (self.restart, self.resets) = (Some((now + dark_ms, clock)), resets);
        for call in &mut self.calls {
            if matches!(call.state, CallState::Open(..)) {
                call.state = CallState::Over;
            }
            if resets {
                call.times_out_at = now;
            }
        }
    }

    /// Cuts the worker off from some callers.
    pub const fn cut(&mut self, for_ms: u64, side: CutSide, now: u64) {
        self.cut = (now + for_ms, side);
    }

    /// Delays calls that are sent from now on.
    pub fn delay(&mut self, delay: CallDelay, now: u64) {
        self.delays.push((now, delay));
    }

    /// Ends all faults but a restart that is under way.
    pub fn end_faults(&mut self) {
        self.cut.0 = 0;
        self.delays.clear();
    }

    /// Advances the worker; returns whether an incarnation has started, whose start is `unix_ms`.
    pub fn step(&mut self, unix_ms: u64, now: u64) -> bool {
        let due = self.restart.take_if(|(at, _)| now >= *at);
        if let Some((_, first_ms)) = due {
            let started_at = Duration::from_millis(now);
            self.model.start(unix_ms, WorkerClock { started_at, first_ms, rate: self.clock_rate });
            self.births.push(unix_ms);
        }
        self.model.advance(Duration::from_millis(now));
        due.is_some()
    }

    /// Takes a call that is sent now, and decides when it is carried out.
    pub fn send(&mut self, mut call: ModelCall, is_newest: bool) -> &ModelCall {
        let now = call.sent_at;
        call.state = CallState::Due(now + USUAL_DELAY);
        for (set_at, CallDelay { for_ms, delay_ms, kind, reversed }) in &self.delays {
            if now > set_at + for_ms || kind.is_some_and(|kind| kind != call.kind()) {
                continue;
            }
            call.is_delayed = true;
            call.loses_answer |= delay_ms.is_none();
            if let Some(delay) = delay_ms {
                let passed = if *reversed { 2 * (now - set_at) } else { *for_ms };
                let due = (now + for_ms + delay).saturating_sub(passed);
                call.state = CallState::Due(due.clamp(now + USUAL_DELAY, now + MAX_CALL_DELAY));
            }
        }
        let is_cut = self.is_cut_from(is_newest, now);
        if is_cut && let CallState::Due(due) = call.state {
            // A delayed call waits in the network, for the end of the cut at least.
            let due = due.max(self.cut.0);
            let is_lost = !call.is_delayed || due > now + MAX_CALL_DELAY;
            call.state = if is_lost { CallState::Over } else { CallState::Due(due) };
        } else if self.is_down() && self.resets {
            (call.state, call.times_out_at) = (CallState::Refused, now);
        } else if self.is_down() && !call.is_delayed {
            call.state = CallState::Over;
        }
        self.calls.push(call);
        &self.calls[self.calls.len() - 1]
    }

    /// Carries out the calls that are due, but for those that `leaves_out` names, and answers the polls that have been
    /// held open. Returns the calls that are answered, and those whose callers have waited for too long.
    pub fn carry_out_calls(
        &mut self,
        newest: usize,
        now: u64,
        leaves_out: impl Fn(&ModelCall, &Self) -> bool,
        mut note: impl FnMut(&ModelCall, &WorkerAnswer),
    ) -> Vec<(ModelCall, Option<WorkerAnswer>)> {
        let mut calls = std::mem::take(&mut self.calls);
        calls.sort_by_key(|call| if let CallState::Due(due) = call.state { due } else { 0 });
        let mut finished = Vec::new();
        for call in &mut calls {
            let answer = match call.state {
                CallState::Due(due) if due <= now => self.carry_out(call, now, &leaves_out),
                CallState::Open(life, until) => self.answer_open(call, life, until, now),
                _ => None,
            };
            if let Some(answer) = &answer {
                note(call, answer);
            }
            let is_lost = call.loses_answer || self.is_cut_from(call.id.0 == newest, now);
            let answer = answer.filter(|_| !is_lost && !matches!(call.state, CallState::Open(..)));
            if call.is_awaited && (answer.is_some() || now >= call.times_out_at) {
                call.is_awaited = false;
                finished.push((call.clone(), answer));
            }
        }
        calls.retain(|call| call.is_awaited || call.is_under_way());
        self.calls = calls;
        finished
    }

    /// Carries out a call; a poll without ends to report stays open.
    fn carry_out(
        &mut self,
        call: &mut ModelCall,
        now: u64,
        leaves_out: impl Fn(&ModelCall, &Self) -> bool,
    ) -> Option<WorkerAnswer> {
        if self.is_down() {
            if now > call.sent_at + MAX_CALL_DELAY {
                call.state = CallState::Over;
            }
            return None;
        }
        call.state = CallState::Over;
        if leaves_out(call, self) {
            return None;
        }
        let answer = self.model.carry_out(&call.request, Duration::from_millis(now));
        let has_no_ends =
            matches!(&answer.outcome, WorkerOutcome::Reported(report) if report.finished.is_empty());
        if has_no_ends && call.wait_ms > 0 {
            call.state = CallState::Open(self.life(), now + call.wait_ms);
        }
        Some(answer)
    }

    fn answer_open(&mut self, call: &mut ModelCall, life: u32, until: u64, now: u64) -> Option<WorkerAnswer> {
        let is_due = self.model.has_ends() || now >= until;
        if life != self.life() || self.is_down() || !is_due {
            return None;
        }
        call.state = CallState::Over;
        let request =
            WorkerRequest { until_ms: None, action: WorkerAction::Report(0), token: call.request.token };
        Some(self.model.carry_out(&request, Duration::from_millis(now)))
    }
}
