//! Tests of the refusal of jobs whose queue waits for longer than callers can use the result.

mod fixture_cell;

use std::rc::Rc;
use std::time::{Duration, Instant};

use fixture_cell::{CellDriver, cell, cell_with, config, job, step, submit, worker};
use futures_util::FutureExt;
use godwithaven::kernel::cell::admission::{
    AdmissionEstimate, AdmissionGate, AdmissionNotice, AdmissionWatch, LoadRefusal, MemoryBudget, MemoryGate,
    MemoryRoom, QueueWait, RefusalTally, StartRates, WaitCause,
};
use godwithaven::kernel::cell::{
    CellConfig, CellEvent, CellOwner, GraphSpec, JobStatus, PermitRule, RepeatSchedule, StepSpec,
};
use godwithaven::kernel::connections::{ClientLimits, ConnectionCapacity};
use godwithaven::tasks::cell::admission::{self, AdmissionMessage, AdmissionTask};
use godwithaven::tasks::cell::intake::{
    CallAction, CellCall, CellRefusal, CellReply, IntakeMessage, IntakeTask, JobSubmission,
};
use godwithaven::tasks::cell::metrics::CellMetrics;
use godwithaven::tasks::cell::owner::{JobAnswer, OwnerMessage};
use godwithaven::tasks::cell::peer::{self, CellService, OwnerRoute};
use godwithaven::tasks::cell::ports::{AppendOutcome, ReadFault, StoreClient};
use godwithaven::tasks::cell::store_limits::StoreLimits;
use godwithaven::tasks::cell::submit_queue::SubmitQueue;
use godwithaven::tasks::client_access::ClientAccess;
use googletest::prelude::*;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// Longest wait that is usable for the jobs of [`newcomer`]: three times 1 s and twice the run time of 1 s, less
/// 70% of the run time.
const USABLE_WAIT: Duration = Duration::from_millis(8_300);

/// Returns a job of a team that has one task of about a second.
fn newcomer(id: &str, queue: &str, team: &str) -> GraphSpec {
    GraphSpec { team: team.into(), ..job(id, queue, vec![step(1)]) }
}

/// Returns a job of a team that takes the 16 cores of two workers for `seconds`. Its tasks take 4 s each, so that it
/// is in time for longer than the tests take.
fn flood(id: &str, queue: &str, team: &str, seconds: u32) -> GraphSpec {
    let step = StepSpec { estimate: Duration::from_secs(4), ..step(4 * seconds) };
    GraphSpec { team: team.into(), ..job(id, queue, vec![step]) }
}

/// Returns a gate that has the notice of a watch which has followed the cell for 2 s.
fn gate_after_2_s(driver: &mut CellDriver) -> AdmissionGate {
    let (mut gate, mut watch) = (AdmissionGate::default(), AdmissionWatch::default());
    for _ in 0..5 {
        let state = driver.scheduler.state();
        let notice = watch.update(AdmissionEstimate::of(state, driver.now), &state.config, driver.now);
        gate.apply(notice, driver.now);
        driver.advance(500);
    }
    gate
}

/// Returns the refusals of 100 jobs that differ from a job in their ids.
fn refusals(gate: &mut AdmissionGate, spec: &GraphSpec, now: Instant) -> Vec<LoadRefusal> {
    let jobs = (0..100).map(|index| GraphSpec { id: format!("{index:016x}").into(), ..spec.clone() });
    jobs.filter_map(|spec| gate.refusal(&spec, &config(None), now)).collect()
}

fn is_refused(gate: &mut AdmissionGate, spec: &GraphSpec, now: Instant) -> bool {
    !refusals(gate, spec, now).is_empty()
}

/// Returns the notice that new jobs of the team `red` in the queue `urgent` wait for a part of the usable wait.
fn notice(percent: u32) -> AdmissionNotice {
    let wait = USABLE_WAIT * percent / 100;
    let waits = vec![QueueWait { queue: "urgent".into(), team: Some("red".into()), wait }];
    AdmissionNotice { waits, ..AdmissionNotice::default() }
}

