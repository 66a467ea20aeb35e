//! A runner: starts and stops tasks under a fencing token and a lease on its own clock.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Call, json};
use crate::json::Json;
use crate::ledger::Ledger;
use crate::store::Store;

/// Longest lease that a runner accepts.
const MAX_HOLD_MS: u64 = 10_000;
/// Ends that one answer lists at most.
const MAX_LISTED_ENDS: usize = 500;
/// Time after a crash at which the store has removed the entry: three heartbeat intervals.
const ENTRY_TTL: Duration = Duration::from_millis(4_500);
const TICK: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct RunnerSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub kind: String,
    pub cpu: u64,
    pub mem_mb: u64,
    pub rack: String,
    /// Reading of the runner's clock at its start, as it may have been up for long.
    pub clock_ms: u64,
    /// Every so many starts the answer is lost, once [`Runner::lose_answers`] was called; 0 for none.
    pub lose_each: u64,
}

struct Task {
    ends: Instant,
    started: Instant,
}

enum Reachability {
    Up,
    /// Cut off: calls get no answer and have no effect.
    Cut,
    /// Crashed: connections are closed, or get no answer if the runner is silent for good.
    Crashed { silent: bool },
}

struct State {
    born_ms: u128,
    clock_base: u64,
    clock_start: Instant,
    token: u64,
    lease_until: u64,
    /// Whether the lapse of the present lease is recorded.
    lapsed: bool,
    /// By task and run, as a start of a higher run is carried out also while a lower one runs.
    running: HashMap<(String, u64), Task>,
    /// Highest run of each task that was started, stopped or ended here.
    highest: HashMap<String, u64>,
    finished: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    reach: Reachability,
    loses_answers: bool,
    starts: u64,
}

impl State {
    fn clock(&self) -> u64 {
        self.clock_base + self.clock_start.elapsed().as_millis() as u64
    }
}

#[derive(Clone)]
pub struct Runner {
    pub spec: RunnerSpec,
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    ledger: Ledger,
    store: Store,
}

/// Run time of a task by its specification: `ms=N`, and `spread=M` adds up to M ms by the task's index.
fn run_time(spec: &str, task: &str) -> Duration {
    let number = |name: &str| {
        let rest = spec.split(name).nth(1)?;
        rest.split(|letter: char| !letter.is_ascii_digit()).next()?.parse::<u64>().ok()
    };
    let index: u64 = task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0);
    let spread = number("spread=").unwrap_or(0);
    let extra = if spread == 0 { 0 } else { index * 7_919 % spread };
    Duration::from_millis(number("ms=").unwrap_or(100) + extra)
}

impl Runner {
    pub fn start(spec: RunnerSpec, store: &Store, ledger: &Ledger) -> Runner {
        let state = State {
            born_ms: 0,
            clock_base: spec.clock_ms,
            clock_start: Instant::now(),
            token: 0,
            lease_until: 0,
            lapsed: true,
            running: HashMap::new(),
            highest: HashMap::new(),
            finished: Vec::new(),
            last_end: 0,
            reach: Reachability::Up,
            loses_answers: false,
            starts: 0,
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let (server, server_ledger, server_spec) = (shared.clone(), ledger.clone(), spec.clone());
        let address = http::serve(move |call| answer(&server, &server_ledger, &server_spec, &call));
        let runner = Runner { spec, address, shared, ledger: ledger.clone(), store: store.clone() };
        runner.begin_life(runner.spec.clock_ms);
        let ticker = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticker.tick();
            }
        });
        runner
    }

    fn begin_life(&self, clock_ms: u64) {
        let mut state = self.shared.0.lock().unwrap();
        state.born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        (state.clock_base, state.clock_start) = (clock_ms, Instant::now());
        (state.token, state.lease_until, state.last_end) = (0, 0, 0);
        state.lapsed = true;
        state.highest.clear();
        state.finished.clear();
        state.reach = Reachability::Up;
        let RunnerSpec { service, zone, kind, cpu, mem_mb, rack, .. } = &self.spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\
             \"gpu\":0}},\"labels\":[\"{kind}\",\"{rack}\"],\"clock_ms\":{clock_ms},\"born\":{},\"seq\":1}}",
            self.address, state.born_ms
        );
        self.store.put("keyed.servers", &self.spec.id, &entry);
    }

    /// From now on the answer of each `lose_each`th start is lost: the task starts, and the connection closes.
    pub fn lose_answers(&self, lose: bool) {
        self.shared.0.lock().unwrap().loses_answers = lose;
    }

    /// Cuts the runner off, or heals the cut; its tasks run on.
    pub fn set_cut(&self, cut: bool) {
        let mut state = self.shared.0.lock().unwrap();
        state.reach = if cut { Reachability::Cut } else { Reachability::Up };
        self.shared.1.notify_all();
    }

    /// All that runs here ends without a word. The store drops the entry after a while.
    pub fn crash(&self, silent: bool) {
        let mut state = self.shared.0.lock().unwrap();
        state.reach = Reachability::Crashed { silent };
        let born_ms = state.born_ms;
        for ((task, run), _) in state.running.drain().collect::<Vec<_>>() {
            self.ledger.end(&self.spec.id, &task, run, "gone");
        }
        self.shared.1.notify_all();
        let runner = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(ENTRY_TTL);
            let state = runner.shared.0.lock().unwrap();
            if state.born_ms == born_ms {
                runner.store.put("keyed.servers", &runner.spec.id, "");
            }
        });
    }

    /// Starts a new life under the same id, with a clock that begins anew.
    pub fn restart(&self) {
        self.begin_life(0);
    }

    fn tick(&self) {
        let mut guard = self.shared.0.lock().unwrap();
        let state = &mut *guard;
        let now = Instant::now();
        let lapsed = state.clock() > state.lease_until;
        let due: Vec<(String, u64)> = state
            .running
            .iter()
            .filter(|(_, entry)| lapsed || entry.ends <= now)
            .map(|(key, _)| key.clone())
            .collect();
        for (task, run) in due {
            let how = if lapsed { "lapsed" } else { "done" };
            finish(state, &self.ledger, &self.spec.id, &task, run, how);
            self.shared.1.notify_all();
        }
        if lapsed && !state.lapsed {
            state.lapsed = true;
            self.ledger.lapse(&self.spec.id);
        }
    }
}

