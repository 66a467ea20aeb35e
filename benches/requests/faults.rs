//! Requests under a seeded schedule of faults, and the counts of broken promises.

use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use godwithaven_standins::endpoint::{AnswerFault, EndpointFaults, EndpointStandin};
use godwithaven_standins::logservice::LogFaults;
use godwithaven_standins::world::StandinWorld;
use tokio::sync::{oneshot, watch};
use tokio_util::sync::CancellationToken;

use crate::calls::{self, CallPlan};
use crate::child::EntryChild;
use crate::{bundle_text, fixture, routing, start_world};

/// Threads that send requests, and the callers on each.
const THREADS: u64 = 2;
const CALLERS: u64 = 64;
/// Time between two faults of endpoints.
const FAULT_TIME: Duration = Duration::from_millis(150);
/// Faults of endpoints between two changes of the entry processes.
const FAULTS_PER_CHANGE: u64 = 50;
/// Time that the log is down or loses replies.
const LOG_FAULT_TIME: Duration = Duration::from_millis(700);
const ANSWERS: [AnswerFault; 9] = [
    AnswerFault::None,
    AnswerFault::Silent,
    AnswerFault::WrongId,
    AnswerFault::Truncated,
    AnswerFault::Duplicated,
    AnswerFault::Lost,
    AnswerFault::Refused,
    AnswerFault::Late,
    AnswerFault::None,
];

/// The platform under faults.
struct FaultStage {
    world: StandinWorld,
    standins: Arbiter,
    token: CancellationToken,
    entries: Vec<EntryChild>,
    addresses: watch::Sender<Vec<String>>,
    /// Endpoints that were killed; what they saw still counts.
    dead: Vec<EndpointStandin>,
    random: u64,
    started: u32,
    kills: u32,
    replacements: u32,
    unclean: u32,
    deaths: u32,
    muted: u32,
    log_faults: u32,
}

/// Runs `requests` requests under faults and prints the counts.
pub async fn measure(requests: u64, seed: u64) {
    let mut stage = FaultStage::start(seed).await;
    let started = Instant::now();
    let mut runs = Vec::new();
    for thread in 0..THREADS {
        let (reply, records) = oneshot::channel();
        let (arbiter, addresses) = (Arbiter::new(), stage.addresses.subscribe());
        let plan = CallPlan {
            callers: CALLERS,
            requests: requests.div_ceil(THREADS * CALLERS),
            seed: seed * THREADS + thread,
            short_one_in: 8,
            give_up_one_in: 4,
            pause_ms: 10,
        };
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                let _ = reply.send(calls::run_callers(addresses, plan).await);
            });
        });
        runs.push((arbiter, records));
    }
    let mut records = std::collections::HashMap::new();
    for (arbiter, mut run) in runs {
        let mut step = 0;
        loop {
            tokio::select! {
                ended = &mut run => {
                    records.extend(ended.unwrap());
                    break;
                }
                () = tokio::time::sleep(FAULT_TIME) => {
                    step += 1;
                    stage.strike(step).await;
                }
            }
        }
        arbiter.stop();
    }
    let spent = started.elapsed();
    let mut reports = Vec::new();
    for endpoint in stage.world.endpoints.values().chain(&stage.dead) {
        reports.push(endpoint.record().await);
    }
    let counts = calls::count(&records, &reports);
    println!(
        "seed {seed}: {} requests in {spent:?}, {} owners or others killed, {} replaced gracefully ({} not clean), \
         {} endpoints killed, {} times connections silenced, {} log faults",
        records.len(),
        stage.kills,
        stage.replacements,
        stage.unclean,
        stage.deaths,
        stage.muted,
        stage.log_faults
    );
    println!("refused by full endpoints: {}", reports.iter().map(|record| record.over_slots).sum::<u32>());
    println!("{counts:?}");
    stage.stop().await;
    assert!(
        (counts.lost, counts.doubled, counts.wrong, counts.false_not_run, counts.over_slots)
            == (0, 0, 0, 0, 0),
        "a promise was broken"
    );
}

impl FaultStage {
    async fn start(seed: u64) -> Self {
        let (token, standins) = (CancellationToken::new(), Arbiter::new());
        let world = start_world(&standins, &token).await;
        let entries: Vec<EntryChild> = [("entry-1", "a"), ("entry-2", "b"), ("entry-3", "c")]
            .iter()
            .map(|(vm, zone)| EntryChild::start(&world, vm, zone))
            .collect();
        fixture::publish(&world, 1, 0, bundle_text()).await;
        for entry in &entries {
            entry.wait_ready().await;
        }
        let (addresses, _) = watch::channel(Vec::new());
        let stage = Self {
            world,
            standins,
            token,
            entries,
            addresses,
            dead: Vec::new(),
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            started: 3,
            kills: 0,
            replacements: 0,
            unclean: 0,
            deaths: 0,
            muted: 0,
            log_faults: 0,
        };
        stage.announce();
        stage
    }

