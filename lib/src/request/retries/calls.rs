//! The calls that a local upstream makes for one request.

use std::hash::Hash as _;
use std::hash::Hasher as _;

use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;
use siphasher::sip::SipHasher13;

use super::account::RetryAccount;

/// Different calls that an upstream may make for one request.
const CALLS_MAX: usize = 4096;

/// What makes two calls of one request the same call.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Call<'a> {
    /// Service called.
    pub service: &'a str,
    /// Method of the call.
    pub method: &'a http::Method,
    /// Path with query.
    pub path: &'a str,
    /// The upstream's own name for the call (`Idempotency-Key`), by which it
    /// tells apart calls that are alike on purpose.
    pub key: Option<&'a [u8]>,
}

/// Verdict on a call of the local upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The first of its kind, which costs nothing.
    First,
    /// A repeat, paid for with a retry token.
    Retry,
    /// A repeat without a token left to pay for it.
    Exhausted,
    /// The request makes more different calls than are counted.
    TooManyCalls,
}

/// Counts an upstream's calls for one request, so that its own retries draw
/// on the request's account.
#[derive(Debug, Default)]
pub struct CallLedger {
    seen: IndexSet<u64, FxBuildHasher>,
}

impl CallLedger {
    /// Decides on one more call and takes a token from `account` for a repeat.
    ///
    /// Every repeat counts, whatever became of the earlier attempt: whether
    /// the upstream read an answer in time can't be seen from here.
    pub fn attempt(&mut self, call: &Call<'_>, account: &mut RetryAccount) -> Attempt {
        let mut hasher = SipHasher13::new();
        call.hash(&mut hasher);
        let digest = hasher.finish();
        if self.seen.contains(&digest) {
            return match account.spend() {
                true => Attempt::Retry,
                false => Attempt::Exhausted,
            };
        }
        if self.seen.len() >= CALLS_MAX {
            return Attempt::TooManyCalls;
        }
        self.seen.insert(digest);
        Attempt::First
    }
}
