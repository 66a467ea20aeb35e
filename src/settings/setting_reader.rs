use std::net::SocketAddr;
use std::str::FromStr;

use crate::prelude::*;
use crate::settings::ENTRY_SETTINGS;

/// Reads settings and collects all faults, so that one report names every invalid setting.
pub struct SettingReader<F, V> {
    flag: F,
    variable: V,
    /// One sentence for each setting that is missing or invalid.
    pub faults: Vec<String>,
}

impl<F: Fn(&str) -> Option<String>, V: Fn(&str) -> Option<String>> SettingReader<F, V> {
    /// Returns a reader that looks up flags by name and environment variables by their full name.
    pub const fn new(flag: F, variable: V) -> Self {
        Self { flag, variable, faults: Vec::new() }
    }

    /// Returns the text of a setting from its flag, its variable or its default; empty after recording a
    /// fault.
    fn text(&mut self, name: &str) -> String {
        let Some(spec) = ENTRY_SETTINGS.iter().find(|spec| spec.flag == name) else {
            self.faults.push(format!("setting {name:?} does not exist"));
            return String::new();
        };
        let given = (self.flag)(name).or_else(|| (self.variable)(spec.variable));
        given.or_else(|| spec.default.map(str::to_owned)).unwrap_or_else(|| {
            self.faults.push(format!("--{name} or {} is missing: {}", spec.variable, spec.help));
            String::new()
        })
    }

    /// Returns a setting converted by `parse`, or `fallback` after recording a fault if `parse` returns
    /// `None` or the setting is missing.
    pub fn parse<T>(&mut self, name: &str, fallback: T, parse: impl Fn(&str) -> Option<T>) -> T {
        let count = self.faults.len();
        let text = self.text(name);
        if self.faults.len() > count {
            return fallback;
        }
        parse(&text).unwrap_or_else(|| {
            let help = ENTRY_SETTINGS.iter().find(|spec| spec.flag == name).map_or("", |spec| spec.help);
            self.faults.push(format!("--{name}: {text:?} cannot be used: {help}"));
            fallback
        })
    }

    /// Returns a socket address written as `ip:port`.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        self.parse(name, SocketAddr::from(([127, 0, 0, 1], 0)), |text| text.parse().ok())
    }

    /// Returns a non-empty name of the characters that ids of processes and shards may contain.
    pub fn name(&mut self, name: &str) -> Arc<str> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        self.parse(name, "".into(), |text| {
            (!text.is_empty() && text.bytes().all(allowed)).then(|| text.into())
        })
    }

    /// Returns a duration given in milliseconds, from `min_ms` up to one hour.
    pub fn milliseconds(&mut self, name: &str, min_ms: u64) -> Duration {
        let parse = |text: &str| text.parse().ok().filter(|ms| (min_ms..=3_600_000).contains(ms));
        self.parse(name, Duration::from_secs(1), |text| parse(text).map(Duration::from_millis))
    }

    /// Returns a whole number from `min` up to `max`.
    pub fn number<T: Copy + PartialOrd + FromStr>(&mut self, name: &str, min: T, max: T) -> T {
        self.parse(name, min, |text| text.parse().ok().filter(|number| (min..=max).contains(number)))
    }

    /// Returns the distinct public keys of a comma-separated list. Signatures are matched to them by
    /// comparing text, so only lower-case digits are valid.
    pub fn public_keys(&mut self, name: &str) -> Vec<String> {
        self.parse(name, Vec::new(), |text| {
            let keys: Vec<String> = text.split(',').map(|key| key.trim().to_owned()).collect();
            let distinct: FastSet<&String> = keys.iter().collect();
            (keys.iter().all(|key| is_hex_key(key)) && distinct.len() == keys.len()).then_some(keys)
        })
    }
}

/// Whether a key has the form of a public key, 64 lower-case hexadecimal digits. Whether it is a valid
/// ed25519 key is not checked here.
fn is_hex_key(key: &str) -> bool {
    let lower = !key.bytes().any(|byte| byte.is_ascii_uppercase());
    lower && hex::decode(key).is_ok_and(|bytes| bytes.len() == 32)
}
