//! Parsing of the operator changes in the store: configurations and zones that are out of service.

use serde::Deserialize;

use crate::kernel::cell::{CellConfig, MAX_ESTIMATE, PermitRule, QueueRule, TeamRule};
use crate::kernel::connections::ClientLimits;
use crate::platform::workers::ResourceBody;
use crate::prelude::*;
use crate::tasks::cell::ports::OperatorChange;

/// Key of the configuration.
const CONFIG_KEY: &str = "config";
/// Prefix of the keys that mark zones as out of service, followed by the name of the zone.
const ZONE_PREFIX: &str = "evacuate/";
/// Largest accepted factor on the estimated critical path of a job, so that objectives stay within the range
/// of time.
const MAX_STRETCH: f64 = 1e6;

#[derive(Deserialize)]
struct ConfigBody {
    version: BundleVersion,
    #[serde(default)]
    routes: Vec<RouteBody>,
    #[serde(default)]
    tenants: Vec<TenantBody>,
    #[serde(default)]
    limits: LimitsBody,
}

/// Limits on each connection of a client; a limit of 0 counts as missing.
#[derive(Deserialize, Default)]
#[serde(default)]
struct LimitsBody {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
struct RouteBody {
    name: QueueId,
    host: Arc<str>,
    path_prefix: Arc<str>,
    #[serde(default)]
    target_latency_ms: f64,
    #[serde(default)]
    priority: u32,
    service: ServiceId,
    #[serde(default)]
    max_attempts: u32,
    #[serde(default)]
    stretch: f64,
    /// Present if starts need permits from the placement advisor.
    advice: Option<AdviceBody>,
    /// Whether callers need no API key.
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[expect(clippy::struct_field_names, reason = "as the platform writes them")]
struct AdviceBody {
    decision_ms: f64,
    each_ms: f64,
    validity_ms: f64,
}

#[derive(Deserialize)]
struct TenantBody {
    name: TeamId,
    #[serde(default)]
    api_keys: Vec<Arc<str>>,
    #[serde(default)]
    weight: f64,
    /// Largest amount that the team may use at the same time; a dimension of 0 has no limit.
    #[serde(default)]
    maximum: ResourceBody,
}

/// Parses a change; an empty value means that the key was removed.
pub fn parse_operator_change(key: &str, value: &[u8]) -> Result<OperatorChange, String> {
    if let Some(zone) = key.strip_prefix(ZONE_PREFIX) {
        return Ok(OperatorChange::ZoneClosed(zone.into(), !value.is_empty()));
    }
    if key != CONFIG_KEY || value.is_empty() {
        return Ok(OperatorChange::Other);
    }
    let body: ConfigBody = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    Ok(OperatorChange::Config(Arc::new(body.into())))
}

impl From<ConfigBody> for CellConfig {
    fn from(body: ConfigBody) -> Self {
        let keys = body.tenants.iter();
        let keys = keys.flat_map(|team| team.api_keys.iter().map(|key| (key.clone(), team.name.clone())));
        Self {
            version: body.version,
            keys: keys.collect(),
            queues: body.routes.into_iter().map(queue_rule).collect(),
            teams: body.tenants.into_iter().map(team_rule).collect(),
            client_limits: body.limits.into(),
        }
    }
}

impl From<LimitsBody> for ClientLimits {
    fn from(body: LimitsBody) -> Self {
        let default = Self::default();
        let bytes = |value: usize, default: usize| if value > 0 { value } else { default };
        let time = |value: u64, default: Duration| {
            if value > 0 { Duration::from_millis(value).min(MAX_ESTIMATE) } else { default }
        };
        Self {
            head_bytes: bytes(body.max_header_bytes, default.head_bytes),
            body_bytes: bytes(body.max_body_bytes, default.body_bytes),
            head_timeout: time(body.header_timeout_ms, default.head_timeout),
            idle_timeout: time(body.idle_timeout_ms, default.idle_timeout),
            exchange_timeout: default.exchange_timeout,
        }
    }
}

fn queue_rule(body: RouteBody) -> (QueueId, QueueRule) {
    let permits = body.advice.map(|advice| PermitRule {
        decision_time: milliseconds(advice.decision_ms),
        time_per_worker: milliseconds(advice.each_ms),
        validity: milliseconds(advice.validity_ms),
    });
    let rule = QueueRule {
        service: body.service,
        priority: body.priority,
        max_attempts: body.max_attempts,
        stretch: body.stretch.clamp(0.0, MAX_STRETCH),
        target: milliseconds(body.target_latency_ms),
        permits,
        open_to_all: body.public,
        host: body.host,
        prefix: body.path_prefix,
    };
    (body.name, rule)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before the cast")]
fn team_rule(body: TenantBody) -> (TeamId, TeamRule) {
    // Rounded up, so that a weight between 0 and 1 becomes 1.
    let weight = body.weight.clamp(0.0, f64::from(u32::MAX)).ceil() as u32;
    (body.name, TeamRule { weight, limit: body.maximum.into() })
}

/// Converts milliseconds to a duration of at most [`MAX_ESTIMATE`]; negative and invalid numbers give zero.
pub fn milliseconds(value: f64) -> Duration {
    let seconds = (value / 1_000.0).min(MAX_ESTIMATE.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
