//! Compares the settings in force with settings reloaded at run time.

use toml::Table;
use toml::Value;

use super::Settings;

/// Keys that a reload applies at once; changes of all other keys take effect when the
/// daemon is started the next time.
const KEYS_APPLIED_AT_ONCE: [&str; 4] =
    ["log.level", "repeats.ratio", "repeats.slack", "stop.patience"];

/// Keys that differ between the settings in force and the reloaded settings.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SettingsChange {
    /// Changed keys that take effect at once.
    pub at_once: Vec<String>,
    /// Changed keys that take effect at the next start of the daemon.
    pub at_next_start: Vec<String>,
}

impl SettingsChange {
    /// Returns the keys whose values differ, or that only one of the two has.
    pub fn between(old: &Settings, new: &Settings) -> Self {
        let (old, new) = (flatten(old), flatten(new));
        let keys = old.keys().chain(new.keys().filter(|key| !old.contains_key(*key)));
        let changed = keys.filter(|key| old.get(*key) != new.get(*key)).cloned();
        let (at_once, at_next_start) =
            changed.partition(|key| KEYS_APPLIED_AT_ONCE.contains(&key.as_str()));
        Self { at_once, at_next_start }
    }

    /// Returns whether no key differs.
    pub fn is_empty(&self) -> bool {
        self.at_once.is_empty() && self.at_next_start.is_empty()
    }
}

/// Returns all values in one flat table, with keys of the form `section.key`.
fn flatten(settings: &Settings) -> Table {
    let mut flat = Table::new();
    let table = Table::try_from(settings).unwrap_or_default();
    for (section, value) in table {
        add_flattened(&mut flat, section, value);
    }
    flat
}

/// Adds `value` to `flat` under `key`, or its entries if it is a table.
fn add_flattened(flat: &mut Table, key: String, value: Value) {
    match value {
        Value::Table(table) => {
            for (name, value) in table {
                add_flattened(flat, format!("{key}.{name}"), value);
            }
        }
        value => {
            flat.insert(key, value);
        }
    }
}
