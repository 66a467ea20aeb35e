//! Entry processes as child processes of the benchmark, so that CPU time and allocations are counted per
//! process.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;

use godwithaven::settings::{EntrySettings, LogFormat};
use godwithaven::tasks::entry::EntryProcess;
use godwithaven_standins::world::StandinWorld;
use tokio::sync::mpsc;

use crate::{ALLOCATOR, fixture};

/// First argument that makes this program run an entry process.
pub const CHILD_MODE_ARGUMENT: &str = "entry-process";
/// Input line that makes a child print the number of its allocations.
const COUNT_COMMAND: &str = "count";
/// Longest wait for the end of a child that stops gracefully; the child is killed afterwards.
const MAX_STOP_WAIT: Duration = Duration::from_secs(40);

/// An entry process that runs as a child process.
pub struct EntryChild {
    /// Name of its VM.
    pub vm: String,
    /// Address that serves callers.
    pub listen: String,
    /// Address that serves operators, with the metrics.
    operator: String,
    child: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

/// Resources that an entry process has used since it started.
#[derive(Clone, Copy, Debug)]
pub struct ChildUsage {
    /// CPU time of all threads in seconds.
    pub cpu: f64,
    /// Number of heap allocations.
    pub allocations: u64,
}

/// Runs an entry process until standard input ends or a line other than [`COUNT_COMMAND`] arrives, then stops
/// it gracefully.
pub async fn run(arguments: &[String]) {
    let [vm, zone, log, directory] = arguments else {
        panic!("expected four arguments: VM, zone, log address and directory address")
    };
    let value = |flag: &str| {
        let text = match flag {
            "vm" => vm.clone(),
            "zone" => zone.clone(),
            "listen" | "peer-listen" | "operator-listen" => "127.0.0.1:0".to_owned(),
            "log" => log.clone(),
            "directory" => directory.clone(),
            "signers" => fixture::public_key(),
            _ => return None,
        };
        Some(text)
    };
    godwithaven::logging::start(LogFormat::Pairs, log::LevelFilter::Info);
    let entry = EntryProcess::start(EntrySettings::read(value, |_| None).unwrap()).await.unwrap();
    println!("{} {} {}", entry.listen, entry.peer_listen, entry.operator_listen);
    let (sender, mut lines) = mpsc::channel(1);
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if sender.blocking_send(line).is_err() {
                return;
            }
        }
    });
    while lines.recv().await.is_some_and(|line| line == COUNT_COMMAND) {
        println!("{}", ALLOCATOR.stats().allocations);
    }
    entry.stop().await;
}

impl EntryChild {
    /// Starts an entry process and adds its VM to the VM list.
    pub fn start(world: &StandinWorld, vm: &str, zone: &str) -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args([
                CHILD_MODE_ARGUMENT,
                vm,
                zone,
                &world.log.address.to_string(),
                &world.directory.address.to_string(),
            ])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let input = child.stdin.take().unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let line = read_line(&mut output);
        let addresses: Vec<&str> = line.split_whitespace().collect();
        let [listen, peer, operator] = addresses[..] else { panic!("the entry process did not start") };
        world.list_entry(vm, zone, peer);
        let (vm, listen, operator) = (vm.to_owned(), listen.to_owned(), operator.to_owned());
        Self { vm, listen, operator, child, input, output }
    }

    /// Reads the CPU time from `/proc` and asks the process for its allocations.
    pub fn usage(&mut self) -> ChildUsage {
        writeln!(self.input, "{COUNT_COMMAND}").unwrap();
        let allocations = read_line(&mut self.output).trim().parse().unwrap();
        let mut nanoseconds = 0;
        for thread in fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap() {
            let line = fs::read_to_string(thread.unwrap().path().join("schedstat")).unwrap_or_default();
            nanoseconds += line.split(' ').next().and_then(|field| field.parse().ok()).unwrap_or(0_u64);
        }
        ChildUsage { cpu: Duration::from_nanos(nanoseconds).as_secs_f64(), allocations }
    }

    /// Returns the number of requests that the process has dispatched to endpoints; 0 if the metrics cannot
    /// be read.
    pub async fn dispatches(&self) -> u64 {
        let url = format!("http://{}/metrics", self.operator);
        let Ok(mut response) = awc::Client::default().get(url).send().await else { return 0 };
        let body = response.body().await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        let line = text.lines().find_map(|line| line.strip_prefix("godwithaven_dispatches_total "));
        line.and_then(|count| count.trim().parse().ok()).unwrap_or(0)
    }

    /// Waits until the process answers a request with a success status; panics after 300 failed attempts.
    pub async fn wait_ready(&self) {
        for _ in 0..300 {
            let request = awc::Client::default()
                .post(format!("http://{}/v1/services/planner/requests", self.listen))
                .insert_header(("x-team", "blue"))
                .insert_header(("x-team-key", fixture::BLUE_KEY))
                .insert_header(("x-idempotent", "true"))
                .insert_header(("x-request-id", format!("ready-{}", self.vm)));
            if request.send_body("x").await.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        panic!("entry process {} did not become ready", self.vm);
    }

    /// Kills the process.
    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process gracefully, or kills it after [`MAX_STOP_WAIT`]. Returns whether it ended by itself.
    pub async fn stop(mut self) -> bool {
        let _ = writeln!(self.input, "stop");
        let deadline = tokio::time::Instant::now() + MAX_STOP_WAIT;
        while tokio::time::Instant::now() < deadline {
            if self.child.try_wait().is_ok_and(|status| status.is_some()) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.kill();
        false
    }
}

fn read_line(output: &mut BufReader<ChildStdout>) -> String {
    let mut line = String::new();
    output.read_line(&mut line).unwrap();
    line
}
