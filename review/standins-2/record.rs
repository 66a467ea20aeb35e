//! The record of a run: what was sent, answered and run, with milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static OUTPUT: OnceLock<Mutex<File>> = OnceLock::new();

/// Opens `record.txt` in the folder of the case.
pub fn open(folder: &str) {
    let path = format!("{folder}/record.txt");
    let file = File::create(&path).unwrap_or_else(|error| {
        eprintln!("{path}: {error}");
        std::process::exit(2)
    });
    let _ = START.set(Instant::now());
    let _ = OUTPUT.set(Mutex::new(file));
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    START.get().map_or(0, |start| start.elapsed().as_millis() as u64)
}

/// Adds a line.
pub fn note(line: &str) {
    let at = now_ms();
    if let Some(output) = OUTPUT.get() {
        if let Ok(mut file) = output.lock() {
            let _ = writeln!(file, "{:>7}.{:03} {line}", at / 1_000, at % 1_000);
        }
    }
}
