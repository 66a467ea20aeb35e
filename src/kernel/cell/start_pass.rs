use std::cmp::Reverse;

use crate::kernel::cell::{CellEffect, CellState, PermitRule, QueueRule, StepKey, StepSpec};
use crate::prelude::*;

/// Part of the workers that the advisor is expected to grant, in percent.
const EXPECTED_GRANTS_PERCENT: usize = 40;
/// Workers that are named beyond those that are expected to be needed.
const SPARE_CANDIDATES: usize = 3;
/// Most workers that one question may name.
const MOST_CANDIDATES: usize = 100;
/// Steps that are looked at in one pass, so that a long queue does not slow it down.
const MOST_STEPS: usize = 400;

/// Decides which waiting tasks start now, and on which workers.
pub struct StartPass<'a> {
    /// The cell.
    pub state: &'a mut CellState,
    /// The present time.
    pub now: Instant,
    /// Needs for which no worker of a service has room in this pass.
    pub full: Vec<(ServiceId, ResourceVector)>,
}

/// A worker on which a task of a step may be placed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Workers on the wanted rack come first.
    far: bool,
    /// Room that would be left, in thousandths; its order depends on the step.
    score: Reverse<i64>,
    slot: u32,
    /// How many tasks it has room for.
    count: u32,
}

