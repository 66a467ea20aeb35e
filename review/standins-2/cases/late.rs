//! A start that the network delays reaches a runner that has started again under its id.

use super::*;

/// Delay of the start: orders may be carried out 2 to 12 s later.
const DELAY: Duration = Duration::from_millis(9_000);
/// Time before that at which the runner crashes, and for which it is down.
const CRASH_BEFORE: Duration = Duration::from_millis(900);
const DOWN: Duration = Duration::from_millis(500);
/// Runners, one of which crashes.
const RUNNERS: usize = 8;
/// A job of one task, whose start is delayed, and one that keeps the runners busy.
const JOB: &str = "{\"spec\":\"ms=20000\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":20000}]}";
const OTHER_JOB: &str =
    "{\"spec\":\"ms=60000\",\"steps\":[{\"count\":24,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":60000}]}";

pub fn run(trouble: bool) -> Verdict {
    let bed = Bed::start(&[route("q", "/q/", "svc", 2)], &[tenant("t1", 10, 0)], RUNNERS)?;
    let client = bed.client("t1");
    client.submit(&format!("/q/{:016x}", 0x0c00_0000_0000_0001u64), OTHER_JOB);
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        for runner in &bed.runners {
            runner.set_starts(Starts::LateOnce(DELAY));
        }
    }
    let sent = Instant::now();
    client.submit(&format!("/q/{:016x}", 0x0c00_0000_0000_0000u64), JOB);
    std::thread::sleep(Duration::from_millis(300));
    if trouble {
        let runner = bed.runners.iter().find(|runner| runner.is_sound()).ok_or("no start was delayed")?;
        for other in &bed.runners {
            other.set_starts(Starts::Sound);
        }
        std::thread::sleep((DELAY - CRASH_BEFORE).saturating_sub(sent.elapsed()));
        runner.crash();
        std::thread::sleep(DOWN);
        runner.start_again();
    }
    std::thread::sleep(Duration::from_secs(30));
    Ok(twice(&bed.events()))
}

/// Returns the starts of a task while another run of it was on a runner.
fn twice(events: &[Event]) -> Vec<String> {
    let mut open: Vec<&Event> = Vec::new();
    let mut broken = Vec::new();
    for event in events {
        if event.what == "start" {
            for other in open.iter().filter(|other| other.task == event.task) {
                broken.push(format!(
                    "TWICE: task {} run {} starts on {} at {} ms while run {} is on {}",
                    event.task, event.run, event.runner, event.at_ms, other.run, other.runner
                ));
            }
            open.push(event);
        } else {
            open.retain(|other| {
                other.task != event.task || other.run != event.run || other.runner != event.runner
            });
        }
    }
    broken
}
