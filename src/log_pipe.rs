//! Log lines on standard output that never block the process: when the reader is too slow, lines are dropped
//! and counted.

use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use log::LevelFilter;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::logging::typed_json_line;
use crate::prelude::*;

/// Lines that wait to be collected.
const LINE_CAPACITY: usize = 4_096;
/// Chunks that wait for the writing thread.
const CHUNK_CAPACITY: usize = 8;
/// Time between two chunks; longer ones save wake-ups of the writing thread.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes after which a chunk is written at once.
const CHUNK_BYTES: usize = 64 << 10;

/// Collects log lines into chunks for a thread that writes them.
pub struct LogPipe {
    lines: mpsc::Receiver<String>,
    chunks: SyncSender<Vec<u8>>,
    writer: std::thread::JoinHandle<()>,
}

impl LogPipe {
    /// Starts logging for the whole program; lines are written once [`Self::run`] runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the program logs already or the thread cannot be started.
    pub fn start(level: LevelFilter) -> Result<Self, String> {
        let (sender, lines) = mpsc::channel(LINE_CAPACITY);
        let output = fern::Output::call(move |record| {
            // A full queue drops the line; the next chunk says how many are missing.
            if sender.try_send(typed_json_line(record)).is_err() {
                DROPPED_LINES.inc();
            }
        });
        let dispatch =
            fern::Dispatch::new().level(LevelFilter::Warn).level_for("godwithaven", level).chain(output);
        dispatch.apply().map_err(|error| error.to_string())?;
        let (chunks, received) = sync_channel(CHUNK_CAPACITY);
        let writer = std::thread::Builder::new().name("log".to_owned()).spawn(move || write(&received));
        Ok(Self { lines, chunks, writer: writer.map_err(|error| error.to_string())? })
    }

    /// Writes log lines until the token is cancelled, then those that are left.
    pub async fn run(mut self, token: CancellationToken) {
        let mut chunk = Vec::new();
        let mut interval = tokio::time::interval(CHUNK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut reported = 0;
        loop {
            tokio::select! {
                () = token.cancelled() => break,
                _ = interval.tick() => {}
            }
            while let Ok(line) = self.lines.try_recv() {
                add_line(&mut chunk, &line);
                if chunk.len() >= CHUNK_BYTES {
                    self.pass_on(&mut chunk);
                }
            }
            let dropped = DROPPED_LINES.get();
            if dropped > reported {
                log::warn!(lines = dropped - reported; "log lines were dropped");
                reported = dropped;
            }
            self.pass_on(&mut chunk);
        }
        while let Ok(line) = self.lines.try_recv() {
            add_line(&mut chunk, &line);
        }
        self.pass_on(&mut chunk);
        drop(self.chunks);
        if self.writer.join().is_err() {
            eprintln!("the thread that writes log lines has panicked");
        }
    }

    fn pass_on(&self, chunk: &mut Vec<u8>) {
        if chunk.is_empty() {
            return;
        }
        let full = std::mem::take(chunk);
        if let Err(error) = self.chunks.try_send(full) {
            let (std::sync::mpsc::TrySendError::Full(lost)
            | std::sync::mpsc::TrySendError::Disconnected(lost)) = error;
            DROPPED_LINES.inc_by(lost.split(|byte| *byte == b'\n').skip(1).count() as u64);
        }
    }
}

static DROPPED_LINES: std::sync::LazyLock<prometheus::IntCounter> = std::sync::LazyLock::new(|| {
    prometheus::IntCounter::new(
        "godwithaven_log_lines_dropped_total",
        "Log lines dropped as nobody read them",
    )
    .expect("name and help are valid")
});

/// Returns the counter of dropped lines, for the metrics of the process.
#[must_use]
pub fn dropped_lines() -> prometheus::IntCounter {
    DROPPED_LINES.clone()
}

fn add_line(chunk: &mut Vec<u8>, line: &str) {
    chunk.extend_from_slice(line.as_bytes());
    chunk.push(b'\n');
}

fn write(chunks: &Receiver<Vec<u8>>) {
    let mut output = std::io::stdout().lock();
    while let Ok(chunk) = chunks.recv() {
        if let Err(error) = output.write_all(&chunk).and_then(|()| output.flush()) {
            eprintln!("log lines cannot be written: {error}");
            return;
        }
    }
}
