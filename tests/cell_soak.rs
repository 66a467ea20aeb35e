//! Soak test of real entry processes under random faults: kills, pauses, graceful stops, reload signals,
//! outages of the store, network partitions, and workers that restart under their ids and are cut off.
//!
//! `GODWITHAVEN_SOAK_SEEDS=1-50` selects the seeds, `GODWITHAVEN_SOAK_SECONDS=20` the duration for each seed.

mod fixture_platform;
mod fixture_soak;

use std::time::{Duration, Instant};

use fixture_platform::{Platform, RunTally, free_ports, job, start_platform};
use fixture_soak::{
    Partitions, RestartStep, SeededRandom, SoakProcess, WorkerRestarts, cut_on_takeover, owner_of,
    restart_worker,
};
use futures_util::FutureExt;
use futures_util::future::join_all;
use godwithaven_standins::platform::PlatformWorker;
use godwithaven_standins::relay::RelayStandin;
use googletest::prelude::*;
use serde_json::{Value, json};

/// Number of entry processes in one run.
const PROCESS_COUNT: u16 = 3;
/// Number of ports for each entry process.
const PORTS_PER_PROCESS: u16 = 4;
/// Number of workers in one run.
const WORKER_COUNT: usize = 3;
/// Longest wait for all jobs to complete after the last fault; a lease alone lasts 6.5 s.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time before the first fault of each kind.
const FIRST_FAULT_AFTER: Duration = Duration::from_secs(2);
/// A job with a task that may outlast a lease is submitted after this many other jobs.
const LONG_JOB_INTERVAL: usize = 10;
/// One of this many jobs is submitted in a takeover; all of them would take more than the cores of the workers.
const TAKEOVER_JOB_INTERVAL: usize = 7;
/// Factor of the time between two faults other than partitions for most seeds: only an owner that lives on in a
/// long partition can go on renewing leases.
const SPARSE_FAULT_FACTOR: u32 = 12;
/// Changes the seed for the numbers that do not concern the older faults, whose draws stay as they were.
const PARTITION_SEED: u64 = 0x7061_7274;
/// The same for the run times of long jobs.
const LONG_JOB_SEED: u64 = 0x6c6f_6e67;
/// The same for the restarts of workers.
const RESTART_SEED: u64 = 0x7265_7374;
/// Number of tasks of a job that is submitted after a restart, so that some of them run on the restarted workers.
const RESTART_TASK_COUNT: u32 = 3;
/// Time for which a process is down after a kill that belongs to a restart.
const OWNER_DOWN_TIME: Duration = Duration::from_secs(3);
/// First character of the ids of jobs whose tasks may run twice at once.
const COPIES_PREFIX: char = 'c';

struct SoakRun {
    platform: Platform,
    processes: Vec<SoakProcess>,
    random: SeededRandom,
    long_job_random: SeededRandom,
    partitions: Partitions,
    restarts: WorkerRestarts,
    started_at: Instant,
    store_up_at: Option<Instant>,
    tally: RunTally,
    accepted: Vec<String>,
    faults: Vec<String>,
}

impl SoakRun {
    async fn start_run(seed: u64) -> Self {
        let platform = start_platform(&format!("soak_{seed}_{}", std::process::id()), WORKER_COUNT).await;
        let base = free_ports(PROCESS_COUNT * PORTS_PER_PROCESS);
        let mut processes = Vec::new();
        for number in 0..PROCESS_COUNT {
            processes.push(new_process(&platform, number, base).await);
        }
        let started_at = Instant::now();
        let mut run = Self {
            platform,
            processes,
            random: SeededRandom(seed),
            long_job_random: SeededRandom(seed ^ LONG_JOB_SEED),
            partitions: Partitions::new(seed ^ PARTITION_SEED, started_at + FIRST_FAULT_AFTER),
            restarts: WorkerRestarts::new(seed ^ RESTART_SEED, WORKER_COUNT, started_at + FIRST_FAULT_AFTER),
            started_at,
            store_up_at: None,
            tally: RunTally::default(),
            accepted: Vec::new(),
            faults: Vec::new(),
        };
        for process in &mut run.processes {
            process.start(&run.platform);
        }
        run
    }

