//! Requests in progress at the local upstream, on whose behalf the upstream makes
//! calls.

use std::collections::VecDeque;
use std::fmt;
use std::hash::Hasher as _;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use parking_lot::Mutex;
use siphasher::sip::SipHasher13;
use snafu::OptionExt as _;
use snafu::Snafu;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Context;
use super::Repeat;
use super::idempotency::Fingerprint;
use super::idempotency::Token;
use super::retries::CallLedger;
use super::retries::RetryAccount;
use crate::process::Incarnation;
use crate::process::RequestName;
use crate::process::admission::Level;
use crate::version::PlanKey;

/// Most requests that are remembered after they were given up, 24 bytes each.
const MAX_GIVEN_UP: usize = 8192;

/// Identifies a request in progress to the local upstream.
///
/// A handle includes the incarnation, so that it is invalid after the daemon was
/// restarted: requests of an earlier incarnation have lost their callers.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Handle {
    incarnation: Incarnation,
    sequence: u64,
}

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.incarnation, self.sequence)
    }
}

/// Error from parsing the text form of a [`Handle`].
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the context header is not a handle that this daemon sent to its upstream"))]
pub struct ParseHandleError;

impl FromStr for Handle {
    type Err = ParseHandleError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (incarnation, sequence) = s.split_once('-').context(ParseHandleSnafu)?;
        let incarnation = incarnation.parse().ok().context(ParseHandleSnafu)?;
        let sequence = u64::from_str_radix(sequence, 16).ok().context(ParseHandleSnafu)?;
        Ok(Self { incarnation, sequence })
    }
}

/// One request in progress at the local upstream.
#[derive(Debug)]
pub struct Parent {
    /// Context that the sending daemon sent; its remaining time is that on arrival.
    pub cx: Context,
    /// Rule or route of the request in the version in force here.
    pub kind: PlanKey,
    /// Name that the caller gave this attempt.
    pub name: Option<RequestName>,
    /// When the complete answer must have arrived.
    pub deadline: Instant,
    /// Retry tokens that calls on behalf of the request may spend.
    pub account: Arc<Mutex<RetryAccount>>,
    /// Calls that the upstream has made so far, recorded to detect repeated ones.
    pub calls: Mutex<CallLedger>,
    /// Idempotency tokens of the non-idempotent calls made so far.
    pub tokens: Mutex<IndexMap<Fingerprint, Token>>,
    /// Cancelled when the request ends, however it ends.
    pub ended: CancellationToken,
    /// Strictest admission level received with the answers to the calls.
    path_level: Arc<Mutex<Level>>,
    /// Number of calls that may have run or may still run.
    may_have_run: AtomicUsize,
    /// Number of calls without a good answer.
    without_answer: AtomicUsize,
    /// Whether the upstream refused the request, and it was sent there again.
    is_resent: AtomicBool,
    /// Whether the upstream is done with the request.
    is_done: AtomicBool,
}

impl Parent {
    /// Counts a call that may run, until [`Self::child_did_not_run`] is called for it.
    pub fn child_may_run(&self) {
        self.may_have_run.fetch_add(1, Ordering::SeqCst);
    }

    /// Removes a call that provably did not run from the count of
    /// [`Self::child_may_run`].
    pub fn child_did_not_run(&self) {
        self.may_have_run.fetch_sub(1, Ordering::SeqCst);
    }

    /// Returns whether any call made on behalf of the request may have run.
    pub fn has_child_that_may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::SeqCst) > 0
    }

    /// Counts a call as without a good answer, until [`Self::call_succeeded`] is called
    /// for it.
    pub fn call_began(&self) {
        self.without_answer.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that a call was answered without an error.
    pub fn call_succeeded(&self) {
        self.without_answer.fetch_sub(1, Ordering::SeqCst);
    }

    /// Returns whether a call was refused, has failed, or has no answer yet, which explains
    /// an error of the upstream.
    ///
    /// An upstream that gives a call up when the call's time is over may answer the request
    /// before the daemon learns that the call has ended.
    pub fn lacks_call_answer(&self) -> bool {
        self.without_answer.load(Ordering::SeqCst) > 0
    }

    /// Records that the request is sent to the upstream again. From now on its run is a repeat.
    pub fn record_resend(&self) {
        self.is_resent.store(true, Ordering::SeqCst);
    }

    /// Records that the upstream has answered the request, or does not run it. Without this, it
    /// may go on with the request after its end here.
    pub fn record_done(&self) {
        self.is_done.store(true, Ordering::SeqCst);
    }

    /// Returns the mark of the calls that the upstream makes for the request.
    pub fn repeat_of_calls(&self) -> Option<Repeat> {
        let is_repeat = self.cx.repeat.is_some() || self.is_resent.load(Ordering::SeqCst);
        is_repeat.then_some(Repeat::Inherited)
    }

    /// Records the admission level received with the answer to one of the calls.
    pub fn record_path_level(&self, level: Level) {
        let mut path_level = self.path_level.lock();
        *path_level = level.min(*path_level);
    }

    /// Removes all retry tokens from the account and returns their number, so that they
    /// can be returned to the sender of the request.
    pub fn take_retries(&self) -> u32 {
        let mut account = self.account.lock();
        let left = account.left();
        *account = RetryAccount::receive(None);
        left
    }
}

