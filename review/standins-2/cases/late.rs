//! A start that is carried out late meets a runner that has started again under its id.

use super::*;

pub fn run(trouble: bool) -> Verdict {
    let bed = Bed::start(&[route("q", "/q/", "svc", 2)], &[tenant("t1", 10, 0)], 2)?;
    let client = bed.client("t1");
    let late = Duration::from_millis(4_000);
    let runner = bed.runners[0].clone();
    if trouble {
        runner.set_starts(Starts::LateOnce(late));
    }
    let job = format!("{:016x}", 0x0c00_0000_0000_0000u64);
    let body = "{\"spec\":\"ms=8000\",\"steps\":[{\"count\":8,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":8000}]}";
    client.submit(&format!("/q/{job}"), body);
    std::thread::sleep(late.saturating_sub(Duration::from_millis(250)));
    if trouble {
        runner.crash();
        std::thread::sleep(Duration::from_millis(200));
        runner.start_again();
    }
    std::thread::sleep(Duration::from_secs(20));
    let mut open: Vec<(String, u64, String)> = Vec::new();
    let mut broken = Vec::new();
    for event in bed.events() {
        if event.what == "start" {
            if let Some((_, run, runner)) = open.iter().find(|(task, ..)| *task == event.task) {
                broken.push(format!(
                    "TWICE: task {} run {} starts on {} while run {run} is on {runner}, at {} ms",
                    event.task, event.run, event.runner, event.at_ms
                ));
            }
            open.push((event.task, event.run, event.runner));
        } else {
            open.retain(|(task, run, runner)| *task != event.task || *run != event.run || *runner != event.runner);
        }
    }
    Ok(broken)
}
