//! Sends requests during a seeded schedule of faults and counts violated guarantees.

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

/// Threads that send requests.
const CALLER_THREADS: u64 = 2;
/// Concurrent callers on each thread.
const CALLERS_PER_THREAD: u64 = 64;
/// Time between two faults, and time until the VM list shows the replacement of a killed endpoint.
const FAULT_INTERVAL: Duration = Duration::from_millis(150);
/// Faults per cycle of the entry processes: half-way through a cycle the busiest one is killed, and at its
/// end all of them are replaced.
const FAULTS_PER_CYCLE: u64 = 50;
/// Duration of a fault of the log.
const LOG_FAULT_DURATION: Duration = Duration::from_millis(700);
/// Answer faults to choose from; `None` is listed twice, so that it is chosen more often.
const ANSWER_FAULTS: [AnswerFault; 9] = [
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

/// Injects faults into a running system and counts them.
struct FaultInjector {
    world: StandinWorld,
    /// Thread of the stand-ins.
    standins: Arbiter,
    token: CancellationToken,
    entries: Vec<EntryChild>,
    /// Addresses of the entry processes that callers may use.
    addresses: watch::Sender<Vec<String>>,
    /// Endpoints that were killed; their records still count.
    killed_endpoints: Vec<EndpointStandin>,
    /// State of the random number generator.
    random_state: u64,
    /// Entry processes started so far; the next one is numbered from it.
    started: u32,
    process_kills: u32,
    graceful_replacements: u32,
    /// Graceful stops that took too long and ended with a kill.
    forced_stops: u32,
    endpoint_kills: u32,
    /// Times that the connections of an endpoint were made silent.
    mutes: u32,
    log_faults: u32,
}

/// Sends `requests` requests under faults, prints the counts and panics if a guarantee was violated.
pub async fn measure(requests: u64, seed: u64) {
    let mut injector = FaultInjector::start(seed).await;
    let started = Instant::now();
    let mut runs = Vec::new();
    for thread in 0..CALLER_THREADS {
        let (reply, records) = oneshot::channel();
        let (arbiter, addresses) = (Arbiter::new(), injector.addresses.subscribe());
        let plan = CallPlan {
            callers: CALLERS_PER_THREAD,
            requests: requests.div_ceil(CALLER_THREADS * CALLERS_PER_THREAD),
            seed: seed * CALLER_THREADS + thread,
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
                () = tokio::time::sleep(FAULT_INTERVAL) => {
                    step += 1;
                    injector.inject_fault(step).await;
                }
            }
        }
        arbiter.stop();
    }
    let elapsed = started.elapsed();
    let mut reports = Vec::new();
    for endpoint in injector.world.endpoints.values().chain(&injector.killed_endpoints) {
        reports.push(endpoint.counts().await);
    }
    let counts = calls::count(&records, &reports);
    println!(
        "seed {seed}: {} requests in {elapsed:?}, {} entry processes killed, {} replaced gracefully ({} had to be \
         killed), {} endpoints killed, connections silenced {} times, {} log faults",
        records.len(),
        injector.process_kills,
        injector.graceful_replacements,
        injector.forced_stops,
        injector.endpoint_kills,
        injector.mutes,
        injector.log_faults
    );
    println!(
        "requests refused by endpoints without a free slot: {}",
        reports.iter().map(|record| record.over_slots).sum::<u32>()
    );
    println!("{counts:?}");
    injector.stop().await;
    assert!(
        (counts.lost, counts.doubled, counts.wrong, counts.false_not_run, counts.over_slots)
            == (0, 0, 0, 0, 0),
        "a guarantee was violated; see the counts above"
    );
}

