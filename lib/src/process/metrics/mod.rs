//! Counters of the daemon, read through the operator API and sent to statsd; see
//! `docs/operators.md`.

mod counter;
mod statsd;

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;

pub use self::counter::Counter;
use self::statsd::Statsd;
pub use self::statsd::StatsdError;

/// The counters of one daemon.
///
/// Counting is one relaxed atomic addition. The increments are sent to statsd by
/// [`Metrics::flush`], so that no request waits for a packet to be sent.
#[derive(Debug)]
pub struct Metrics {
    counts: Box<[AtomicU64]>,
    statsd: Option<Statsd>,
}

impl Metrics {
    /// Creates all counters at zero, and a client for the statsd server at `statsd`,
    /// if any.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket for statsd cannot be opened or the client cannot be
    /// created.
    pub fn new(statsd: Option<SocketAddr>) -> Result<Self, StatsdError> {
        let counts = Counter::all().map(|_| AtomicU64::new(0)).collect();
        let statsd = statsd.map(Statsd::new).transpose()?;
        Ok(Self { counts, statsd })
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counts[counter.index()].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the value of one counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts[counter.index()].load(Ordering::Relaxed)
    }

    /// Returns the values of all counters by metric name, without those at zero.
    pub fn snapshot(&self) -> IndexMap<String, u64> {
        let values = Counter::all().map(|counter| (counter.to_string(), self.get(counter)));
        values.filter(|(_, value)| *value > 0).collect()
    }

    /// Sends the increments since the last call to statsd.
    ///
    /// Increments in a lost packet are missing at statsd, but not in
    /// [`Metrics::snapshot`].
    pub fn flush(&self) {
        let Some(statsd) = &self.statsd else { return };
        for counter in Counter::all() {
            statsd.send(counter, self.get(counter));
        }
        statsd.flush();
    }
}