/// Returns a gate that has received a notice at `now`.
fn gate_with(notice: AdmissionNotice, now: Instant) -> AdmissionGate {
    let mut gate = AdmissionGate::default();
    gate.apply(notice, now);
    gate
}

/// Guards against refusals while there is room.
#[gtest]
fn calm_cell_refuses_nothing() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, newcomer("a", "urgent", "red"));
    submit(&mut driver, flood("b", "batch", "blue", 1));

    let mut gate = gate_after_2_s(&mut driver);

    let refused = ["urgent", "middle", "batch"]
        .map(|queue| is_refused(&mut gate, &newcomer("c", queue, "red"), driver.now));
    verify_that!(refused, eq([false; 3]))
}

/// Guards against refusals in a burst that the cell works off while callers can still use the results.
#[gtest]
fn burst_that_fits_is_admitted() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, flood("a", "urgent", "red", 8));

    let mut gate = gate_after_2_s(&mut driver);

    verify_that!(is_refused(&mut gate, &newcomer("b", "urgent", "red"), driver.now), eq(false))
}

/// Guards against jobs that are accepted although all of their callers will have gone before they start, and
/// against refusals of other teams for the flood of one.
#[gtest]
fn hopeless_backlog_refuses_only_jobs_of_its_team() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, flood("a", "urgent", "red", 60));
    submit(&mut driver, flood("b", "urgent", "blue", 2));

    let mut gate = gate_after_2_s(&mut driver);

    let refused = ["red", "blue", "green"]
        .map(|team| is_refused(&mut gate, &newcomer("c", "urgent", team), driver.now));
    verify_that!(refused, eq([true, false, false]))
}

/// Guards against jobs that are accepted in a queue which more urgent work leaves no room for.
#[gtest]
fn flood_of_a_more_urgent_queue_refuses_less_urgent_jobs() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, flood("a", "urgent", "red", 60));
    submit(&mut driver, newcomer("b", "batch", "blue"));

    let mut gate = gate_after_2_s(&mut driver);

    verify_that!(is_refused(&mut gate, &newcomer("c", "batch", "blue"), driver.now), eq(true))
}

/// Guards against refusals for a flood that has become late, as new jobs start before it.
#[gtest]
fn late_flood_refuses_no_job() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, flood("a", "urgent", "red", 60));
    driver.advance(8_000);

    let mut gate = gate_after_2_s(&mut driver);

    verify_that!(is_refused(&mut gate, &newcomer("b", "urgent", "red"), driver.now), eq(false))
}

/// Guards against refusals for a flood of less urgent work, which yields to a new job.
#[gtest]
fn flood_of_a_less_urgent_queue_refuses_no_urgent_job() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, flood("a", "batch", "red", 60));

    let mut gate = gate_after_2_s(&mut driver);

    verify_that!(is_refused(&mut gate, &newcomer("b", "urgent", "red"), driver.now), eq(false))
}

/// Guards against an estimate that knows only the workers: a team at its limit waits although there is room.
#[gtest]
fn wait_for_the_limit_of_a_team_is_expected() -> Result<()> {
    let mut driver = cell(20);
    submit(&mut driver, flood("a", "urgent", "blue", 30));

    let estimate = AdmissionEstimate::of(driver.scheduler.state(), driver.now);

    let wait = estimate.wait(&"urgent".into(), Some(&"blue".into()));
    // 24 of the 120 tasks have started at once, and the others take the limit of 24 cores for 4 s four times.
    verify_that!((wait.time, wait.cause), eq((Duration::from_secs(16), WaitCause::TeamLimit)))
}

