//! A route is removed while it has accepted jobs.

use super::*;

/// A job of two steps, the second after the first.
const TWO_STEPS: &str = "{\"spec\":\"ms=2500\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":2500},\
                         {\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimated_ms\":2500,\"after\":[0]}]}";

pub fn run(trouble: bool) -> Verdict {
    let tenants = [tenant("t1", 10, 0)];
    let (kept, old) = (route("q", "/q/", "svc", 2), route("old", "/old/", "svc", 2));
    let bed = Bed::start(&[kept.clone(), old.clone()], &tenants, 4)?;
    let client = bed.client("t1");
    let mut jobs = Vec::new();
    for number in 0..5u64 {
        let id = format!("{:016x}", 0x0b00_0000_0000_0000u64 + number);
        if client.submit(&format!("/old/{id}"), TWO_STEPS) {
            jobs.push(id);
        }
    }
    std::thread::sleep(Duration::from_millis(1_000));
    if trouble {
        bed.configure(2, &[kept], &tenants);
    } else {
        bed.configure(2, &[kept, old], &tenants);
    }
    std::thread::sleep(Duration::from_secs(24));
    let events = bed.events();
    let mut broken = Vec::new();
    for id in &jobs {
        let ends = |step: usize| {
            let prefix = format!("{id}.0.{step}.");
            let done = events.iter().filter(|event| event.what == "done" && event.task.starts_with(&prefix));
            done.map(|event| event.at_ms).collect::<Vec<u64>>()
        };
        let begun = events.iter().any(|event| event.what == "start" && event.task.starts_with(&format!("{id}.0.1.")));
        let first = ends(0);
        note(&format!("job {id}: first step done at {first:?}, second step begun: {begun}"));
        if first.len() == 2 && !begun {
            broken.push(format!("LOST: job {id} has nothing running since its first step was done at {first:?} ms"));
        }
    }
    if jobs.is_empty() {
        return Err("no job was accepted".to_owned());
    }
    Ok(broken)
}
