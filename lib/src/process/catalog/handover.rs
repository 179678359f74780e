//! The configuration that a newly started daemon receives from other daemons while
//! the platform does not answer.
//!
//! Only the first policy text and the first list of VMs are accepted this way; all
//! later versions come from the catalog. See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::process::config::ActiveRules;
use crate::process::membership::VmList;

/// Configuration that one daemon sends to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigSnapshot {
    /// The operators' policy text as it was published.
    pub text: Arc<str>,
    /// The list of VMs, built from the platform's entries.
    pub vms: VmList,
}

impl ConfigSnapshot {
    /// Returns a copy of the current configuration.
    pub fn of(rules: &ActiveRules, vms: &VmList) -> Self {
        Self { text: Arc::clone(&rules.text), vms: vms.clone() }
    }
}

/// Shortest interval between two transfers of the configuration to one daemon, so
/// that the daemon can apply the first before another one is sent.
const SEND_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// When the configuration was last sent to daemons that have none.
#[derive(Debug, Default)]
pub struct ConfigSendTimes {
    last_sent: IndexMap<SocketAddr, Duration>,
}

impl ConfigSendTimes {
    /// Returns whether the configuration should be sent to a daemon now; if so,
    /// records `now` as the time of the transfer.
    pub fn is_due(&mut self, now: Duration, peer: SocketAddr) -> bool {
        self.last_sent.retain(|_, at| now.saturating_sub(*at) < SEND_INTERVAL_MIN);
        let is_due = !self.last_sent.contains_key(&peer);
        if is_due {
            self.last_sent.insert(peer, now);
        }
        is_due
    }
}

/// Waits for the configuration of another daemon; never returns unless `is_wanted`.
pub(super) async fn next(
    offers: &mut watch::Receiver<Option<Arc<ConfigSnapshot>>>,
    is_wanted: bool,
) -> Arc<ConfigSnapshot> {
    if is_wanted
        && offers.changed().await.is_ok()
        && let Some(snapshot) = offers.borrow_and_update().clone()
    {
        return snapshot;
    }
    std::future::pending().await
}