/// Guards against an estimate that leaves out the advisor, which may be busy for longer than the workers.
#[gtest]
fn wait_for_the_advisor_is_expected() -> Result<()> {
    let permits = PermitRule {
        decision_time: Duration::from_secs(2),
        time_per_worker: Duration::ZERO,
        validity: Duration::from_secs(2),
    };
    let mut driver = cell_with(config(Some(permits)), Vec::new());
    for index in 0..10 {
        submit(&mut driver, newcomer(&format!("a{index}"), "urgent", "red"));
    }

    let estimate = AdmissionEstimate::of(driver.scheduler.state(), driver.now);

    let wait = estimate.wait(&"urgent".into(), Some(&"red".into()));
    verify_that!((wait.time, wait.cause), eq((Duration::from_secs(20), WaitCause::Advisor)))
}

/// Returns a cell without workers in which 40 jobs of the team `red` and 2 of `blue` wait, and rates that have seen
/// it.
fn waiting_cell() -> (CellDriver, StartRates) {
    let mut driver = cell(0);
    for index in 0..40 {
        submit(&mut driver, newcomer(&format!("r{index}"), "urgent", "red"));
    }
    for index in 0..2 {
        submit(&mut driver, newcomer(&format!("b{index}"), "urgent", "blue"));
    }
    let mut rates = StartRates::default();
    rates.observe(driver.scheduler.state(), driver.now);
    (driver, rates)
}

/// Guards against long waits that nobody expects, because neither room nor advisor nor a limit explains them.
#[gtest]
fn slow_starts_are_expected_to_go_on() -> Result<()> {
    let (mut driver, mut rates) = waiting_cell();
    driver.handle(CellEvent::WorkersListed(vec![worker("w0")]));
    driver.now += Duration::from_millis(500);

    let observed = rates.observe(driver.scheduler.state(), driver.now);

    // Eight of the 40 jobs have started within half a second and the time that the events took.
    let waits: Vec<_> = observed.iter().filter(|(_, team, _)| &**team == "red").map(|wait| wait.2).collect();
    verify_that!(waits.len(), eq(1))?;
    verify_that!(waits[0], all!(ge(Duration::from_secs(2)), le(Duration::from_secs(5))))
}

/// Guards against an endless wait that an outage in which nothing starts would seem to show.
#[gtest]
fn nothing_is_expected_from_a_time_without_starts() -> Result<()> {
    let (mut driver, mut rates) = waiting_cell();
    driver.now += Duration::from_millis(500);

    verify_that!(rates.observe(driver.scheduler.state(), driver.now), is_empty())
}

/// Guards against refusals for a peak of a moment, and by a new owner that has not seen the load last.
#[gtest]
fn wait_is_reported_only_once_it_has_lasted() -> Result<()> {
    let mut driver = cell(2);
    submit(&mut driver, flood("a", "urgent", "red", 60));
    let estimate = AdmissionEstimate::of(driver.scheduler.state(), driver.now);
    let mut watch = AdmissionWatch::default();

    let mut update = |millis: u64, estimate: &AdmissionEstimate| {
        let now = driver.now + Duration::from_millis(millis);
        !watch.update(estimate.clone(), &config(None), now).waits.is_empty()
    };
    let reported = [0, 500, 1_000, 1_500].map(|millis| update(millis, &estimate));
    let after_a_moment_without = [update(2_000, &AdmissionEstimate::default()), update(2_500, &estimate)];

    verify_that!(reported, eq([false, false, false, true]))?;
    verify_that!(after_a_moment_without, eq([false, false]))
}

/// Guards against answers that change from one call to the next while the wait is near the limit.
#[gtest]
fn refusals_begin_above_the_usable_wait_and_end_below_it() -> Result<()> {
    let now = Instant::now();
    let mut gate = AdmissionGate::default();

    let refused = [120, 160, 120, 90, 120].map(|percent| {
        gate.apply(notice(percent), now);
        is_refused(&mut gate, &newcomer("a", "urgent", "red"), now)
    });

    verify_that!(refused, eq([false, true, true, false, false]))
}

