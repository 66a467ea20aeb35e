//! Parses a bundle text into TOML values that keep their byte spans, so that every fault can be located.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::plugins::bundle_fault::BundleFault;
use crate::prelude::*;

/// A deserialized TOML value with its span in the text and, for a table, the spans of its fields.
pub struct SpannedItem<T> {
    /// The deserialized value.
    pub value: T,
    /// Byte range of the value in the text; empty for the root table.
    pub span: Range<usize>,
    fields: FastMap<String, Range<usize>>,
}

impl<T> SpannedItem<T> {
    /// Returns the span of a field, or of the whole table if the text does not set the field.
    #[must_use]
    pub fn field_span(&self, field: &str) -> Range<usize> {
        self.fields.get(field).cloned().unwrap_or_else(|| self.span.clone())
    }
}

/// A parsed bundle text from which fields are taken one by one, with the faults found so far.
pub struct BundleDocument<'a> {
    root: DeTable<'a>,
    root_span: Range<usize>,
    /// Faults in the order in which they were found.
    pub faults: Vec<BundleFault>,
}

impl<'a> BundleDocument<'a> {
    /// Parses the text as TOML. Parts with syntax errors are left out and recorded as faults.
    #[must_use]
    pub fn read(text: &'a str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let fault = |error: toml::de::Error| {
            BundleFault::new(error.span().unwrap_or(0..0), error.message().to_owned())
        };
        // An empty span, because the span of the whole text would underline every line of a report.
        Self { root: root.into_inner(), root_span: 0..0, faults: errors.into_iter().map(fault).collect() }
    }

    /// Records a fault at `span`.
    pub fn add_fault(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.faults.push(BundleFault::new(span, message));
    }

    /// Records a fault about a value that may be a secret, which reports mask.
    pub fn add_secret_fault(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.faults.push(BundleFault { secret: true, ..BundleFault::new(span, message) });
    }

    /// Returns the `id` of each table in the array `name`, including tables whose other fields are invalid.
    #[must_use]
    pub fn declared_ids(&self, name: &str) -> FastSet<String> {
        let items = self.root.get(name).and_then(|value| value.get_ref().as_array());
        let id =
            |item: &Spanned<DeValue<'a>>| item.get_ref().get("id")?.get_ref().as_str().map(str::to_owned);
        items.into_iter().flatten().filter_map(id).collect()
    }

    /// Removes a top-level number and returns it with its span; `None` if it is absent or invalid.
    pub fn take_number(&mut self, name: &str) -> Option<(u64, Range<usize>)> {
        let value = self.root.remove(name)?;
        let span = value.span();
        let item: SpannedItem<u64> = self.read_value(value)?;
        Some((item.value, span))
    }

    /// Removes an array of tables and returns each table that can be deserialized.
    pub fn take_tables<T: DeserializeOwned>(&mut self, name: &str) -> Vec<SpannedItem<T>> {
        let Some(value) = self.root.remove(name) else { return Vec::new() };
        let span = value.span();
        let DeValue::Array(items) = value.into_inner() else {
            self.add_fault(span, format!("`{name}` is written as tables [[{name}]]"));
            return Vec::new();
        };
        items.into_iter().filter_map(|item| self.read_value(item)).collect()
    }

    /// Deserializes all fields that were not taken; `None` if that fails.
    pub fn take_rest<T: DeserializeOwned>(&mut self) -> Option<SpannedItem<T>> {
        let root = DeValue::Table(std::mem::take(&mut self.root));
        self.read_value(Spanned::new(self.root_span.clone(), root))
    }

    /// Deserializes a value. An invalid field is recorded as a fault and removed, and the value is
    /// deserialized again without it, so that one call finds all invalid fields. A removed field that is then
    /// reported as missing is no second fault. Of missing fields, only the first is recorded.
    fn read_value<T: DeserializeOwned>(&mut self, mut value: Spanned<DeValue<'a>>) -> Option<SpannedItem<T>> {
        let (span, fields) = (value.span(), field_spans(value.get_ref()));
        let mut removed = Vec::new();
        loop {
            let error = match T::deserialize(ValueDeserializer::from(value.clone())) {
                Ok(value) => return Some(SpannedItem { value, span, fields }),
                Err(error) => error,
            };
            let error_span = error.span().unwrap_or_else(|| span.clone());
            if let Some(name) = missing_field(error.message()) {
                if !removed.iter().any(|field| field == name) {
                    self.add_fault(error_span, error.message());
                }
                return None;
            }
            let field = remove_field_at(value.get_mut(), &error_span);
            self.add_fault(error_span, fault_message(error.message(), field.as_deref()));
            removed.push(field?);
        }
    }
}

fn fault_message(text: &str, field: Option<&str>) -> String {
    match field {
        Some(field) if !text.contains(field) => format!("`{field}`: {text}"),
        _ => text.to_owned(),
    }
}

fn missing_field(text: &str) -> Option<&str> {
    text.strip_prefix("missing field `")?.strip_suffix('`')
}

fn field_spans(value: &DeValue<'_>) -> FastMap<String, Range<usize>> {
    let Some(table) = value.as_table() else { return FastMap::default() };
    table.iter().map(|(key, value)| (key.get_ref().to_string(), value.span())).collect()
}

/// Removes the innermost field whose key or value contains `span` and returns its name.
fn remove_field_at(value: &mut DeValue<'_>, span: &Range<usize>) -> Option<String> {
    let table = match value {
        DeValue::Table(table) => table,
        DeValue::Array(items) => {
            return items.iter_mut().find_map(|item| remove_field_at(item.get_mut(), span));
        }
        _ => return None,
    };
    let contains = |outer: Range<usize>| outer.start <= span.start && span.end <= outer.end;
    let found = table.iter().find(|(key, value)| contains(key.span()) || contains(value.span()));
    let (key, in_value) = found.map(|(key, _)| (key.get_ref().to_string(), !contains(key.span())))?;
    if in_value
        && let Some(inner) = table.get_mut(key.as_str())
        && let Some(name) = remove_field_at(inner.get_mut(), span)
    {
        return Some(name);
    }
    table.remove(key.as_str());
    Some(key)
}
