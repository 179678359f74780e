//! What a daemon that has just started is told by others, while the platform does not
//! answer.
//!
//! Only the first text and the first list are taken so; from then on the catalog is
//! followed as ever. See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::process::config::ActiveRules;
use crate::process::membership::VmList;

/// What a daemon holds and passes on.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Held {
    /// The operators' text as it was published.
    pub text: Arc<str>,
    /// The upstreams that the platform's entries name.
    pub vms: VmList,
}

impl Held {
    /// Returns what is passed on of the configuration in force.
    pub fn of(rules: &ActiveRules, vms: &VmList) -> Self {
        Self { text: Arc::clone(&rules.text), vms: vms.clone() }
    }
}

/// Shortest time between two tellings of one daemon, in which it takes in what it
/// was told.
const TEACH_INTERVAL: Duration = Duration::from_millis(500);

/// When daemons that hold nothing were last told of the configuration.
#[derive(Debug, Default)]
pub struct Taught {
    last: IndexMap<SocketAddr, Duration>,
}

impl Taught {
    /// Whether a daemon should be told now; if so, that is noted.
    pub fn is_due(&mut self, now: Duration, peer: SocketAddr) -> bool {
        self.last.retain(|_, at| now.saturating_sub(*at) < TEACH_INTERVAL);
        let is_due = !self.last.contains_key(&peer);
        if is_due {
            self.last.insert(peer, now);
        }
        is_due
    }
}

/// Waits for what another daemon holds, as long as `is_wanted`.
pub(super) async fn next(
    offers: &mut watch::Receiver<Option<Arc<Held>>>,
    is_wanted: bool,
) -> Arc<Held> {
    if is_wanted
        && offers.changed().await.is_ok()
        && let Some(held) = offers.borrow_and_update().clone()
    {
        return held;
    }
    std::future::pending().await
}