impl FaultInjector {
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
        let injector = Self {
            world,
            standins,
            token,
            entries,
            addresses,
            killed_endpoints: Vec::new(),
            random_state: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            started: 3,
            process_kills: 0,
            graceful_replacements: 0,
            forced_stops: 0,
            endpoint_kills: 0,
            mutes: 0,
            log_faults: 0,
        };
        injector.announce_addresses();
        injector
    }

    /// Tells the callers the addresses of the current entry processes.
    fn announce_addresses(&self) {
        self.addresses.send_replace(self.entries.iter().map(|entry| entry.listen.clone()).collect());
    }

    /// Injects the fault of a step: kills or replaces entry processes if the step is due for it, then injects
    /// a random fault of an endpoint or the log.
    async fn inject_fault(&mut self, step: u64) {
        if step % FAULTS_PER_CYCLE == FAULTS_PER_CYCLE / 2 {
            self.kill_owner().await;
        } else if step.is_multiple_of(FAULTS_PER_CYCLE) {
            self.replace_all().await;
        }
        let pick = routing::next_random(&mut self.random_state);
        let mut names: Vec<String> = self.world.endpoints.keys().cloned().collect();
        names.sort();
        let name = &names[usize::try_from(pick >> 8).unwrap_or(0) % names.len()];
        match pick % 24 {
            0..3 => self.replace_endpoint(name).await,
            3 => self.fail_log(LogFaults { down: true, ..LogFaults::default() }).await,
            4 => self.fail_log(LogFaults { lose_append_replies: true, ..LogFaults::default() }).await,
            5..9 => {
                self.mutes += 1;
                self.world.endpoints[name].silence_connections();
            }
            _ => {
                let answer = ANSWER_FAULTS[usize::try_from(pick >> 40).unwrap_or(0) % ANSWER_FAULTS.len()];
                let one_in = 5 + u32::try_from((pick >> 50) % 30).unwrap_or(0);
                let work_time = Duration::from_millis(2 + (pick >> 30) % 30);
                let faults = EndpointFaults { answer, one_in, work_time, ..EndpointFaults::default() };
                self.world.endpoints[name].set_faults(faults).await;
            }
        }
    }

    /// Kills an endpoint and starts another one with the same name and a new address.
    async fn replace_endpoint(&mut self, name: &str) {
        self.endpoint_kills += 1;
        let (reply, started) = oneshot::channel();
        let token = self.token.child_token();
        self.standins.spawn(async move {
            let _ = reply.send(EndpointStandin::start("127.0.0.1:0", token).await.unwrap());
        });
        let endpoint = started.await.unwrap();
        let address = endpoint.address.to_string();
        if let Some(killed) = self.world.endpoints.insert(name.to_owned(), endpoint) {
            killed.kill();
            self.killed_endpoints.push(killed);
        }
        tokio::time::sleep(FAULT_INTERVAL).await;
        self.world.directory.change(|list| {
            list.iter_mut().filter(|vm| vm.vm == name).for_each(|vm| vm.address.clone_from(&address));
        });
    }

    /// Applies faults to the log for [`LOG_FAULT_DURATION`].
    async fn fail_log(&mut self, faults: LogFaults) {
        self.log_faults += 1;
        self.world.log.set_faults(faults);
        tokio::time::sleep(LOG_FAULT_DURATION).await;
        self.world.log.set_faults(LogFaults::default());
    }

    /// Starts the next entry process, in the zone with this index modulo 3.
    fn start_entry(&mut self, zone: usize) -> EntryChild {
        self.started += 1;
        EntryChild::start(&self.world, &format!("entry-{}", self.started), ["a", "b", "c"][zone % 3])
    }

    /// Kills the process that has dispatched the most requests, usually the owner of the service, and starts
    /// another one.
    async fn kill_owner(&mut self) {
        let mut busiest = (0, 0);
        for (index, entry) in self.entries.iter().enumerate() {
            busiest = busiest.max((entry.dispatches().await, index));
        }
        let killed = self.entries.remove(busiest.1);
        let vm = killed.vm.clone();
        killed.kill();
        self.announce_addresses();
        self.process_kills += 1;
        self.world.unlist(&vm);
        let entry = self.start_entry(busiest.1);
        entry.wait_ready().await;
        self.entries.push(entry);
        self.announce_addresses();
    }

    /// Replaces all entry processes one after another, as an operator does in a rolling update.
    async fn replace_all(&mut self) {
        for zone in 0..self.entries.len() {
            let entry = self.start_entry(zone);
            entry.wait_ready().await;
            self.entries.push(entry);
            let leaving = self.entries.remove(0);
            self.announce_addresses();
            // Callers no longer choose this process, but requests to it may still be in flight.
            tokio::time::sleep(Duration::from_millis(200)).await;
            let vm = leaving.vm.clone();
            self.graceful_replacements += 1;
            self.forced_stops += u32::from(!leaving.stop().await);
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
