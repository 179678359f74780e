//! The connections of a listener whose clients have no account, which are bounded in number.

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

/// A connection among those of its listener.
#[derive(Clone, Debug)]
pub(super) struct AcceptedConnection {
    remote: SocketAddr,
    /// Cancelled when the connection has to make room for another.
    pub(super) cut: CancellationToken,
    /// Whether a request was read from it.
    has_served: Arc<AtomicBool>,
}

impl AcceptedConnection {
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
/// If there are as many as may be, a new connection ends the oldest one without a request, or the
/// oldest one.
#[derive(Debug)]
pub(super) struct AcceptedConnections {
    max: usize,
    open: Mutex<VecDeque<AcceptedConnection>>,
    lines: Mutex<LineRateLimit>,
    created: Instant,
}

impl AcceptedConnections {
    pub(super) fn new(max: usize) -> Self {
        Self { max, open: Mutex::default(), lines: Mutex::default(), created: Instant::now() }
    }

    /// Adds a new connection.
    pub(super) fn add(&self, remote: SocketAddr) -> AcceptedConnection {
        let connection = AcceptedConnection::new(remote);
        let mut open = self.open.lock();
        // The tokens of connections that have ended are cancelled, too.
        open.retain(|connection| !connection.cut.is_cancelled());
        if open.len() >= self.max {
            let unserved = open.iter().position(|connection| !connection.has_served());
            if let Some(ended) = open.remove(unserved.unwrap_or(0)) {
                ended.cut.cancel();
                self.report(ended.remote);
            }
        }
        open.push_back(connection.clone());
        connection
    }

    fn report(&self, remote: SocketAddr) {
        if self.lines.lock().check(self.created.elapsed()) == LineAction::Write {
            let max = self.max;
            spdlog::info!("event=connection-cut remote={remote} reason=connections most={max}");
        }
    }
}
