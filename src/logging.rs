//! Formats of structured log lines, and the logger to standard error that entry processes use unless they
//! serve a cell, which log through [`LogPipe`](crate::log_pipe::LogPipe).

use log::kv::{Error, Key, Value, VisitSource};

use crate::clock::unix_ms;
use crate::settings::LogFormat;

/// Name of the field that reports why the remaining fields of a line could not be read. The report is part of
/// the line because a logger cannot log its own errors.
const FIELD_ERROR: &str = "field_error";

/// Starts logging to standard error for the whole program: lines of this crate at `level` and above, and
/// warnings of other crates. Later calls change nothing.
pub fn start(format: LogFormat, level: log::LevelFilter) {
    let line = match format {
        LogFormat::Pairs => pairs_line,
        LogFormat::Json => json_line,
    };
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("godwithaven", level)
        .format(move |out, _message, record| out.finish(format_args!("{}", line(record))))
        .chain(std::io::stderr());
    if let Err(error) = dispatch.apply() {
        // A second start in one program, as in tests, keeps the first logger.
        log::debug!(error:%; "the logger is already set");
    }
}

/// Returns a record as one line of `key=value` pairs.
#[must_use]
pub fn pairs_line(record: &log::Record<'_>) -> String {
    let mut line = format!(
        "time_ms={} level={} message={:?}",
        unix_ms(),
        record.level().as_str().to_lowercase(),
        record.args().to_string()
    );
    let mut visitor = TextVisitor(|key: &str, value: &str| {
        line.extend([" ", key, "=", &format!("{value:?}")]);
    });
    if let Err(error) = record.key_values().visit(&mut visitor) {
        (visitor.0)(FIELD_ERROR, &error.to_string());
    }
    line
}

/// Returns a record as one JSON object whose fields are strings, except for the number `time_ms`.
#[must_use]
pub fn json_line(record: &log::Record<'_>) -> String {
    let mut object = json_object(record);
    let mut visitor = TextVisitor(|key: &str, value: &str| {
        object.insert(key.to_owned(), value.into());
    });
    if let Err(error) = record.key_values().visit(&mut visitor) {
        (visitor.0)(FIELD_ERROR, &error.to_string());
    }
    serde_json::Value::Object(object).to_string()
}

/// Returns a record as one JSON object whose fields keep numbers and booleans as JSON numbers and booleans.
#[must_use]
pub fn typed_json_line(record: &log::Record<'_>) -> String {
    let mut object = json_object(record);
    if let Err(error) = record.key_values().visit(&mut TypedVisitor(&mut object)) {
        object.insert(FIELD_ERROR.to_owned(), error.to_string().into());
    }
    serde_json::Value::Object(object).to_string()
}

fn json_object(record: &log::Record<'_>) -> serde_json::Map<String, serde_json::Value> {
    let mut object = serde_json::Map::new();
    object.insert("time_ms".into(), unix_ms().into());
    object.insert("level".into(), record.level().as_str().to_lowercase().into());
    object.insert("message".into(), record.args().to_string().into());
    object
}

/// Passes each field to the closure as text.
struct TextVisitor<F>(F);

impl<'kvs, F: FnMut(&str, &str)> VisitSource<'kvs> for TextVisitor<F> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        (self.0)(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Inserts numbers and booleans with their JSON types, so that readers of the log can compare them.
struct TypedVisitor<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for TypedVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_i64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (None, Some(number), _) => number.into(),
            (None, None, Some(boolean)) => boolean.into(),
            (None, None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
