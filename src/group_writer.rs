//! Writing of log lines in groups that a pipe takes in one piece.

use std::io::{Error, ErrorKind, Write};

use crate::write_fault::WriteFault;

/// Maximum size of one write: `PIPE_BUF` of Linux, up to which a write to a pipe is atomic. Some collectors see
/// only the first 8 KiB of a write.
const MAX_WRITE_BYTES: usize = 4 << 10;

/// Writes chunks of lines to an output in groups of whole lines, one write per group. A line that is longer
/// than a write may be is a group of its own and takes several writes.
///
/// The output must not buffer: [`std::io::Stdout`] may hold back the rest of a short write.
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
            let (mut group, following) = rest.split_at(group_length(rest));
            while !group.is_empty() {
                match self.write_once(group) {
                    Ok(written) => group = &group[written..],
                    Err(error) => {
                        let unwritten_lines = count_lines(group) + count_lines(following);
                        return Err(WriteFault { error, unwritten_lines });
                    }
                }
            }
            rest = following;
        }
        Ok(())
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
