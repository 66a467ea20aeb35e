use std::cmp::Reverse;
use std::hash::{BuildHasher, BuildHasherDefault};

use rustc_hash::FxHasher;

use crate::kernel::cell::{
    CellEffect, CellState, PermitRule, QueueRule, StepKey, StepSpec, StepWait, TaskKey, TaskRank,
    VictimSearch,
};
use crate::prelude::*;

/// Most workers that one question to the advisor may name.
const MOST_ASKED: usize = 40;
/// Workers of a service that are compared for one step; more of them cost time and give hardly better places.
const WINDOW: usize = 128;
/// Steps that are looked at in one pass, so that a long queue does not slow it down.
const MOST_STEPS: usize = 4_000;
/// Steps that find no room or no permit in one pass, after which others that need the same kind of worker are not looked
/// at: the search over the workers costs most of a pass, and they would find no room either.
const MOST_BLOCKED: usize = 40;
/// Waiting steps of a service whose permits are renewed ahead, so that room that becomes free is used at once.
const RENEWED_AHEAD: usize = 8;
/// Rest of a permit's time at which it is renewed ahead.
const RENEWAL_MARGIN: Duration = Duration::from_millis(500);
/// Questions that may be open for each process that asks, so that an urgent one does not wait long.
const QUESTIONS_PER_PROXY: usize = 2;
/// Added to the priority of questions for teams that have submitted more than they are owed.
const EXCESS_QUESTION: u32 = 1_000;
/// Tasks that are stopped in one pass for more urgent ones.
const MOST_VICTIMS: usize = 24;

/// Decides which waiting tasks start now, on which workers, and which tasks yield.
pub struct StartPass<'a> {
    /// The cell.
    pub state: &'a mut CellState,
    /// The present time.
    pub now: Instant,
    held: FastMap<u32, ResourceVector>,
    /// What each team uses with tasks that are being stopped.
    team_stopping: Option<FastMap<TeamId, ResourceVector>>,
    /// Teams of which nothing more can yield in this pass, by the rank that asked.
    team_spent: FastMap<TeamId, TaskRank>,
    /// Steps that found no room or no permit, by the kind of worker that they need.
    blocked: FastMap<WorkerDemand, usize>,
    victims_left: usize,
}

/// A worker on which tasks of a step may be placed, as far as its labels and the configuration say.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Workers with slow runs come last.
    slow: bool,
    /// Workers on the wanted rack come first.
    far: bool,
    /// Room that would be left, in thousandths; its sense depends on the step.
    score: Reverse<i64>,
    slot: u32,
    /// How many tasks it has room for.
    count: u32,
    /// How many more tasks of the step it may run at all.
    most: u32,
}

/// The kind of worker that a step needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WorkerDemand {
    service: ServiceId,
    label: Option<LabelId>,
    accelerators: bool,
}

impl WorkerDemand {
    fn of(step: &StepSpec, rule: &QueueRule) -> Self {
        let accelerators = step.need.accelerators > 0;
        Self { service: rule.service.clone(), label: step.label.clone(), accelerators }
    }
}

/// A step that is being placed.
struct PlacedStep<'a> {
    key: &'a StepKey,
    rule: QueueRule,
    rank: TaskRank,
    reserved: ResourceVector,
    wanted: u32,
}

impl<'a> StartPass<'a> {
    /// Returns a pass over the cell.
    #[must_use]
    pub fn new(state: &'a mut CellState, now: Instant) -> Self {
        Self {
            state,
            now,
            held: FastMap::default(),
            team_stopping: None,
            team_spent: FastMap::default(),
            blocked: FastMap::default(),
            victims_left: MOST_VICTIMS,
        }
    }

    /// Places what can be placed, in the order of starts.
    pub fn run(mut self) {
        let steps: Vec<StepKey> =
            self.state.ready.iter().take(MOST_STEPS).map(|(_, key)| key.clone()).collect();
        for key in steps {
            self.place(&key);
        }
    }

