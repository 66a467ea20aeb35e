//! A runner of the platform: it runs tasks under a lease on its own clock and keeps their ends until these are taken
//! note of. The `spec` of a job says how long its tasks work, such as `ms=700`, or `lasts`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::Json;
use crate::record::{note, now_ms};
use crate::store::Store;

/// Longest lease, in milliseconds.
pub const MAX_HOLD_MS: u64 = 10_000;
/// Time that a stop takes; `bounds.stop_ms` is 200.
const STOP_MS: u64 = 150;
/// Interval of the entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Startup of a task that lasts, in milliseconds.
const STARTUP_MS: u64 = 500;

/// A start or an end of a run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub runner: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended.
    pub what: String,
}

/// Starts and ends on all runners.
pub type Events = Arc<Mutex<Vec<Event>>>;

struct Run {
    task: String,
    run: u64,
    since: Instant,
    /// How long it works; `None` if it lasts.
    work: Option<Duration>,
    stops_at: Option<Instant>,
}

struct Life {
    started: Instant,
    born: u64,
    fence: u64,
    until: u64,
    runs: Vec<Run>,
    /// Number, task, run and how.
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    /// Whether the process is up.
    up: bool,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        Self {
            started: Instant::now(),
            born,
            fence: 0,
            until: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            closed: HashMap::new(),
            up: true,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// What happens to the starts that arrive from now on.
#[derive(Clone, Copy, PartialEq)]
pub enum Starts {
    /// They are carried out and answered.
    Sound,
    /// The next one is not answered, and is carried out after this time; those after it are sound.
    LateOnce(Duration),
}

struct Shared {
    id: String,
    events: Events,
    life: Mutex<Life>,
    ended: Condvar,
    starts: Mutex<Starts>,
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    shared: Arc<Shared>,
}

/// What a runner registers.
#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    pub cpu: u64,
    pub mem_mb: u64,
    pub labels: [String; 2],
}

impl Runner {
    pub fn start(store: &Store, id: &str, kind: Kind, events: &Events) -> Self {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            events: events.clone(),
            life: Mutex::new(Life::new()),
            ended: Condvar::new(),
            starts: Mutex::new(Starts::Sound),
        });
        let served = shared.clone();
        let address = http::serve(move |request| answer(&served, &request));
        let ticking = shared.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(5));
            tick(&ticking);
        });
        let (registering, store) = (shared.clone(), store.clone());
        std::thread::spawn(move || {
            for seq in 1u64.. {
                let entry = entry(&registering, address, &kind, seq);
                if let Some(entry) = entry {
                    store.publish("keyed.servers", &registering.id, &entry);
                }
                std::thread::sleep(HEARTBEAT);
            }
        });
        Self { shared }
    }

    /// Sets what happens to the starts that arrive from now on.
    pub fn set_starts(&self, starts: Starts) {
        *self.shared.starts.lock().expect("the starts") = starts;
    }

    /// Whether a start is still to be left unanswered.
    pub fn is_sound(&self) -> bool {
        *self.shared.starts.lock().expect("the starts") == Starts::Sound
    }

    /// Ends the process; its runs are gone, and it answers nothing.
    pub fn crash(&self) {
        let mut life = self.shared.life.lock().expect("the runner");
        life.up = false;
        let lost: Vec<(String, u64)> = life.runs.drain(..).map(|run| (run.task, run.run)).collect();
        drop(life);
        note(&format!("runner {} crashes with {} runs", self.shared.id, lost.len()));
        for (task, run) in lost {
            add_event(&self.shared, &task, run, "lost");
        }
    }

    /// Starts the process again under its id: it knows nothing of before, and its clock begins anew.
    pub fn start_again(&self) {
        let mut life = self.shared.life.lock().expect("the runner");
        *life = Life::new();
        note(&format!("runner {} starts again, born {}", self.shared.id, life.born));
    }

    /// Number of runs now.
    pub fn running(&self) -> usize {
        self.shared.life.lock().expect("the runner").runs.len()
    }
}

