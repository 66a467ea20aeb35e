//! One tenant hands in many jobs of many tasks, with small bodies; another one hands in small jobs. A process that
//! exceeds the memory of its machine is killed and started again, as the platform does.

use super::*;

/// Tasks of a large job, the largest number that the system accepts.
const TASKS: u64 = 10_000;
/// The tenant sends many times its usual three times, for 6.5 s each, with a pause between.
const DOSES: u64 = 3;
const DOSE_JOBS: u64 = 260;
const INTERVAL: Duration = Duration::from_millis(25);
const PAUSE: Duration = Duration::from_secs(4);
const TRAFFIC: Duration = Duration::from_secs(44);
/// `limits.memory_mb`.
const MEMORY_MB: u64 = 260;
/// Delay after which a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Cores that the tenant of the large jobs may use, in thousandths: a sixteenth of the service.
const LARGE_MAXIMUM: u64 = 16_000;
/// Time for which a job may have nothing running while its turn has come.
const IDLE_MS: u64 = 3_000;

pub fn run(trouble: bool) -> Verdict {
    let tenants = [tenant("t1", 10, 0), tenant("t2", 10, LARGE_MAXIMUM)];
    let bed = Bed::start(&[route("q", "/q/", "svc", 2)], &tenants, 4)?;
    let ends = Instant::now() + TRAFFIC;
    let killed = guard_memory(&bed);
    if trouble {
        let client = bed.client("t2");
        std::thread::spawn(move || {
            let step = format!("{{\"count\":{TASKS},\"cpu\":1000,\"mem_mb\":64,\"checkpointing\":true}}");
            let body = format!("{{\"spec\":\"ms=1000\",\"steps\":[{step}]}}");
            for number in 0..DOSES * DOSE_JOBS {
                if number % DOSE_JOBS == 0 {
                    std::thread::sleep(PAUSE);
                }
                let (client, body) = (client.clone(), body.clone());
                let path = format!("/q/{:016x}", 0x0d00_0000_0000_0000 + number);
                std::thread::spawn(move || client.submit(&path, &body));
                std::thread::sleep(INTERVAL);
            }
        });
    }
    let accepted = small_jobs(bed.client("t1"), "/q/", SMALL_JOB, Duration::from_millis(250), ends);
    note(&format!("{} small jobs were accepted", accepted.len()));
    if accepted.is_empty() {
        return Err("no small job was accepted".to_owned());
    }
    std::thread::sleep(FINISH);
    let now = now_ms();
    let mut broken = Vec::new();
    for (entry, ends) in bed.entries.iter().zip(killed.lock().expect("the ends").iter()) {
        note(&format!("{} exceeded its memory {ends} times", entry.name));
    }
    let ends: Vec<u32> = killed.lock().expect("the ends").clone();
    if ends.iter().filter(|ends| **ends >= 3).count() >= 2 {
        broken.push(format!("Fault: processes ended by themselves, their memory over the limit: {ends:?}"));
    }
    let unbegun = accepted.iter().filter(|(id, _)| !bed.has_begun(id));
    for (id, accepted_at) in unbegun.filter(|(_, accepted_at)| now - accepted_at >= IDLE_MS) {
        let waited = now - accepted_at;
        broken.push(format!("LOST: job {id} was accepted and has had nothing running for {waited} ms"));
    }
    let sample: Vec<String> = accepted.iter().rev().take(20).map(|(id, _)| id.clone()).collect();
    for (id, state) in states(&bed.client("t1"), "/q/", &sample) {
        match state.as_deref() {
            Some("completed") => {}
            Some(state) => note(&format!("job {id} is shown as {state}")),
            None => broken.push(format!("LOST: the state of job {id} gets no answer")),
        }
    }
    Ok(broken)
}

/// Kills each process that exceeds its memory and starts it again; returns how often that was so for each.
fn guard_memory(bed: &Bed) -> Arc<Mutex<Vec<u32>>> {
    let killed = Arc::new(Mutex::new(vec![0; bed.entries.len()]));
    let (entries, stopped, counts) = (bed.entries.clone(), bed.stopped.clone(), killed.clone());
    std::thread::spawn(move || {
        let mut noted = Instant::now();
        while !stopped.load(Ordering::Relaxed) {
            let memory: Vec<u64> = entries.iter().map(|entry| entry.memory_mb().unwrap_or(0)).collect();
            if noted.elapsed() >= Duration::from_secs(1) {
                noted = Instant::now();
                note(&format!("platform: resident memory of the processes in MB: {memory:?}"));
            }
            for (index, (entry, memory)) in entries.iter().zip(&memory).enumerate() {
                if *memory > MEMORY_MB {
                    note(&format!("platform: {} exceeds its memory with {memory} MB", entry.name));
                    entry.kill();
                    counts.lock().expect("the ends")[index] += 1;
                    let (entry, stopped) = (entry.clone(), stopped.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(RESTART_DELAY);
                        if !stopped.load(Ordering::Relaxed) {
                            let _ = entry.launch();
                        }
                    });
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    killed
}
