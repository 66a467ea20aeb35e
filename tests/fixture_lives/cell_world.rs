use std::sync::Arc;
use std::time::{Duration, Instant};

use godwithaven::kernel::cell::{CellEvent, FormerRelease, GraphSpec, WorkerListing};
use godwithaven_standins::platform::{CallKind, ModelCall, ModelHost, WorkerAction};

use super::{CellStore, LifeAction, LifeCase, OwnerChange, OwnerTerm, RunLedger, START_UNIX_MS, WorkerEntry};
use crate::fixture_cell::{job, step};

/// Logical time of one step.
const STEP: u64 = 20;
/// Time after the last fault within which every task must be done.
const MAX_DRAIN_TIME: u64 = 180_000;
/// Time after which a cell without an owner gets one.
const IDLE_CLAIM_DELAY: u64 = 1_000;
/// Time within which an owner that is to store some more records is killed.
const TORN_BATCH_TIME: u64 = 300;
/// Index of the troubled worker.
const TROUBLED: usize = 0;

/// A cell on a logical clock: its workers, its owners, and the calls between them.
pub struct CellWorld<'a> {
    case: &'a LifeCase,
    origin: Instant,
    now: u64,
    /// By how many milliseconds the wall clock of the troubled worker is ahead.
    wall_ms: i64,
    store: CellStore,
    workers: [ModelHost; 2],
    entries: [WorkerEntry; 2],
    owners: Vec<OwnerTerm>,
    /// When the next owner claims the cell.
    claim_at: Option<u64>,
    ledger: RunLedger,
    noted_records: usize,
    tasks: usize,
    /// Number of owner changes that were asked for.
    changes: usize,
    /// Times and descriptions of what has happened; `None` if nobody will read them.
    timeline: Option<Vec<String>>,
}

impl<'a> CellWorld<'a> {
    /// Plays a case; returns the first violation of a promise, and the timeline if `traces` is set.
    pub fn play(case: &'a LifeCase, traces: bool) -> (Option<String>, Vec<String>) {
        let mut world = Self {
            case,
            origin: Instant::now(),
            now: 0,
            wall_ms: case.wall_ms[0],
            store: CellStore::default(),
            workers: [
                ModelHost::new("w0", START_UNIX_MS.saturating_add_signed(case.wall_ms[0]), case.clock_rate),
                ModelHost::new("w1", START_UNIX_MS, 1_000),
            ],
            entries: [WorkerEntry::new("w0", 8), WorkerEntry::new("w1", 2)],
            owners: Vec::new(),
            claim_at: Some(0),
            ledger: RunLedger::default(),
            noted_records: 0,
            tasks: 0,
            changes: 0,
            timeline: traces.then(Vec::new),
        };
        world.advance(0);
        for (gap, action) in &case.actions {
            world.advance(*gap);
            world.apply(action);
        }
        world.drain();
        (world.ledger.violation, world.timeline.unwrap_or_default())
    }

    /// Ends all faults and waits until every task is done and every call is carried out.
    fn drain(&mut self) {
        self.workers[TROUBLED].end_faults();
        let deadline = self.now + MAX_DRAIN_TIME;
        while !self.is_over() {
            if self.ledger.done_tasks.len() == self.tasks && !self.workers[TROUBLED].has_late_calls() {
                return;
            }
            if self.now > deadline {
                let done = self.ledger.done_tasks.len();
                self.ledger
                    .fail(format!("{done} of {} tasks are done long after the last fault", self.tasks));
            }
            self.step();
        }
    }

    const fn is_over(&self) -> bool {
        self.ledger.violation.is_some() || self.ledger.is_left_out
    }

    fn advance(&mut self, time: u64) {
        let until = self.now + time;
        while self.now <= until && !self.is_over() {
            self.step();
        }
    }