fn add_event(shared: &Shared, task: &str, run: u64, what: &str) {
    let event =
        Event { at_ms: now_ms(), runner: shared.id.clone(), task: task.to_owned(), run, what: what.to_owned() };
    note(&format!("runner {} task {task} run {run}: {what}", shared.id));
    shared.events.lock().expect("the events").push(event);
}

fn entry(shared: &Shared, address: SocketAddr, kind: &Kind, seq: u64) -> Option<String> {
    let life = shared.life.lock().expect("the runner");
    if !life.up {
        return None;
    }
    let Kind { service, zone, cpu, mem_mb, labels } = kind;
    Some(format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1\",\"slots\":8,\
         \"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{seq},\"born\":{},\"clock_ms\":{},\
         \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":0}},\"labels\":[\"{}\",\"{}\"]}}",
        life.born,
        life.clock(),
        labels[0],
        labels[1]
    ))
}

/// Ends the runs whose time has come.
fn tick(shared: &Shared) {
    let mut events = Vec::new();
    {
        let mut guard = shared.life.lock().expect("the runner");
        let life = &mut *guard;
        if !life.up {
            return;
        }
        let (now, lapsed) = (Instant::now(), life.started.elapsed().as_millis() as u64 >= life.until);
        let mut index = 0;
        while index < life.runs.len() {
            let run = &life.runs[index];
            let how = if lapsed {
                Some("lapsed")
            } else if run.stops_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if run.work.is_some_and(|work| run.since + work <= now) {
                Some("done")
            } else {
                None
            };
            let Some(how) = how else {
                index += 1;
                continue;
            };
            let run = life.runs.swap_remove(index);
            life.last_end += 1;
            let closed = life.closed.entry(run.task.clone()).or_default();
            *closed = run.run.max(*closed);
            life.ends.push((life.last_end, run.task.clone(), run.run, how));
            events.push((run.task, run.run, how));
        }
        if !events.is_empty() {
            shared.ended.notify_all();
        }
    }
    for (task, run, how) in events {
        add_event(shared, &task, run, how);
    }
}

