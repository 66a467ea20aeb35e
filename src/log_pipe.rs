//! Asynchronous logging to standard output, as processes that serve a cell use it. It does not block the
//! process: if the reader of the output is too slow, lines are dropped and counted.

use std::io::Stdout;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use log::LevelFilter;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::group_writer::{GroupWriter, count_lines};
use crate::logging::typed_json_line;
use crate::prelude::*;

/// Maximum number of lines that wait to be collected into a chunk.
const MAX_QUEUED_LINES: usize = 4_096;
/// Maximum number of chunks that wait for the writer thread.
const MAX_QUEUED_CHUNKS: usize = 8;
/// Time between two chunks; a longer time wakes the writer thread less often.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the reader of the output at the end of the process; lines that it has not read by then are
/// lost.
const END_TIMEOUT: Duration = Duration::from_secs(1);
/// Size from which a chunk is sent to the writer thread at once. The thread writes it in smaller groups; the
/// size saves wake-ups of the thread.
const FLUSH_BYTES: usize = 64 << 10;

/// Collects log lines into chunks and hands them to a thread that writes them.
pub struct LogPipe {
    lines: mpsc::Receiver<String>,
    chunks: SyncSender<Vec<u8>>,
    /// Resolved when the writer thread has ended.
    writer_ended: oneshot::Receiver<()>,
}

impl LogPipe {
    /// Starts logging for the whole program and starts the writer thread; lines are queued until
    /// [`Self::run`] runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the program already has a logger or the writer thread cannot be started.
    pub fn start(level: LevelFilter) -> Result<Self, String> {
        let (sender, lines) = mpsc::channel(MAX_QUEUED_LINES);
        let output = fern::Output::call(move |record| {
            // A full queue drops the line; the number of dropped lines is logged at the next flush.
            if sender.try_send(typed_json_line(record)).is_err() {
                DROPPED_LINES.inc();
            }
        });
        let dispatch =
            fern::Dispatch::new().level(LevelFilter::Warn).level_for("godwithaven", level).chain(output);
        dispatch.apply().map_err(|error| error.to_string())?;
        let (chunks, received) = sync_channel(MAX_QUEUED_CHUNKS);
        let (ended, writer_ended) = oneshot::channel();
        let writer = std::thread::Builder::new().name("log".to_owned()).spawn(move || {
            write_chunks(&received, std::io::stdout());
            // The receiver is gone if the process did not wait that long.
            let _ = ended.send(());
        });
        writer.map_err(|error| error.to_string())?;
        Ok(Self { lines, chunks, writer_ended })
    }

    /// Writes log lines until the token is cancelled, then the queued ones. Waits for the writer thread for at
    /// most `END_TIMEOUT`, as a write blocks for as long as nobody reads the output.
    pub async fn run(mut self, token: CancellationToken) {
        let mut chunk = Vec::new();
        let mut interval = tokio::time::interval(FLUSH_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut reported = 0;
        loop {
            tokio::select! {
                () = token.cancelled() => break,
                _ = interval.tick() => {}
            }
            while let Ok(line) = self.lines.try_recv() {
                add_line(&mut chunk, &line);
                if chunk.len() >= FLUSH_BYTES {
                    self.send_chunk(&mut chunk);
                }
            }
            let dropped = DROPPED_LINES.get();
            if dropped > reported {
                log::warn!(lines = dropped - reported; "log lines were dropped");
                reported = dropped;
            }
            self.send_chunk(&mut chunk);
        }
        while let Ok(line) = self.lines.try_recv() {
            add_line(&mut chunk, &line);
        }
        self.send_chunk(&mut chunk);
        drop(self.chunks);
        match tokio::time::timeout(END_TIMEOUT, self.writer_ended).await {
            Ok(Ok(())) => print_last_drops(reported),
            Ok(Err(_)) => eprintln!("the log writer thread panicked"),
            Err(_) => eprintln!("the last log lines are lost: nobody reads standard output"),
        }
    }

    /// Hands a chunk to the writer thread, or counts its lines as dropped if the thread is behind or has
    /// ended.
    fn send_chunk(&self, chunk: &mut Vec<u8>) {
        if chunk.is_empty() {
            return;
        }
        let full = std::mem::take(chunk);
        if let Err(TrySendError::Full(lost) | TrySendError::Disconnected(lost)) = self.chunks.try_send(full) {
            DROPPED_LINES.inc_by(count_lines(&lost));
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

/// Returns the counter of dropped log lines, to register it with the metrics of the process.
#[must_use]
pub fn dropped_lines() -> prometheus::IntCounter {
    DROPPED_LINES.clone()
}

fn add_line(chunk: &mut Vec<u8>, line: &str) {
    chunk.extend_from_slice(line.as_bytes());
    chunk.push(b'\n');
}

/// Prints to standard error how many lines were dropped since the last report, as no more lines are written.
fn print_last_drops(reported: u64) {
    let dropped = DROPPED_LINES.get();
    if dropped > reported {
        eprintln!("{} log lines were dropped at the end of the process", dropped - reported);
    }
}

/// Writes chunks to standard output until all senders are gone. Once writing has failed, only counts the lines
/// of the chunks as dropped.
fn write_chunks(chunks: &Receiver<Vec<u8>>, output: Stdout) {
    let mut writer = GroupWriter::new(output);
    while let Ok(chunk) = chunks.recv() {
        if let Err(fault) = writer.write_chunk(&chunk) {
            DROPPED_LINES.inc_by(fault.unwritten_lines);
            eprintln!("cannot write log lines to standard output: {fault}");
            break;
        }
    }
    while let Ok(chunk) = chunks.recv() {
        DROPPED_LINES.inc_by(count_lines(&chunk));
    }
}