/// All requests in progress at the local upstream.
#[derive(Debug)]
pub struct Parents {
    incarnation: Incarnation,
    table: Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    next_sequence: u64,
    in_progress: IndexMap<u64, Arc<Parent>>,
    /// Latest request in progress with each name.
    by_name: IndexMap<RequestName, u64>,
    /// Hashes of the names of requests that ended while the upstream was working on them, and
    /// when they did, the latest last.
    given_up: VecDeque<(Instant, u64)>,
}

impl Table {
    fn close(&mut self, sequence: u64) {
        let Some(parent) = self.in_progress.swap_remove(&sequence) else { return };
        let Some(name) = &parent.name else { return };
        if self.by_name.get(name) == Some(&sequence) {
            self.by_name.swap_remove(name);
        }
        if !parent.is_done.load(Ordering::SeqCst) {
            if self.given_up.len() == MAX_GIVEN_UP {
                self.given_up.pop_front();
            }
            self.given_up.push_back((Instant::now(), hash_name(name.as_str())));
        }
    }
}

fn hash_name(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Guard that keeps a request in the table.
///
/// When the guard is dropped, the request is removed and its calls are cancelled.
#[derive(Debug)]
pub struct ParentGuard {
    parents: Arc<Parents>,
    handle: Handle,
    parent: Arc<Parent>,
}

impl Parents {
    /// Creates an empty table for one incarnation of the daemon.
    pub fn new(incarnation: Incarnation) -> Arc<Self> {
        Arc::new(Self { incarnation, table: Mutex::default() })
    }

    /// Adds a request that is about to be sent to the upstream.
    ///
    /// `path_level` receives the strictest admission level among the answers to the
    /// calls. It is shared, because the answer to the request includes that level
    /// after the guard was dropped.
    pub fn open(
        self: &Arc<Self>,
        cx: Context,
        kind: PlanKey,
        name: Option<RequestName>,
        deadline: Instant,
        path_level: Arc<Mutex<Level>>,
    ) -> ParentGuard {
        let account = Arc::new(Mutex::new(RetryAccount::receive(Some(cx.retries))));
        let parent = Arc::new(Parent {
            cx,
            kind,
            name,
            deadline,
            account,
            calls: Mutex::default(),
            tokens: Mutex::default(),
            ended: CancellationToken::new(),
            path_level,
            may_have_run: AtomicUsize::new(0),
            without_answer: AtomicUsize::new(0),
            is_resent: AtomicBool::new(false),
            is_done: AtomicBool::new(false),
        });
        let mut table = self.table.lock();
        let sequence = table.next_sequence;
        table.next_sequence += 1;
        if let Some(name) = &parent.name {
            table.by_name.insert(name.clone(), sequence);
        }
        table.in_progress.insert(sequence, Arc::clone(&parent));
        let handle = Handle { incarnation: self.incarnation, sequence };
        ParentGuard { parents: Arc::clone(self), handle, parent }
    }

    /// Returns the request with a handle, if it is still in progress.
    pub fn find(&self, handle: Handle) -> Option<Arc<Parent>> {
        if handle.incarnation != self.incarnation {
            return None;
        }
        self.table.lock().in_progress.get(&handle.sequence).cloned()
    }

    /// Returns the latest request in progress to which a caller gave `name`.
    pub fn find_named(&self, name: &str) -> Option<Arc<Parent>> {
        let table = self.table.lock();
        let sequence = table.by_name.get(name)?;
        table.in_progress.get(sequence).cloned()
    }

    /// Returns when the latest request called `name` ended that the upstream may still be working
    /// on; `None` if there was none lately.
    pub fn given_up_at(&self, name: &str) -> Option<Instant> {
        let hash = hash_name(name);
        let table = self.table.lock();
        let found = table.given_up.iter().rev().find(|(_, given_up)| *given_up == hash);
        found.map(|(at, _)| *at)
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.table.lock().in_progress.len()
    }

    /// Returns whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl ParentGuard {
    /// Returns the handle that is sent to the upstream.
    pub fn handle(&self) -> Handle {
        self.handle
    }

    /// Returns the request that the guard keeps in the table.
    pub fn parent(&self) -> &Arc<Parent> {
        &self.parent
    }
}

impl Drop for ParentGuard {
    fn drop(&mut self) {
        self.parents.table.lock().close(self.handle.sequence);
        self.parent.ended.cancel();
    }
}
