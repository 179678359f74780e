//! Names of instances, requests, services and zones, and the identity of one process run.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt as _;
use snafu::Snafu;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                Self(s.into())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type! {
    /// Name of one upstream VM and the daemon beside it.
    InstanceId
}

name_type! {
    /// Name that a caller gives one attempt at a request.
    RequestName
}

name_type! {
    /// Name of a service, which several instances serve alike.
    ServiceName
}

name_type! {
    /// Name of an availability zone.
    Zone
}

name_type! {
    /// Name of a region, which holds one or more availability zones.
    Region
}

/// Identity of one run of a daemon, drawn at random when the process starts.
///
/// A restarted daemon keeps its address but never its incarnation, so what an
/// earlier run promised cannot be mistaken for a promise of this one.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Text that is no incarnation.
#[derive(Debug, Snafu)]
#[snafu(display("an incarnation is up to sixteen hexadecimal digits"))]
pub struct ParseIncarnationError {
    source: std::num::ParseIntError,
}

impl FromStr for Incarnation {
    type Err = ParseIncarnationError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let bits = u64::from_str_radix(s, 16).context(ParseIncarnationSnafu)?;
        Ok(Self(bits))
    }
}
