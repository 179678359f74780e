//! Text format of durations in settings and reports: a whole number and a unit.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;
use snafu::OptionExt as _;
use snafu::Snafu;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;

/// Units from the largest to the smallest, with their lengths in milliseconds.
const UNITS: [(&str, u64); 4] =
    [("h", MILLIS_PER_HOUR), ("m", MILLIS_PER_MINUTE), ("s", MILLIS_PER_SECOND), ("ms", 1)];

/// A duration that is formatted and parsed as text such as `250ms`, `2s`, `10m` or `1h`.
///
/// Also serves as the `serde_with` adapter for durations in settings and in reports
/// to operators.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DurationText(pub Duration);

/// Error returned when a text cannot be parsed as a [`DurationText`].
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "'{found}' is not a duration; expected a whole number and a unit (ms, s, m or h)"
))]
pub struct ParseDurationError {
    found: String,
}

impl fmt::Display for DurationText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = u64::try_from(self.0.as_millis()).unwrap_or(u64::MAX);
        if millis == 0 {
            return f.write_str("0s");
        }
        let exact = UNITS.iter().find(|(_, length)| millis.is_multiple_of(*length));
        let (unit, length) = exact.copied().unwrap_or(("ms", 1));
        write!(f, "{}{unit}", millis / length)
    }
}

impl FromStr for DurationText {
    type Err = ParseDurationError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let digits = s.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = s.split_at(digits);
        let length = UNITS.iter().find(|(name, _)| *name == unit).map(|(_, length)| length);
        let millis = number.parse().ok().zip(length).and_then(|(n, l): (u64, _)| n.checked_mul(*l));
        let millis = millis.context(ParseDurationSnafu { found: s })?;
        Ok(Self(Duration::from_millis(millis)))
    }
}

impl SerializeAs<Duration> for DurationText {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        Self(*source).to_string().serialize(serializer)
    }
}

impl<'de> DeserializeAs<'de, Duration> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let text = String::deserialize(deserializer)?;
        let parsed: Self = text.parse().map_err(serde::de::Error::custom)?;
        Ok(parsed.0)
    }
}
