//! What changes in settings that are read again while the daemon runs.

use toml::Table;
use toml::Value;

use super::Settings;

/// Keys that take effect at once; all others wait for the next start.
const AT_ONCE: [&str; 4] = ["log.level", "repeats.ratio", "repeats.slack", "stop.patience"];

/// What differs between the settings in force and those read again.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsChange {
    /// Keys that take effect at once.
    pub at_once: Vec<String>,
    /// Keys that take effect at the next start.
    pub at_next_start: Vec<String>,
}

impl SettingsChange {
    /// Returns what differs between two settings.
    pub fn between(old: &Settings, new: &Settings) -> Self {
        let (old, new) = (flatten(old), flatten(new));
        let keys = old.keys().chain(new.keys().filter(|key| !old.contains_key(*key)));
        let changed = keys.filter(|key| old.get(*key) != new.get(*key)).cloned();
        let (at_once, at_next_start) = changed.partition(|key| AT_ONCE.contains(&key.as_str()));
        Self { at_once, at_next_start }
    }

    /// Whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.at_once.is_empty() && self.at_next_start.is_empty()
    }
}

/// Returns all values with keys written `section.key`.
fn flatten(settings: &Settings) -> Table {
    let mut flat = Table::new();
    let table = Table::try_from(settings).unwrap_or_default();
    for (section, value) in table {
        add(&mut flat, section, value);
    }
    flat
}

fn add(flat: &mut Table, key: String, value: Value) {
    match value {
        Value::Table(table) => {
            for (name, value) in table {
                add(flat, format!("{key}.{name}"), value);
            }
        }
        value => {
            flat.insert(key, value);
        }
    }
}
