//! Tests of the decisions about permit requests, with a simulated advisor.

mod fixture_cell;

use std::time::{Duration, Instant};

use fixture_cell::{CellDriver, START_UNIX_TIME, cell_with, config, job, report, running, step, worker};
use godwithaven::kernel::ResourceVector;
use godwithaven::kernel::cell::{
    CellEffect, CellEvent, CommandOutcome, EndCause, EndedRun, JobLateness, PermitCache, PermitDemand,
    PermitDispatch, PermitLoad, PermitOption, PermitPlan, PermitPlanner, PermitRequest, PermitRequestKind,
    PermitRequestNumber, PermitRule, PermitSkip, StepClass, StepKey, StepRank, StepSpec, TaskKey,
};
use godwithaven::prelude::{FastMap, FastSet};
use googletest::prelude::*;

/// Length of a simulated step of time.
const SLICE: Duration = Duration::from_millis(50);
/// Run time of each simulated task.
const RUN_TIME: Duration = Duration::from_secs(3);

/// A cell and an advisor that decides on one request per process at a time, in simulated time. The advisor
/// grants about half of the workers.
struct Simulation {
    driver: CellDriver,
    dispatch: PermitDispatch,
    requests: Vec<PermitRequest>,
    in_flight: Vec<(Instant, PermitRequestNumber)>,
    /// Ends of the running tasks.
    ends: Vec<(Instant, TaskKey, u64, String)>,
    end_numbers: FastMap<String, u64>,
    requests_by_step: FastMap<String, usize>,
    started: FastSet<String>,
}

impl Simulation {
    fn run(&mut self, length: Duration) {
        let until = self.driver.now + length;
        while self.driver.now < until {
            self.driver.now += SLICE;
            let now = self.driver.now;
            self.answer_requests(now);
            self.end_tasks(now);
            let wall = START_UNIX_TIME + now.duration_since(self.driver.start);
            self.driver.scheduler.handle(CellEvent::Tick(wall), now);
            for effect in self.driver.scheduler.decide(true, now) {
                self.carry_out(effect, now);
            }
            self.assign_requests(now);
        }
    }

    fn carry_out(&mut self, effect: CellEffect, now: Instant) {
        match effect {
            CellEffect::RequestPermits(request) => {
                *self.requests_by_step.entry(request.step.to_string()).or_default() += 1;
                self.dispatch.add_request(self.requests.len() as u64, &request);
                self.requests.push(request);
            }
            CellEffect::Start(command) => {
                self.started.insert(command.task.to_string());
                self.ends.push((
                    now + RUN_TIME,
                    command.task.clone(),
                    command.run,
                    command.worker.to_string(),
                ));
                let (task, run, worker) = (command.task, command.run, command.worker);
                let event = CellEvent::StartAnswered(task, run, worker, CommandOutcome::Accepted);
                self.driver.scheduler.handle(event, now);
            }
            _ => {}
        }
    }

    fn assign_requests(&mut self, now: Instant) {
        for (_, number) in self.dispatch.assign(now) {
            self.in_flight.push((now + self.request(number).decision_time(), number));
        }
    }

    fn answer_requests(&mut self, now: Instant) {
        let (over, still): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(end, _)| *end <= now);
        self.in_flight = still;
        for (_, number) in over {
            self.dispatch.finish(number, true, now);
            let event = answer(self.request(number));
            self.driver.scheduler.handle(event, now);
        }
    }

    fn request(&self, number: PermitRequestNumber) -> &PermitRequest {
        &self.requests[usize::try_from(number).expect("small")]
    }

    fn end_tasks(&mut self, now: Instant) {
        let (over, still): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.ends).into_iter().partition(|(end, ..)| *end <= now);
        self.ends = still;
        for (_, task, run, worker) in over {
            let number = self.end_numbers.entry(worker.clone()).or_default();
            *number += 1;
            let ended = EndedRun { number: *number, task, run, cause: EndCause::Done, checkpoint: None };
            let on_worker = self.ends.iter().filter(|(.., name)| *name == worker);
            let still = on_worker.map(|(_, task, run, _)| running(&task.to_string(), *run, 0)).collect();
            let event = CellEvent::WorkerPolled(worker.as_str().into(), report(now, still, vec![ended]));
            self.driver.scheduler.handle(event, now);
        }
    }
}

/// Returns the verdicts of the simulated advisor, which grants a worker or not for good.
fn answer(request: &PermitRequest) -> CellEvent {
    let grants = |worker: &str| {
        let name = format!("{}{worker}", request.step);
        name.bytes().fold(7u32, |hash, byte| hash.wrapping_mul(31) ^ u32::from(byte)) % 16 < 8
    };
    let granted = request.workers.iter().filter(|worker| grants(worker));
    CellEvent::PermitsAnswered {
        step: request.step.clone(),
        requested_workers: request.workers.clone(),
        granted: granted.map(|worker| (worker.clone(), "ticket".into())).collect(),
        validity: request.rule.validity,
    }
}

