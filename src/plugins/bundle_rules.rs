//! Checks of a bundle that go beyond the types of its fields, such as ranges and references between tables.

use std::ops::Range;

use ed25519_dalek::VerifyingKey;

use crate::kernel::{
    PluginRegistry, QueuePolicy, ServicePolicy, TeamKey, TeamPolicy, ZonePolicy, join_sorted,
};
use crate::plugins::bundle_document::{BundleDocument, SpannedItem};
use crate::plugins::bundle_toml::BundleContext;
use crate::prelude::*;

/// Maximum number of shards of a region and of partitions of a service; each one costs memory in every
/// process.
const MAX_SHARDS_OR_PARTITIONS: u32 = 1_024;
/// Maximum length of a region name and of the id of a zone, team, key, queue or service.
const MAX_POLICY_NAME_BYTES: usize = 100;

/// The deserialized parts of a bundle with their spans.
pub struct BundleItems {
    /// Fields outside the tables below; `None` if they cannot be deserialized.
    pub top_level: Option<SpannedItem<PolicyBundle>>,
    /// Ids of all teams, including teams whose other fields are invalid.
    pub team_ids: FastSet<String>,
    /// Valid `[[zones]]` tables.
    pub zones: Vec<SpannedItem<ZonePolicy>>,
    /// Valid `[[teams]]` tables.
    pub teams: Vec<SpannedItem<TeamPolicy>>,
    /// Valid `[[keys]]` tables.
    pub keys: Vec<SpannedItem<TeamKey>>,
    /// Valid `[[queues]]` tables.
    pub queues: Vec<SpannedItem<QueuePolicy>>,
    /// Valid `[[services]]` tables.
    pub services: Vec<SpannedItem<ServicePolicy>>,
}

/// Records a fault in the document for each rule that the bundle violates.
pub fn check(document: &mut BundleDocument<'_>, items: &BundleItems, context: &BundleContext<'_>) {
    if let Some(top_level) = &items.top_level {
        check_top_level(document, top_level, context);
    }
    check_ids(document, "zone", &items.zones, |zone| &zone.id);
    check_ids(document, "team", &items.teams, |team| &team.id);
    check_ids(document, "key", &items.keys, |key| &key.id);
    check_ids(document, "queue", &items.queues, |queue| &queue.id);
    check_ids(document, "service", &items.services, |service| &service.id);
    check_zones(document, &items.zones, context);
    for team in items.teams.iter().filter(|team| team.value.share == 0) {
        document.add_fault(team.field_span("share"), "`share` must be at least 1");
    }
    check_keys(document, items);
    for queue in &items.queues {
        if let Some(team) = &queue.value.open_to_all_as {
            check_team_exists(document, items, team, queue.field_span("open_to_all_as"));
        }
    }
    check_services(document, &items.services, context.registry);
}

fn check_top_level(
    document: &mut BundleDocument<'_>,
    top_level: &SpannedItem<PolicyBundle>,
    context: &BundleContext<'_>,
) {
    let bundle = &top_level.value;
    if bundle.version <= bundle.base {
        let text = format!("`version` must be above `base`, which is {}", bundle.base);
        document.add_fault(top_level.field_span("version"), text);
    }
    check_count(
        document,
        "shards_per_region",
        bundle.shards_per_region,
        top_level.field_span("shards_per_region"),
    );
    check_signers(document, top_level, context);
    let choice = &bundle.placement;
    for name in [&choice.service, &choice.batch, &choice.gang] {
        let known = &context.registry.placements;
        if !known.contains_key(name.as_str()) {
            let known = join_sorted(known.keys().copied());
            document.add_fault(
                top_level.field_span("placement"),
                format!("unknown placement policy {name:?}; known are {known}"),
            );
        }
    }
}