    /// Injects a random fault and records its kind as drawn: 0 and 1 kill a process, 2 pauses it, 3 stops it,
    /// 4 sends a reload signal and 5 is an outage of the store. Kinds 0 to 3 become an outage as well if the
    /// process is down or paused already; an outage lasts half of the recorded time.
    fn inject_fault(&mut self) {
        let index = usize::try_from(self.random.next_below(u64::from(PROCESS_COUNT))).unwrap_or_default();
        let wait = Duration::from_millis(200 + self.random.next_below(2_500));
        let kind = self.random.next_below(6);
        let process = &mut self.processes[index];
        self.faults.push(format!("fault {kind} of e{index} for {wait:?}"));
        match kind {
            0 | 1 if process.resume_at.is_none() => {
                process.kill();
                process.resume_at = Some(Instant::now() + wait);
            }
            2 if process.resume_at.is_none() => {
                process.signal("-STOP");
                process.paused = true;
                process.resume_at = Some(Instant::now() + wait);
            }
            3 if process.resume_at.is_none() => {
                process.signal("-TERM");
                process.resume_at = Some(Instant::now() + wait);
            }
            4 => process.signal("-HUP"),
            _ => {
                self.platform.store.set_down(true);
                self.store_up_at = Some(Instant::now() + wait / 2);
            }
        }
    }

    /// Begins a partition if one is due, but none that ends a takeover.
    fn begin_partition(&mut self) {
        if self.restarts.awaits_owner() {
            return;
        }
        let spares_owner = self.restarts.is_taking_over();
        if let Some(partition) = self.partitions.begin_due(&self.platform, &mut self.processes, spares_owner)
        {
            self.faults.push(format!("{partition} at {:?}", self.started_at.elapsed()));
        }
    }

    /// Takes the steps of the restarts that are due.
    async fn advance_restarts(&mut self) {
        while let Some(step) = self.restarts.next_due() {
            self.faults.push(format!("{step:?} at {:?}", self.started_at.elapsed()));
            match step {
                RestartStep::Restart { workers, resets, late_calls } => {
                    for worker in self.chosen_workers(&workers) {
                        actix_rt::spawn(restart_worker(worker.clone(), resets, late_calls));
                    }
                }
                RestartStep::Submit(time) => {
                    self.submit_after_restart(self.faults.len(), time).await;
                }
                RestartStep::KillOwner => self.kill_owner(),
                RestartStep::Cut(workers) => {
                    self.chosen_workers(&workers).for_each(|worker| worker.set_cut(true));
                }
                RestartStep::CutOnTakeover(workers) => {
                    for worker in self.chosen_workers(&workers) {
                        actix_rt::spawn(cut_on_takeover(worker.clone(), worker.highest_token()));
                    }
                }
                RestartStep::Reconnect(workers) => {
                    self.chosen_workers(&workers).for_each(|worker| worker.set_cut(false));
                }
            }
        }
    }

    fn chosen_workers(&self, chosen: &[bool]) -> impl Iterator<Item = &PlatformWorker> {
        self.platform
            .workers
            .iter()
            .zip(chosen)
            .filter(|(_, is_chosen)| **is_chosen)
            .map(|(worker, _)| worker)
    }

    /// Kills the owner unless it is down or paused already.
    fn kill_owner(&mut self) {
        let Some((owner, _)) = owner_of(&self.platform, &self.processes) else { return };
        let process = &mut self.processes[owner];
        if process.resume_at.is_none() {
            process.kill();
            process.resume_at = Some(Instant::now() + OWNER_DOWN_TIME);
            self.faults.push(format!("kill of e{owner} at {:?}", self.started_at.elapsed()));
        }
    }

    /// Ends the faults that are over and collects the events of the workers.
    fn advance(&mut self) {
        if self.store_up_at.is_some_and(|back| Instant::now() >= back) {
            self.store_up_at = None;
            self.platform.store.set_down(false);
        }
        for process in &mut self.processes {
            process.resume_or_restart(&self.platform);
        }
        self.partitions.end_due(&self.platform, &mut self.processes);
        self.tally.add_events(&mut self.platform.events);
    }

