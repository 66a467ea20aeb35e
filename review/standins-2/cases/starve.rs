//! Jobs that can never be done, beside small ones of the same route.

use super::*;

/// For 3 s at a time, a twentieth of the jobs can never be done: their tasks last and need more cores than any runner
/// has.
const DOSES: u64 = 10;
const DOSE_JOBS: u64 = 5;
const HOPELESS_INTERVAL: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(300);
/// Time between two small jobs.
const SMALL_INTERVAL: Duration = Duration::from_millis(30);
const TRAFFIC: Duration = Duration::from_secs(42);
/// Time for which a job may have nothing running while its turn has come.
const IDLE_MS: u64 = 3_000;

const HOPELESS_JOB: &str = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":96000,\"mem_mb\":64,\
                            \"estimated_ms\":500,\"long_running\":true}]}";

const SMALL_JOB: &str = "{\"spec\":\"ms=3000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":3000}]}";

pub fn run(trouble: bool) -> Verdict {
    let bed = Bed::start(&[route("q", "/q/", "svc", 2)], &[tenant("t1", 50, 0), tenant("t2", 50, 0)], 4)?;
    let ends = Instant::now() + TRAFFIC;
    if trouble {
        let client = bed.client("t2");
        std::thread::spawn(move || {
            for number in 0..DOSES * DOSE_JOBS {
                if number % DOSE_JOBS == 0 {
                    std::thread::sleep(PAUSE);
                }
                client.submit(&format!("/q/{:016x}", 0x0d00_0000_0000_0000 + number), HOPELESS_JOB);
                std::thread::sleep(HOPELESS_INTERVAL);
            }
        });
    }
    let accepted = small_jobs(bed.client("t1"), "/q/", SMALL_JOB, SMALL_INTERVAL, ends);
    note(&format!("{} small jobs were accepted", accepted.len()));
    if accepted.is_empty() {
        return Err("no small job was accepted".to_owned());
    }
    std::thread::sleep(FINISH);
    let now = now_ms();
    let running = bed.running();
    let begun: std::collections::HashSet<String> = bed
        .events()
        .iter()
        .filter(|event| event.what == "start")
        .filter_map(|event| event.task.split('.').next().map(str::to_owned))
        .collect();
    let unbegun: Vec<&(String, u64)> = accepted.iter().filter(|(id, _)| !begun.contains(id)).collect();
    note(&format!("{} accepted small jobs have not begun; {running} runs on all runners", unbegun.len()));
    // The service has 256 cores, and all of them are free.
    let idle = unbegun.iter().filter(|(_, accepted_at)| now - accepted_at >= IDLE_MS);
    Ok(idle
        .map(|(id, accepted_at)| {
            let waited = now - accepted_at;
            format!("LOST: job {id} was accepted and has had nothing running for {waited} ms; {running} runs in all")
        })
        .collect())
}
