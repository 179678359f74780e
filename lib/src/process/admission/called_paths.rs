//! Which calls the requests of a kind make, learned from the calls that pass.

use std::hash::Hash;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

/// Share of the requests of a kind that must make a call for it to count as usual.
const USUAL_SHARE_MIN: f64 = 0.5;
/// Requests of a kind after which the counts are halved, so that they follow a change
/// of the upstream's software.
const REQUESTS_MAX: f64 = 1_000.0;
/// Requests of a kind below which nothing is known of its calls.
const REQUESTS_MIN: f64 = 5.0;
/// Most kinds of requests and most calls of one kind that are counted.
const ENTRIES_MAX: usize = 256;

/// Counts of the calls that requests of each kind make.
///
/// Load pattern: all instances of a deep service are cut off, and every request that
/// calls it fails after it has held a slot. The daemon beside the calling upstream learns
/// of it with the first call, hundreds of milliseconds before the daemon at the root does
/// with the answer to the request. It refuses new requests of the kinds that usually make
/// such calls, as not run. See `docs/design/admission.md`.
#[derive(Clone, Debug)]
pub struct CalledPaths<K, P> {
    kinds: IndexMap<K, Calls<P>, FxBuildHasher>,
}

#[derive(Clone, Debug)]
struct Calls<P> {
    requests: f64,
    by_path: IndexMap<P, f64, FxBuildHasher>,
}

impl<K, P> Default for CalledPaths<K, P> {
    fn default() -> Self {
        Self { kinds: IndexMap::default() }
    }
}

impl<K: Eq + Hash + Clone, P: Eq + Hash + Clone> CalledPaths<K, P> {
    /// Counts a request that is sent to the upstream.
    pub fn record_request(&mut self, kind: &K) {
        if !self.kinds.contains_key(kind) {
            if self.kinds.len() >= ENTRIES_MAX {
                return;
            }
            self.kinds.insert(kind.clone(), Calls { requests: 0.0, by_path: IndexMap::default() });
        }
        let Some(calls) = self.kinds.get_mut(kind) else { return };
        calls.requests += 1.0;
        if calls.requests > REQUESTS_MAX {
            calls.requests /= 2.0;
            calls.by_path.values_mut().for_each(|count| *count /= 2.0);
        }
    }

    /// Counts a call that the upstream makes for a request of a kind.
    pub fn record_call(&mut self, kind: &K, path: &P) {
        let Some(calls) = self.kinds.get_mut(kind) else { return };
        if calls.by_path.len() < ENTRIES_MAX || calls.by_path.contains_key(path) {
            *calls.by_path.entry(path.clone()).or_default() += 1.0;
        }
    }

    /// Returns the calls that at least half of the requests of a kind make.
    pub fn usual(&self, kind: &K) -> impl Iterator<Item = &P> {
        let known = self.kinds.get(kind).filter(|calls| calls.requests >= REQUESTS_MIN);
        known.into_iter().flat_map(|calls| {
            let least = calls.requests * USUAL_SHARE_MIN;
            calls.by_path.iter().filter(move |(_, count)| **count >= least).map(|(path, _)| path)
        })
    }
}