/// Returns the rule of a slow advisor.
fn slow_rule() -> PermitRule {
    PermitRule {
        decision_time: Duration::from_millis(715),
        time_per_worker: Duration::from_millis(10),
        validity: Duration::from_secs(2),
    }
}

/// Returns a simulation with `workers` workers of 4 accelerators and `proxies` processes that call the advisor.
fn simulation(workers: usize, proxies: usize) -> Simulation {
    let workers = (0..workers).map(|number| worker(&format!("w{number}"))).collect();
    let mut driver = cell_with(config(Some(slow_rule())), workers);
    driver.handle(CellEvent::ProxiesChanged(proxies));
    let mut dispatch = PermitDispatch::default();
    (0..proxies as u64).for_each(|proxy| dispatch.add_proxy(proxy));
    Simulation {
        driver,
        dispatch,
        requests: Vec::new(),
        in_flight: Vec::new(),
        ends: Vec::new(),
        end_numbers: FastMap::default(),
        requests_by_step: FastMap::default(),
        started: FastSet::default(),
    }
}

/// Submits jobs of one step without deciding on starts.
fn submit_all(simulation: &mut Simulation, name: &str, queue: &str, count: usize, spec: &StepSpec) {
    for number in 0..count {
        let spec = job(&format!("{name}{number:03}"), queue, vec![spec.clone()]);
        simulation.driver.scheduler.handle(CellEvent::Submitted(spec.into()), simulation.driver.now);
    }
}

/// Returns a step of tasks that each take `accelerators` accelerators for the simulated run time.
fn accelerated(tasks: u32, accelerators: u64) -> StepSpec {
    StepSpec { need: ResourceVector::new(1_000, 100, accelerators), estimate: RUN_TIME, ..step(tasks) }
}

fn demand(missing: u32) -> PermitDemand {
    PermitDemand {
        missing,
        worthwhile_tasks: missing.div_ceil(2),
        gang: false,
        verdicts: 0,
        accepts_small_batch: true,
        asks_early: true,
        position: 1,
        claimed_tasks: 0,
        unused_renewals: 0,
        grant_rate: 0.5,
    }
}

fn option(slot: u32, granted: bool, fitting_now: u32, fitting_soon: u32) -> PermitOption {
    PermitOption {
        slot,
        granted,
        ticketed: false,
        fitting_now,
        fitting_soon,
        fitting_later: fitting_soon,
        fitting_empty: 4,
    }
}

fn rank(priority: u32, latest_start: Instant) -> StepRank {
    let lateness = JobLateness::InTime;
    StepRank {
        class: StepClass::Useful,
        priority,
        lateness,
        above_share: false,
        latest_start,
        correction: Duration::ZERO,
    }
}

/// With a full pool, steps that ask whenever their tickets have expired take all of the decision time of the
/// advisor, and free accelerators wait for permits.
#[gtest]
fn waiting_steps_of_a_full_pool_ask_at_most_one_and_a_half_times_each() -> Result<()> {
    let mut simulation = simulation(24, 8);
    submit_all(&mut simulation, "wide", "middle", 60, &accelerated(4, 1));
    submit_all(&mut simulation, "gang", "middle", 20, &StepSpec { gang: true, ..accelerated(2, 4) });

    simulation.run(Duration::from_secs(40));

    verify_that!(simulation.started.len(), eq(60 * 4 + 20 * 2))?;
    let requests: usize = simulation.requests_by_step.values().sum();
    verify_that!(requests * 2, le(80 * 3))
}

/// Long-running steps and gangs that wait behind many urgent requests would never get a permit.
#[gtest]
fn long_running_steps_and_gangs_move_while_urgent_steps_keep_the_advisor_busy() -> Result<()> {
    let mut simulation = simulation(64, 8);
    submit_all(&mut simulation, "urgent", "urgent", 120, &step(2));
    let long_running = StepSpec { long_running: true, ..step(1) };
    submit_all(&mut simulation, "lasting", "batch", 2, &long_running);
    submit_all(&mut simulation, "gang", "batch", 2, &StepSpec { gang: true, ..step(2) });

    simulation.run(Duration::from_secs(6));

    verify_that!(simulation.requests_by_step.len(), lt(100))?;
    verify_that!(simulation.started.contains("lasting000.0.0.0"), eq(true))?;
    verify_that!(simulation.started.contains("gang000.0.0.0"), eq(true))
}

