//! Empty runners are added to a service, and jobs need a kind of runner of which there is one.

use super::*;

/// Runners from the start, and those that are added: a quarter more.
const RUNNERS: usize = 120;
const ADDED: usize = 30;
const WATCHED: Duration = Duration::from_secs(30);

pub fn run(trouble: bool) -> Verdict {
    let mut bed = Bed::start(&[route("q", "/q/", "svc", 2)], &[tenant("t1", 50, 0)], RUNNERS)?;
    if trouble {
        bed.add_runners(ADDED);
    }
    std::thread::sleep(Duration::from_secs(6));
    let client = bed.client("t1");
    let mut accepted = Vec::new();
    // A job for each kind of which there is one runner.
    for number in 0..OWN_KINDS {
        let id = format!("{:016x}", 0x0e00_0000_0000_0000 + number as u64);
        let step = "\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":500";
        let body =
            format!("{{\"spec\":\"ms=500\",\"steps\":[{{{step},\"requirements\":\"kind-{number}\"}}]}}");
        if client.submit(&format!("/q/{id}"), &body) {
            accepted.push((id, now_ms()));
        }
    }
    if accepted.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    std::thread::sleep(WATCHED);
    let (now, running) = (now_ms(), bed.running());
    let unbegun: Vec<&(String, u64)> = accepted.iter().filter(|(id, _)| !bed.has_begun(id)).collect();
    note(&format!("{} of {} accepted jobs have not begun", unbegun.len(), accepted.len()));
    let describe = |(id, accepted_at): &&(String, u64)| {
        let waited = now - accepted_at;
        format!("LOST: job {id} was accepted and has had nothing running for {waited} ms; {running} runs in all")
    };
    Ok(unbegun.iter().map(describe).collect())
}
