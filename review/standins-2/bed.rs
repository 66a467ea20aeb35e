//! Test bed of the second review: a platform store, runners and clients on loopback addresses, which follow the
//! users' pages, and the entry processes of the project as separate processes.
//!
//! Usage: `bed SCENARIO CASE_FOLDER`, in the root of the repository. It writes `record.txt` to the case folder and
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod entry;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::process::exit;
use std::time::Duration;

/// Longest time of a run.
const LONGEST: Duration = Duration::from_secs(116);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = &args[..] else {
        eprintln!("usage: bed SCENARIO CASE_FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(folder);
    record::note(&format!("scenario {scenario}, trouble {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        record::note("verdict: the case could not run: it takes too long");
        entry::end_all();
        exit(2)
    });
    let run = std::panic::catch_unwind(|| cases::run(scenario, trouble));
    let outcome = run.unwrap_or_else(|_| Err("the test bed has failed".to_owned()));
    entry::end_all();
    match outcome {
        Ok(broken) if broken.is_empty() => {
            record::note("verdict: the rule held");
            exit(0)
        }
        Ok(broken) => {
            for line in &broken {
                record::note(&format!("broken: {line}"));
            }
            record::note("verdict: the rule was broken");
            exit(1)
        }
        Err(reason) => {
            record::note(&format!("verdict: the case could not run: {reason}"));
            exit(2)
        }
    }
}
