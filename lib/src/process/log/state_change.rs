//! The changes of state that are worth a line.

use std::fmt;
use std::time::Duration;

use spdlog::Level;

use crate::process::Incarnation;
use crate::process::InstanceId;
use crate::version::rules::RulesError;

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
    /// A version of the rules is in force.
    RulesInForce {
        /// The version.
        version: u64,
        /// The version before it; 0 for none.
        previous: u64,
        /// Number of rules.
        rules: usize,
    },
    /// A version of the rules is refused; the one before stays in force.
    RulesRefused {
        /// The refused version.
        version: u64,
        /// Every fault of it.
        error: RulesError,
    },
    /// A version of the list of VMs is in force.
    VmsInForce {
        /// The version.
        version: u64,
        /// Number of VMs.
        vms: usize,
    },
    /// The platform stopped answering; what is in force stays so.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
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
    /// The admission level that callers are told has changed.
    LevelChanged {
        /// The level before.
        from: String,
        /// The level now.
        to: String,
    },
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
    /// A listener or another part failed, and the daemon goes on without it.
    Fault {
        /// The part that failed.
        part: &'static str,
        /// What failed, in the words of its error.
        error: String,
    },
}

impl StateChange {
    /// Returns how severe the change is.
    pub(super) fn level(&self) -> Level {
        match self {
            Self::RulesRefused { .. } | Self::PatienceEnded { .. } | Self::Fault { .. } => {
                Level::Error
            }
            Self::PlatformLost | Self::PeerLost { .. } | Self::PauseNoticed { .. } => Level::Warn,
            Self::Started { .. }
            | Self::RulesInForce { .. }
            | Self::VmsInForce { .. }
            | Self::PlatformBack
            | Self::PeerBack { .. }
            | Self::LevelChanged { .. }
            | Self::Draining { .. }
            | Self::Drained => Level::Info,
        }
    }
}

impl fmt::Display for StateChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started { instance, incarnation } => {
                write!(f, "event=started instance={instance} incarnation={incarnation}")
            }
            Self::RulesInForce { version, previous, rules } => {
                write!(
                    f,
                    "event=rules-in-force version={version} previous={previous} rules={rules}"
                )
            }
            Self::RulesRefused { version, error } => {
                let (problems, error) = (error.problems.len(), error.to_string());
                write!(
                    f,
                    "event=rules-refused version={version} problems={problems} error={error:?}"
                )
            }
            Self::VmsInForce { version, vms } => {
                write!(f, "event=vms-in-force version={version} vms={vms}")
            }
            Self::PlatformLost => f.write_str("event=platform-lost"),
            Self::PlatformBack => f.write_str("event=platform-back"),
            Self::PeerLost { instance } => write!(f, "event=peer-lost instance={instance}"),
            Self::PeerBack { instance } => write!(f, "event=peer-back instance={instance}"),
            Self::LevelChanged { from, to } => {
                write!(f, "event=level-changed from={from} to={to}")
            }
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
            Self::Fault { part, error } => write!(f, "event=fault part={part} error={error:?}"),
        }
    }
}
