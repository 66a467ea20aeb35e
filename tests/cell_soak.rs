//! Entry processes as real programs, with faults from outside: killed, paused, stopped, restarted, without the store.
//!
//! `GODWITHAVEN_SOAK_SEEDS=1-50` plays other seeds, `GODWITHAVEN_SOAK_SECONDS=20` for longer.

mod fixture_platform;

use std::fs::File;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use fixture_platform::{Platform, RunTally, free_ports, job, platform, settings};
use googletest::prelude::*;

/// Entry processes of one run.
const PROCESSES: u16 = 3;
/// Ports for each entry process.
const PORTS: u16 = 4;
/// Longest wait for all jobs to be complete after the last fault; a lease lasts 6.5 s.
const SETTLE: Duration = Duration::from_secs(60);

/// A sequence of numbers that depends on the seed alone.
struct SeededSequence(u64);

impl SeededSequence {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// An entry process that may be down.
struct SoakProcess {
    name: String,
    first: u16,
    child: Option<Child>,
    paused: bool,
    /// When it goes on or starts again.
    due: Option<Instant>,
}

impl SoakProcess {
    fn start(&mut self, platform: &Platform) {
        let path = settings(platform, &self.name, self.first);
        let log = File::options().create(true).append(true).open(path.with_extension("log"));
        let child = Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"))
            .env("GODWITHAVEN_CONFIG", &path)
            .stdout(log.expect("the log can be written"))
            .spawn();
        self.child = Some(child.expect("the program starts"));
        self.due = None;
    }

    /// Sends a signal to the process that this soak started.
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

    /// Lets a paused process go on and a stopped one start again, once it is time.
    fn revive(&mut self, platform: &Platform) {
        if self.due.is_none_or(|due| Instant::now() < due) {
            return;
        }
        self.due = None;
        if std::mem::take(&mut self.paused) {
            self.signal("-CONT");
            return;
        }
        let ended = self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.start(platform);
        } else {
            self.due = Some(Instant::now() + Duration::from_millis(200));
        }
    }
}

struct SoakRun {
    platform: Platform,
    processes: Vec<SoakProcess>,
    sequence: SeededSequence,
    store_back: Option<Instant>,
    tally: RunTally,
    accepted: Vec<String>,
    faults: Vec<String>,
}

impl SoakRun {
    async fn begin(seed: u64) -> Self {
        let platform = platform(&format!("soak_{seed}_{}", std::process::id()), 3).await;
        let base = free_ports(PROCESSES * PORTS);
        let processes = (0..PROCESSES).map(|number| SoakProcess {
            name: format!("e{number}"),
            first: base + number * PORTS,
            child: None,
            paused: false,
            due: None,
        });
        let mut run = Self {
            platform,
            processes: processes.collect(),
            sequence: SeededSequence(seed),
            store_back: None,
            tally: RunTally::default(),
            accepted: Vec::new(),
            faults: Vec::new(),
        };
        for process in &mut run.processes {
            process.start(&run.platform);
        }
        run
    }

    /// Brings about one fault.
    fn fail(&mut self) {
        let chosen = usize::try_from(self.sequence.below(u64::from(PROCESSES))).unwrap_or_default();
        let wait = Duration::from_millis(200 + self.sequence.below(2_500));
        let kind = self.sequence.below(6);
        let process = &mut self.processes[chosen];
        self.faults.push(format!("fault {kind} of e{chosen} for {wait:?}"));
        match kind {
            0 | 1 if process.due.is_none() => {
                process.kill();
                process.due = Some(Instant::now() + wait);
            }
            2 if process.due.is_none() => {
                process.signal("-STOP");
                process.paused = true;
                process.due = Some(Instant::now() + wait);
            }
            3 if process.due.is_none() => {
                process.signal("-TERM");
                process.due = Some(Instant::now() + wait);
            }
            4 => process.signal("-HUP"),
            _ => {
                self.platform.store.set_down(true);
                self.store_back = Some(Instant::now() + wait / 2);
            }
        }
    }

    fn revive(&mut self) {
        if self.store_back.is_some_and(|back| Instant::now() >= back) {
            self.store_back = None;
            self.platform.store.set_down(false);
        }
        for process in &mut self.processes {
            process.revive(&self.platform);
        }
        self.tally.take(&mut self.platform.events);
    }

    /// Submits a job at some process; notes it if it was accepted.
    async fn submit(&mut self, number: usize) {
        let id = format!("{number:016x}");
        let chosen = usize::try_from(self.sequence.below(u64::from(PROCESSES))).unwrap_or_default();
        let time = 30 + self.sequence.below(500);
        let url = format!("http://127.0.0.1:{}/jobs/{id}", self.processes[chosen].first);
        let request = awc::Client::default().post(url).timeout(Duration::from_secs(1));
        let request = request.insert_header(("Host", "host.example")).insert_header(("Api-Key", "secret"));
        if let Ok(response) = request.send_json(&job(&format!("ms={time}"))).await
            && response.status().is_success()
        {
            self.accepted.push(id);
        }
    }

    /// Returns the accepted jobs that are not complete after a while without faults.
    async fn unfinished(&mut self) -> Vec<String> {
        self.platform.store.set_down(false);
        for process in &mut self.processes {
            process.due = process.due.map(|_| Instant::now());
        }
        let until = Instant::now() + SETTLE;
        let mut open = self.accepted.clone();
        while !open.is_empty() && Instant::now() < until {
            self.revive();
            let mut left = Vec::new();
            for id in open {
                if !self.is_complete(&id).await {
                    left.push(id);
                }
            }
            open = left;
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        open
    }

    async fn is_complete(&self, id: &str) -> bool {
        let url = format!("http://127.0.0.1:{}/jobs/{id}", self.processes[0].first);
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

/// Returns the seeds to play.
fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = std::env::var("GODWITHAVEN_SOAK_SEEDS").unwrap_or_else(|_| "1-1".to_owned());
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().expect("a seed")..=last.parse().expect("a seed")
}

fn length() -> Duration {
    let text = std::env::var("GODWITHAVEN_SOAK_SECONDS").unwrap_or_else(|_| "8".to_owned());
    Duration::from_secs(text.parse().expect("a number of seconds"))
}

/// Guards accepted jobs against getting lost, doubled or put where there is no room, whatever happens to processes.
#[gtest]
#[actix_rt::test]
async fn faults_lose_and_double_nothing() -> Result<()> {
    for seed in seeds() {
        let mut run = SoakRun::begin(seed).await;
        let (start, mut next_fault) = (Instant::now(), Instant::now() + Duration::from_secs(2));

        let mut number = 0;
        while start.elapsed() < length() {
            number += 1;
            run.submit(number).await;
            if Instant::now() >= next_fault {
                run.fail();
                next_fault = Instant::now() + Duration::from_millis(200 + run.sequence.below(900));
            }
            run.revive();
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
        let unfinished = run.unfinished().await;
        run.revive();

        let context = format!("seed {seed}, {} jobs, {:?}", run.accepted.len(), run.faults);
        verify_that!(run.tally.doubled, is_empty()).with_failure_message(|| context.clone())?;
        verify_that!(run.tally.overfull, is_empty()).with_failure_message(|| context.clone())?;
        verify_that!(unfinished, is_empty()).with_failure_message(|| context.clone())?;
        verify_that!(run.accepted.len(), gt(10)).with_failure_message(|| context)?;
    }
    Ok(())
}
