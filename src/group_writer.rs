//! Writing of log lines in groups that a pipe takes in one piece.

use std::io::{Error, ErrorKind, Write};

use crate::write_fault::WriteFault;

/// Maximum size of one write: `PIPE_BUF` of Linux, up to which a write to a pipe is atomic. Some collectors see
/// only the first 8 KiB of a write.
const MAX_WRITE_BYTES: usize = 4 << 10;

/// Writes chunks of lines to an output in groups of whole lines, one write per group. A line that is longer
/// than a write may be is a group of its own and takes several writes.
///
/// An output that buffers by lines, as [`std::io::Stdout`] does, passes each group on at once.
pub struct GroupWriter<W> {
    output: W,
}

impl<W: Write> GroupWriter<W> {
    /// Returns a writer to the output.
    pub fn new(output: W) -> Self {
        Self { output }
    }

    /// Writes a chunk of lines, each of which ends with a newline.
    ///
    /// # Errors
    ///
    /// Returns the error of the output and the number of lines that were not written.
    pub fn write_chunk(&mut self, chunk: &[u8]) -> Result<(), WriteFault> {
        let mut rest = chunk;
        while !rest.is_empty() {
            let (group, following) = rest.split_at(group_length(rest));
            self.write_group(group).map_err(|fault| fault.with_further_lines(count_lines(following)))?;
            rest = following;
        }
        Ok(())
    }

    fn write_group(&mut self, group: &[u8]) -> Result<(), WriteFault> {
        let mut rest = group;
        while !rest.is_empty() {
            match self.write_once(rest) {
                Ok(written) => rest = &rest[written..],
                Err(error) => return Err(WriteFault { error, unwritten_lines: count_lines(rest) }),
            }
        }
        // Standard output keeps the rest of a short write in its buffer and counts it as written.
        self.output.flush().map_err(|error| WriteFault { error, unwritten_lines: count_lines(group) })
    }

    /// Writes the start of a group; returns the number of bytes that the output took, which is not 0.
    fn write_once(&mut self, group: &[u8]) -> Result<usize, Error> {
        let piece = &group[..group.len().min(MAX_WRITE_BYTES)];
        loop {
            match self.output.write(piece) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

/// Returns the number of lines in a chunk.
#[must_use]
pub fn count_lines(chunk: &[u8]) -> u64 {
    chunk.split_inclusive(|byte| *byte == b'\n').count() as u64
}

/// Returns the length of the longest group of whole lines at the start of a chunk that fits in one write, or
/// the length of the first line if that is longer.
fn group_length(chunk: &[u8]) -> usize {
    let head = &chunk[..chunk.len().min(MAX_WRITE_BYTES)];
    let is_newline = |byte: &u8| *byte == b'\n';
    let last = head.iter().rposition(is_newline).or_else(|| chunk.iter().position(is_newline));
    last.map_or(chunk.len(), |last| last + 1)
}