    fn announce(&self) {
        self.addresses.send_replace(self.entries.iter().map(|entry| entry.listen.clone()).collect());
    }

    async fn strike(&mut self, step: u64) {
        if step % FAULTS_PER_CHANGE == FAULTS_PER_CHANGE / 2 {
            self.kill_owner().await;
        } else if step.is_multiple_of(FAULTS_PER_CHANGE) {
            self.replace_all().await;
        }
        let pick = routing::next_random(&mut self.random);
        let mut names: Vec<String> = self.world.endpoints.keys().cloned().collect();
        names.sort();
        let name = &names[usize::try_from(pick >> 8).unwrap_or(0) % names.len()];
        match pick % 24 {
            0..3 => self.replace_endpoint(name).await,
            3 => self.fail_log(LogFaults { down: true, ..LogFaults::default() }).await,
            4 => self.fail_log(LogFaults { lose_append_replies: true, ..LogFaults::default() }).await,
            5..9 => {
                self.muted += 1;
                self.world.endpoints[name].mute_connections();
            }
            _ => {
                let answer = ANSWERS[usize::try_from(pick >> 40).unwrap_or(0) % ANSWERS.len()];
                let one_in = 5 + u32::try_from((pick >> 50) % 30).unwrap_or(0);
                let work_time = Duration::from_millis(2 + (pick >> 30) % 30);
                let faults = EndpointFaults { answer, one_in, work_time, ..EndpointFaults::default() };
                self.world.endpoints[name].set_faults(faults).await;
            }
        }
    }

    /// Kills an endpoint; another one takes its name on another address.
    async fn replace_endpoint(&mut self, name: &str) {
        self.deaths += 1;
        let (reply, started) = oneshot::channel();
        let token = self.token.child_token();
        self.standins.spawn(async move {
            let _ = reply.send(EndpointStandin::start("127.0.0.1:0", token).await.unwrap());
        });
        let endpoint = started.await.unwrap();
        let address = endpoint.address.to_string();
        if let Some(dead) = self.world.endpoints.insert(name.to_owned(), endpoint) {
            dead.kill();
            self.dead.push(dead);
        }
        tokio::time::sleep(FAULT_TIME).await;
        self.world.directory.change(|list| {
            list.iter_mut().filter(|vm| vm.vm == name).for_each(|vm| vm.address.clone_from(&address));
        });
    }

    /// Lets the log fail for a moment.
    async fn fail_log(&mut self, faults: LogFaults) {
        self.log_faults += 1;
        self.world.log.set_faults(faults);
        tokio::time::sleep(LOG_FAULT_TIME).await;
        self.world.log.set_faults(LogFaults::default());
    }

    fn start_entry(&mut self, zone: usize) -> EntryChild {
        self.started += 1;
        EntryChild::start(&self.world, &format!("entry-{}", self.started), ["a", "b", "c"][zone % 3])
    }

    /// Kills the process that has sent most requests to endpoints; another one starts in its place.
    async fn kill_owner(&mut self) {
        let mut most = (0, 0);
        for (index, entry) in self.entries.iter().enumerate() {
            most = most.max((entry.dispatches().await, index));
        }
        let killed = self.entries.remove(most.1);
        let vm = killed.vm.clone();
        killed.kill();
        self.announce();
        self.kills += 1;
        self.world.unlist(&vm);
        let entry = self.start_entry(most.1);
        entry.wait_ready().await;
        self.entries.push(entry);
        self.announce();
    }

    /// Replaces all processes one after another, as an operator does.
    async fn replace_all(&mut self) {
        for zone in 0..self.entries.len() {
            let entry = self.start_entry(zone);
            entry.wait_ready().await;
            self.entries.push(entry);
            let leaving = self.entries.remove(0);
            self.announce();
            // The load balancer sends nothing more to it, but requests may be on their way.
            tokio::time::sleep(Duration::from_millis(200)).await;
            let vm = leaving.vm.clone();
            self.replacements += 1;
            self.unclean += u32::from(!leaving.stop().await);
            self.world.unlist(&vm);
        }
    }

    async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        self.token.cancel();
        self.standins.stop();
    }
}
