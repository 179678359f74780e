//! Decides where a daemon asks for changes, from the entries that tell of other daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;

use super::local_entry::LocalKey;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::process::Zone;
use crate::process::catalog::Revision;
use crate::process::catalog::Roster;
use crate::process::catalog::Watermark;
use crate::process::catalog::relay;
use crate::process::catalog::relay::ReadRole;
use crate::process::config::ActiveRules;
use crate::process::membership::Daemons;

/// Readers that are asked before the catalog while there is no policy: any entry may be taken
/// for one then, and each that is none delays the first policy.
const UNPROVEN_READERS_MAX: usize = 1;

/// What a daemon with relays knows of itself.
pub(super) struct LocalDaemon {
    /// Address at which other daemons poll this one.
    pub(super) control: SocketAddr,
    pub(super) zone: Zone,
    pub(super) role_tx: watch::Sender<ReadRole>,
    /// The entry that is watched apart while the daemon is a follower.
    pub(super) key_tx: watch::Sender<Option<LocalKey>>,
}

/// Chooses whether this daemon reads the catalog or polls others, and which entry it watches
/// apart.
pub(super) struct SourceChoice {
    /// The policy in force, which names the services that have daemons.
    pub(super) rules: watch::Receiver<Option<Arc<ActiveRules>>>,
    /// The instance that the local upstream is by its own answers.
    pub(super) local_instance: watch::Receiver<Option<InstanceId>>,
    /// Address and service of the local upstream, by which its entry is found.
    pub(super) upstream: SocketAddr,
    pub(super) service: ServiceName,
    /// `None` if the daemon takes no part in relaying.
    pub(super) local: Option<LocalDaemon>,
}

impl SourceChoice {
    /// Waits until the same entries may lead to another choice.
    pub(super) async fn changed(&mut self) {
        tokio::select! {
            Ok(()) = self.rules.changed() => {}
            Ok(()) = self.local_instance.changed() => {}
            else => std::future::pending().await,
        }
    }

    /// Chooses by the entries, which are complete up to a revision.
    pub(super) fn apply(&self, roster: &Roster, complete: Revision, watermark: Watermark) {
        let Some(local) = &self.local else { return };
        let daemons = Daemons::of(roster.vms(), roster.policy());
        let mut role = relay::assign(local.control, &local.zone, &daemons);
        if roster.policy().is_none()
            && let ReadRole::Follower { readers } = &mut role
        {
            readers.truncate(UNPROVEN_READERS_MAX);
        }
        let key = match role {
            ReadRole::Reader => None,
            ReadRole::Follower { .. } => {
                let confirmed = self.local_instance.borrow().clone();
                roster.key_at(self.upstream, &self.service, confirmed.as_ref())
            }
        };
        local.role_tx.send_if_modified(|current| {
            let changed = *current != role;
            *current = role;
            changed
        });
        local.key_tx.send_if_modified(|current| {
            let changed = current.as_ref().map(|local| &local.key) != key.as_ref();
            if changed {
                *current = key.map(|key| LocalKey { key, after: complete, watermark });
            }
            changed
        });
    }
}
