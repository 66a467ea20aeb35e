//! A logger that keeps the log lines of a test program.

#![allow(dead_code, reason = "each test program uses a part of the fixture")]

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use godwithaven::logging::pairs_line;
use log::{LevelFilter, Log, Metadata, Record};

/// Longest wait for a line, far above the usual time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static LOGGER: LineLogger = LineLogger;

struct LineLogger;

impl Log for LineLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("godwithaven")
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            LINES.lock().unwrap_or_else(PoisonError::into_inner).push(pairs_line(record));
        }
    }

    fn flush(&self) {}
}

/// Keeps all lines of the program from level info up; only the first call has an effect.
pub fn keep_lines() {
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

/// Returns the kept lines that contain each of the parts. All tests of a program share the lines.
pub fn lines_with(parts: &[&str]) -> Vec<String> {
    let lines = LINES.lock().unwrap_or_else(PoisonError::into_inner);
    lines.iter().filter(|line| parts.iter().all(|part| line.contains(part))).cloned().collect()
}

/// Waits for a line that contains each of the parts; returns the first one, `None` if there is none in time.
pub async fn await_line(parts: &[&str]) -> Option<String> {
    let started = Instant::now();
    while started.elapsed() < WAIT_TIMEOUT {
        if let Some(line) = lines_with(parts).into_iter().next() {
            return Some(line);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    None
}
