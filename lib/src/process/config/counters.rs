//! Counters of configuration distribution, for operators and tests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of how one daemon obtains and distributes configuration.
        #[derive(Debug, Default)]
        pub struct ConfigCounters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl ConfigCounters {
            /// Returns the name and value of every counter.
            pub fn snapshot(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

/// A monotonic counter that can be shared between threads.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Increments the counter by one.
    pub(crate) fn add_one(&self) {
        self.add(1);
    }

    /// Increments the counter by `n`.
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

counters! {
    /// Calls made to the platform.
    platform_calls,
    /// Calls to the platform that failed.
    platform_failures,
    /// Topics of the platform that were read anew because it came back from an older copy.
    eras,
    /// Answers of the platform that were left out because their era is over.
    earlier_era_answers,
    /// Entries of the platform that name no instance to use, counted again when rewritten.
    entries_unused,
    /// Versions put into force.
    accepted,
    /// Versions refused because their text is invalid.
    refused,
    /// Platform responses with a version older than the one in force.
    older_offers,
    /// Offers of a different text under the number of the version in force.
    conflicts,
    /// Watch requests to peers that were answered.
    peer_answers,
    /// Watch requests to peers that failed.
    peer_failures,
    /// Complete texts, rather than deltas, fetched from peers.
    whole_texts,
    /// Bytes sent to peers over control connections.
    bytes_sent,
    /// Bytes received from peers over control connections.
    bytes_received,
    /// Detected pauses of the process.
    pauses,
}