/// Guards against refusals of all new jobs, which would leave room unused once the backlog is done, and against
/// another answer for each attempt of a caller.
#[gtest]
fn part_of_the_jobs_that_can_be_of_use_is_admitted() -> Result<()> {
    let now = Instant::now();
    let mut gate = gate_with(notice(250), now);
    let spec = newcomer("a", "urgent", "red");

    let (first, repeated) = (refusals(&mut gate, &spec, now), refusals(&mut gate, &spec, now));

    verify_that!(first.len(), all!(ge(50), le(70)))?;
    verify_that!(repeated, eq(&first))
}

/// Guards against refusals of long jobs because shorter ones, whose results are needed sooner, are refused.
#[gtest]
fn job_that_can_use_the_wait_is_admitted_beside_refused_ones() -> Result<()> {
    let now = Instant::now();
    let mut gate = gate_with(notice(200), now);
    let long = StepSpec { estimate: Duration::from_secs(20), ..step(1) };
    let long = GraphSpec { steps: vec![long], ..newcomer("b", "urgent", "red") };

    let refused = [newcomer("a", "urgent", "red"), long].map(|spec| is_refused(&mut gate, &spec, now));

    verify_that!(refused, eq([true, false]))
}

/// Guards against refusals by a process that no longer hears the owner, or has never heard it.
#[gtest]
fn process_without_a_recent_notice_admits_everything() -> Result<()> {
    let now = Instant::now();
    let mut gate = gate_with(notice(300), now);
    let spec = newcomer("a", "urgent", "red");

    let refused = [2, 4].map(|seconds| is_refused(&mut gate, &spec, now + Duration::from_secs(seconds)));
    let never_heard = is_refused(&mut AdmissionGate::default(), &spec, now);

    verify_that!((refused, never_heard), eq(([true, false], false)))
}

/// Guards against a process that ends because a time of an odd configuration exceeds the range of durations.
#[gtest]
fn odd_configuration_refuses_nothing() -> Result<()> {
    let now = Instant::now();
    let mut gate = gate_with(notice(1_000), now);
    let mut odd = config(None);
    for rule in odd.queues.values_mut() {
        (rule.stretch, rule.target) = (1e12, Duration::MAX);
    }
    let long = StepSpec { estimate: Duration::from_secs(30_000_000), ..step(1) };
    let spec = GraphSpec { steps: vec![long], ..newcomer("a", "urgent", "red") };

    let refusal = gate.refusal(&spec, &odd, now);
    let notice = AdmissionWatch::default().update(AdmissionEstimate::default(), &odd, now);

    verify_that!(refusal, none())?;
    verify_that!(notice, eq(&AdmissionNotice::default()))
}

/// Guards against refusals of jobs that have no one result that could come too late.
#[gtest]
fn long_running_and_scheduled_jobs_are_admitted() -> Result<()> {
    let now = Instant::now();
    let mut gate = gate_with(notice(1_000), now);
    let lasting = StepSpec { long_running: true, ..step(1) };
    let lasting = GraphSpec { steps: vec![step(1), lasting], ..newcomer("a", "urgent", "red") };
    let schedule = RepeatSchedule { first: Duration::ZERO, interval: Duration::from_secs(1), count: 2 };
    let scheduled = GraphSpec { schedule: Some(schedule), ..newcomer("b", "urgent", "red") };

    let refused = [lasting, scheduled].map(|spec| is_refused(&mut gate, &spec, now));

    verify_that!(refused, eq([false, false]))
}

/// Guards against refused callers that all come back in the same second.
#[gtest]
fn retries_of_refused_callers_are_spread() -> Result<()> {
    let now = Instant::now();
    let mut gate = gate_with(notice(1_000), now);

    let refusals = refusals(&mut gate, &newcomer("a", "urgent", "red"), now);

    let retries: Vec<Duration> = refusals.iter().map(|refusal| refusal.retry_after).collect();
    let in_second = |second: u64| retries.iter().filter(|retry| retry.as_secs() == second).count();
    let fullest = (1..10).map(in_second).max();
    verify_that!((1..10).map(in_second).sum::<usize>(), eq(retries.len()))?;
    verify_that!(fullest, some(le(50)))
}

