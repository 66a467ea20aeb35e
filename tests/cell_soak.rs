//! Soak test of real entry processes under random faults: kills, pauses, graceful stops, reload signals and
//! outages of the store.
//!
//! `GODWITHAVEN_SOAK_SEEDS=1-50` selects the seeds, `GODWITHAVEN_SOAK_SECONDS=20` the duration for each seed.

mod fixture_platform;

use std::fs::File;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use fixture_platform::{Platform, RunTally, free_ports, job, start_platform, write_settings};
use googletest::prelude::*;

/// Number of entry processes in one run.
const PROCESS_COUNT: u16 = 3;
/// Number of ports for each entry process.
const PORTS_PER_PROCESS: u16 = 4;
/// Longest wait for all jobs to complete after the last fault; a lease alone lasts 6.5 s.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A pseudorandom number generator whose output depends only on the seed.
struct SeededRandom(u64);

impl SeededRandom {
    fn next_below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// An entry process that may be paused or down.
struct SoakProcess {
    name: String,
    first_port: u16,
    child: Option<Child>,
    paused: bool,
    /// When a paused process is resumed or a stopped one is restarted.
    resume_at: Option<Instant>,
}

impl SoakProcess {
    fn start(&mut self, platform: &Platform) {
        let path = write_settings(platform, &self.name, self.first_port);
        let log = File::options().create(true).append(true).open(path.with_extension("log"));
        let child = Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"))
            .env("GODWITHAVEN_CONFIG", &path)
            .stdout(log.expect("the log can be written"))
            .spawn();
        self.child = Some(child.expect("the program starts"));
        self.resume_at = None;
    }

    /// Sends a signal to the child process.
    fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([signal, &child.id().to_string()]).status();
        assert!(sent.is_ok(), "the signal can be sent");
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
            child.wait().expect("the process can be awaited");
        }
    }

    /// Resumes a paused process or restarts a stopped one when `resume_at` has passed.
    fn resume_or_restart(&mut self, platform: &Platform) {
        if self.resume_at.is_none_or(|resume_at| Instant::now() < resume_at) {
            return;
        }
        self.resume_at = None;
        if std::mem::take(&mut self.paused) {
            self.signal("-CONT");
            return;
        }
        let ended = self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.start(platform);
        } else {
            // The process is still stopping; it is checked again later.
            self.resume_at = Some(Instant::now() + Duration::from_millis(200));
        }
    }
}

struct SoakRun {
    platform: Platform,
    processes: Vec<SoakProcess>,
    random: SeededRandom,
    store_up_at: Option<Instant>,
    tally: RunTally,
    accepted: Vec<String>,
    faults: Vec<String>,
}

impl SoakRun {
    async fn start_run(seed: u64) -> Self {
        let platform = start_platform(&format!("soak_{seed}_{}", std::process::id()), 3).await;
        let base = free_ports(PROCESS_COUNT * PORTS_PER_PROCESS);
        let processes = (0..PROCESS_COUNT).map(|number| SoakProcess {
            name: format!("e{number}"),
            first_port: base + number * PORTS_PER_PROCESS,
            child: None,
            paused: false,
            resume_at: None,
        });
        let mut run = Self {
            platform,
            processes: processes.collect(),
            random: SeededRandom(seed),
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

    /// Ends the faults that are over and collects the events of the workers.
    fn advance(&mut self) {
        if self.store_up_at.is_some_and(|back| Instant::now() >= back) {
            self.store_up_at = None;
            self.platform.store.set_down(false);
        }
        for process in &mut self.processes {
            process.resume_or_restart(&self.platform);
        }
        self.tally.add_events(&mut self.platform.events);
    }

    /// Submits a job to a random process and records its id if it was accepted.
    async fn submit(&mut self, number: usize) {
        let id = format!("{number:016x}");
        let index = usize::try_from(self.random.next_below(u64::from(PROCESS_COUNT))).unwrap_or_default();
        let time = 30 + self.random.next_below(500);
        let url = format!("http://127.0.0.1:{}/jobs/{id}", self.processes[index].first_port);
        let request = awc::Client::default().post(url).timeout(Duration::from_secs(1));
        let request = request.insert_header(("Host", "host.example")).insert_header(("Api-Key", "secret"));
        if let Ok(response) = request.send_json(&job(&format!("ms={time}"))).await
            && response.status().is_success()
        {
            self.accepted.push(id);
        }
    }

    /// Ends all faults, waits for the accepted jobs to complete, and returns those that do not.
    async fn unfinished(&mut self) -> Vec<String> {
        self.platform.store.set_down(false);
        for process in &mut self.processes {
            process.resume_at = process.resume_at.map(|_| Instant::now());
        }
        let until = Instant::now() + SETTLE_TIMEOUT;
        let mut open = self.accepted.clone();
        while !open.is_empty() && Instant::now() < until {
            self.advance();
            let mut remaining = Vec::new();
            for id in open {
                if !self.is_complete(&id).await {
                    remaining.push(id);
                }
            }
            open = remaining;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        open
    }

    async fn is_complete(&self, id: &str) -> bool {
        let url = format!("http://127.0.0.1:{}/jobs/{id}", self.processes[0].first_port);
        let request = awc::Client::default().get(url).timeout(Duration::from_secs(1));
        let request = request.insert_header(("Host", "host.example")).insert_header(("Api-Key", "secret"));
        let Ok(mut response) = request.send().await else { return false };
        response.body().await.is_ok_and(|body| body.as_ref() == br#"{"state":"completed"}"#)
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
        let (start, mut next_fault) = (Instant::now(), Instant::now() + Duration::from_secs(2));

        let mut number = 0;
        while start.elapsed() < soak_duration() {
            number += 1;
            run.submit(number).await;
            if Instant::now() >= next_fault {
                run.inject_fault();
                next_fault = Instant::now() + Duration::from_millis(200 + run.random.next_below(900));
            }
            run.advance();
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let unfinished = run.unfinished().await;
        run.advance();

        let context = format!("seed {seed}, {} jobs, {:?}", run.accepted.len(), run.faults);
        verify_that!(run.tally.duplicated, is_empty()).with_failure_message(|| context.clone())?;
        verify_that!(run.tally.overloaded, is_empty()).with_failure_message(|| context.clone())?;
        verify_that!(unfinished, is_empty()).with_failure_message(|| context.clone())?;
        // A run that accepts hardly any jobs would show nothing.
        verify_that!(run.accepted.len(), gt(10)).with_failure_message(|| context)?;
    }
    Ok(())
}