    fn place(&mut self, key: &StepKey) {
        let Some((spec, step, state)) = self.state.step(key) else { return };
        let Some(rule) = self.state.config.queues.get(&spec.queue) else { return };
        let demand = WorkerDemand::of(step, rule);
        if self.blocked.get(&demand).is_some_and(|blocked| *blocked >= MOST_BLOCKED) {
            return;
        }
        let rule = rule.clone();
        if step.gang && state.placed > 0 {
            return;
        }
        let (reserved, gang) = (step.reserved(), step.gang);
        let rank = (state.rank.is_some_and(|rank| rank.excess), rule.priority);
        let (waiting, wanted) = self.allowed(key);
        if wanted < waiting {
            self.make_room_in_team(key, rank, waiting - wanted);
        }
        if wanted == 0 {
            self.note_wait(key, StepWait::TeamLimit);
            return;
        }
        let placed = PlacedStep { key, rule, rank, reserved, wanted };
        let candidates = self.candidates(&placed);
        let started =
            if gang { self.start_gang(&placed, &candidates) } else { self.start_tasks(&placed, &candidates) };
        let missing = wanted - started;
        if missing == 0 {
            return;
        }
        let candidates = if started > 0 { self.candidates(&placed) } else { candidates };
        let blocked = self.blocked.entry(demand).or_default();
        *blocked += 1;
        let rank = *blocked;
        if let Some(permits) = placed.rule.permits {
            self.ask(&placed, permits, &candidates, rank);
        }
        let permitted = candidates.iter().any(|candidate| self.may_start_soon(&placed, candidate.slot));
        self.note_wait(key, if permitted { StepWait::Room } else { StepWait::Permit });
        self.make_room(&placed, &candidates, missing);
    }

    fn note_wait(&mut self, key: &StepKey, wait: StepWait) {
        if let Some(state) = self.state.step_mut(key) {
            state.wait = Some(wait);
        }
    }

    /// Returns how many tasks of a step could start, and how many of them the limit of its team allows.
    fn allowed(&self, key: &StepKey) -> (u32, u32) {
        let Some((spec, step, state)) = self.state.step(key) else { return (0, 0) };
        let due = |index: &&u32| state.tasks[**index as usize].may_start(self.now);
        let waiting = u32::try_from(state.waiting.iter().filter(due).count()).unwrap_or(u32::MAX);
        if spec.team.is_empty() {
            return (waiting, waiting);
        }
        let urgent = step.long_running || step.gang || state.rank.is_some_and(|rank| rank.priority == 0);
        let room = self.state.shares.remaining_allotment(&spec.team);
        let room = if urgent { room } else { room.minus(self.headroom(&spec.team)) };
        let room = if step.need.fits(room) { step.need.count_in(room) } else { 0 };
        let allowed = u32::try_from(room).unwrap_or(u32::MAX).min(waiting);
        (waiting, if step.gang && allowed < step.tasks { 0 } else { allowed })
    }

    /// Returns how much of its limit a team keeps free for urgent tasks.
    fn headroom(&self, team: &TeamId) -> ResourceVector {
        let limit = self.state.config.teams.get(team).map(|rule| rule.limit).unwrap_or_default();
        self.state.headroom.kept(team, limit, self.now)
    }

    /// Stops less urgent tasks of a team at its limit for missing tasks.
    fn make_room_in_team(&mut self, key: &StepKey, rank: TaskRank, missing: u32) {
        let Some((spec, step, _)) = self.state.step(key) else { return };
        let team = spec.team.clone();
        let wanted = step.need.times(u64::from(missing));
        let spent = self.team_spent.get(&team).is_some_and(|spent| rank >= *spent);
        if spent || self.victims_left == 0 {
            return;
        }
        let free = self.state.shares.remaining_allotment(&team).plus(self.stopping_of(&team));
        if wanted.fits(free) {
            return;
        }
        let search = VictimSearch { state: self.state, rank };
        let victims = search.find_in_team(&team, wanted, free, self.now);
        if victims.is_empty() {
            self.team_spent.insert(team.clone(), rank);
        }
        for victim in victims.into_iter().take(self.victims_left) {
            self.victims_left -= 1;
            self.count_stopping(&victim, &team);
            self.state.preempt(&victim, "yields_in_team", self.now);
        }
    }

    fn count_stopping(&mut self, victim: &TaskKey, team: &TeamId) {
        let Some((_, step, _)) = self.state.step(&victim.step) else { return };
        let need = step.need;
        if let Some(stopping) = &mut self.team_stopping {
            let sum = stopping.entry(team.clone()).or_default();
            *sum = sum.plus(need);
        }
        self.state.headroom.note(team, need, self.now);
    }