fn refuse(life: &Life, reason: &str) -> Reply {
    Reply::Answer(409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", life.clock()).into_bytes())
}

fn accept(life: &Life) -> Reply {
    Reply::Answer(200, format!("{{\"clock_ms\":{}}}", life.clock()).into_bytes())
}

fn answer(shared: &Arc<Shared>, request: &Request) -> Reply {
    if !shared.life.lock().expect("the runner").up {
        return Reply::Silence;
    }
    if request.header("Expect-Instance").is_some_and(|id| id != shared.id) {
        return Reply::Answer(421, b"{}".to_vec());
    }
    let Some(body) = std::str::from_utf8(&request.body).ok().and_then(Json::parse) else {
        return Reply::Answer(400, b"{}".to_vec());
    };
    match request.path.as_str() {
        "/api/run-start" => {
            let starts = std::mem::replace(&mut *shared.starts.lock().expect("the starts"), Starts::Sound);
            if let Starts::LateOnce(delay) = starts {
                note(&format!("runner {} leaves a start unanswered: {}", shared.id, name(&body)));
                let shared = shared.clone();
                std::thread::spawn(move || {
                    std::thread::sleep(delay);
                    let up = shared.life.lock().expect("the runner").up;
                    note(&format!("runner {} carries a start out late (up: {up}): {}", shared.id, name(&body)));
                    if up {
                        let _ = start(&shared, &body);
                    }
                });
                return Reply::Silence;
            }
            start(shared, &body)
        }
        "/api/run-stop" => stop(shared, &body),
        "/api/hold" => hold(shared, &body),
        _ => Reply::Answer(404, b"{}".to_vec()),
    }
}

fn name(body: &Json) -> String {
    format!("{} run {}", body.text_of("task").unwrap_or("?"), body.number_of("run").unwrap_or(0))
}

fn extend_lease(life: &mut Life, body: &Json) {
    if let Some(until) = body.number_of("until_ms") {
        life.until = life.until.max(until.min(life.clock() + MAX_HOLD_MS));
    }
}

fn start(shared: &Shared, body: &Json) -> Reply {
    let mut life = shared.life.lock().expect("the runner");
    let (Some(task), Some(run)) = (body.text_of("task"), body.number_of("run")) else {
        return Reply::Answer(400, b"{}".to_vec());
    };
    let token = body.number_of("fencing_token").unwrap_or(0);
    if token < life.fence {
        return refuse(&life, "fence");
    }
    life.fence = token;
    if life.runs.iter().any(|known| known.task == task && known.run == run) {
        extend_lease(&mut life, body);
        return accept(&life);
    }
    if life.closed.get(task).is_some_and(|closed| run <= *closed) {
        extend_lease(&mut life, body);
        return refuse(&life, "old");
    }
    if body.number_of("until_ms").unwrap_or(0) <= life.clock() {
        return refuse(&life, "late");
    }
    extend_lease(&mut life, body);
    let spec = body.text_of("spec").unwrap_or("");
    let work = spec.split(' ').find_map(|word| word.strip_prefix("ms=")?.parse().ok()).unwrap_or(500);
    let work = (!spec.contains("lasts")).then(|| Duration::from_millis(work));
    life.runs.push(Run { task: task.to_owned(), run, since: Instant::now(), work, stops_at: None });
    let reply = accept(&life);
    drop(life);
    add_event(shared, task, run, "start");
    reply
}

fn stop(shared: &Shared, body: &Json) -> Reply {
    let mut life = shared.life.lock().expect("the runner");
    let (Some(task), Some(run)) = (body.text_of("task"), body.number_of("run")) else {
        return Reply::Answer(400, b"{}".to_vec());
    };
    let token = body.number_of("fencing_token").unwrap_or(0);
    if token < life.fence {
        return refuse(&life, "fence");
    }
    life.fence = token;
    let closed = life.closed.entry(task.to_owned()).or_default();
    *closed = run.max(*closed);
    let at = Instant::now() + Duration::from_millis(STOP_MS);
    for known in life.runs.iter_mut().filter(|known| known.task == task && known.run == run) {
        known.stops_at.get_or_insert(at);
    }
    accept(&life)
}

fn hold(shared: &Shared, body: &Json) -> Reply {
    let mut life = shared.life.lock().expect("the runner");
    let token = body.number_of("fencing_token").unwrap_or(0);
    if token < life.fence {
        return refuse(&life, "fence");
    }
    life.fence = token;
    extend_lease(&mut life, body);
    let seen = body.number_of("last_seen").unwrap_or(0);
    life.ends.retain(|(number, ..)| *number > seen);
    let wait = Duration::from_millis(body.number_of("wait_ms").unwrap_or(0).min(2_000));
    let deadline = Instant::now() + wait;
    let born = life.born;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if !life.ends.is_empty() || left.is_zero() || life.born != born {
            break;
        }
        life = shared.ended.wait_timeout(life, left).expect("the runner").0;
    }
    if !life.up || life.born != born {
        return Reply::Silence;
    }
    let running = life.runs.iter().map(|run| {
        let done = run.since.elapsed().as_millis() as u64;
        let whole = run.work.map_or(STARTUP_MS, |work| work.as_millis() as u64).max(1);
        let percent = (done * 100 / whole).min(if run.work.is_some() { 99 } else { 100 });
        format!("[\"{}\",{},\"\",{percent},0]", run.task, run.run)
    });
    let running: Vec<String> = running.collect();
    let ends = life.ends.iter().take(500);
    let ends: Vec<String> =
        ends.map(|(number, task, run, how)| format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")).collect();
    let body = format!(
        "{{\"clock_ms\":{},\"born\":{born},\"running\":[{}],\"finished\":[{}]}}",
        life.clock(),
        running.join(","),
        ends.join(",")
    );
    Reply::Answer(200, body.into_bytes())
}
