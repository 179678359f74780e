//! Detects calls that a local upstream repeats for one request.

use std::hash::Hash as _;
use std::hash::Hasher as _;

use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;
use siphasher::sip::SipHasher13;

use super::account::RetryAccount;

/// How many distinct calls an upstream may make for one request.
const MAX_DISTINCT_CALLS: usize = 4096;

/// The properties by which a repeated call is recognized: calls of one request that
/// are equal in all of them count as the same call.
#[derive(Clone, Copy, Debug, Hash)]
pub struct Call<'a> {
    /// Name of the called service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a http::Method,
    /// Request path with query.
    pub path: &'a str,
    /// Value of the `Idempotency-Key` header, by which the upstream distinguishes
    /// calls that are otherwise equal on purpose.
    pub key: Option<&'a [u8]>,
}

/// Whether a call of the local upstream may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Attempt {
    /// The call was not made before; it needs no retry token.
    First,
    /// The call repeats an earlier one, and a retry token was spent on it.
    Retry,
    /// The call repeats an earlier one, and no retry token is left.
    Exhausted,
    /// The request has made the maximum number of distinct calls.
    TooManyCalls,
}

/// Remembers the calls that an upstream has made for one request, so that its own
/// retries spend the retry tokens of the request.
#[derive(Debug, Default)]
pub struct CallLedger {
    digests: IndexSet<u64, FxBuildHasher>,
}

impl CallLedger {
    /// Records a call and decides whether it may be sent; a repeat spends a token of
    /// `account`.
    ///
    /// Every repeat counts, whatever the result of the earlier attempt: the daemon
    /// can't see whether the upstream read the response in time.
    pub fn record(&mut self, call: &Call<'_>, account: &mut RetryAccount) -> Attempt {
        let mut hasher = SipHasher13::new();
        call.hash(&mut hasher);
        let digest = hasher.finish();
        if self.digests.contains(&digest) {
            return match account.spend() {
                true => Attempt::Retry,
                false => Attempt::Exhausted,
            };
        }
        if self.digests.len() >= MAX_DISTINCT_CALLS {
            return Attempt::TooManyCalls;
        }
        self.digests.insert(digest);
        Attempt::First
    }
}
