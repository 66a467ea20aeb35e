//! Parses and checks policy bundles written in TOML.

use crate::kernel::PluginRegistry;
use crate::plugins::bundle_document::{BundleDocument, SpannedItem};
use crate::plugins::bundle_fault::BundleFault;
use crate::plugins::bundle_rules::{self, BundleItems};
use crate::prelude::*;

/// Version of the bundle format that this program reads, the optional field `format` of a bundle.
pub const FORMAT_VERSION: u64 = 1;

/// What the checks need to know beyond the bundle itself.
#[derive(Clone, Copy)]
pub struct BundleContext<'a> {
    /// Plug-ins linked into this program; a bundle may name only their policies.
    pub registry: &'a PluginRegistry,
    /// Zones that have workers or endpoints; `None` if they are unknown, which skips the check of the zones.
    pub known_zones: Option<&'a [ZoneId]>,
    /// Number of signers in the settings, whose signatures count while no bundle names signers; `None` if
    /// unknown.
    pub default_signer_count: Option<usize>,
}

/// Parses a bundle text and checks all of it.
///
/// # Errors
///
/// Returns all faults, sorted by their position in the text.
pub fn parse_with_faults(text: &str, context: &BundleContext<'_>) -> Result<PolicyBundle, Vec<BundleFault>> {
    let mut document = BundleDocument::read(text);
    if let Some((format, span)) = document.take_number("format")
        && format != FORMAT_VERSION
    {
        document.add_fault(
            span,
            format!("format {format} is not known; this program reads format {FORMAT_VERSION}"),
        );
    }
    let team_ids = document.declared_ids("teams");
    let (zones, teams, keys) =
        (document.take_tables("zones"), document.take_tables("teams"), document.take_tables("keys"));
    let (queues, services) = (document.take_tables("queues"), document.take_tables("services"));
    let items =
        BundleItems { top_level: document.take_rest(), team_ids, zones, teams, keys, queues, services };
    bundle_rules::check(&mut document, &items, context);
    document.faults.sort_by_key(|fault| fault.span.start);
    match items.top_level {
        Some(top_level) if document.faults.is_empty() => Ok(PolicyBundle {
            zones: into_values(items.zones),
            teams: into_values(items.teams),
            keys: into_values(items.keys),
            queues: into_values(items.queues),
            services: into_values(items.services),
            ..top_level.value
        }),
        _ => Err(document.faults),
    }
}

/// Parses a bundle text and checks all of it, with the faults shortened to one line: the reason with which
/// the ledger refuses a bundle.
///
/// # Errors
///
/// Returns one line with the first fault and the number of further faults.
pub fn parse(text: &str, context: &BundleContext<'_>) -> Result<PolicyBundle, String> {
    parse_with_faults(text, context).map_err(|faults| {
        let Some(first) = faults.first() else { return "the text cannot be read".to_owned() };
        let rest = match faults.len() - 1 {
            0 => String::new(),
            count => format!(" (and {count} more)"),
        };
        format!("line {}: {}{rest}", first.line(text), first.message)
    })
}

fn into_values<T>(items: Vec<SpannedItem<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}
