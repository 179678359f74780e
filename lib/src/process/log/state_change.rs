//! Log lines about changes of a daemon's state.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use super::LostLines;
use crate::process::Incarnation;
use crate::process::InstanceId;
use crate::process::admission::Level;
use crate::process::catalog::EntryKey;
use crate::process::catalog::LearnedBy;
use crate::process::catalog::Revision;
use crate::process::catalog::Topic;
use crate::process::config::VersionId;
use crate::process::node::AcceptedRequest;
use crate::process::node::EndCounts;
use crate::process::repeats::RepeatUsage;
use crate::process::settings::SettingsChange;

/// Why a daemon began to drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainCause {
    /// The process was asked to stop, usually by a signal.
    Signal,
    /// An operator requested the drain through the operator API.
    Operator,
    /// The platform's list of VMs marks this daemon's VM as leaving.
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

/// A change of a daemon's state; it prints as `event=... key=value ...`.
#[derive(Clone, Debug)]
pub enum StateChange {
    /// The daemon accepts requests.
    Started {
        /// Name of the VM.
        instance: InstanceId,
        /// Identity of this run of the daemon process.
        incarnation: Incarnation,
    },
    /// A version of a part of the configuration took effect.
    VersionInForce {
        /// Part of the configuration, such as `rules` or `vms`.
        of: &'static str,
        /// The version that took effect.
        version: VersionId,
    },
    /// The version of the policy that took effect names customers.
    CustomersInForce {
        /// Number of customers.
        customers: usize,
        /// Number of keys of all customers.
        keys: usize,
    },
    /// An invalid version was rejected; the previous version stays in force.
    VersionRefused {
        /// Part of the configuration, such as `rules` or `vms`.
        of: &'static str,
        /// The rejected version.
        version: VersionId,
        /// Every error in the rejected version.
        error: String,
    },
    /// The platform published two different texts under one version number.
    VersionConflict {
        /// Part of the configuration, such as `rules` or `vms`.
        of: &'static str,
        /// The version that was received second.
        version: VersionId,
    },
    /// The settings file was read again and its settings have changed.
    SettingsReloaded {
        /// The settings that have changed.
        change: SettingsChange,
    },
    /// The settings file is unreadable or invalid; the previous settings stay in force.
    SettingsRefused {
        /// Every error in the settings file.
        error: String,
    },
    /// A published policy cannot be parsed; the previous version stays in force.
    PolicyUnreadable {
        /// Why the policy cannot be parsed.
        error: String,
    },
    /// A part of the platform's catalog cannot be read; its last known content stays
    /// in force.
    CatalogLost {
        /// Part of the catalog.
        topic: Topic,
        /// Error of the first call that failed.
        error: String,
    },
    /// A part of the platform's catalog can be read again.
    CatalogBack {
        /// Part of the catalog.
        topic: Topic,
        /// Calls that failed since the part was last read.
        failures: u32,
    },
    /// A part of the platform's catalog has come back from an older copy and was read
    /// again.
    CatalogEra {
        /// Part of the catalog.
        topic: Topic,
        /// Revision up to which it was known before.
        from: Revision,
        /// Revision up to which it is known now.
        to: Revision,
    },
    /// An entry of the catalog cannot be used.
    EntryUnusable {
        /// Key of the entry.
        key: EntryKey,
        /// What is wrong with it.
        reason: String,
    },
    /// The list no longer names an instance of the local upstream as live.
    InstanceLeft {
        /// Name of the instance.
        instance: InstanceId,
        /// How the daemon learned it.
        by: LearnedBy,
        /// Longest time for which the daemon may not have known it.
        known_late: Duration,
    },
    /// A peer stopped responding and is sent no new requests.
    PeerLost {
        /// VM name of the peer.
        instance: InstanceId,
    },
    /// A lost peer responds again.
    PeerBack {
        /// VM name of the peer.
        instance: InstanceId,
    },
    /// The daemon began to shed the less critical requests.
    SheddingBegan {
        /// Admission level with which shedding began.
        level: Level,
    },
    /// The daemon admits all requests again.
    SheddingEnded,
    /// Repeats were sent to the local upstream, or were denied.
    RepeatsUsed {
        /// What the account of repeats has counted since the last such line.
        usage: RepeatUsage,
    },
    /// Another daemon coordinates the usage of customers.
    UsageCoordinator {
        /// Address of the daemon.
        coordinator: SocketAddr,
    },
    /// Lines of this log were lost, because standard output did not take them.
    LinesLost {
        /// How many were lost since the process started.
        lines: LostLines,
    },
    /// The process was paused for a while; its observations of other daemons are
    /// treated as out of date.
    PauseNoticed {
        /// Length of the pause.
        gap: Duration,
    },
    /// The daemon refuses new requests and completes those in progress.
    Draining {
        /// Why the daemon drains.
        cause: DrainCause,
        /// Number of requests in progress.
        in_progress: usize,
    },
    /// The drain is complete: no request is in progress.
    Drained {
        /// How requests ended since the drain began.
        ends: EndCounts,
    },
    /// The stop cut off a request at which an instance may have been at work.
    RequestCut {
        /// The request.
        request: AcceptedRequest,
    },
    /// The time limit of a graceful shutdown expired before the drain was complete.
    PatienceEnded {
        /// Number of requests that were aborted.
        in_progress: usize,
        /// How requests ended since the drain began.
        ends: EndCounts,
    },
}

