//! The account of one connection, and what is charged to it.

use std::ops::Deref;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::AccountId;
use super::Held;
use super::clients::Clients;
use super::clients::CutSignal;

/// The account of one connection; its requests hold clones.
#[derive(Clone, Debug)]
pub struct Account {
    clients: Arc<Clients>,
    id: AccountId,
    signal: Arc<CutSignal>,
}

impl Account {
    pub(super) fn new(clients: Arc<Clients>, id: AccountId, signal: Arc<CutSignal>) -> Self {
        Self { clients, id, signal }
    }

    /// Charges what is held already.
    pub fn charge(&self, kind: Held, bytes: usize) -> Charge {
        self.clients.charge(self.id, kind, bytes);
        self.clients.charged(self.id, kind, bytes)
    }

    /// Waits until there is room for `bytes`, and charges them.
    pub async fn reserve(&self, kind: Held, bytes: usize) -> Charge {
        self.clients.reserve(self.id, kind, bytes).await;
        self.clients.charged(self.id, kind, bytes)
    }

    /// Waits until the connection may be read although a request is in progress.
    pub async fn wait_read_ahead(&self) {
        self.clients.wait_read_ahead().await;
    }

    /// Waits until the connection has to end; returns whether it holds more than an idle one.
    pub async fn wait_cut(&self) -> bool {
        self.signal.cut.cancelled().await;
        self.signal.holds_more.load(Ordering::Relaxed)
    }

    /// Records that the connection ends because its client stalls.
    pub fn cut_stalled(&self) {
        self.clients.cut_stalled(self.id);
    }

    /// Records that a request began, until what this returns is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.clients.update(|ledger| ledger.begin_request(self.id));
        RequestGuard(self.clone())
    }
}

/// Keeps a request among those of its connection.
#[derive(Debug)]
pub struct RequestGuard(Account);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let id = self.0.id;
        self.0.clients.update(|ledger| ledger.end_request(id));
    }
}

/// An open connection. Its account closes when this is dropped.
#[derive(Debug)]
pub struct ClientConnection(Account);

impl ClientConnection {
    pub(super) fn new(account: Account) -> Self {
        Self(account)
    }
}

impl Deref for ClientConnection {
    type Target = Account;

    fn deref(&self) -> &Account {
        &self.0
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.0.clients.close(self.0.id);
    }
}

/// Bytes that are charged to an account until this is dropped.
#[derive(Debug)]
pub struct Charge {
    clients: Arc<Clients>,
    id: AccountId,
    kind: Held,
    bytes: usize,
}

impl Charge {
    pub(super) fn new(clients: Arc<Clients>, id: AccountId, kind: Held, bytes: usize) -> Self {
        Self { clients, id, kind, bytes }
    }

    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds what another charge holds, of the same account and kind.
    pub fn merge(&mut self, mut other: Charge) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Releases all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        self.clients.release(self.id, self.kind, excess);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.clients.release(self.id, self.kind, self.bytes);
        }
    }
}
