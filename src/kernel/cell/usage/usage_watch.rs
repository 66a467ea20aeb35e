use crate::kernel::cell::{CellEffect, CellNotice, CellState, StepKey, StepRank, TeamStanding};
use crate::prelude::*;

/// Steps that are looked at to find out whether a correction changes the order.
const MAX_COMPARED_STEPS: usize = 32;

/// Keeps the account of past use up to date, and the corrections that follow from it.
pub struct UsageWatch<'a> {
    /// State of the cell that holds the account.
    pub state: &'a mut CellState,
    /// Time at which the watch runs.
    pub now: Instant,
}

impl UsageWatch<'_> {
    /// Charges the resources in use to the teams, and compares the teams if that is due.
    pub fn run(&mut self) {
        self.state.shares.refresh(self.now, self.state.capacity);
        if self.state.usage_correction.is_due(self.now) {
            self.compare();
        }
    }

    /// Compares the teams that have open jobs, and corrects those that have used more than their part.
    fn compare(&mut self) {
        let open = self.state.jobs.values().filter(|job| !job.status.is_final());
        let open: FastSet<&TeamId> = open.map(|job| &job.spec.team).collect();
        let configured = open.into_iter().filter(|team| self.state.config.teams.contains_key(*team));
        let standings = configured.map(|team| TeamStanding {
            team: team.clone(),
            weight: self.state.shares.weight(team),
            past_use: self.state.shares.past_use(team).get(),
        });
        let standings: Vec<TeamStanding> = standings.collect();
        let corrections = TeamStanding::corrections(&standings, self.state.shares.decay());
        self.state.usage_correction.set(corrections, self.now);
    }

    /// Counts and logs a newly ranked step if its correction puts it behind waiting steps of other teams.
    pub fn note_rank(&mut self, key: &StepKey, rank: StepRank) {
        if rank.correction.is_zero() {
            return;
        }
        let Some(team) = self.state.jobs.get(&key.job).map(|job| job.spec.team.clone()) else { return };
        let uncorrected = (rank.with_correction(Duration::ZERO), key.clone());
        let before = self.state.ready.range(uncorrected..(rank, key.clone())).take(MAX_COMPARED_STEPS);
        let of_others = before
            .filter(|(_, other)| self.state.jobs.get(&other.job).is_some_and(|job| job.spec.team != team));
        let steps = of_others.count();
        if steps == 0 {
            return;
        }
        if self.state.usage_correction.count_moved_back(&team, self.now) {
            let (step, correction) = (key.clone(), rank.correction);
            let notice = CellNotice::MovedBack { step, team, correction, steps };
            self.state.effects.push(CellEffect::Log(notice));
        }
    }
}
