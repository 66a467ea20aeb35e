//! Prints lines on standard output.

use std::fmt::Arguments;
use std::io::Write;

/// Prints a line like `println!`.
macro_rules! say {
    ($($text:tt)*) => {
        $crate::output::line(format_args!($($text)*))
    };
}

/// Prints a line; ends the command with code 1 if nobody takes it, as after `| head` or on a full disk.
pub fn line(text: Arguments<'_>) {
    if writeln!(std::io::stdout(), "{text}").is_err() {
        std::process::exit(1);
    }
}