/// Guards against a log that fills up with one line a refusal during a flood.
#[gtest]
fn lines_about_refusals_are_bounded_and_counted() -> Result<()> {
    let now = Instant::now();
    let mut tally = RefusalTally::default();

    let lines = [0, 100, 200, 1_100]
        .map(|millis| tally.count(&"urgent".into(), &"red".into(), now + Duration::from_millis(millis)));

    verify_that!(lines, eq([Some(1), None, None, Some(3)]))
}

/// Returns a notice that names a team and all others.
fn notice_of_two_waits() -> AdmissionNotice {
    let mut notice = notice(200);
    let wait = Duration::from_secs(70);
    notice.waits.push(QueueWait { queue: "batch".into(), team: None, wait });
    notice.rooms = vec![
        MemoryRoom { team: Some("red".into()), bytes: 1 << 40 },
        MemoryRoom { team: None, bytes: 50_000_000 },
    ];
    notice
}

/// Returns the way to a connection table with room for a few processes.
fn client_access(token: &CancellationToken) -> ClientAccess {
    let metrics = CellMetrics::new().expect("the metrics are valid").connections;
    let capacity = ConnectionCapacity::of_machine(256, 4_096);
    ClientAccess::start(capacity, ClientLimits::default(), metrics, token.clone()).0
}

/// Guards against processes that refuse nothing, or others than the owner named, because notices are lost or
/// changed on their way.
#[gtest]
#[actix_rt::test]
async fn other_processes_receive_the_notices_of_the_owner() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let address = listener.local_addr().or_fail()?.to_string();
    let identity = CellOwner { process: "p".into(), address: address.as_str().into(), token: 1 };
    let (owner_sender, _owner) = mpsc::channel(1);
    let (_route, route) = watch::channel(OwnerRoute::Local(identity, owner_sender));
    let (intake_sender, mut own_intake) = mpsc::channel(8);
    let (admission_sender, admission_inbox) = mpsc::channel(8);
    let ((advisor_sender, _advisor), (claim_sender, _claim)) = (mpsc::channel(1), mpsc::channel(1));
    let service = CellService {
        process: "p".into(),
        route,
        advisor_sender,
        admission_sender: admission_sender.clone(),
        claim_sender,
        intake_sender: intake_sender.clone(),
    };
    let token = CancellationToken::new();
    let access = client_access(&token);
    actix_rt::spawn(peer::serve(listener, service, access, token.clone()));
    let task = AdmissionTask { intake_sender, followers: Vec::new() };
    actix_rt::spawn(task.run(admission_inbox, token.clone()));
    let (follower_sender, mut follower_intake) = mpsc::channel(8);
    let client = peer::connect(&address).or_fail()?;
    actix_rt::spawn(admission::follow(client, follower_sender, token.clone()));

    // The stream is open once a notice arrives; those before are lost, as they would be to a slow process.
    let received = loop {
        admission_sender.send(AdmissionMessage::Noticed(notice_of_two_waits())).await.or_fail()?;
        own_intake.recv().await.or_fail()?;
        if let Ok(message) = tokio::time::timeout(Duration::from_millis(50), follower_intake.recv()).await {
            break message;
        }
    };
    token.cancel();

    // The owner's process and the follower share the rooms.
    let expected = AdmissionNotice { processes: 2, ..notice_of_two_waits() };
    verify_that!(received, some(pat!(IntakeMessage::LongWaits(eq(&expected)))))
}

