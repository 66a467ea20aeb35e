use crate::kernel::cell::permits::{PermitDemand, PermitOption, PermitPlan, PermitRequestKind, PermitSkip};

/// Bounds the workers that one permit request may name; the advisor accepts no more.
const MAX_WORKERS_PER_REQUEST: usize = 100;
/// Number of workers that a first request names at least, if there are as many: the verdicts are used again when
/// the step waits for longer, and a worker costs little beside the request.
const MIN_WORKERS_PER_REQUEST: usize = 40;
/// Tasks that the named workers should hold by the grant rate, as a multiple of the wanted ones.
const SPARE_FACTOR: f64 = 1.5;

/// Decides whether a step sends a permit request now, and which workers it names.
///
/// It answers a load in which many steps wait for a full pool. If each of them kept its tickets valid, the
/// renewals would take most of the time of the advisor, and workers with room would wait for permits.
#[derive(Clone, Copy, Debug)]
pub struct PermitPlanner {
    /// What the step needs.
    pub demand: PermitDemand,
}

impl PermitPlanner {
    /// Blocked steps per kind of demand for which tickets are renewed and room is reserved.
    pub const MAX_STEPS_AT_FRONT: usize = 8;

    /// Returns the plan for the options, which come in the order in which the step prefers the workers.
    #[must_use]
    pub fn plan(&self, options: &[PermitOption]) -> PermitPlan {
        let (granted, unknown): (Vec<PermitOption>, Vec<PermitOption>) =
            options.iter().partition(|option| option.granted);
        if granted.is_empty() {
            return self.plan_first(&unknown);
        }
        let ticketed = sum(granted.iter().filter(|option| option.ticketed), |option| option.fitting_soon);
        if ticketed >= u64::from(self.demand.missing) {
            return PermitPlan::Skip(PermitSkip::Ticketed);
        }
        if self.demand.position > Self::MAX_STEPS_AT_FRONT
            && options.iter().all(|option| option.ticketed || option.fitting_now == 0)
        {
            return PermitPlan::Skip(PermitSkip::Behind);
        }
        let renewal = self.renewal(&granted, ticketed);
        if let Some(slots) = renewal {
            return PermitPlan::Request(PermitRequestKind::Renewal, slots);
        }
        self.plan_more(&granted, &unknown, ticketed)
    }

    fn plan_first(&self, unknown: &[PermitOption]) -> PermitPlan {
        let fitting = sum(unknown.iter(), |option| option.fitting_soon);
        let early = self.demand.asks_early;
        if unknown.is_empty() || (fitting == 0 && !early) {
            return PermitPlan::Skip(PermitSkip::NoRoom);
        }
        if fitting < self.demand.claimed_tasks + self.first_tasks() && !early {
            return PermitPlan::Skip(PermitSkip::Behind);
        }
        let kind = match self.demand.verdicts {
            0 => PermitRequestKind::First,
            _ => PermitRequestKind::MoreWorkers,
        };
        PermitPlan::Request(kind, self.choose_unknown(unknown, 0))
    }

    /// Returns the granted workers whose tickets are renewed; `None` if a renewal is of no use now.
    fn renewal(&self, granted: &[PermitOption], ticketed: u64) -> Option<Vec<u32>> {
        // After a renewal that was of no use, the forecast of the room is not relied on again.
        let usable = |option: &PermitOption| {
            if self.demand.unused_renewals > 0 { option.fitting_now } else { option.fitting_soon }
        };
        let renewable: Vec<&PermitOption> =
            granted.iter().filter(|option| !option.ticketed && usable(option) > 0).collect();
        let covered = ticketed + sum(renewable.iter().copied(), usable);
        if renewable.is_empty() || covered < self.needed_tasks() {
            return None;
        }
        // Further tasks start on workers on which others end while the tickets are valid.
        let mut named: Vec<&PermitOption> =
            granted.iter().filter(|option| !option.ticketed && option.fitting_later > 0).collect();
        named.sort_by_key(|option| (option.fitting_now == 0, usable(option) == 0));
        let wanted = scale(self.demand.missing, SPARE_FACTOR);
        let mut tasks = ticketed;
        let mut slots = Vec::new();
        for option in named {
            if tasks >= wanted || slots.len() == MAX_WORKERS_PER_REQUEST {
                break;
            }
            tasks += u64::from(usable(option));
            slots.push(option.slot);
        }
        Some(slots)
    }

