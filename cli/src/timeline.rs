//! The subcommand `explain log`.

use std::fs::File;
use std::io::{BufReader, stdin};

use godwithaven::log_timeline::LogTimeline;

use crate::failure::CommandFailure;
use crate::flags::Log;

/// File name that stands for standard input.
const STDIN_NAME: &str = "-";

/// Prints the lines about an id in the order of their times, from log files or from standard input if there
/// are none. A line read from a file is shown with the file's name, without its extension, as its source.
pub fn print(flags: &Log, json: bool) -> Result<(), CommandFailure> {
    let mut timeline = LogTimeline::new(&flags.id);
    let files = if flags.file.is_empty() { vec![STDIN_NAME.into()] } else { flags.file.clone() };
    for file in files {
        let name = file.display().to_string();
        let read = if name == STDIN_NAME {
            timeline.read(STDIN_NAME, stdin().lock())
        } else {
            let source = file.file_stem().map_or(name.clone(), |stem| stem.to_string_lossy().into_owned());
            File::open(&file).and_then(|log| timeline.read(&source, BufReader::new(log)))
        };
        read.map_err(|error| CommandFailure::failed(name, error))?;
    }
    let lines = timeline.lines();
    for line in &lines {
        if json {
            let at = line.at.as_millis();
            let (source, message) = (&line.source, &line.message);
            outln!(
                "{}",
                serde_json::json!({ "time_ms": at, "source": source, "message": message, "fields": line.fields })
            );
        } else {
            outln!("{line}");
        }
    }
    if timeline.unparsed > 0 {
        eprintln!("{} lines are no log lines", timeline.unparsed);
    }
    if lines.is_empty() {
        return Err(CommandFailure::failed(&flags.id, "no log line names it"));
    }
    Ok(())
}
