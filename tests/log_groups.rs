//! Tests of how log lines are grouped into writes.

use std::io::{Error, ErrorKind, Write};

use godwithaven::group_writer::GroupWriter;
use googletest::prelude::*;

/// Size up to which a write to a pipe is atomic.
const PIPE_BUF: usize = 4_096;

/// An output that records each write.
struct RecordingOutput {
    writes: Vec<Vec<u8>>,
    /// Maximum number of bytes that one write takes.
    write_limit: usize,
    /// Number of bytes after which writes fail.
    capacity: usize,
    /// Number of writes that are interrupted by a signal before any succeeds.
    interruptions: usize,
}

impl RecordingOutput {
    fn written(&self) -> Vec<u8> {
        self.writes.concat()
    }
}

impl Write for RecordingOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.interruptions > 0 {
            self.interruptions -= 1;
            return Err(ErrorKind::Interrupted.into());
        }
        let left = self.capacity - self.written().len();
        if left == 0 {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        let count = bytes.len().min(self.write_limit).min(left);
        self.writes.push(bytes[..count].to_vec());
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn output() -> RecordingOutput {
    RecordingOutput { writes: Vec::new(), write_limit: usize::MAX, capacity: usize::MAX, interruptions: 0 }
}

/// Returns one line of the given length, newline included.
fn line(length: usize) -> Vec<u8> {
    let mut line = vec![b'x'; length - 1];
    line.push(b'\n');
    line
}

/// Returns a chunk of about 64 KiB whose lines have different numbers and lengths.
fn mixed_chunk() -> Vec<u8> {
    (0..400).flat_map(|number| format!("{number}{}\n", "x".repeat(number * 37 % 331)).into_bytes()).collect()
}

/// Guards against writes that a pipe splits, or that end within a line, and against lost or reordered lines.
#[gtest]
fn each_write_is_an_atomic_group_of_whole_lines() -> Result<()> {
    let mut output = output();
    let chunk = mixed_chunk();

    GroupWriter::new(&mut output).write_chunk(&chunk).or_fail()?;

    verify_that!(output.written() == chunk, eq(true))?;
    verify_that!(output.writes, each(predicate(|write: &Vec<u8>| write.len() <= PIPE_BUF)))?;
    verify_that!(output.writes, each(predicate(|write: &Vec<u8>| write.ends_with(b"\n"))))
}

/// Guards against system calls that the size limit does not require: no line fits in the write before its own.
#[gtest]
fn each_write_is_as_full_as_whole_lines_allow() -> Result<()> {
    let mut output = output();

    GroupWriter::new(&mut output).write_chunk(&mixed_chunk()).or_fail()?;

    let fits_before = |pair: &[Vec<u8>]| {
        let first_line = pair[1].iter().position(|byte| *byte == b'\n').map_or(0, |last| last + 1);
        pair[0].len() + first_line <= PIPE_BUF
    };
    verify_that!(output.writes.windows(2).any(fits_before), eq(false))
}

/// Guards against a group that is one byte too long or a write of its own for a line that still fits.
#[gtest]
fn a_group_fills_a_write_exactly() -> Result<()> {
    let mut output = output();
    let chunk = [line(96), line(4_000), line(4_096), line(97), line(4_000)].concat();

    GroupWriter::new(&mut output).write_chunk(&chunk).or_fail()?;

    let lengths: Vec<usize> = output.writes.iter().map(Vec::len).collect();
    verify_that!(lengths, elements_are![eq(&4_096), eq(&4_096), eq(&97), eq(&4_000)])
}

/// Guards against long lines that are cut or that share a write with others.
#[gtest]
fn a_long_line_has_writes_of_its_own() -> Result<()> {
    let mut output = output();
    let chunk = [line(10), line(10_000), line(20), line(30)].concat();

    GroupWriter::new(&mut output).write_chunk(&chunk).or_fail()?;

    let lengths: Vec<usize> = output.writes.iter().map(Vec::len).collect();
    verify_that!(lengths, elements_are![eq(&10), eq(&4_096), eq(&4_096), eq(&1_808), eq(&50)])?;
    verify_that!(output.written() == chunk, eq(true))
}

/// Guards against lines that are lost or repeated after a short or interrupted write.
#[gtest]
fn short_and_interrupted_writes_are_continued() -> Result<()> {
    let mut output = RecordingOutput { write_limit: 1_000, interruptions: 2, ..output() };
    let chunk = mixed_chunk();

    GroupWriter::new(&mut output).write_chunk(&chunk).or_fail()?;

    verify_that!(output.written() == chunk, eq(true))
}

/// Guards against lines that are lost without being counted, or counted although they were written.
#[gtest]
fn a_failed_write_counts_the_lines_that_it_did_not_write() -> Result<()> {
    let lines_written = 50;
    let mut output = RecordingOutput { capacity: lines_written * 100 + 30, ..output() };
    let chunk = line(100).repeat(200);

    let fault = GroupWriter::new(&mut output).write_chunk(&chunk).err().or_fail()?;

    verify_that!(fault.error.kind(), eq(ErrorKind::StorageFull))?;
    verify_that!(fault.unwritten_lines, eq(150))
}