/// A wide step with few granted workers can never start a large part of its tasks at once. If it waited for that, its
/// job would stand still beside free workers for longer than 3 s.
#[gtest]
fn a_step_with_few_granted_workers_goes_on_within_three_seconds() -> Result<()> {
    let mut simulation = simulation(1, 8);
    submit_all(&mut simulation, "wide", "middle", 1, &accelerated(7, 4));

    simulation.run((RUN_TIME + Duration::from_secs(3)) * 7);

    verify_that!(simulation.started.len(), eq(7))
}

/// A renewal that names workers without room, or workers that are not known to be granted, costs decision time
/// for tickets that are not used.
#[gtest]
fn a_renewal_names_only_granted_workers_that_have_room() -> Result<()> {
    let options = [
        option(1, true, 0, 0),
        option(2, true, 0, 2),
        option(3, false, 4, 4),
        option(4, true, 1, 1),
        PermitOption { ticketed: true, ..option(5, true, 0, 1) },
    ];

    let plan = PermitPlanner { demand: demand(8) }.plan(&options);

    verify_that!(plan, eq(&PermitPlan::Request(PermitRequestKind::Renewal, vec![4, 2])))
}

/// The members of a gang start together, so tickets for a part of them expire unused.
#[gtest]
fn a_gang_renews_its_tickets_only_once_all_of_it_fits() -> Result<()> {
    let planner = PermitPlanner { demand: PermitDemand { gang: true, ..demand(3) } };

    let without_room = planner.plan(&[option(1, true, 1, 1), option(2, true, 0, 1)]);
    let with_room = planner.plan(&[option(1, true, 1, 1), option(2, true, 0, 2)]);

    verify_that!(without_room, eq(&PermitPlan::Skip(PermitSkip::NoRoom)))?;
    verify_that!(with_room, eq(&PermitPlan::Request(PermitRequestKind::Renewal, vec![1, 2])))
}

/// Room that was forecast and did not become free would be forecast again, and each time a ticket would expire.
#[gtest]
fn a_ticket_that_expired_before_there_was_room_is_renewed_only_for_room_that_is_free() -> Result<()> {
    let planner = PermitPlanner { demand: PermitDemand { unused_renewals: 1, ..demand(1) } };

    let forecast = planner.plan(&[option(1, true, 0, 1)]);
    let free = planner.plan(&[option(1, true, 1, 1)]);

    verify_that!(forecast, eq(&PermitPlan::Skip(PermitSkip::NoRoom)))?;
    verify_that!(free, eq(&PermitPlan::Request(PermitRequestKind::Renewal, vec![1])))
}

/// Steps behind others would ask for permits for room that these take.
#[gtest]
fn a_step_does_not_ask_for_room_that_steps_before_it_wait_for() -> Result<()> {
    let behind = PermitDemand { asks_early: false, position: 30, claimed_tasks: 4, ..demand(2) };
    let options = [option(1, false, 0, 2), option(2, false, 0, 2)];

    let plan = PermitPlanner { demand: behind }.plan(&options);
    let with_more_room = PermitPlanner { demand: PermitDemand { claimed_tasks: 3, ..behind } }.plan(&options);

    verify_that!(plan, eq(&PermitPlan::Skip(PermitSkip::Behind)))?;
    verify_that!(with_more_room, matches_pattern!(PermitPlan::Request(eq(&PermitRequestKind::First), _)))
}

/// A gang whose granted workers cannot hold it even when they are empty would wait forever.
#[gtest]
fn a_gang_that_its_granted_workers_cannot_hold_asks_for_others() -> Result<()> {
    let planner = PermitPlanner { demand: PermitDemand { gang: true, ..demand(6) } };

    let plan = planner.plan(&[option(1, true, 0, 0), option(2, false, 0, 0)]);

    verify_that!(plan, eq(&PermitPlan::Request(PermitRequestKind::MoreWorkers, vec![2])))
}

/// Accelerators that wait for a ticket are the figure by which an operator sees that the advisor is the bottleneck;
/// those that no waiting step could use must not count.
#[gtest]
fn accelerators_are_idle_for_want_of_a_ticket_only_if_a_waiting_step_fits_there() -> Result<()> {
    let mut simulation = simulation(4, 1);
    submit_all(&mut simulation, "fits", "middle", 1, &accelerated(1, 4));
    submit_all(&mut simulation, "too-large", "middle", 1, &accelerated(1, 8));

    let before = simulation.driver.scheduler.summary(simulation.driver.now).idle_accelerators;
    simulation.run(Duration::from_secs(2));
    let after = simulation.driver.scheduler.summary(simulation.driver.now).idle_accelerators;

    // Without any answer, half of the workers count as granted.
    verify_that!((before.without_ticket, before.without_verdict), eq((0, 2)))?;
    verify_that!((after.without_ticket, after.without_verdict), eq((0, 0)))
}

