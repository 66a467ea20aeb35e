//! The subcommand `demo`: runs entry processes and stand-ins on loopback addresses through zone changes, a
//! withdrawn key, a crash and a graceful stop, and counts violations of what the system promises.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use godwithaven::clock::unix_ms;
use godwithaven::kernel::{BundleRecord, LogRecord, RecordGroup};
use godwithaven::logging;
use godwithaven::plugins::bundle_signature;
use godwithaven::settings::{EntrySettings, LogFormat};
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::invariant::{self, TaskEvent};
use godwithaven_standins::world::{StandinWorld, WorldShape};
use serde_json::{Value, json};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::caller::{CallOutcome, CallerClient};
use crate::tally::DemoTally;

/// Longest time until a published zone change or key withdrawal takes effect in all entry processes.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);
/// Time in which all jobs must reach an outcome, counted from the cancellation of the services.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(8);
/// Concurrent loops that send requests to services.
const CALL_LOOPS: usize = 6;
/// Teams: id, key, share and upper limit in millicores.
const TEAMS: [(&str, &str, u64, u64); 3] = [
    ("haulage", "key-of-haulage", 3, 300_000),
    ("permits", "key-of-permits", 2, 200_000),
    ("agronomy", "key-of-agronomy", 1, 96_000),
];
/// Upper limit of memory of each team.
const MEMORY_LIMIT_MIB: u64 = 1 << 20;
/// Upper limit of accelerators of each team.
const ACCELERATOR_LIMIT: u64 = 24;

/// Environment variable that, if set, makes the entry processes log to standard error.
const LOG_VARIABLE: &str = "GODWITHAVEN_DEMO_LOG";

/// Differences between the versions of the demo's bundle.
#[derive(Clone, Copy, Default)]
struct BundleVariant {
    /// Takes zone `b` out of service.
    zone_b_out: bool,
    /// Leaves out the key of team `agronomy`.
    agronomy_key_withdrawn: bool,
}