fn check_signers(
    document: &mut BundleDocument<'_>,
    top_level: &SpannedItem<PolicyBundle>,
    context: &BundleContext<'_>,
) {
    let bundle = &top_level.value;
    for signer in &bundle.signers {
        if !is_public_key(signer) {
            let text = format!("signer {signer:?} is not an ed25519 public key in 64 hexadecimal digits");
            document.add_fault(top_level.field_span("signers"), text);
        }
    }
    let distinct: FastSet<&String> = bundle.signers.iter().collect();
    if distinct.len() < bundle.signers.len() {
        document.add_fault(top_level.field_span("signers"), "`signers` names a key twice");
    }
    let count = if distinct.is_empty() { context.default_signer_count } else { Some(distinct.len()) };
    if bundle.approvals == 0 {
        document.add_fault(top_level.field_span("approvals"), "`approvals` must be at least 1");
    }
    if let Some(count) = count
        && bundle.approvals > count
    {
        let text = format!("`approvals` is {}, but there are {count} signers", bundle.approvals);
        document.add_fault(top_level.field_span("approvals"), text);
    }
}

fn check_ids<T>(
    document: &mut BundleDocument<'_>,
    kind: &str,
    items: &[SpannedItem<T>],
    id: impl Fn(&T) -> &str,
) {
    let mut seen = FastSet::default();
    for item in items {
        let name = id(&item.value);
        if !is_valid_name(name) {
            document.add_fault(item.field_span("id"), name_fault(kind, name));
        } else if !seen.insert(name) {
            document.add_fault(item.field_span("id"), format!("{kind} {name:?} is defined twice"));
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
        if !is_valid_name(region) {
            document.add_fault(zone.field_span("region"), name_fault("region", region));
        }
        if let Some(known) = context.known_zones
            && !known.contains(id)
        {
            let known = join_sorted(known.iter().map(|zone| &**zone));
            document.add_fault(zone.field_span("id"), format!("no VM is in zone {id:?}; known are {known}"));
        }
    }
}

fn check_keys(document: &mut BundleDocument<'_>, items: &BundleItems) {
    let mut seen: FastMap<String, &str> = FastMap::default();
    for key in &items.keys {
        let digest = key.value.sha256.to_ascii_lowercase();
        check_team_exists(document, items, &key.value.team, key.field_span("team"));
        if hex::decode(&digest).ok().is_none_or(|bytes| bytes.len() != 32) {
            // The value may be a plain key that was pasted in place of its digest.
            let text = "`sha256` must be 64 hexadecimal digits; see `godwithaven key hash`";
            document.add_secret_fault(key.field_span("sha256"), text);
        } else if let Some(other) = seen.insert(digest, &key.value.id) {
            document.add_fault(key.field_span("sha256"), format!("the same key is granted as {other:?}"));
        }
    }
}

fn check_team_exists(document: &mut BundleDocument<'_>, items: &BundleItems, team: &str, span: Range<usize>) {
    if !items.team_ids.contains(team) {
        document.add_fault(span, format!("team {team:?} is not defined"));
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
            document.add_fault(service.field_span("timeout_ms"), "`timeout_ms` must be at least 1");
        }
        let routing = &service.value.routing;
        if !registry.routings.contains_key(routing.as_str()) {
            let known = join_sorted(registry.routings.keys().copied());
            let text = format!("unknown routing policy {routing:?}; known are {known}");
            document.add_fault(service.field_span("routing"), text);
        }
    }
}

fn check_count(document: &mut BundleDocument<'_>, name: &str, count: u32, span: Range<usize>) {
    if count == 0 || count > MAX_SHARDS_OR_PARTITIONS {
        document.add_fault(span, format!("`{name}` must be between 1 and {MAX_SHARDS_OR_PARTITIONS}"));
    }
}

fn is_public_key(text: &str) -> bool {
    let bytes: Option<[u8; 32]> = hex::decode(text).ok().and_then(|bytes| bytes.try_into().ok());
    // Signatures are matched to signers by comparing text, and signing writes lower-case digits.
    let lower = text.bytes().all(|byte| !byte.is_ascii_uppercase());
    lower && bytes.is_some_and(|bytes| VerifyingKey::from_bytes(&bytes).is_ok())
}

/// Whether an id or a region name can be part of shard, job and task ids, in which '/', '#', '@' and ':' are
/// separators.
fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_POLICY_NAME_BYTES && name.bytes().all(allowed)
}

fn name_fault(kind: &str, name: &str) -> String {
    format!("{kind} name {name:?} must have 1 to {MAX_POLICY_NAME_BYTES} letters, digits, '-', '_' or '.'")
}