/// Returns what an intake answers to a submission that its gate refuses, if the owner gives `answer`.
async fn submit_against_notice(answer: Option<JobAnswer>) -> Result<CellReply> {
    let (owner_sender, mut owner) = mpsc::channel(8);
    let identity = CellOwner { process: "p".into(), address: "127.0.0.1:1".into(), token: 1 };
    let (_route, routes) = watch::channel(OwnerRoute::Local(identity, owner_sender));
    let (sender, inbox) = mpsc::channel(8);
    let metrics = CellMetrics::new().or_fail()?;
    let task = IntakeTask {
        queue: SubmitQueue::new(store(), 0, metrics.clone()),
        route: routes,
        config: Some(open_config().into()),
        gate: gate_with(notice(300), Instant::now()),
        memory_gate: MemoryGate::new(MemoryBudget::of_process(260_000_000)),
        tally: RefusalTally::default(),
        own_sender: sender.clone(),
        metrics,
    };
    let token = CancellationToken::new();
    actix_rt::spawn(task.run(inbox, token.clone()));
    actix_rt::spawn(async move {
        let mut unanswered = Vec::new();
        while let Some(message) = owner.recv().await {
            match (message, answer) {
                (OwnerMessage::Inspect(_, reply), Some(answer)) => drop(reply.send(answer)),
                (message, _) => unanswered.push(message),
            }
        }
    });
    let (reply, reply_receiver) = oneshot::channel();
    let submission = JobSubmission { payload: "text".into(), steps: vec![step(1)], schedule: None };
    let call = CellCall {
        host: "host".into(),
        path: "/q0/00000000000000aa".into(),
        key: Some("key".into()),
        deadline: Some(Duration::from_secs(3)),
        action: CallAction::Submit(Ok(submission)),
    };
    sender.send(IntakeMessage::Call(call, reply)).await.or_fail()?;
    let answered = reply_receiver.await.or_fail();
    token.cancel();
    answered
}

/// Returns the configuration of the cell with a key of the team `red`.
fn open_config() -> CellConfig {
    CellConfig { keys: [("key".into(), "red".into())].into_iter().collect(), ..config(None) }
}

/// Returns a store that stores every append.
fn store() -> StoreClient {
    StoreClient {
        limits: StoreLimits::default(),
        append: Rc::new(|_| std::future::ready(AppendOutcome::Stored(7)).boxed_local()),
        read: Rc::new(|_, _, _, _| {
            std::future::ready(Err(ReadFault::Failed("none".to_owned()))).boxed_local()
        }),
        newest: Rc::new(|_| std::future::ready(Err(ReadFault::Failed("none".to_owned()))).boxed_local()),
    }
}

/// Guards against jobs that are accepted for nothing.
#[gtest]
#[actix_rt::test]
async fn unknown_job_is_refused_with_a_time_to_retry() -> Result<()> {
    let reply = submit_against_notice(Some(JobAnswer::Missing)).await?;

    let CellReply::Refused(refusal, retry_after) = reply else { return fail!("{reply:?}") };
    verify_that!(refusal, pat!(CellRefusal::Overloaded(anything())))?;
    verify_that!(retry_after, some(ge(Duration::from_secs(1))))
}

/// Guards against the answer that a job is not accepted and never runs, when an earlier attempt was stored
/// without an answer.
#[gtest]
#[actix_rt::test]
async fn repeated_submission_of_a_known_job_is_not_refused() -> Result<()> {
    let reply = submit_against_notice(Some(JobAnswer::Known(JobStatus::Queued))).await?;

    verify_that!(reply, eq(&CellReply::Stored))
}

/// Guards against refusals that nobody has checked, as an earlier attempt may have been stored.
#[gtest]
#[actix_rt::test]
async fn submission_is_stored_if_the_owner_does_not_answer_or_is_recovering() -> Result<()> {
    let silent = submit_against_notice(None).await?;
    let recovering = submit_against_notice(Some(JobAnswer::SubmissionsStale)).await?;

    verify_that!([silent, recovering], each(eq(&CellReply::Stored)))
}