impl StartPass<'_> {
    /// Places what can be placed, in the order of starts.
    pub fn run(&mut self) {
        let steps: Vec<StepKey> =
            self.state.ready.iter().take(MOST_STEPS).map(|(_, key)| key.clone()).collect();
        for key in steps {
            self.place(&key);
        }
    }

    fn place(&mut self, key: &StepKey) {
        let Some((spec, step, state)) = self.state.step(key) else { return };
        let Some(rule) = self.state.config.queues.get(&spec.queue).cloned() else { return };
        if step.gang && state.placed > 0 {
            return;
        }
        let reserved = step.reserved();
        if self.full.iter().any(|(service, need)| *service == rule.service && need.fits(reserved)) {
            return;
        }
        let wanted = self.allowed(key);
        if wanted == 0 {
            return;
        }
        let candidates = self.candidates(key, &rule);
        if candidates.is_empty() {
            self.note_full(key, &rule);
            return;
        }
        let permitted = self.permitted(key, &rule, &candidates);
        let gang = self.state.step(key).is_some_and(|(_, step, _)| step.gang);
        let placed = if gang {
            self.start_gang(key, &permitted, wanted)
        } else {
            self.start_tasks(key, &permitted, wanted)
        };
        if placed < wanted
            && let Some(permits) = rule.permits
        {
            self.ask(key, permits, rule.priority, &candidates, wanted - placed);
        }
    }

    /// Returns how many waiting tasks of a step the limit of its team and its backoffs allow to start.
    fn allowed(&self, key: &StepKey) -> u32 {
        let Some((spec, step, state)) = self.state.step(key) else { return 0 };
        let due = |index: &&u32| {
            let task = &state.tasks[**index as usize];
            task.not_before.is_none_or(|at| self.now >= at)
        };
        let waiting = u32::try_from(state.waiting.iter().filter(due).count()).unwrap_or(u32::MAX);
        let room = if spec.team.is_empty() {
            u64::MAX
        } else {
            step.need.count_in(self.state.shares.room(&spec.team))
        };
        let allowed = u64::from(waiting).min(room);
        if step.gang && allowed < u64::from(step.tasks) {
            return 0;
        }
        u32::try_from(allowed).unwrap_or(u32::MAX)
    }

    /// Returns the workers with room for a task of the step, the best first.
    fn candidates(&self, key: &StepKey, rule: &QueueRule) -> Vec<Candidate> {
        let Some((_, step, state)) = self.state.step(key) else { return Vec::new() };
        let Some(pool) = self.state.pools.get(&rule.service) else { return Vec::new() };
        let reserved = step.reserved();
        let mut candidates = Vec::new();
        for slot in pool {
            let Some(worker) = self.state.worker(*slot) else { continue };
            let free = worker.free();
            if !reserved.fits(free) || !worker.is_open(self.now) || !worker.suits(step) {
                continue;
            }
            if state.permits.is_denied(*slot) && rule.permits.is_some() {
                continue;
            }
            let placed = state.per_worker.get(slot).copied().unwrap_or_default();
            let most = step.most_per_worker.map_or(u32::MAX, |most| most.saturating_sub(placed));
            let count = u32::try_from(reserved.count_in(free)).unwrap_or(u32::MAX).min(most);
            if count == 0 {
                continue;
            }
            let far = step.rack.as_ref().is_some_and(|rack| worker.listing.rack.as_ref() != Some(rack));
            let score = Reverse(score(step, free, worker.listing.capacity));
            candidates.push(Candidate { far, score, slot: *slot, count });
        }
        candidates.sort_unstable();
        candidates
    }

    /// Remembers that no worker has room for the need, if nothing but room stands in the way.
    fn note_full(&mut self, key: &StepKey, rule: &QueueRule) {
        let Some((_, step, state)) = self.state.step(key) else { return };
        let only_room = step.label.is_none() && step.most_per_worker.is_none() && rule.permits.is_none();
        let untried = rule.permits.is_some() && state.placed == 0 && state.permits.is_empty();
        if only_room || untried {
            self.full.push((rule.service.clone(), step.reserved()));
        }
    }

    /// Returns those of the candidates on which a start would be accepted now.
    fn permitted(
        &self,
        key: &StepKey,
        rule: &QueueRule,
        candidates: &[Candidate],
    ) -> Vec<(Candidate, Option<PermitTicket>)> {
        let Some((_, _, state)) = self.state.step(key) else { return Vec::new() };
        let permit = |candidate: &Candidate| match rule.permits {
            None => Some((candidate.clone(), None)),
            Some(_) => {
                let ticket = state.permits.ticket(candidate.slot, self.now)?.clone();
                Some((candidate.clone(), Some(ticket)))
            }
        };
        candidates.iter().filter_map(permit).collect()
    }

    /// Starts waiting tasks one by one on the best workers; returns how many.
    fn start_tasks(
        &mut self,
        key: &StepKey,
        permitted: &[(Candidate, Option<PermitTicket>)],
        wanted: u32,
    ) -> u32 {
        let Some((_, _, state)) = self.state.step(key) else { return 0 };
        let due = |index: &u32| state.tasks[*index as usize].not_before.is_none_or(|at| self.now >= at);
        let waiting: Vec<u32> = state.waiting.iter().copied().filter(due).take(wanted as usize).collect();
        let mut waiting = waiting.into_iter();
        let mut left: Vec<u32> = permitted.iter().map(|(candidate, _)| candidate.count).collect();
        let mut started = 0;
        // One task a worker in each round, so that a wide step spreads.
        while left.iter().any(|count| *count > 0) {
            for (left, (candidate, ticket)) in left.iter_mut().zip(permitted) {
                if *left == 0 {
                    continue;
                }
                let Some(index) = waiting.next() else { return started };
                *left -= 1;
                self.state.start(&key.task(index), candidate.slot, ticket.clone(), self.now);
                started += 1;
            }
        }
        started
    }

    /// Starts all tasks of a gang, or none; returns how many.
    fn start_gang(
        &mut self,
        key: &StepKey,
        permitted: &[(Candidate, Option<PermitTicket>)],
        wanted: u32,
    ) -> u32 {
        let same_rack = self.state.step(key).is_some_and(|(_, step, _)| step.same_rack);
        let whole: Vec<&(Candidate, Option<PermitTicket>)> = permitted.iter().collect();
        let mut groups = Vec::new();
        if same_rack {
            let mut racks: FastMap<Option<RackId>, Vec<&(Candidate, Option<PermitTicket>)>> =
                FastMap::default();
            for entry in permitted {
                let rack = self.state.worker(entry.0.slot).and_then(|worker| worker.listing.rack.clone());
                racks.entry(rack).or_default().push(entry);
            }
            groups.extend(racks.into_values());
        }
        groups.push(whole);
        for group in groups {
            let slots = group.iter().flat_map(|(candidate, ticket)| {
                (0..candidate.count.min(wanted)).map(move |_| (candidate.slot, ticket.clone()))
            });
            let slots: Vec<(u32, Option<PermitTicket>)> = slots.take(wanted as usize).collect();
            if slots.len() == wanted as usize {
                self.state.start_gang(key, &slots, self.now);
                return wanted;
            }
        }
        0
    }

    /// Asks the advisor about workers with room whose permit is not known or has ended.
    fn ask(
        &mut self,
        key: &StepKey,
        rule: PermitRule,
        priority: u32,
        candidates: &[Candidate],
        missing: u32,
    ) {
        let now = self.now;
        let Some((_, _, state)) = self.state.step(key) else { return };
        if !state.permits.may_ask(now) {
            return;
        }
        let mut without: Vec<&Candidate> = candidates
            .iter()
            .filter(|candidate| state.permits.ticket(candidate.slot, now).is_none())
            .collect();
        // Workers that were granted before are granted again.
        without.sort_by_key(|candidate| !state.permits.is_known_good(candidate.slot));
        let mut expected = 0;
        let mut slots = Vec::new();
        for candidate in without {
            if expected >= missing as usize * 100 + SPARE_CANDIDATES * EXPECTED_GRANTS_PERCENT
                || slots.len() >= MOST_CANDIDATES
            {
                break;
            }
            let good = state.permits.is_known_good(candidate.slot);
            let percent = if good { 100 } else { EXPECTED_GRANTS_PERCENT };
            expected += percent * candidate.count.min(missing) as usize;
            slots.push(candidate.slot);
        }
        if slots.is_empty() {
            return;
        }
        let names = slots.iter().filter_map(|slot| self.state.worker(*slot));
        let workers: Vec<WorkerId> = names.map(|worker| worker.listing.worker.clone()).collect();
        if let Some(state) = self.state.step_mut(key) {
            state.permits.ask();
        }
        self.state.effects.push(CellEffect::AskPermits { step: key.clone(), rule, priority, workers });
    }
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