fn finish(state: &mut State, ledger: &Ledger, id: &str, task: &str, run: u64, how: &'static str) {
    state.running.remove(&(task.to_owned(), run));
    state.last_end += 1;
    state.finished.push((state.last_end, task.to_owned(), run, how));
    ledger.end(id, task, run, how);
}

fn refuse(clock: u64, reason: &str) -> Answer {
    json(409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"))
}

fn answer(shared: &(Mutex<State>, Condvar), ledger: &Ledger, spec: &RunnerSpec, call: &Call) -> Answer {
    let mut guard = shared.0.lock().unwrap();
    match guard.reach {
        Reachability::Up => {}
        Reachability::Cut | Reachability::Crashed { silent: true } => return Answer::Silence,
        Reachability::Crashed { silent: false } => return Answer::Close,
    }
    let state = &mut *guard;
    if call.header("Expect-Instance").is_some_and(|expected| expected != spec.id) {
        return json(421, "{}".to_owned());
    }
    let Some(body) = Json::parse(&call.body) else { return json(400, "{}".to_owned()) };
    let token = body.number("fencing_token").unwrap_or(0);
    if token < state.token {
        return refuse(state.clock(), "fence");
    }
    state.token = token;
    let clock = state.clock();
    if let Some(until) = body.number("until_ms") {
        if call.path == "/api/run-start" && until <= clock {
            return refuse(clock, "late");
        }
        state.lease_until = state.lease_until.max(until.min(clock + MAX_HOLD_MS));
        state.lapsed &= state.lease_until <= clock;
    }
    let (task, run) = (body.text("task"), body.number("run").unwrap_or(0));
    match call.path.as_str() {
        "/api/run-start" => {
            let known = state.running.contains_key(&(task.clone(), run));
            if !known && state.highest.get(&task).is_some_and(|highest| *highest >= run) {
                return refuse(clock, "old");
            }
            if !known {
                let now = Instant::now();
                let ends = now + run_time(&body.text("spec"), &task);
                state.running.insert((task.clone(), run), Task { ends, started: now });
                state.highest.insert(task.clone(), run);
                ledger.start(&spec.id, &task, run);
            }
            state.starts += 1;
            if state.loses_answers && spec.lose_each > 0 && state.starts % spec.lose_each == 0 {
                ledger.lost_answer(&spec.id, &task, run);
                return Answer::Close;
            }
            json(200, format!("{{\"clock_ms\":{clock}}}"))
        }
        "/api/run-stop" => {
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run);
            if state.running.contains_key(&(task.clone(), run)) {
                finish(state, ledger, &spec.id, &task, run, "stopped");
                shared.1.notify_all();
            }
            json(200, format!("{{\"clock_ms\":{clock}}}"))
        }
        "/api/hold" => {
            let last_seen = body.number("last_seen").unwrap_or(0);
            for (number, task, run, _) in &state.finished {
                if *number <= last_seen {
                    ledger.note(&spec.id, task, *run);
                }
            }
            state.finished.retain(|(number, ..)| *number > last_seen);
            let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
            let (deadline, born_ms) = (Instant::now() + wait, state.born_ms);
            loop {
                let left = deadline.saturating_duration_since(Instant::now());
                if !guard.finished.is_empty() || left.is_zero() {
                    break;
                }
                guard = shared.1.wait_timeout(guard, left).unwrap().0;
                match guard.reach {
                    Reachability::Up if guard.born_ms == born_ms => {}
                    Reachability::Up | Reachability::Crashed { silent: false } => return Answer::Close,
                    Reachability::Cut | Reachability::Crashed { silent: true } => return Answer::Silence,
                }
            }
            hold_answer(&guard)
        }
        _ => json(404, "{}".to_owned()),
    }
}

fn hold_answer(state: &State) -> Answer {
    let running: Vec<String> = state
        .running
        .iter()
        .map(|((task, run), entry)| {
            let whole = entry.ends.duration_since(entry.started).as_millis().max(1);
            let percent = (entry.started.elapsed().as_millis() * 100 / whole).min(99);
            format!("[\"{task}\",{run},\"\",{percent},0]")
        })
        .collect();
    let finished: Vec<String> = state
        .finished
        .iter()
        .take(MAX_LISTED_ENDS)
        .map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]"))
        .collect();
    let body = format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        state.clock(),
        state.born_ms,
        running.join(","),
        finished.join(",")
    );
    json(200, body)
}