    /// Returns what the tasks of a team use that are being stopped.
    fn stopping_of(&mut self, team: &TeamId) -> ResourceVector {
        let state = &self.state;
        let stopping = self.team_stopping.get_or_insert_with(|| {
            let mut sums: FastMap<TeamId, ResourceVector> = FastMap::default();
            for (key, _) in state.placements.iter().filter(|(_, placement)| placement.stopping.is_some()) {
                if let Some((spec, step, _)) = state.step(&key.step) {
                    let sum = sums.entry(spec.team.clone()).or_default();
                    *sum = sum.plus(step.need);
                }
            }
            sums
        });
        stopping.get(team).copied().unwrap_or_default()
    }

    /// Returns the workers that may run tasks of the step, the best first; some have no room.
    fn candidates(&self, placed: &PlacedStep<'_>) -> Vec<Candidate> {
        let Some((_, step, state)) = self.state.step(placed.key) else { return Vec::new() };
        let Some(pool) = self.state.pools.get(&placed.rule.service) else { return Vec::new() };
        let with_permits = placed.rule.permits.is_some();
        let mut candidates = Vec::new();
        let near =
            step.rack.as_ref().and_then(|rack| self.state.racks.get(rack)).map_or(&[][..], |slots| slots);
        let of_service = |slot: &&u32| {
            self.state.worker(**slot).is_some_and(|worker| worker.listing.service == placed.rule.service)
        };
        let window = search_window(placed.key, pool, state.permits.verdict_count());
        for slot in window.chain(near.iter().filter(of_service)) {
            let Some(worker) = self.state.worker(*slot) else { continue };
            let capacity = worker.listing.capacity;
            if !placed.reserved.fits(capacity) || !worker.is_schedulable(self.now) || !worker.suits(step) {
                continue;
            }
            if with_permits && state.permits.is_denied(*slot) {
                continue;
            }
            let there = state.per_worker.get(slot).copied().unwrap_or_default();
            let most = step.most_per_worker.map_or(u32::MAX, |most| most.saturating_sub(there));
            if most == 0 {
                continue;
            }
            let held = self.held.get(slot).copied().unwrap_or_default();
            let free = worker.free().minus(held);
            let count = if placed.reserved.fits(free) { placed.reserved.count_in(free) } else { 0 };
            let count = u32::try_from(count).unwrap_or(u32::MAX).min(most);
            let far = step.rack.as_ref().is_some_and(|rack| worker.listing.rack.as_ref() != Some(rack));
            let score = Reverse(score(step, free, capacity));
            let slow = worker.is_slow(self.now);
            candidates.push(Candidate { slow, far, score, slot: *slot, count, most });
        }
        candidates.sort_unstable();
        candidates.dedup_by_key(|candidate| candidate.slot);
        candidates
    }

    /// Returns those of the candidates with room on which a start would be accepted now.
    fn permitted(
        &self,
        placed: &PlacedStep<'_>,
        candidates: &[Candidate],
    ) -> Vec<(Candidate, Option<PermitTicket>)> {
        let Some((_, _, state)) = self.state.step(placed.key) else { return Vec::new() };
        let permit = |candidate: &Candidate| {
            if placed.rule.permits.is_none() {
                return Some((candidate.clone(), None));
            }
            let ticket = state.permits.ticket(candidate.slot, self.now)?.clone();
            Some((candidate.clone(), Some(ticket)))
        };
        candidates.iter().filter(|candidate| candidate.count > 0).filter_map(permit).collect()
    }

    /// Starts waiting tasks one by one on the best workers; returns how many.
    fn start_tasks(&mut self, placed: &PlacedStep<'_>, candidates: &[Candidate]) -> u32 {
        let permitted = self.permitted(placed, candidates);
        let Some((_, _, state)) = self.state.step(placed.key) else { return 0 };
        let due = |index: &u32| state.tasks[*index as usize].may_start(self.now);
        let waiting = state.waiting.iter().copied().filter(due);
        let waiting: Vec<u32> = waiting.take(placed.wanted as usize).collect();
        let mut waiting = waiting.into_iter();
        let mut left: Vec<u32> = permitted.iter().map(|(candidate, _)| candidate.count).collect();
        let mut started = 0;
        // One task a worker in each round, so that a wide step spreads.
        while left.iter().any(|count| *count > 0) {
            for (left, (candidate, ticket)) in left.iter_mut().zip(&permitted) {
                if *left == 0 {
                    continue;
                }
                let Some(index) = waiting.next() else { return started };
                *left -= 1;
                self.state.start(&placed.key.task(index), candidate.slot, ticket.clone(), self.now);
                started += 1;
            }
        }
        started
    }

