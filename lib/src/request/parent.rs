//! Requests in progress at the local upstream, on whose behalf it makes calls.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use parking_lot::Mutex;
use snafu::OptionExt as _;
use snafu::Snafu;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Context;
use super::idempotency::Fingerprint;
use super::idempotency::Token;
use super::retries::CallLedger;
use super::retries::RetryAccount;
use crate::process::Incarnation;
use crate::process::RequestName;
use crate::process::admission::Level;

/// Names a request in progress towards the local upstream.
///
/// The incarnation makes a handle useless after the daemon was restarted: the
/// work of the upstream for an earlier run has lost its caller.
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

/// Text that is no handle of a request in progress.
#[derive(Debug, Eq, PartialEq, Snafu)]
#[snafu(display("the context is not one that this daemon handed to its upstream"))]
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
    /// What the sending daemon told of the request; its time left is stale.
    pub cx: Context,
    /// Name that the caller gave this attempt.
    pub name: Option<RequestName>,
    /// When the whole answer must have arrived.
    pub deadline: Instant,
    /// Retry tokens that calls on behalf of the request may spend.
    pub account: Arc<Mutex<RetryAccount>>,
    /// Counts the upstream's calls, to tell its repeats.
    pub calls: Mutex<CallLedger>,
    /// Idempotency tokens of the non-idempotent calls made so far.
    pub tokens: Mutex<IndexMap<Fingerprint, Token>>,
    /// Cancelled when the request ends, however it ends.
    pub ended: CancellationToken,
    /// Strictest admission level heard on the answers to its calls.
    path_level: Arc<Mutex<Level>>,
    may_have_run: AtomicUsize,
}

impl Parent {
    /// Notes a call that may run; undone by [`Self::child_did_not_run`].
    pub fn child_may_run(&self) {
        self.may_have_run.fetch_add(1, Ordering::SeqCst);
    }

    /// Notes that a call noted before provably did not run.
    pub fn child_did_not_run(&self) {
        self.may_have_run.fetch_sub(1, Ordering::SeqCst);
    }

    /// Whether a call made on behalf of the request may have run.
    pub fn has_child_that_may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::SeqCst) > 0
    }

    /// Notes the admission level that an answer to one of the calls carried.
    pub fn hear(&self, level: Level) {
        let mut path_level = self.path_level.lock();
        *path_level = level.min(*path_level);
    }

    /// Takes all retry tokens out of the account, to hand them back.
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
    next: u64,
    open: IndexMap<u64, Arc<Parent>>,
    /// The latest request in progress of each name.
    named: IndexMap<RequestName, u64>,
}

impl Table {
    fn close(&mut self, sequence: u64) {
        let Some(parent) = self.open.swap_remove(&sequence) else { return };
        let Some(name) = &parent.name else { return };
        if self.named.get(name) == Some(&sequence) {
            self.named.swap_remove(name);
        }
    }
}

/// Keeps a request open; its calls are cancelled when this is dropped.
#[derive(Debug)]
pub struct OpenParent {
    parents: Arc<Parents>,
    handle: Handle,
    parent: Arc<Parent>,
}

impl Parents {
    /// Creates an empty table for one run of the daemon.
    pub fn new(incarnation: Incarnation) -> Arc<Self> {
        Arc::new(Self { incarnation, table: Mutex::default() })
    }

    /// Opens a request that is about to be sent to the upstream.
    ///
    /// `path_level` outlives the request, so that its answer can carry it.
    pub fn open(
        self: &Arc<Self>,
        cx: Context,
        name: Option<RequestName>,
        deadline: Instant,
        path_level: Arc<Mutex<Level>>,
    ) -> OpenParent {
        let account = Arc::new(Mutex::new(RetryAccount::receive(Some(cx.retries))));
        let parent = Arc::new(Parent {
            cx,
            name,
            deadline,
            account,
            calls: Mutex::default(),
            tokens: Mutex::default(),
            ended: CancellationToken::new(),
            path_level,
            may_have_run: AtomicUsize::new(0),
        });
        let mut table = self.table.lock();
        let sequence = table.next;
        table.next += 1;
        if let Some(name) = &parent.name {
            table.named.insert(name.clone(), sequence);
        }
        table.open.insert(sequence, Arc::clone(&parent));
        let handle = Handle { incarnation: self.incarnation, sequence };
        OpenParent { parents: Arc::clone(self), handle, parent }
    }

    /// Returns the request that a handle names, if it is still in progress.
    pub fn find(&self, handle: Handle) -> Option<Arc<Parent>> {
        if handle.incarnation != self.incarnation {
            return None;
        }
        self.table.lock().open.get(&handle.sequence).cloned()
    }

    /// Returns the request in progress that a caller called `name`.
    pub fn find_named(&self, name: &str) -> Option<Arc<Parent>> {
        let table = self.table.lock();
        let sequence = table.named.get(name)?;
        table.open.get(sequence).cloned()
    }

    /// Returns the number of requests in progress.
    pub fn len(&self) -> usize {
        self.table.lock().open.len()
    }

    /// Whether no request is in progress.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl OpenParent {
    /// Returns the name of the request towards the upstream.
    pub fn handle(&self) -> Handle {
        self.handle
    }

    /// Returns the request.
    pub fn parent(&self) -> &Arc<Parent> {
        &self.parent
    }
}

impl Drop for OpenParent {
    fn drop(&mut self) {
        self.parents.table.lock().close(self.handle.sequence);
        self.parent.ended.cancel();
    }
}
