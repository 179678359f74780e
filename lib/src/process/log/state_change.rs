//! The changes of state that are worth a line.

use std::fmt;
use std::time::Duration;

use crate::process::Incarnation;
use crate::process::InstanceId;
use crate::process::admission::Level;
use crate::process::catalog::Topic;
use crate::process::config::VersionId;
use crate::process::settings::SettingsChange;

/// Why a daemon began to leave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainCause {
    /// The process was told to stop.
    Signal,
    /// An operator asked for it.
    Operator,
    /// The platform's list says that the VM is leaving.
    Platform,
}

impl fmt::Display for DrainCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Signal => "signal",
            Self::Operator => "operator",
            Self::Platform => "platform",
        })
    }
}

/// A change of state of a daemon; it prints as `event=... key=value ...`.
#[derive(Clone, Debug)]
pub enum StateChange {
    /// The daemon accepts requests.
    Started {
        /// Name of the VM.
        instance: InstanceId,
        /// Identity of this run.
        incarnation: Incarnation,
    },
    /// A version of the rules or of the list of VMs is in force.
    VersionInForce {
        /// What it is a version of.
        of: &'static str,
        /// The version.
        version: VersionId,
    },
    /// A version is refused for its faults; the one before stays in force.
    VersionRefused {
        /// What it is a version of.
        of: &'static str,
        /// The refused version.
        version: VersionId,
        /// Every fault of it.
        error: String,
    },
    /// The platform published two texts under one number.
    VersionConflict {
        /// What it is a version of.
        of: &'static str,
        /// The version that was met second.
        version: VersionId,
    },
    /// The settings file was read again and differs.
    SettingsReloaded {
        /// What differs.
        change: SettingsChange,
    },
    /// The settings file cannot be used; what was read before stays in force.
    SettingsRefused {
        /// Every fault of it.
        error: String,
    },
    /// A published text cannot be read; the version before stays in force.
    PolicyUnreadable {
        /// What is wrong with it.
        error: String,
    },
    /// A part of the platform's catalog cannot be read; what is held stays in force.
    CatalogLost {
        /// Which part.
        topic: Topic,
        /// Why the first call failed.
        error: String,
    },
    /// A part of the platform's catalog can be read again.
    CatalogBack {
        /// Which part.
        topic: Topic,
        /// Calls that failed meanwhile.
        failures: u32,
    },
    /// A peer stopped answering and gets no new work.
    PeerLost {
        /// The peer.
        instance: InstanceId,
    },
    /// A peer answers again.
    PeerBack {
        /// The peer.
        instance: InstanceId,
    },
    /// The daemon has begun to refuse work that is less important.
    SheddingBegan {
        /// The admission level.
        level: Level,
    },
    /// The daemon takes all work again.
    SheddingEnded,
    /// The process did not run for a while, and rechecks what it holds.
    PauseNoticed {
        /// Length of the gap.
        gap: Duration,
    },
    /// The daemon refuses new work and finishes what is in progress.
    Draining {
        /// Why it leaves.
        cause: DrainCause,
        /// Requests in progress.
        in_progress: usize,
    },
    /// No request is in progress any more.
    Drained,
    /// The patience of a graceful shutdown ended first.
    PatienceEnded {
        /// Requests that were cut off.
        in_progress: usize,
    },
}

impl StateChange {
    /// Returns how severe the change is.
    pub(super) fn level(&self) -> spdlog::Level {
        match self {
            Self::VersionRefused { .. }
            | Self::VersionConflict { .. }
            | Self::PolicyUnreadable { .. }
            | Self::SettingsRefused { .. }
            | Self::PatienceEnded { .. } => spdlog::Level::Error,
            Self::PeerLost { .. }
            | Self::CatalogLost { .. }
            | Self::SheddingBegan { .. }
            | Self::PauseNoticed { .. } => spdlog::Level::Warn,
            Self::Started { .. }
            | Self::VersionInForce { .. }
            | Self::PeerBack { .. }
            | Self::CatalogBack { .. }
            | Self::SettingsReloaded { .. }
            | Self::SheddingEnded
            | Self::Draining { .. }
            | Self::Drained => spdlog::Level::Info,
        }
    }
}

impl fmt::Display for StateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started { instance, incarnation } => {
                write!(f, "event=started instance={instance} incarnation={incarnation}")
            }
            Self::VersionInForce { of, version } => {
                write!(f, "event=version-in-force of={of} version={version}")
            }
            Self::VersionRefused { of, version, error } => {
                write!(f, "event=version-refused of={of} version={version} error={error:?}")
            }
            Self::VersionConflict { of, version } => {
                write!(f, "event=version-conflict of={of} version={version}")
            }
            Self::SettingsReloaded { change: SettingsChange { at_once, at_next_start } } => write!(
                f,
                "event=settings-reloaded at_once={:?} at_next_start={:?}",
                at_once.join(","),
                at_next_start.join(",")
            ),
            Self::SettingsRefused { error } => {
                write!(f, "event=settings-refused error={error:?}")
            }
            Self::PolicyUnreadable { error } => {
                write!(f, "event=policy-unreadable error={error:?}")
            }
            Self::CatalogLost { topic, error } => {
                write!(f, "event=catalog-lost topic={topic} error={error:?}")
            }
            Self::CatalogBack { topic, failures } => {
                write!(f, "event=catalog-back topic={topic} failures={failures}")
            }
            Self::PeerLost { instance } => write!(f, "event=peer-lost instance={instance}"),
            Self::PeerBack { instance } => write!(f, "event=peer-back instance={instance}"),
            Self::SheddingBegan { level } => write!(f, "event=shedding-began level={level}"),
            Self::SheddingEnded => f.write_str("event=shedding-ended"),
            Self::PauseNoticed { gap } => {
                write!(f, "event=pause-noticed gap_ms={}", gap.as_millis())
            }
            Self::Draining { cause, in_progress } => {
                write!(f, "event=draining cause={cause} in_progress={in_progress}")
            }
            Self::Drained => f.write_str("event=drained"),
            Self::PatienceEnded { in_progress } => {
                write!(f, "event=patience-ended in_progress={in_progress}")
            }
        }
    }
}