    /// Starts all tasks of a gang, or none; returns how many.
    fn start_gang(&mut self, placed: &PlacedStep<'_>, candidates: &[Candidate]) -> u32 {
        let permitted = self.permitted(placed, candidates);
        let same_rack = self.state.step(placed.key).is_some_and(|(_, step, _)| step.same_rack);
        let mut groups: Vec<Vec<&(Candidate, Option<PermitTicket>)>> = Vec::new();
        if same_rack {
            let mut racks: FastMap<Option<RackId>, Vec<&(Candidate, Option<PermitTicket>)>> =
                FastMap::default();
            for entry in &permitted {
                let rack = self.state.worker(entry.0.slot).and_then(|worker| worker.listing.rack.clone());
                racks.entry(rack).or_default().push(entry);
            }
            groups.extend(racks.into_values());
        }
        groups.push(permitted.iter().collect());
        let wanted = placed.wanted as usize;
        for group in groups {
            let slots = group.iter().flat_map(|(candidate, ticket)| {
                std::iter::repeat_n((candidate.slot, ticket.clone()), candidate.count as usize)
            });
            let slots: Vec<(u32, Option<PermitTicket>)> = slots.take(wanted).collect();
            if slots.len() == wanted {
                self.state.start_gang(placed.key, &slots, self.now);
                return placed.wanted;
            }
        }
        0
    }

    /// Asks the advisor about workers whose verdict is not known or whose permit ends, if that helps.
    ///
    /// Verdicts do not change and a question costs little more for more workers, so the first one names all that
    /// may run the step, and later ones only those that were granted.
    fn ask(&mut self, placed: &PlacedStep<'_>, rule: PermitRule, candidates: &[Candidate], rank: usize) {
        let now = self.now;
        let bound = self.state.advisor_proxies.max(1) * QUESTIONS_PER_PROXY;
        if self.state.open_questions >= bound && placed.rank > (false, 0) {
            return;
        }
        let Some((_, _, state)) = self.state.step(placed.key) else { return };
        if !state.permits.may_ask(now) {
            return;
        }
        let margin = if rank <= RENEWED_AHEAD { RENEWAL_MARGIN } else { Duration::ZERO };
        let lacks = |candidate: &&Candidate| state.permits.ticket(candidate.slot, now + margin).is_none();
        let mut slots: Vec<&Candidate> = candidates.iter().filter(lacks).collect();
        let known = |candidate: &Candidate| state.permits.is_known_good(candidate.slot);
        let any_known = candidates.iter().any(known);
        let useful = slots.iter().any(|candidate| candidate.count > 0) || rank <= RENEWED_AHEAD;
        if slots.is_empty() || !useful {
            return;
        }
        if any_known {
            slots.retain(|candidate| known(candidate) || candidate.count > 0);
        }
        slots.sort_by_key(|candidate| (!known(candidate), candidate.count == 0));
        slots.truncate(MOST_ASKED);
        let names = slots.iter().filter_map(|candidate| self.state.worker(candidate.slot));
        let workers: Vec<WorkerId> = names.map(|worker| worker.listing.worker.clone()).collect();
        if workers.is_empty() {
            return;
        }
        if let Some(state) = self.state.step_mut(placed.key) {
            state.permits.ask();
        }
        self.state.open_questions += 1;
        let priority = placed.rule.priority + if placed.rank.0 { EXCESS_QUESTION } else { 0 };
        let step = placed.key.clone();
        self.state.effects.push(CellEffect::AskPermits { step, rule, priority, workers });
    }

