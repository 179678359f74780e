//! Places for the connections of a listener whose clients have no account.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::process::log::LineAction;
use crate::process::log::LineRateLimit;

/// A connection that has a place.
#[derive(Clone, Debug)]
pub(super) struct Place {
    remote: SocketAddr,
    /// Cancelled when the connection has to make room for another.
    pub(super) cut: CancellationToken,
    /// Whether a request was read from it.
    has_served: Arc<AtomicBool>,
}

impl Place {
    fn new(remote: SocketAddr) -> Self {
        Self { remote, cut: CancellationToken::new(), has_served: Arc::default() }
    }

    /// Records that a request was read.
    pub(super) fn record_request(&self) {
        self.has_served.store(true, Ordering::Relaxed);
    }

    fn has_served(&self) -> bool {
        self.has_served.load(Ordering::Relaxed)
    }
}

/// The connections of one listener, the oldest first.
///
/// If all places are taken, a new connection gets that of the oldest one without a request, or
/// of the oldest one.
#[derive(Debug)]
pub(super) struct Places {
    max: usize,
    taken: Mutex<VecDeque<Place>>,
    lines: Mutex<LineRateLimit>,
    created: Instant,
}

impl Places {
    pub(super) fn new(max: usize) -> Self {
        Self { max, taken: Mutex::default(), lines: Mutex::default(), created: Instant::now() }
    }

    /// Takes a place for a new connection.
    pub(super) fn take(&self, remote: SocketAddr) -> Place {
        let place = Place::new(remote);
        let mut taken = self.taken.lock();
        // The tokens of connections that have ended are cancelled, too.
        taken.retain(|place| !place.cut.is_cancelled());
        if taken.len() >= self.max {
            let unserved = taken.iter().position(|place| !place.has_served());
            if let Some(ended) = taken.remove(unserved.unwrap_or(0)) {
                ended.cut.cancel();
                self.report(ended.remote);
            }
        }
        taken.push_back(place.clone());
        place
    }

    fn report(&self, remote: SocketAddr) {
        if self.lines.lock().check(self.created.elapsed()) == LineAction::Write {
            let max = self.max;
            spdlog::info!("event=connection-cut remote={remote} reason=connections most={max}");
        }
    }
}
