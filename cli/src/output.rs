//! Lines on standard output.

use std::fmt::Arguments;
use std::io::Write;

/// Prints a line like `println!`, but without a panic if standard output cannot be written; see [`line`].
macro_rules! outln {
    ($($text:tt)*) => {
        $crate::output::line(format_args!($($text)*))
    };
}

/// Prints a line. Ends the process with exit code 1 if the write fails: the reader has closed the pipe, as
/// `head` does, or the disk is full.
pub fn line(text: Arguments<'_>) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(1);
    }
}
