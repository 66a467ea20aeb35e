//! Tells what the logs of several processes say of one id.

use std::fs::File;
use std::io::{BufReader, stdin};

use godwithaven::log_timeline::LogTimeline;

use crate::failure::CommandFailure;
use crate::flags::Log;

/// Name of standard input in place of a file.
const STDIN: &str = "-";

/// Prints the lines about an id from files, or from standard input if there are none.
pub fn tell(flags: &Log, json: bool) -> Result<(), CommandFailure> {
    let mut timeline = LogTimeline::new(&flags.id);
    let files = if flags.file.is_empty() { vec![STDIN.into()] } else { flags.file.clone() };
    for file in files {
        let name = file.display().to_string();
        let read = if name == STDIN {
            timeline.read(STDIN, stdin().lock())
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
            say!(
                "{}",
                serde_json::json!({ "time_ms": at, "source": source, "message": message, "fields": line.fields })
            );
        } else {
            say!("{line}");
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
