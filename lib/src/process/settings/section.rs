//! Typed access to one section of a settings file.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde_with::DeserializeAs;
use serde_with::de::DeserializeAsWrap;
use toml::Table;
use toml::Value;

use super::error::Problem;
use crate::process::units::DurationText;

/// One section of a settings file. Each key is removed when it is read, so that
/// [`Section::finish`] finds the unknown ones.
///
/// A problem does not stop the reading: it is recorded, and a placeholder is returned
/// in place of the value, so that an operator sees all problems at once. The
/// placeholder is never used, because settings with problems are rejected.
pub(super) struct Section<'a> {
    name: &'static str,
    values: Table,
    known_keys: Vec<&'static str>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Section<'a> {
    /// Removes the section `name` from the file; a missing section is read as empty.
    pub(super) fn take(
        file: &mut Table,
        name: &'static str,
        problems: &'a mut Vec<Problem>,
    ) -> Self {
        let values = match file.remove(name) {
            None => Table::new(),
            Some(Value::Table(values)) => values,
            Some(found) => {
                let expected = format!("a section [{name}]");
                problems.push(Problem::InvalidValue {
                    key: name.to_owned(),
                    found: found.to_string(),
                    expected,
                });
                Table::new()
            }
        };
        Self { name, values, known_keys: Vec::new(), problems }
    }

    /// Reads a required key.
    pub(super) fn required<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        expected: &str,
        placeholder: T,
    ) -> T {
        match self.remove(key) {
            Some(value) => self.convert(key, value, expected).unwrap_or(placeholder),
            None => {
                let key = self.full_key(key);
                self.problems.push(Problem::MissingKey { key, expected: expected.to_owned() });
                placeholder
            }
        }
    }

    /// Reads an optional key.
    pub(super) fn optional<T: DeserializeOwned>(
        &mut self,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        let value = self.remove(key)?;
        self.convert(key, value, expected)
    }

    /// Reads a required whole number in the range `accepted`.
    pub(super) fn required_number<T>(&mut self, key: &'static str, accepted: RangeInclusive<T>) -> T
    where
        T: Copy + DeserializeOwned + Display + PartialOrd,
    {
        let expected = format!("a whole number from {} to {}", accepted.start(), accepted.end());
        let number = self.required(key, &expected, *accepted.start());
        self.check_range(key, number, &accepted, T::to_string)
    }

    /// Reads an optional whole number in the range `accepted`; `default` applies if the
    /// key is not set.
    pub(super) fn number_or_default<T>(
        &mut self,
        key: &'static str,
        accepted: RangeInclusive<T>,
        default: T,
    ) -> T
    where
        T: Copy + DeserializeOwned + Display + PartialOrd,
    {
        self.optional_number(key, accepted).unwrap_or(default)
    }

    /// Reads an optional whole number in the range `accepted`, without a default.
    pub(super) fn optional_number<T>(
        &mut self,
        key: &'static str,
        accepted: RangeInclusive<T>,
    ) -> Option<T>
    where
        T: Copy + DeserializeOwned + Display + PartialOrd,
    {
        let expected = format!("a whole number from {} to {}", accepted.start(), accepted.end());
        let number = self.optional(key, &expected)?;
        Some(self.check_range(key, number, &accepted, T::to_string))
    }

    /// Reads an optional number, written as an integer or a float, in the range `accepted`.
    pub(super) fn optional_float(
        &mut self,
        key: &'static str,
        accepted: RangeInclusive<f64>,
    ) -> Option<f64> {
        let expected = format!("a number from {} to {}", accepted.start(), accepted.end());
        let number = match self.optional(key, &expected)? {
            Value::Float(number) => number,
            Value::Integer(number) => number as f64,
            found => {
                let (key, found) = (self.full_key(key), found.to_string());
                self.problems.push(Problem::InvalidValue { key, found, expected });
                return None;
            }
        };
        Some(self.check_range(key, number, &accepted, f64::to_string))
    }

    /// Reads an optional duration in the range `accepted`; `default` applies if the key
    /// is not set.
    pub(super) fn duration(
        &mut self,
        key: &'static str,
        accepted: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        self.optional_duration(key, accepted).unwrap_or(default)
    }

    /// Reads an optional duration in the range `accepted`, without a default.
    pub(super) fn optional_duration(
        &mut self,
        key: &'static str,
        accepted: RangeInclusive<Duration>,
    ) -> Option<Duration> {
        let format_value = |duration: &Duration| DurationText(*duration).to_string();
        let (min, max) = (format_value(accepted.start()), format_value(accepted.end()));
        let expected = format!("a duration from \"{min}\" to \"{max}\"");
        let value = self.remove(key)?;
        let duration = self.convert_as::<Duration, DurationText>(key, value, &expected)?;
        Some(self.check_range(key, duration, &accepted, format_value))
    }

    /// Reports every key that was not read as unknown.
    pub(super) fn finish(self) {
        let expected = self.known_keys.join(", ");
        for key in self.values.keys() {
            let key = format!("{}.{key}", self.name);
            self.problems.push(Problem::UnknownKey { key, expected: expected.clone() });
        }
    }

    /// Removes a key and records it as known.
    fn remove(&mut self, key: &'static str) -> Option<Value> {
        self.known_keys.push(key);
        self.values.remove(key)
    }

    fn full_key(&self, key: &str) -> String {
        format!("{}.{key}", self.name)
    }

    fn convert<T: DeserializeOwned>(
        &mut self,
        key: &str,
        value: Value,
        expected: &str,
    ) -> Option<T> {
        self.convert_as::<T, serde_with::Same>(key, value, expected)
    }

    fn convert_as<T, U>(&mut self, key: &str, value: Value, expected: &str) -> Option<T>
    where
        U: for<'de> DeserializeAs<'de, T>,
    {
        let found = value.to_string();
        match value.try_into::<DeserializeAsWrap<T, U>>() {
            Ok(converted) => Some(converted.into_inner()),
            Err(_) => {
                let key = self.full_key(key);
                let expected = expected.to_owned();
                self.problems.push(Problem::InvalidValue { key, found, expected });
                None
            }
        }
    }

    /// Reports `value` as out of range if it is not in `accepted`, and returns it.
    fn check_range<T: PartialOrd>(
        &mut self,
        key: &str,
        value: T,
        accepted: &RangeInclusive<T>,
        format_value: impl Fn(&T) -> String,
    ) -> T {
        if !accepted.contains(&value) {
            self.problems.push(Problem::OutOfRange {
                key: self.full_key(key),
                found: format_value(&value),
                min: format_value(accepted.start()),
                max: format_value(accepted.end()),
            });
        }
        value
    }
}