/// Runs the demo and prints its counts; fails if there was a violation or the demo could not run to its end.
pub async fn run() -> ExitCode {
    if std::env::var_os(LOG_VARIABLE).is_some() {
        logging::start(LogFormat::Pairs, log::LevelFilter::Info);
    }
    let tally = match run_scenario().await {
        Ok(tally) => tally,
        Err(error) => {
            eprintln!("the demo failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    tally.print();
    println!("{}", serde_json::to_string(&tally).unwrap_or_default());
    if tally.has_violations() { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

async fn run_scenario() -> Result<DemoTally, Box<dyn std::error::Error>> {
    let token = CancellationToken::new();
    let shape =
        WorldShape { services: vec![("planner".into(), 6), ("mapper".into(), 3)], ..WorldShape::default() };
    let mut world = StandinWorld::start(&shape, &token).await?;
    for (team, _, _, cores) in TEAMS {
        world.facts.limits.insert(team.into(), [cores, MEMORY_LIMIT_MIB, ACCELERATOR_LIMIT]);
    }
    let mut entries = Vec::new();
    for (vm, zone) in [("entry-1", "a"), ("entry-2", "b"), ("entry-3", "c")] {
        entries.push(start_entry(&world, vm, zone).await?);
    }
    print_progress("stand-ins and three entry processes run");
    publish(&world, 1, BundleVariant::default()).await?;
    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.listen).collect();
    let callers = TEAMS.map(|(team, key, ..)| CallerClient::new(&addresses, team, key));
    callers[0].call("planner", "first", true, "").await;
    print_progress("bundle 1 is in force, all shards have owners");

    let mut tally = DemoTally::default();
    let mut jobs = submit_jobs(&callers, "early", &mut tally).await;
    print_progress("services, batch and gang jobs submitted for three teams");
    let stop_calls = token.child_token();
    let loops: Vec<_> = (0..CALL_LOOPS)
        .map(|index| actix_rt::spawn(call_loop(callers.clone(), index, stop_calls.clone())))
        .collect();

    publish(&world, 2, BundleVariant { zone_b_out: true, ..BundleVariant::default() }).await?;
    let violation_from = std::time::Instant::now() + MAX_CHANGE_DELAY;
    jobs.extend(submit_jobs(&callers, "out", &mut tally).await);
    tokio::time::sleep(MAX_CHANGE_DELAY * 2).await;
    world.facts.closed.push(("b".into(), violation_from, std::time::Instant::now()));
    print_progress("zone b was out for four seconds");

    publish(&world, 3, BundleVariant { agronomy_key_withdrawn: true, ..BundleVariant::default() }).await?;
    tokio::time::sleep(MAX_CHANGE_DELAY).await;
    let job_with_withdrawn_key = batch_job("agronomy", "late", 1);
    let status = callers[2].submit(&job_with_withdrawn_key).await;
    tally.withdrawn_key_accepted += u32::from(status == 202);
    tally.refused += u32::from(status == 401);
    print_progress("zone b is back, the key of team agronomy is withdrawn");

    // Read from all processes before two of them end. The process that is left is read again at the end, and
    // as its buckets are cumulative, its placements up to here count twice.
    let mut buckets = Vec::new();
    for entry in &entries {
        buckets.extend(placement_buckets(entry.operator_listen).await);
    }
    if let Some(entry) = entries.pop() {
        entry.kill();
    }
    world.unlist("entry-3");
    jobs.extend(submit_jobs(&callers[..2], "killed", &mut tally).await);
    print_progress("entry-3 was killed, its shards have new owners");
    tokio::time::sleep(MAX_CHANGE_DELAY * 2).await;

    let broken_attempts =
        |callers: &[CallerClient]| callers.iter().map(|caller| caller.broken_attempts.get()).sum::<u32>();
    let broken_before = broken_attempts(&callers);
    if let Some(entry) = entries.pop() {
        entry.stop().await;
    }
    world.unlist("entry-2");
    print_progress("entry-2 was stopped gracefully");
    tokio::time::sleep(Duration::from_secs(1)).await;
    tally.cut_by_graceful_stop = broken_attempts(&callers) - broken_before;
    stop_calls.cancel();
    for call_loop in loops {
        tally_calls(call_loop.await?, &world, &mut tally).await;
    }
    finish_jobs(&callers, &jobs, &mut tally).await;
    tally_workers(&world, &mut tally).await;
    for entry in entries {
        buckets.extend(placement_buckets(entry.operator_listen).await);
        entry.stop().await;
    }
    (tally.p50_ms, tally.p99_ms) = (quantile(&buckets, 0.5), quantile(&buckets, 0.99));
    token.cancel();
    Ok(tally)
}

fn print_progress(text: &str) {
    println!("- {text}");
}

async fn start_entry(
    world: &StandinWorld,
    vm: &str,
    zone: &str,
) -> Result<EntryProcess, Box<dyn std::error::Error>> {
    let value = |flag: &str| {
        Some(match flag {
            "vm" => vm.to_owned(),
            "zone" => zone.to_owned(),
            "listen" | "peer-listen" | "operator-listen" => "127.0.0.1:0".to_owned(),
            "log" => world.log.address.to_string(),
            "directory" => world.directory.address.to_string(),
            "signers" => hex::encode(signing_key().verifying_key().to_bytes()),
            "sync-interval-ms" => "100".to_owned(),
            "lease-ms" => "2000".to_owned(),
            _ => return None,
        })
    };
    let entry = EntryProcess::start(EntrySettings::read(value, |_| None)?).await?;
    world.list_entry(vm, zone, &entry.peer_listen.to_string());
    Ok(entry)
}

/// Returns the fixed key of the demo's only signer. Outside the demo, operators keep signing keys secret.
fn signing_key() -> bundle_signature::SigningKey {
    bundle_signature::SigningKey::from_bytes(&[1; 32])
}

/// Returns the text of a bundle version.
fn bundle_text(version: u64, variant: BundleVariant) -> String {
    let mut text = format!("version = {version}\nbase = {}\nshards_per_region = 2\n", version - 1);
    for zone in ["a", "b", "c"] {
        let state = if variant.zone_b_out && zone == "b" { "out" } else { "in" };
        let _ = write!(text, "[[zones]]\nid = \"{zone}\"\nregion = \"r1\"\nstate = \"{state}\"\n");
    }
    for (team, key, share, cores) in TEAMS {
        let _ = write!(
            text,
            "[[teams]]\nid = \"{team}\"\nshare = {share}\nlimit = {{ cores_milli = {cores}, memory_mib = \
             {MEMORY_LIMIT_MIB}, accelerators = {ACCELERATOR_LIMIT} }}\n"
        );
        if !(variant.agronomy_key_withdrawn && team == "agronomy") {
            let digest = bundle_signature::key_digest(key);
            let _ = write!(text, "[[keys]]\nid = \"{team}-1\"\nteam = \"{team}\"\nsha256 = \"{digest}\"\n");
        }
    }
    text + "[[queues]]\nid = \"main\"\n[[services]]\nid = \"planner\"\n[[services]]\nid = \"mapper\"\n"
}

/// Appends a signed bundle version to the control log, without waiting until it is in force.
async fn publish(
    world: &StandinWorld,
    version: u64,
    variant: BundleVariant,
) -> Result<(), Box<dyn std::error::Error>> {
    let text = bundle_text(version, variant);
    let mut record = BundleRecord { version, base: version - 1, text, signatures: Vec::new() };
    bundle_signature::sign(&mut record, &signing_key());
    let process = format!("operator.{version}").into();
    let group =
        RecordGroup { process, sequence: 1, at_ms: unix_ms(), records: vec![LogRecord::Bundle(record)] };
    let body = json!({ "body": serde_json::to_string(&group)? });
    let url = format!("http://{}/streams/control/records", world.log.address);
    awc::Client::default().post(url).send_json(&body).await.map_err(|error| error.to_string())?;
    Ok(())
}

/// Returns the body of a job submission; `need` is per task.
fn job(team: &str, name: &str, kind: &str, tasks: u32, need: &Value) -> Value {
    json!({ "name": name, "team": team, "queue": "main", "kind": kind, "tasks": tasks, "need": need, "retries": 2 })
}

fn batch_job(team: &str, name: &str, tasks: u32) -> Value {
    let mut job = job(team, name, "batch", tasks, &json!({ "cores_milli": 4_000, "memory_mib": 8_192 }));
    job["run_ms"] = json!(300);
    job
}

/// Submits ten batch jobs, one gang job, one service and one job that is larger than any worker for each
/// caller. Job names start with `round`. Returns the accepted jobs: index of the caller, name, and whether it
/// is a service.
async fn submit_jobs(
    callers: &[CallerClient],
    round: &str,
    tally: &mut DemoTally,
) -> Vec<(usize, String, bool)> {
    let mut jobs = Vec::new();
    for (index, caller) in callers.iter().enumerate() {
        let team = caller.team;
        let mut bodies: Vec<(Value, bool)> =
            (0..10).map(|number| (batch_job(team, &format!("{round}-batch-{number}"), 4), false)).collect();
        let need = json!({ "cores_milli": 2_000, "memory_mib": 4_096, "accelerators": 2 });
        let mut gang = job(team, &format!("{round}-gang"), "gang", 4, &need);
        gang["run_ms"] = json!(500);
        bodies.push((gang, false));
        let need = json!({ "cores_milli": 1_000, "memory_mib": 1_024 });
        bodies.push((job(team, &format!("{round}-service"), "service", 3, &need), true));
        let mut oversized = batch_job(team, &format!("{round}-giant"), 1);
        oversized["need"] = json!({ "cores_milli": 1_000_000 });
        bodies.push((oversized, false));
        for (body, is_service) in bodies {
            tally.submitted += 1;
            let name = format!("{team}/{}", body["name"].as_str().unwrap_or_default());
            match caller.submit(&body).await {
                202 => jobs.push((index, name, is_service)),
                0 => tally.lost += 1,
                _ => tally.refused += 1,
            }
        }
    }
    jobs
}

/// Cancels the services, which do not end on their own, and waits for the outcome of every accepted job. Jobs
/// of team `agronomy` are left out, as nobody can cancel or read them after its key is withdrawn.
async fn finish_jobs(callers: &[CallerClient], jobs: &[(usize, String, bool)], tally: &mut DemoTally) {
    for (index, name, _) in jobs.iter().filter(|(_, _, is_service)| *is_service) {
        if callers[*index].team != "agronomy" && !callers[*index].cancel(name).await {
            eprintln!("cancelling {name} was not confirmed");
        }
    }
    let deadline = Instant::now() + OUTCOME_TIMEOUT;
    let watched = jobs.iter().filter(|(index, ..)| callers[*index].team != "agronomy");
    let outcomes =
        watched.map(|(index, name, _)| async move { (name, callers[*index].outcome(name, deadline).await) });
    for (name, outcome) in join_all(outcomes).await {
        match outcome {
            Some(outcome) if outcome.get("refused").is_some() => tally.refused += 1,
            Some(_) => tally.finished += 1,
            None => {
                eprintln!("job {name} has no outcome");
                tally.lost += 1;
            }
        }
    }
}

/// A request to a service with its outcome at the caller.
struct CallRecord {
    /// Request id as the endpoints record it, `TEAM/ID`.
    id: String,
    body: String,
    idempotent: bool,
    outcome: CallOutcome,
}

/// Sends requests one after the other until the token is cancelled; returns all of them.
async fn call_loop(callers: [CallerClient; 3], index: usize, token: CancellationToken) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let mut number = 0;
    while !token.is_cancelled() {
        // The first two callers only: the key of team agronomy is withdrawn during the demo.
        let caller = &callers[number % 2];
        let (id, idempotent) = (format!("call-{index}-{number}"), number % 3 == 0);
        let body = format!("load {number} of loop {index}");
        let service = if number % 4 == 0 { "mapper" } else { "planner" };
        let outcome = caller.call(service, &id, idempotent, &body).await;
        records.push(CallRecord { id: format!("{}/{id}", caller.team), body, idempotent, outcome });
        number += 1;
    }
    records
}

/// Counts requests by their outcome and compares them with what the endpoints ran.
async fn tally_calls(records: Vec<CallRecord>, world: &StandinWorld, tally: &mut DemoTally) {
    let mut runs = Rc::new(std::collections::HashMap::<String, u32>::new());
    for endpoint in world.endpoints.values() {
        for (id, count) in endpoint.runs().await {
            *Rc::make_mut(&mut runs).entry(id).or_default() += count;
        }
    }
    for record in records {
        let ran = runs.get(&record.id).copied().unwrap_or(0);
        tally.requests += 1;
        tally.doubled += u32::from(!record.idempotent && ran > 1);
        match record.outcome {
            CallOutcome::Answered(status, body) => {
                let expected = format!("answer to {}: {}", record.id, record.body);
                tally.answered += 1;
                tally.wrong_answers += u32::from(status == 200 && body != expected);
            }
            CallOutcome::NotRun(_) => {
                tally.not_run += 1;
                tally.false_not_run += u32::from(ran > 0 && !record.idempotent);
            }
            CallOutcome::MayHaveRun(_) => tally.may_have_run += 1,
            CallOutcome::NoReply => tally.lost += 1,
        }
    }
}

/// Counts the task starts that the workers recorded, and the violations among them.
async fn tally_workers(world: &StandinWorld, tally: &mut DemoTally) {
    let records = world.workers.records().await;
    let starts = records.iter().filter(|record| matches!(record.event, TaskEvent::Started { .. }));
    tally.placed = u32::try_from(starts.count()).unwrap_or(u32::MAX);
    tally.add_violations(invariant::check(&records, &world.facts));
}

/// Reads the cumulative buckets of an entry process's placement histogram: upper bound in seconds and count.
/// Returns none if the process cannot be reached.
async fn placement_buckets(operator: SocketAddr) -> Vec<(f64, f64)> {
    let request = awc::Client::default().get(format!("http://{operator}/metrics")).send().await;
    let Ok(mut response) = request else { return Vec::new() };
    let body = response.body().await.unwrap_or_default();
    let text = String::from_utf8_lossy(&body);
    let buckets =
        text.lines().filter_map(|line| line.strip_prefix("godwithaven_placement_seconds_bucket{le=\""));
    buckets
        .filter_map(|line| {
            let (bound, count) = line.split_once("\"} ")?;
            Some((bound.parse().ok()?, count.parse().ok()?))
        })
        .collect()
}

/// Returns a quantile in milliseconds, as the upper bound of the bucket that holds it. Counts of buckets with
/// the same bound, from several processes, are added.
fn quantile(buckets: &[(f64, f64)], fraction: f64) -> f64 {
    let mut bounds: Vec<f64> =
        buckets.iter().map(|(bound, _)| *bound).filter(|bound| bound.is_finite()).collect();
    bounds.sort_unstable_by(f64::total_cmp);
    bounds.dedup();
    let count = |bound: f64| {
        buckets
            .iter()
            .filter(|(other, _)| other.total_cmp(&bound).is_eq())
            .map(|(_, count)| count)
            .sum::<f64>()
    };
    let total = count(f64::INFINITY);
    let bound = bounds.into_iter().find(|bound| count(*bound) >= fraction * total);
    bound.unwrap_or(f64::INFINITY) * 1_000.0
}