    /// Asks for workers without a verdict if the granted ones cannot hold the step, or have no room while
    /// others have it now.
    fn plan_more(&self, granted: &[PermitOption], unknown: &[PermitOption], ticketed: u64) -> PermitPlan {
        let capacity = sum(granted.iter(), |option| option.fitting_empty);
        let too_small = self.demand.gang && capacity < u64::from(self.demand.missing);
        let known =
            ticketed + sum(granted.iter().filter(|option| !option.ticketed), |option| option.fitting_now);
        #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
        let expected =
            known as f64 + sum(unknown.iter(), |option| option.fitting_now) as f64 * self.demand.grant_rate;
        #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
        let needed = self.needed_tasks() as f64;
        if unknown.is_empty() || (!too_small && (expected < needed || known >= self.needed_tasks())) {
            return PermitPlan::Skip(PermitSkip::NoRoom);
        }
        let mut slots: Vec<u32> = granted
            .iter()
            .filter(|option| !option.ticketed && option.fitting_soon > 0)
            .map(|option| option.slot)
            .collect();
        slots.truncate(MAX_WORKERS_PER_REQUEST / 2);
        slots.extend(self.choose_unknown(unknown, slots.len()));
        PermitPlan::Request(PermitRequestKind::MoreWorkers, slots)
    }

    /// Returns the workers without a verdict that a request names beside `named` others.
    fn choose_unknown(&self, unknown: &[PermitOption], named: usize) -> Vec<u32> {
        let mut by_room: Vec<&PermitOption> = unknown.iter().collect();
        by_room.sort_by_key(|option| (option.fitting_now == 0, option.fitting_soon == 0));
        #[expect(clippy::cast_precision_loss, reason = "the counts are small")]
        let competing = self.demand.claimed_tasks as f64 * self.demand.grant_rate;
        let wanted = f64::from(self.demand.missing) * SPARE_FACTOR + competing;
        let mut expected = 0.0;
        let mut slots = Vec::new();
        for option in by_room {
            let count = slots.len() + named;
            if count >= MAX_WORKERS_PER_REQUEST || (count >= MIN_WORKERS_PER_REQUEST && expected >= wanted) {
                break;
            }
            expected += f64::from(option.fitting_soon) * self.demand.grant_rate;
            slots.push(option.slot);
        }
        slots
    }

    /// Returns the number of tasks that have to fit so that a first request is of use.
    fn first_tasks(&self) -> u64 {
        self.needed_tasks().min(u64::from(self.demand.missing))
    }

    /// Returns the number of tasks that have to fit so that a further request is of use: all tasks of a gang, or
    /// as many of another step as are worth a request.
    fn needed_tasks(&self) -> u64 {
        match self.demand {
            PermitDemand { gang: true, missing, .. } => u64::from(missing),
            PermitDemand { accepts_small_batch: true, position: ..=Self::MAX_STEPS_AT_FRONT, .. } => 1,
            PermitDemand { worthwhile_tasks, .. } => u64::from(worthwhile_tasks),
        }
    }
}

fn sum<'o>(options: impl Iterator<Item = &'o PermitOption>, count: impl Fn(&PermitOption) -> u32) -> u64 {
    options.map(|option| u64::from(count(option))).sum()
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the result is a small count")]
fn scale(count: u32, factor: f64) -> u64 {
    (f64::from(count) * factor).ceil() as u64
}
