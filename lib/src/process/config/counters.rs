//! What the spread of configuration has done, for operators and tests.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the configuration's part of a process.
        #[derive(Debug, Default)]
        pub struct ConfigCounters {
            $($(#[$doc])* pub $name: Counter,)*
        }

        impl ConfigCounters {
            /// Returns the names and values of all counters.
            pub fn snapshot(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.get()),)*]
            }
        }
    };
}

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub(crate) fn add_one(&self) {
        self.add(1);
    }

    /// Adds a number.
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }

    /// Returns the number.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

counters! {
    /// Calls made to the platform.
    platform_calls,
    /// Calls to the platform that failed.
    platform_failures,
    /// Versions put into force.
    accepted,
    /// Versions refused because their text is invalid.
    refused,
    /// Answers of the platform with a version older than the one in force.
    older_offers,
    /// Offers of a second text under the number of the version in force.
    conflicts,
    /// Questions to peers that got an answer.
    peer_answers,
    /// Questions to peers that failed.
    peer_failures,
    /// Whole texts fetched from peers.
    whole_texts,
    /// Bytes sent to peers.
    bytes_sent,
    /// Bytes received from peers.
    bytes_received,
    /// Pauses of the process that were noticed.
    pauses,
}