    /// Returns whether this job is not submitted, so that a takeover has room.
    fn is_left_out(&self, number: usize) -> bool {
        self.restarts.is_taking_over() && !number.is_multiple_of(TAKEOVER_JOB_INTERVAL)
    }

    /// Submits a job with short tasks to a random process.
    async fn submit(&mut self, number: usize) {
        let id = format!("{number:016x}");
        let index = usize::try_from(self.random.next_below(u64::from(PROCESS_COUNT))).unwrap_or_default();
        let time = 30 + self.random.next_below(500);
        if self.is_left_out(number) {
            return;
        }
        self.post_job(id, index, job(&format!("ms={time}"))).await;
    }

    /// Submits a job with one task, which may run for longer than a lease, to a random process.
    async fn submit_long_job(&mut self, number: usize) {
        let id = format!("f{number:015x}");
        let index = self.long_job_random.next_below(u64::from(PROCESS_COUNT));
        let time = 2_000 + self.long_job_random.next_below(16_000);
        if self.is_left_out(number) {
            return;
        }
        let job = json!({"spec": format!("ms={time}"), "steps": [
            {"count": 1, "cpu": 1_000, "mem_mb": 100, "estimated_ms": time},
        ]});
        self.post_job(id, usize::try_from(index).unwrap_or_default(), job).await;
    }

    /// Submits the jobs that go with a restart to all processes, as some may be down.
    async fn submit_after_restart(&mut self, number: usize, time: u64) {
        let step = |count: u32, copies: bool| {
            json!({"spec": format!("ms={time}"), "steps": [{
                "count": count, "cpu": 1_000, "mem_mb": 100, "estimated_ms": time, "allow_duplicates": copies,
            }]})
        };
        let first_ports = self.processes.iter().map(|process| process.first_port);
        let posts = first_ports.flat_map(|port| {
            let long = post_job(port, format!("e{number:010x}{port:05}"), step(RESTART_TASK_COUNT, false));
            let copied = post_job(port, format!("{COPIES_PREFIX}{number:010x}{port:05}"), step(1, true));
            [long.boxed_local(), copied.boxed_local()]
        });
        let accepted = join_all(posts).await;
        self.accepted.extend(accepted.into_iter().flatten());
    }

    /// Submits a job to a process and records its id if it was accepted.
    async fn post_job(&mut self, id: String, index: usize, job: Value) {
        let port = self.processes[index].first_port;
        self.accepted.extend(post_job(port, id, job).await);
    }