/// An urgent request that waits for all bulk requests before it is answered too late.
#[gtest]
fn an_urgent_request_does_not_wait_for_bulk_requests() -> Result<()> {
    let now = Instant::now();
    let mut load = PermitLoad::default();
    load.set_proxies(2);
    for number in 0..10 {
        let key = StepKey::parse(&format!("bulk{number}.0.0")).or_fail()?;
        load.add(&key, rank(2, now), false, Duration::from_secs(1));
    }

    let urgent = load.expected_wait(rank(0, now), false);
    let bulk = load.expected_wait(rank(2, now + Duration::from_secs(1)), false);
    let assured = load.expected_wait(rank(2, now + Duration::from_secs(1)), true);

    verify_that!((urgent, bulk, assured), eq((Duration::ZERO, Duration::from_secs(4), Duration::ZERO)))
}

/// A request that failed with the process that sent it must not count as a renewal, or the step would wait for
/// free room although it never got its tickets.
#[gtest]
fn a_failed_renewal_does_not_count_as_unused() -> Result<()> {
    let now = Instant::now();
    let mut cache = PermitCache::default();

    cache.begin_request(PermitRequestKind::Renewal, now);
    cache.fail_request(now);
    let after_failure = cache.unused_renewals();
    cache.begin_request(PermitRequestKind::Renewal, now);
    cache.apply_answer(&[1], vec![(1, "ticket".into())], Duration::from_secs(2), now);

    verify_that!((after_failure, cache.unused_renewals()), eq((0, 1)))
}

/// The requests of a process that is killed, or cut off and slow to answer, would never be answered, and a process
/// that is cut off would get one request after another.
#[gtest]
fn requests_of_a_process_that_ends_or_is_cut_off_go_to_others() -> Result<()> {
    let now = Instant::now();
    let mut dispatch = dispatch_with(2);
    (0..2).for_each(|number| dispatch.add_request(number, &request("bulk", 1, number)));
    let first = dispatch.assign(now);

    let (killed, returned) = first[0];
    dispatch.remove_proxy(killed);
    let (cut_off, overdue) = first[1];
    let later = now + Duration::from_secs(5);
    let failed = dispatch.overdue(later);
    dispatch.finish(overdue, false, later);
    dispatch.add_proxy(9);
    let again = dispatch.assign(later);
    dispatch.finish(returned, true, later);
    dispatch.add_request(7, &request("bulk", 1, 7));
    dispatch.add_request(8, &request("bulk", 1, 8));
    let while_cut_off: Vec<_> = dispatch.assign(later).into_iter().map(|(proxy, _)| proxy).collect();

    verify_that!(failed, eq(&vec![overdue]))?;
    verify_that!(again, eq(&vec![(9, returned)]))?;
    verify_that!(while_cut_off, not(contains(eq(&cut_off))))
}

/// Bulk requests that keep all processes busy for a second each hold up urgent ones that take milliseconds.
#[gtest]
fn bulk_requests_leave_processes_to_urgent_ones() -> Result<()> {
    let now = Instant::now();
    let mut dispatch = dispatch_with(8);
    let mut urgent = request("urgent", 0, 20);
    urgent.rule.decision_time = Duration::from_millis(17);
    urgent.rule.time_per_worker = Duration::ZERO;
    dispatch.add_request(21, &urgent);
    dispatch.finish(21, true, now);
    (0..20).for_each(|number| dispatch.add_request(number, &request("bulk", 1, number)));

    let bulk = dispatch.assign(now).len();
    dispatch.add_request(20, &urgent);
    let then: Vec<_> = dispatch.assign(now).into_iter().map(|(_, number)| number).collect();

    verify_that!(bulk, eq(7))?;
    verify_that!(then, eq(&vec![20]))
}

fn dispatch_with(proxies: u64) -> PermitDispatch {
    let mut dispatch = PermitDispatch::default();
    (0..proxies).for_each(|proxy| dispatch.add_proxy(proxy));
    dispatch
}

fn request(name: &str, priority: u32, number: u64) -> PermitRequest {
    PermitRequest {
        step: StepKey::parse(&format!("{name}{number}.0.0")).expect("the name is valid"),
        queue: "queue".into(),
        kind: PermitRequestKind::First,
        rule: slow_rule(),
        rank: rank(priority, Instant::now()),
        assured: false,
        workers: vec!["w0".into()],
    }
}
