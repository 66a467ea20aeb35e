use std::net::SocketAddr;

use crate::prelude::*;
use crate::settings::ENTRY_SETTINGS;

/// Reads settings and keeps every fault, so that one report names all.
pub struct SettingReader<F, V> {
    flag: F,
    variable: V,
    /// What is missing or cannot be used, one sentence each.
    pub faults: Vec<String>,
}

impl<F: Fn(&str) -> Option<String>, V: Fn(&str) -> Option<String>> SettingReader<F, V> {
    /// Returns a reader of flags and variables.
    pub const fn new(flag: F, variable: V) -> Self {
        Self { flag, variable, faults: Vec::new() }
    }

    /// Returns the text of a setting; empty after a fault.
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

    /// Returns a setting read by `read`; the fallback after a fault.
    pub fn parse<T>(&mut self, name: &str, fallback: T, read: impl Fn(&str) -> Option<T>) -> T {
        let count = self.faults.len();
        let text = self.text(name);
        if self.faults.len() > count {
            return fallback;
        }
        read(&text).unwrap_or_else(|| {
            let help = ENTRY_SETTINGS.iter().find(|spec| spec.flag == name).map_or("", |spec| spec.help);
            self.faults.push(format!("--{name}: {text:?} cannot be used: {help}"));
            fallback
        })
    }

    /// Returns an address, `ip:port`.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        self.parse(name, SocketAddr::from(([127, 0, 0, 1], 0)), |text| text.parse().ok())
    }

    /// Returns a name that can be part of the names of processes and shards.
    pub fn name(&mut self, name: &str) -> Arc<str> {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        self.parse(name, "".into(), |text| (!text.is_empty() && text.bytes().all(plain)).then(|| text.into()))
    }

    /// Returns a number of milliseconds up to an hour.
    pub fn milliseconds(&mut self, name: &str, least: u64) -> Duration {
        let read = |text: &str| text.parse().ok().filter(|ms| (least..=3_600_000).contains(ms));
        self.parse(name, Duration::from_secs(1), |text| read(text).map(Duration::from_millis))
    }

    /// Returns distinct public keys; signatures are matched to them by text, so digits are in lower case.
    pub fn public_keys(&mut self, name: &str) -> Vec<String> {
        self.parse(name, Vec::new(), |text| {
            let keys: Vec<String> = text.split(',').map(|key| key.trim().to_owned()).collect();
            let distinct: FastSet<&String> = keys.iter().collect();
            (keys.iter().all(|key| is_public_key(key)) && distinct.len() == keys.len()).then_some(keys)
        })
    }
}

fn is_public_key(key: &str) -> bool {
    let lower = !key.bytes().any(|byte| byte.is_ascii_uppercase());
    lower && hex::decode(key).is_ok_and(|bytes| bytes.len() == 32)
}
