//! Rules that a bundle keeps beyond the types of its fields.

use std::ops::Range;

use ed25519_dalek::VerifyingKey;

use crate::kernel::{
    PluginRegistry, QueuePolicy, ServicePolicy, TeamKey, TeamPolicy, ZonePolicy, join_sorted,
};
use crate::plugins::bundle_document::{BundleDocument, SpannedItem};
use crate::plugins::bundle_toml::BundleContext;
use crate::prelude::*;

/// Most shards of a region and partitions of a service; each costs every process memory.
const MAX_SHARDS: u32 = 1_024;
/// Longest name in bytes.
const MAX_NAME: usize = 100;

/// The tables of a bundle with their places.
pub struct BundleItems {
    /// Fields outside of the tables below, if they can be read.
    pub top: Option<SpannedItem<PolicyBundle>>,
    /// Names of all teams, also of those whose other fields cannot be read.
    pub team_names: FastSet<String>,
    /// Availability zones.
    pub zones: Vec<SpannedItem<ZonePolicy>>,
    /// Teams.
    pub teams: Vec<SpannedItem<TeamPolicy>>,
    /// Keys.
    pub keys: Vec<SpannedItem<TeamKey>>,
    /// Queues.
    pub queues: Vec<SpannedItem<QueuePolicy>>,
    /// Services.
    pub services: Vec<SpannedItem<ServicePolicy>>,
}

/// Adds a fault to the form for each rule that does not hold.
pub fn check(document: &mut BundleDocument<'_>, items: &BundleItems, context: &BundleContext<'_>) {
    if let Some(top) = &items.top {
        check_top(document, top, context);
    }
    check_names(document, "zone", &items.zones, |zone| &zone.id);
    check_names(document, "team", &items.teams, |team| &team.id);
    check_names(document, "key", &items.keys, |key| &key.id);
    check_names(document, "queue", &items.queues, |queue| &queue.id);
    check_names(document, "service", &items.services, |service| &service.id);
    check_zones(document, &items.zones, context);
    for team in items.teams.iter().filter(|team| team.value.share == 0) {
        document.add(team.field_span("share"), "`share` must be at least 1");
    }
    check_keys(document, items);
    for queue in &items.queues {
        if let Some(team) = &queue.value.open_to_all_as {
            check_team(document, items, team, queue.field_span("open_to_all_as"));
        }
    }
    check_services(document, &items.services, context.registry);
}

fn check_top(
    document: &mut BundleDocument<'_>,
    top: &SpannedItem<PolicyBundle>,
    context: &BundleContext<'_>,
) {
    let bundle = &top.value;
    if bundle.version <= bundle.base {
        let text = format!("`version` must be above `base`, which is {}", bundle.base);
        document.add(top.field_span("version"), text);
    }
    check_count(document, "shards_per_region", bundle.shards_per_region, top.field_span("shards_per_region"));
    check_signers(document, top, context);
    let choice = &bundle.placement;
    for name in [&choice.service, &choice.batch, &choice.gang] {
        let known = &context.registry.placements;
        if !known.contains_key(name.as_str()) {
            let known = join_sorted(known.keys().copied());
            document.add(
                top.field_span("placement"),
                format!("unknown placement policy {name:?}; known are {known}"),
            );
        }
    }
}

fn check_signers(
    document: &mut BundleDocument<'_>,
    top: &SpannedItem<PolicyBundle>,
    context: &BundleContext<'_>,
) {
    let bundle = &top.value;
    for signer in &bundle.signers {
        if !is_public_key(signer) {
            let text = format!("signer {signer:?} is not an ed25519 public key in 64 hexadecimal digits");
            document.add(top.field_span("signers"), text);
        }
    }
    let distinct: FastSet<&String> = bundle.signers.iter().collect();
    if distinct.len() < bundle.signers.len() {
        document.add(top.field_span("signers"), "`signers` names a key twice");
    }
    let count = if distinct.is_empty() { context.default_signers } else { Some(distinct.len()) };
    if bundle.approvals == 0 {
        document.add(top.field_span("approvals"), "`approvals` must be at least 1");
    }
    if let Some(count) = count
        && bundle.approvals > count
    {
        let text = format!("`approvals` is {}, but there are {count} signers", bundle.approvals);
        document.add(top.field_span("approvals"), text);
    }
}