    fn apply(&mut self, action: &LifeAction) {
        self.note(|| format!("{action:?}"));
        match action {
            LifeAction::Submit { tasks, run_ms } => {
                let estimate = Duration::from_millis(*run_ms);
                let mut spec = job(&format!("j{}", self.store.jobs.len()), "batch", vec![step(*tasks)]);
                spec.steps[0].estimate = estimate;
                spec.payload = format!("ms={run_ms}").into();
                self.submit(&spec.into());
            }
            LifeAction::Replace(change) => self.replace_owner(*change),
            LifeAction::Restart { dark_ms, clock_ms, wall_ms, listed_after_ms, resets } => {
                self.wall_ms += wall_ms;
                self.workers[TROUBLED].restart(*dark_ms, *clock_ms, *resets, self.now);
                self.entries[TROUBLED].due = Some(self.now + dark_ms + listed_after_ms);
                self.note_events();
            }
            LifeAction::Cut { for_ms, side } => self.workers[TROUBLED].cut(*for_ms, *side, self.now),
            LifeAction::Delay(delay) => self.workers[TROUBLED].delay(*delay, self.now),
            LifeAction::Move { listed_after_ms } => {
                self.entries[TROUBLED].address += 1;
                self.entries[TROUBLED].due = Some(self.now + listed_after_ms);
            }
        }
    }

    fn submit(&mut self, spec: &Arc<GraphSpec>) {
        self.tasks += spec.tasks() as usize;
        let at = self.at();
        self.store.jobs.push(spec.clone());
        for owner in self.owners.iter_mut().filter(|owner| !owner.is_cut_from_store) {
            owner.scheduler.handle(CellEvent::Submitted(spec.clone()), at);
        }
    }

    /// Ends the term of the present owner. There are three owners at most.
    fn replace_owner(&mut self, change: OwnerChange) {
        let at = self.at();
        let Some(owner) = self.owners.last_mut().filter(|_| self.claim_at.is_none() && self.changes < 2)
        else {
            return;
        };
        self.changes += 1;
        let takeover = match change {
            OwnerChange::Kill { stores_left, takeover_ms } => {
                let torn = if stores_left.is_some() { TORN_BATCH_TIME } else { 0 };
                (owner.stores_left, owner.ends_at) = (stores_left, Some(self.now + torn));
                torn + takeover_ms
            }
            OwnerChange::Depose { for_ms } => {
                (owner.is_cut_from_store, owner.ends_at) = (true, Some(self.now + for_ms));
                0
            }
            OwnerChange::Release { takeover_ms } => {
                owner.ended = Some("released".to_owned());
                let fenced_for = Duration::from_millis(self.now - owner.started_at);
                self.store.release = Some(FormerRelease { read_at: at, fenced_for });
                self.store.next_claim += 1;
                takeover_ms
            }
        };
        self.claim_at = Some(self.now + takeover);
    }

    fn step(&mut self) {
        self.now += STEP;
        for index in 0..self.workers.len() {
            let wall_ms = if index == TROUBLED { self.wall_ms } else { 0 };
            let unix_ms = (START_UNIX_MS + self.now).saturating_add_signed(wall_ms);
            if self.workers[index].step(unix_ms, self.now) {
                let life = self.workers[index].life();
                self.note(|| format!("w{index} starts again as life {life}, born {unix_ms}"));
            }
            self.entries[index].step(&self.workers[index], self.now);
        }
        self.note_events();
        if self.claim_at.is_some_and(|at| self.now >= at) {
            self.claim_at = None;
            let wall_ms = self.case.wall_ms[1 + self.owners.len().min(2)];
            self.owners.push(OwnerTerm::claim(&mut self.store, self.origin, wall_ms, self.now));
            let token = self.store.next_claim;
            self.note(|| format!("owner {token} claims the cell"));
        }
        for index in 0..self.workers.len() {
            self.carry_out_calls(index);
        }
        for index in 0..self.owners.len() {
            self.step_owner(index);
        }
    }