    /// Ends all faults but partitions, which run on until they are over, waits for the accepted jobs to complete
    /// and for what decides whether a start was allowed, and returns the jobs that do not complete.
    async fn unfinished(&mut self) -> Vec<String> {
        self.platform.store.set_down(false);
        self.restarts.finish();
        for process in &mut self.processes {
            process.resume_at = process.resume_at.map(|_| Instant::now());
        }
        let until = Instant::now() + SETTLE_TIMEOUT;
        let mut open = self.accepted.clone();
        while (!open.is_empty() || self.tally.is_undecided()) && Instant::now() < until {
            let mut remaining = Vec::new();
            for id in open {
                // A query may time out, and a partition has to end on time meanwhile.
                self.advance();
                self.advance_restarts().await;
                if !self.is_complete(&id).await {
                    remaining.push(id);
                }
            }
            open = remaining;
            self.advance();
            self.advance_restarts().await;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        open
    }

    /// Writes the faults and the events of the workers beside the logs of the processes, to trace a failure.
    fn write_events(&self) {
        let events = self.tally.events.iter().map(|event| format!("{event:?}"));
        let lines: Vec<String> = self.faults.iter().cloned().chain(events).collect();
        let written = std::fs::write(self.platform.directory.join("events.log"), lines.join("\n"));
        written.expect("the events can be written");
    }

    async fn is_complete(&self, id: &str) -> bool {
        let url = format!("http://127.0.0.1:{}/jobs/{id}", self.processes[0].first_port);
        let request = awc::Client::default().get(url).timeout(Duration::from_secs(1));
        let request = request.insert_header(("Host", "host.example")).insert_header(("Api-Key", "secret"));
        let Ok(mut response) = request.send().await else { return false };
        response.body().await.is_ok_and(|body| body.as_ref() == br#"{"state":"completed"}"#)
    }
}

/// Submits a job to the process at this port; returns its id if it was accepted.
async fn post_job(port: u16, id: String, job: Value) -> Option<String> {
    let url = format!("http://127.0.0.1:{port}/jobs/{id}");
    let request = awc::Client::default().post(url).timeout(Duration::from_secs(1));
    let request = request.insert_header(("Host", "host.example")).insert_header(("Api-Key", "secret"));
    let response = request.send_json(&job).await.ok()?;
    response.status().is_success().then_some(id)
}

/// Returns an entry process that is not started yet, with a relay to the store.
async fn new_process(platform: &Platform, number: u16, base_port: u16) -> SoakProcess {
    let relay = RelayStandin::start(platform.store.address, platform.token.clone()).await;
    SoakProcess {
        name: format!("e{number}"),
        first_port: base_port + number * PORTS_PER_PROCESS,
        child: None,
        paused: false,
        resume_at: None,
        store_relay: relay.expect("a port is free"),
        store_back_at: None,
    }
}

impl Drop for SoakRun {
    fn drop(&mut self) {
        for process in &mut self.processes {
            process.kill();
        }
        self.platform.token.cancel();
    }
}

/// Returns the seeds to run.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = std::env::var("GODWITHAVEN_SOAK_SEEDS").unwrap_or_else(|_| "1-1".to_owned());
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().expect("a seed")..=last.parse().expect("a seed")
}

/// Returns the factor of the time between two faults. Seeds 1, 5, 9 and so on keep the short times.
const fn fault_factor(seed: u64) -> u32 {
    if seed % 4 == 1 { 1 } else { SPARSE_FAULT_FACTOR }
}

fn soak_duration() -> Duration {
    let text = std::env::var("GODWITHAVEN_SOAK_SECONDS").unwrap_or_else(|_| "8".to_owned());
    Duration::from_secs(text.parse().expect("a number of seconds"))
}

/// Guards against accepted jobs that are lost, tasks that run twice and workers above their capacity while
/// entry processes and the store fail at random.
#[gtest]
#[actix_rt::test]
async fn faults_neither_lose_nor_duplicate_work() -> Result<()> {
    for seed in seeds() {
        let mut run = SoakRun::start_run(seed).await;
        let (start, mut next_fault) = (Instant::now(), Instant::now() + FIRST_FAULT_AFTER);

        let mut number = 0;
        while start.elapsed() < soak_duration() {
            number += 1;
            run.submit(number).await;
            if number % LONG_JOB_INTERVAL == 0 {
                run.submit_long_job(number).await;
            }
            if Instant::now() >= next_fault {
                run.inject_fault();
                let interval = Duration::from_millis(200 + run.random.next_below(900));
                next_fault = Instant::now() + interval * fault_factor(seed);
            }
            run.advance_restarts().await;
            run.begin_partition();
            run.advance();
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let unfinished = run.unfinished().await;
        run.advance();
        run.write_events();
        run.tally.duplicated.retain(|start| !start.run.1.starts_with(COPIES_PREFIX));

        let context = format!("seed {seed}, {} jobs, {:?}", run.accepted.len(), run.faults);
        verify_that!(run.tally.duplicated, is_empty()).with_failure_message(|| context.clone())?;
        verify_that!(run.tally.overloaded, is_empty()).with_failure_message(|| context.clone())?;
        verify_that!(unfinished, is_empty()).with_failure_message(|| context.clone())?;
        // A run that accepts hardly any jobs, or in which no partition begins or no worker restarts, would show nothing.
        verify_that!(run.accepted.len(), gt(10)).with_failure_message(|| context.clone())?;
        verify_that!(run.faults, contains(starts_with("partition")))
            .with_failure_message(|| context.clone())?;
        verify_that!(run.faults, contains(starts_with("Cut"))).with_failure_message(|| context)?;
    }
    Ok(())
}
