//! Reads a bundle text as a tree of values with their places.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::plugins::bundle_fault::BundleFault;
use crate::prelude::*;

/// A table of the text that could be read, with the places of its fields.
pub struct SpannedItem<T> {
    /// What the table says.
    pub value: T,
    /// The whole table.
    pub span: Range<usize>,
    fields: FastMap<String, Range<usize>>,
}

impl<T> SpannedItem<T> {
    /// Returns the place of a field, or of the table if the field has its default.
    #[must_use]
    pub fn field_span(&self, field: &str) -> Range<usize> {
        self.fields.get(field).cloned().unwrap_or_else(|| self.span.clone())
    }
}

/// A bundle text as a tree of values with their places, and the faults found so far.
pub struct BundleDocument<'a> {
    root: DeTable<'a>,
    whole: Range<usize>,
    /// Faults in the order in which they were found.
    pub faults: Vec<BundleFault>,
}

impl<'a> BundleDocument<'a> {
    /// Reads the syntax of a text; what cannot be read is left out and noted as a fault.
    #[must_use]
    pub fn read(text: &'a str) -> Self {
        let (root, errors) = DeTable::parse_recoverable(text);
        let fault = |error: toml::de::Error| {
            BundleFault::new(error.span().unwrap_or(0..0), error.message().to_owned())
        };
        // The whole text as a place would underline every line.
        Self { root: root.into_inner(), whole: 0..0, faults: errors.into_iter().map(fault).collect() }
    }

    /// Adds a fault.
    pub fn add(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.faults.push(BundleFault::new(span, message));
    }

    /// Adds a fault about a value that may be a secret.
    pub fn add_secret(&mut self, span: Range<usize>, message: impl Into<String>) {
        self.faults.push(BundleFault { secret: true, ..BundleFault::new(span, message) });
    }

    /// Returns the names that an array of tables declares, also in tables that cannot be read otherwise.
    #[must_use]
    pub fn declared_ids(&self, name: &str) -> FastSet<String> {
        let items = self.root.get(name).and_then(|value| value.get_ref().as_array());
        let id =
            |item: &Spanned<DeValue<'a>>| item.get_ref().get("id")?.get_ref().as_str().map(str::to_owned);
        items.into_iter().flatten().filter_map(id).collect()
    }

    /// Removes a number at the top of the text and returns it with its place.
    pub fn take_number(&mut self, name: &str) -> Option<(u64, Range<usize>)> {
        let value = self.root.remove(name)?;
        let span = value.span();
        let item: SpannedItem<u64> = self.read_value(value)?;
        Some((item.value, span))
    }

    /// Removes an array of tables and returns each table that can be read.
    pub fn take_items<T: DeserializeOwned>(&mut self, name: &str) -> Vec<SpannedItem<T>> {
        let Some(value) = self.root.remove(name) else { return Vec::new() };
        let span = value.span();
        let DeValue::Array(items) = value.into_inner() else {
            self.add(span, format!("`{name}` is written as tables [[{name}]]"));
            return Vec::new();
        };
        items.into_iter().filter_map(|item| self.read_value(item)).collect()
    }

    /// Reads everything that was not taken.
    pub fn take_rest<T: DeserializeOwned>(&mut self) -> Option<SpannedItem<T>> {
        let root = DeValue::Table(std::mem::take(&mut self.root));
        self.read_value(Spanned::new(self.whole.clone(), root))
    }

    /// Reads a value. Fields that cannot be read are noted, removed and read as if they were absent, so that
    /// one pass finds all of them.
    fn read_value<T: DeserializeOwned>(&mut self, mut value: Spanned<DeValue<'a>>) -> Option<SpannedItem<T>> {
        let (span, fields) = (value.span(), places(value.get_ref()));
        let mut removed = Vec::new();
        loop {
            let error = match T::deserialize(ValueDeserializer::from(value.clone())) {
                Ok(value) => return Some(SpannedItem { value, span, fields }),
                Err(error) => error,
            };
            let place = error.span().unwrap_or_else(|| span.clone());
            if let Some(name) = missing_field(error.message()) {
                if !removed.iter().any(|field| field == name) {
                    self.add(place, error.message());
                }
                return None;
            }
            let field = remove_at(value.get_mut(), &place);
            self.add(place, message(error.message(), field.as_deref()));
            removed.push(field?);
        }
    }
}

fn message(text: &str, field: Option<&str>) -> String {
    match field {
        Some(field) if !text.contains(field) => format!("`{field}`: {text}"),
        _ => text.to_owned(),
    }
}

fn missing_field(text: &str) -> Option<&str> {
    text.strip_prefix("missing field `")?.strip_suffix('`')
}

fn places(value: &DeValue<'_>) -> FastMap<String, Range<usize>> {
    let Some(table) = value.as_table() else { return FastMap::default() };
    table.iter().map(|(key, value)| (key.get_ref().to_string(), value.span())).collect()
}

/// Removes the innermost field whose key or value holds the place; returns its name.
fn remove_at(value: &mut DeValue<'_>, place: &Range<usize>) -> Option<String> {
    let table = match value {
        DeValue::Table(table) => table,
        DeValue::Array(items) => {
            return items.iter_mut().find_map(|item| remove_at(item.get_mut(), place));
        }
        _ => return None,
    };
    let holds = |span: Range<usize>| span.start <= place.start && place.end <= span.end;
    let found = table.iter().find(|(key, value)| holds(key.span()) || holds(value.span()));
    let (key, inside) = found.map(|(key, _)| (key.get_ref().to_string(), !holds(key.span())))?;
    if inside
        && let Some(inner) = table.get_mut(key.as_str())
        && let Some(name) = remove_at(inner.get_mut(), place)
    {
        return Some(name);
    }
    table.remove(key.as_str());
    Some(key)
}
