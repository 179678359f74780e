//! Counters of the process, for operators and for statsd; see `docs/operators.md`.

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
/// Counting is one relaxed atomic addition; statsd receives the differences
/// when [`Metrics::flush`] runs, so no packet is sent while a request waits.
#[derive(Debug)]
pub struct Metrics {
    counts: Box<[AtomicU64]>,
    statsd: Option<Statsd>,
}

impl Metrics {
    /// Creates counters that all stand at zero, and the socket towards statsd.
    ///
    /// # Errors
    ///
    /// Fails if no UDP socket can be opened.
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

    /// Returns every counter by its name; those that never counted are left out.
    pub fn snapshot(&self) -> IndexMap<String, u64> {
        let values = Counter::all().map(|counter| (counter.to_string(), self.get(counter)));
        values.filter(|(_, value)| *value > 0).collect()
    }

    /// Sends what was counted since the last call to statsd.
    ///
    /// A packet that is lost loses counts at statsd only; [`Metrics::snapshot`]
    /// is unaffected.
    pub fn flush(&self) {
        let Some(statsd) = &self.statsd else { return };
        for counter in Counter::all() {
            statsd.send(counter, self.get(counter));
        }
        statsd.flush();
    }
}
