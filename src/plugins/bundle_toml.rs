//! The TOML form of a bundle.

use crate::kernel::PluginRegistry;
use crate::plugins::bundle_document::{BundleDocument, SpannedItem};
use crate::plugins::bundle_fault::BundleFault;
use crate::plugins::bundle_rules::{self, BundleItems};
use crate::prelude::*;

/// Version of the form that this program reads.
pub const FORMAT_VERSION: u64 = 1;

/// What a bundle is checked against.
#[derive(Clone, Copy)]
pub struct BundleContext<'a> {
    /// The linked plug-ins.
    pub registry: &'a PluginRegistry,
    /// Zones that have VMs; `None` if they are not known.
    pub known_zones: Option<&'a [ZoneId]>,
    /// Number of signers of the settings, which sign while the bundle names none; `None` if it is not known.
    pub default_signers: Option<usize>,
}

/// Parses a bundle text and checks it as a whole.
///
/// # Errors
///
/// Returns all faults in the order of the text.
pub fn check(text: &str, context: &BundleContext<'_>) -> Result<PolicyBundle, Vec<BundleFault>> {
    let mut document = BundleDocument::read(text);
    if let Some((format, place)) = document.take_number("format")
        && format != FORMAT_VERSION
    {
        document
            .add(place, format!("format {format} is not known; this program reads format {FORMAT_VERSION}"));
    }
    let team_names = document.declared_ids("teams");
    let (zones, teams, keys) =
        (document.take_items("zones"), document.take_items("teams"), document.take_items("keys"));
    let (queues, services) = (document.take_items("queues"), document.take_items("services"));
    let items = BundleItems { top: document.take_rest(), team_names, zones, teams, keys, queues, services };
    bundle_rules::check(&mut document, &items, context);
    document.faults.sort_by_key(|fault| fault.span.start);
    match items.top {
        Some(top) if document.faults.is_empty() => Ok(PolicyBundle {
            zones: values(items.zones),
            teams: values(items.teams),
            keys: values(items.keys),
            queues: values(items.queues),
            services: values(items.services),
            ..top.value
        }),
        _ => Err(document.faults),
    }
}

/// Parses and checks a bundle text for the ledger.
///
/// # Errors
///
/// Returns one line that names the first fault and the number of others.
pub fn parse(text: &str, context: &BundleContext<'_>) -> Result<PolicyBundle, String> {
    check(text, context).map_err(|faults| {
        let Some(first) = faults.first() else { return "the text cannot be read".to_owned() };
        let rest = match faults.len() - 1 {
            0 => String::new(),
            count => format!(" (and {count} more)"),
        };
        format!("line {}: {}{rest}", first.line(text), first.message)
    })
}

fn values<T>(items: Vec<SpannedItem<T>>) -> Vec<T> {
    items.into_iter().map(|item| item.value).collect()
}