    /// Keeps room for the tasks that are missing, and stops less urgent tasks if there is not enough.
    fn make_room(&mut self, placed: &PlacedStep<'_>, candidates: &[Candidate], missing: u32) {
        if !self.could_fit(placed, candidates) {
            return;
        }
        let mut left = missing;
        for candidate in candidates {
            if !self.may_start_soon(placed, candidate.slot) {
                continue;
            }
            let mut most = candidate.most;
            while left > 0 && most > 0 {
                let room = self.room_soon(placed, candidate);
                let room = if room > 0 { room } else { self.preempt(placed, candidate) };
                let kept = room.min(left).min(most);
                if kept == 0 {
                    break;
                }
                let held = self.held.entry(candidate.slot).or_default();
                *held = held.plus(placed.reserved.times(u64::from(kept)));
                left -= kept;
                most -= kept;
            }
        }
    }

    /// Whether the workers hold all tasks of a gang when they are empty; one that never fits must keep no room.
    fn could_fit(&self, placed: &PlacedStep<'_>, candidates: &[Candidate]) -> bool {
        if self.state.step(placed.key).is_none_or(|(_, step, _)| !step.gang) {
            return true;
        }
        let holds = candidates.iter().filter_map(|candidate| {
            let capacity = self.state.worker(candidate.slot)?.listing.capacity;
            Some(placed.reserved.count_in(capacity).min(u64::from(candidate.most)))
        });
        holds.sum::<u64>() >= u64::from(placed.wanted)
    }

    /// Whether the step may soon start on the worker: it holds a permit for it, or is getting one.
    fn may_start_soon(&self, placed: &PlacedStep<'_>, slot: u32) -> bool {
        if placed.rule.permits.is_none() {
            return true;
        }
        let Some((_, _, state)) = self.state.step(placed.key) else { return false };
        state.permits.ticket(slot, self.now).is_some()
            || (state.permits.is_asking() && state.permits.is_known_good(slot))
    }

    /// Returns how many tasks fit on the worker once the tasks that are being stopped have ended.
    fn room_soon(&self, placed: &PlacedStep<'_>, candidate: &Candidate) -> u32 {
        let Some(worker) = self.state.worker(candidate.slot) else { return 0 };
        let held = self.held.get(&candidate.slot).copied().unwrap_or_default();
        let free = worker.free().plus(worker.stopping).minus(held);
        let count = if placed.reserved.fits(free) { placed.reserved.count_in(free) } else { 0 };
        u32::try_from(count).unwrap_or(u32::MAX).min(candidate.most)
    }

    /// Stops less urgent tasks on the worker until one task of the step fits; returns how many will.
    fn preempt(&mut self, placed: &PlacedStep<'_>, candidate: &Candidate) -> u32 {
        if self.victims_left == 0 {
            return 0;
        }
        let held = self.held.get(&candidate.slot).copied().unwrap_or_default();
        let search = VictimSearch { state: self.state, rank: placed.rank };
        let wanted = placed.reserved.plus(held);
        let Some(victims) = search.find_on(candidate.slot, wanted, self.now) else { return 0 };
        self.victims_left = self.victims_left.saturating_sub(victims.len());
        for victim in victims {
            self.state.preempt(&victim, "yields_to_urgent", self.now);
        }
        1
    }
}

/// Returns a part of a pool, the same one for a step at each pass; it grows with the verdicts of the advisor.
fn search_window<'p>(key: &StepKey, pool: &'p [u32], verdicts: usize) -> impl Iterator<Item = &'p u32> {
    let size = WINDOW + verdicts * 2;
    let hash = BuildHasherDefault::<FxHasher>::default().hash_one(key);
    let from = usize::try_from(hash % pool.len().max(1) as u64).unwrap_or_default();
    let from = if pool.len() <= size { 0 } else { from };
    pool[from..].iter().chain(&pool[..from]).take(size)
}

/// Scores a worker for a step; the highest comes first.
fn score(step: &StepSpec, free: ResourceVector, capacity: ResourceVector) -> i64 {
    let part = |free: u64, whole: u64| {
        let part = free.saturating_mul(1_000).checked_div(whole).unwrap_or_default();
        i64::try_from(part).unwrap_or(i64::MAX)
    };
    if step.need.accelerators > 0 {
        // Fills workers that are in use, so that others stay free for tasks with many accelerators.
        return -part(free.accelerators, capacity.accelerators);
    }
    part(free.cores_milli, capacity.cores_milli).min(part(free.memory_mib, capacity.memory_mib))
}
