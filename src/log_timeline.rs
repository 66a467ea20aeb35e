//! Merges the log lines of several processes that mention one id into a timeline.

use std::io::BufRead;

use serde_json::{Map, Value};

use crate::prelude::*;

/// Fields that are left out of [`TimelineEntry::fields`]: time and message, which every line must have, and
/// the level, which a line may lack and which is not shown.
const HEAD_FIELDS: [&str; 3] = ["time_ms", "level", "message"];
/// Messages about the whole cell that explain gaps in the timeline of an id. They match the log messages
/// letter for letter.
const CELL_MESSAGES: [&str; 4] =
    ["cell recovered", "ownership ended", "configuration is in force", "zones out of service have changed"];

/// The log lines of several processes that mention one id.
///
/// ```
/// use godwithaven::log_timeline::LogTimeline;
///
/// let log = r#"{"time_ms":2000,"message":"job is closed","job":"a1","status":"completed"}"#;
/// let mut timeline = LogTimeline::new("a1");
/// timeline.read("front-1", log.as_bytes())?;
/// assert_eq!(timeline.lines()[0].to_string(), "2.000 front-1 job is closed job=a1 status=completed");
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct LogTimeline {
    id: String,
    lines: Vec<TimelineEntry>,
    cell_lines: Vec<TimelineEntry>,
    /// Number of non-empty lines that could not be parsed as log lines.
    pub unparsed: usize,
}

/// A log line and the process that wrote it.
#[derive(Clone, Debug, PartialEq, derive_more::Display)]
#[display("{}.{:03} {source} {message}{}", at.as_secs(), at.subsec_millis(), pairs(fields))]
pub struct TimelineEntry {
    /// Time of the line as Unix time, by the clock of the process that wrote it.
    pub at: Duration,
    /// Name of the process that wrote the line.
    pub source: String,
    /// Message of the line.
    pub message: String,
    /// Fields other than time, level and message.
    pub fields: Map<String, Value>,
}

impl LogTimeline {
    /// Returns an empty timeline for the id of a job, step, task, request or worker.
    #[must_use]
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), ..Self::default() }
    }

    /// Adds the lines of a log that mention the id and the lines about the whole cell. If a line has text
    /// before its JSON object, the last word of that text is taken as the name of the process instead of
    /// `source`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn read(&mut self, source: &str, log: impl BufRead) -> std::io::Result<()> {
        for line in log.split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if line.trim().is_empty() {
                continue;
            }
            match parse(source, &line) {
                Some(line) if self.mentions_id(&line) => self.lines.push(line),
                Some(line) if CELL_MESSAGES.contains(&line.message.as_str()) => self.cell_lines.push(line),
                Some(_) => {}
                None => self.unparsed += 1,
            }
        }
        Ok(())
    }

    /// Returns the lines sorted by time, together with the lines about the whole cell between the first and
    /// the last of them.
    #[must_use]
    pub fn lines(&self) -> Vec<&TimelineEntry> {
        let times = || self.lines.iter().map(|line| line.at);
        let (Some(first), Some(last)) = (times().min(), times().max()) else { return Vec::new() };
        let cell_lines = self.cell_lines.iter().filter(|line| (first..=last).contains(&line.at));
        let mut lines: Vec<&TimelineEntry> = self.lines.iter().chain(cell_lines).collect();
        lines.sort_by_key(|line| line.at);
        lines
    }

    /// Whether a field is the id, or the id followed by `.` or `#`, which precede the part in the ids of
    /// steps and tasks. A job `team/a` thus also matches the other job `team/a.b`, and a task `team/job#0`
    /// does not match its attempt `team/job#0@1`.
    fn mentions_id(&self, line: &TimelineEntry) -> bool {
        line.fields.values().filter_map(Value::as_str).any(|text| {
            text.strip_prefix(self.id.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '#']))
        })
    }
}

fn parse(source: &str, line: &str) -> Option<TimelineEntry> {
    let json_start = line.find('{')?;
    let mut fields: Map<String, Value> = serde_json::from_str(line[json_start..].trim_end()).ok()?;
    let at = fields.get("time_ms").and_then(|at| at.as_u64().or_else(|| at.as_str()?.parse().ok()))?;
    let message = fields.get("message")?.as_str()?.to_owned();
    for field in HEAD_FIELDS {
        fields.remove(field);
    }
    let prefix = line[..json_start].split_whitespace().last();
    let source = prefix.unwrap_or(source).to_owned();
    Some(TimelineEntry { at: Duration::from_millis(at), source, message, fields })
}

fn pairs(fields: &Map<String, Value>) -> String {
    let pair = |(name, value): (&String, &Value)| match value {
        Value::String(text) => format!(" {name}={text}"),
        value => format!(" {name}={value}"),
    };
    fields.iter().map(pair).collect()
}
