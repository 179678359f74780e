//! Typed names of instances, requests, services, zones and regions, and the
//! identifier of one run of a process.

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
            /// Returns the name as a string slice.
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
    /// Name of one upstream VM, shared with the daemon that runs next to it.
    InstanceId
}

name_type! {
    /// Name that a caller assigns to one attempt of a request.
    RequestName
}

name_type! {
    /// Name of a service, which several interchangeable instances provide.
    ServiceName
}

name_type! {
    /// Name of a customer, whose requests carry its keys.
    CustomerName
}

name_type! {
    /// Name of an availability zone.
    Zone
}

name_type! {
    /// Name of a region, which holds one or more availability zones.
    Region
}

/// Random identifier of one run of a daemon, generated when the process starts.
///
/// A restarted daemon keeps its address but gets a new incarnation, so that state
/// issued by an earlier run, such as a token, is not mistaken for state of this run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Error returned when a text cannot be parsed as an [`Incarnation`].
#[derive(Debug, Snafu)]
#[snafu(display("invalid incarnation; expected 1 to 16 hexadecimal digits"))]
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