    fn step_owner(&mut self, index: usize) {
        if self.owners[index].ended.is_some() {
            return;
        }
        let entries: Vec<WorkerListing> = self.entries.iter().map(|entry| entry.listing.clone()).collect();
        let outbound = self.owners[index].step(&mut self.store, entries, self.now);
        self.note_records(index);
        for (name, known, mut call) in outbound {
            let worker =
                self.entries.iter().position(|entry| entry.listing.worker == name).unwrap_or(TROUBLED);
            let born = known.incarnation.map(|born| u64::try_from(born.as_millis()).unwrap_or(u64::MAX));
            (call.id.0, call.life) = (index, self.workers[worker].life_of(born));
            if let WorkerAction::Start(task, run, _) = &call.request.action {
                self.ledger.start_lives.insert((task.clone(), *run), call.life);
            }
            let call = self.workers[worker].send(call, index + 1 == self.owners.len());
            if let Some(timeline) = &mut self.timeline
                && is_notable(call)
            {
                timeline.push(format!("{:>7} sends to {name}: {}", self.now, describe(call)));
            }
        }
        if let Some(reason) = self.owners[index].ended.clone() {
            self.note(|| format!("owner {index} ends: {reason}"));
        }
        // An owner that a worker refuses leaves the cell without one.
        if index + 1 == self.owners.len() && self.owners[index].ended.is_some() && self.claim_at.is_none() {
            self.claim_at = Some(self.now + IDLE_CLAIM_DELAY);
        }
    }

    /// Carries out the calls that are due at a worker, and passes the answers on.
    fn carry_out_calls(&mut self, worker: usize) {
        let (ledger, case, now) = (&self.ledger, self.case, self.now);
        let timeline = &mut self.timeline;
        let finished = self.workers[worker].carry_out_calls(
            self.owners.len().saturating_sub(1),
            now,
            |call, host| is_left_out(call, host, ledger, case),
            |call, answer| {
                if let Some(timeline) = timeline
                    && is_notable(call)
                {
                    timeline.push(format!("{now:>7} w{worker} carries out {}: {answer:?}", describe(call)));
                }
            },
        );
        self.note_events();
        for (call, answer) in finished {
            self.owners[call.id.0].finish(&call, answer.as_ref(), now);
        }
    }

    fn note_events(&mut self) {
        for index in 0..self.workers.len() {
            for event in self.workers[index].model.take_events() {
                self.note(|| format!("{event:?}"));
                self.ledger.note_event(&event, &self.workers);
            }
        }
    }

    fn note_records(&mut self, owner: usize) {
        while let Some((record, source)) = self.store.records.get(self.noted_records).cloned() {
            self.noted_records += 1;
            self.note(|| format!("owner {owner} stores {record:?} {source:?}"));
            let known = self.owners[owner].known_incarnations(&self.entries[TROUBLED].listing.worker);
            let [answered, listed] = known.map(|born| self.workers[TROUBLED].life_of(born));
            let known_life = answered.max(listed);
            self.ledger.note_record(&record, source, &self.workers, known_life, self.case.moments);
        }
    }

    fn at(&self) -> Instant {
        self.origin + Duration::from_millis(self.now)
    }

    fn note(&mut self, text: impl FnOnce() -> String) {
        if let Some(timeline) = &mut self.timeline {
            timeline.push(format!("{:>7} {}", self.now, text()));
        }
    }
}

/// Returns whether the case leaves out the moment at which a worker would carry out a call.
fn is_left_out(call: &ModelCall, host: &ModelHost, ledger: &RunLedger, case: &LifeCase) -> bool {
    match &call.request.action {
        WorkerAction::Start(task, run, _) => {
            ledger.is_open_moment(&(task.clone(), *run), host.life(), case.moments)
        }
        WorkerAction::Report(number) if call.life < host.life() => {
            let is_open = |(task, run): (&str, u64)| {
                let key = (task.to_owned(), run);
                ledger.is_unrecorded(&key)
                    && ledger.start_lives.get(&key).is_some_and(|life| *life < host.life())
            };
            !case.moments.restarts_with_open_starts && host.model.ends_up_to(*number).any(is_open)
        }
        _ => false,
    }
}

/// Returns whether the timeline names a call: most polls would only make it long.
fn is_notable(call: &ModelCall) -> bool {
    call.kind() != CallKind::Poll || call.is_delayed
}

fn describe(call: &ModelCall) -> String {
    let ModelCall { id: (owner, number), life, sent_at, state, request, .. } = call;
    format!("call {number} of owner {owner} at {sent_at} for life {life}, {state:?}, {request:?}")
}
