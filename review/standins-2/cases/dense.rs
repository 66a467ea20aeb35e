//! Some jobs whose many steps depend on each other, with bodies of legal size, beside ordinary small ones.

use super::*;

/// Steps without a dependency, and steps that depend on all of these.
const WIDTH: (usize, usize) = (300, 180);
/// Such jobs, handed in at once.
const JOBS: u64 = 16;
/// Time from which the small jobs are handed in, and from which the large ones are.
const TRAFFIC: Duration = Duration::from_secs(36);
const LARGE_AFTER: Duration = Duration::from_secs(6);
/// Cores that the tenant of the large jobs may use, in thousandths: a sixteenth of the service.
const LARGE_MAXIMUM: u64 = 16_000;
/// Time for which a job may have nothing running while its turn has come.
const IDLE_MS: u64 = 3_000;

/// A job of 480 tasks in two layers; each step of the second one depends on all steps of the first.
fn large_job() -> String {
    let (first, second) = WIDTH;
    let after: Vec<String> = (0..first).map(|step| step.to_string()).collect();
    let step = "{\"count\":1,\"cpu\":8000,\"mem_mb\":64,\"estimated_ms\":1000";
    let first = std::iter::repeat_n(format!("{step}}}"), first);
    let second = std::iter::repeat_n(format!("{step},\"after\":[{}]}}", after.join(",")), second);
    let steps: Vec<String> = first.chain(second).collect();
    format!("{{\"spec\":\"ms=1000\",\"steps\":[{}]}}", steps.join(","))
}

pub fn run(trouble: bool) -> Verdict {
    let tenants = [tenant("t1", 10, 0), tenant("t2", 10, LARGE_MAXIMUM)];
    let bed = Bed::start(&[route("q", "/q/", "svc", 2)], &tenants, 4)?;
    let ends = Instant::now() + TRAFFIC;
    if trouble {
        let client = bed.client("t2");
        std::thread::spawn(move || {
            std::thread::sleep(LARGE_AFTER);
            let body = large_job();
            for number in 0..JOBS {
                let (client, body) = (client.clone(), body.clone());
                let path = format!("/q/{:016x}", 0x0d00_0000_0000_0000 + number);
                std::thread::spawn(move || client.submit(&path, &body));
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
    let unbegun: Vec<&(String, u64)> = accepted.iter().filter(|(id, _)| !bed.has_begun(id)).collect();
    note(&format!("{} accepted small jobs have not begun; {} runs on all runners", unbegun.len(), bed.running()));
    let mut broken = Vec::new();
    // The service has 256 cores; the large jobs may use 16 of them, and the small ones have no limit.
    for (id, accepted_at) in unbegun.iter().filter(|(_, accepted_at)| now - accepted_at >= IDLE_MS) {
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