impl StateChange {
    /// Returns the severity that the change is logged at.
    pub(super) fn level(&self) -> spdlog::Level {
        match self {
            Self::VersionRefused { .. }
            | Self::VersionConflict { .. }
            | Self::PolicyUnreadable { .. }
            | Self::SettingsRefused { .. }
            | Self::RequestCut { .. }
            | Self::PatienceEnded { .. } => spdlog::Level::Error,
            Self::PeerLost { .. }
            | Self::CatalogLost { .. }
            | Self::EntryUnusable { .. }
            | Self::CatalogEra { .. }
            | Self::SheddingBegan { .. }
            | Self::LinesLost { .. }
            | Self::PauseNoticed { .. } => spdlog::Level::Warn,
            Self::Started { .. }
            | Self::VersionInForce { .. }
            | Self::PeerBack { .. }
            | Self::CatalogBack { .. }
            | Self::SettingsReloaded { .. }
            | Self::SheddingEnded
            | Self::RepeatsUsed { .. }
            | Self::UsageCoordinator { .. }
            | Self::CustomersInForce { .. }
            | Self::InstanceLeft { .. }
            | Self::Draining { .. }
            | Self::Drained { .. } => spdlog::Level::Info,
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
            Self::CustomersInForce { customers, keys } => {
                write!(f, "event=customers-in-force customers={customers} keys={keys}")
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
            Self::CatalogEra { topic, from, to } => {
                write!(f, "event=catalog-era topic={topic} from={from} to={to}")
            }
            Self::EntryUnusable { key, reason } => {
                write!(f, "event=entry-unusable key={:?} reason={reason:?}", key.0)
            }
            Self::InstanceLeft { instance, by, known_late } => {
                let late_ms = known_late.as_millis();
                write!(f, "event=instance-left instance={instance} by={by} late_ms={late_ms}")
            }
            Self::PeerLost { instance } => write!(f, "event=peer-lost instance={instance}"),
            Self::PeerBack { instance } => write!(f, "event=peer-back instance={instance}"),
            Self::SheddingBegan { level } => write!(f, "event=shedding-began level={level}"),
            Self::SheddingEnded => f.write_str("event=shedding-ended"),
            Self::RepeatsUsed { usage } => write!(f, "event=repeats {usage}"),
            Self::UsageCoordinator { coordinator } => {
                write!(f, "event=usage-coordinator coordinator={coordinator}")
            }
            Self::LinesLost { lines: LostLines { dropped, failed } } => {
                write!(f, "event=lines-lost dropped={dropped} failed={failed}")
            }
            Self::PauseNoticed { gap } => {
                write!(f, "event=pause-noticed gap_ms={}", gap.as_millis())
            }
            Self::Draining { cause, in_progress } => {
                write!(f, "event=draining cause={cause} in_progress={in_progress}")
            }
            Self::Drained { ends } => write!(f, "event=drained {ends}"),
            Self::RequestCut { request: AcceptedRequest { role, stage, name, .. } } => {
                f.write_str("event=request-cut ")?;
                if let Some(name) = name {
                    write!(f, "request={name} ")?;
                }
                write!(f, "role={} stage={stage}", role.as_str())
            }
            Self::PatienceEnded { in_progress, ends } => {
                write!(f, "event=patience-ended in_progress={in_progress} {ends}")
            }
        }
    }
}