fn check_names<T>(
    document: &mut BundleDocument<'_>,
    kind: &str,
    items: &[SpannedItem<T>],
    id: impl Fn(&T) -> &str,
) {
    let mut seen = FastSet::default();
    for item in items {
        let name = id(&item.value);
        if !is_name(name) {
            document.add(item.field_span("id"), name_fault(kind, name));
        } else if !seen.insert(name) {
            document.add(item.field_span("id"), format!("{kind} {name:?} is defined twice"));
        }
    }
}

fn check_zones(
    document: &mut BundleDocument<'_>,
    zones: &[SpannedItem<ZonePolicy>],
    context: &BundleContext<'_>,
) {
    for zone in zones {
        let (id, region) = (&zone.value.id, &zone.value.region);
        if !is_name(region) {
            document.add(zone.field_span("region"), name_fault("region", region));
        }
        if let Some(known) = context.known_zones
            && !known.contains(id)
        {
            let known = join_sorted(known.iter().map(|zone| &**zone));
            document.add(zone.field_span("id"), format!("no VM is in zone {id:?}; known are {known}"));
        }
    }
}

fn check_keys(document: &mut BundleDocument<'_>, items: &BundleItems) {
    let mut seen: FastMap<String, &str> = FastMap::default();
    for key in &items.keys {
        let digest = key.value.sha256.to_ascii_lowercase();
        check_team(document, items, &key.value.team, key.field_span("team"));
        if hex::decode(&digest).ok().is_none_or(|bytes| bytes.len() != 32) {
            // It may be a key that was pasted in place of its digest.
            let text = "`sha256` must be 64 hexadecimal digits; see `godwithaven key hash`";
            document.add_secret(key.field_span("sha256"), text);
        } else if let Some(other) = seen.insert(digest, &key.value.id) {
            document.add(key.field_span("sha256"), format!("the same key is granted as {other:?}"));
        }
    }
}

fn check_team(document: &mut BundleDocument<'_>, items: &BundleItems, team: &str, place: Range<usize>) {
    if !items.team_names.contains(team) {
        document.add(place, format!("team {team:?} is not defined"));
    }
}

fn check_services(
    document: &mut BundleDocument<'_>,
    services: &[SpannedItem<ServicePolicy>],
    registry: &PluginRegistry,
) {
    for service in services {
        check_count(document, "partitions", service.value.partitions, service.field_span("partitions"));
        if service.value.timeout_ms == 0 {
            document.add(service.field_span("timeout_ms"), "`timeout_ms` must be at least 1");
        }
        let routing = &service.value.routing;
        if !registry.routings.contains_key(routing.as_str()) {
            let known = join_sorted(registry.routings.keys().copied());
            let text = format!("unknown routing policy {routing:?}; known are {known}");
            document.add(service.field_span("routing"), text);
        }
    }
}

fn check_count(document: &mut BundleDocument<'_>, name: &str, count: u32, place: Range<usize>) {
    if count == 0 || count > MAX_SHARDS {
        document.add(place, format!("`{name}` must be between 1 and {MAX_SHARDS}"));
    }
}

fn is_public_key(text: &str) -> bool {
    let bytes: Option<[u8; 32]> = hex::decode(text).ok().and_then(|bytes| bytes.try_into().ok());
    // Signatures are matched to signers by their text, which has lower-case digits.
    let lower = text.bytes().all(|byte| !byte.is_ascii_uppercase());
    lower && bytes.is_some_and(|bytes| VerifyingKey::from_bytes(&bytes).is_ok())
}

/// Whether a name can be part of the names of shards, jobs and tasks, where '/', '#', '@' and ':' separate.
fn is_name(name: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain)
}

fn name_fault(kind: &str, name: &str) -> String {
    format!("{kind} name {name:?} must have 1 to {MAX_NAME} letters, digits, '-', '_' or '.'")
}
