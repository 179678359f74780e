//! Runs the ledger of callers' connections.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::AccountId;
use super::ClientCut;
use super::Held;
use super::HeldBytes;
use super::Ledger;
use super::ResourcePlan;
use super::account::Account;
use super::account::Charge;
use super::account::ClientConnection;

/// Bytes that a connection takes while nothing happens on it.
pub(super) const CONNECTION_BYTES: usize = 16 * 1024;

/// Why the connection of a client was ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CutCause {
    /// Memory was short, and it held most.
    Memory,
    /// There were too many connections.
    Connections,
    /// The client did not take a response, or did not go on sending a body.
    Stalled,
}

impl CutCause {
    /// Returns the cause as it is written to the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::Stalled => "stalled",
        }
    }
}

/// Called with each connection that is ended, and why.
pub type OnCut = Box<dyn Fn(ClientCut, CutCause) + Send + Sync>;

/// What callers' connections hold, shared by all of them.
pub struct Clients {
    state: Mutex<State>,
    plan: ResourcePlan,
    /// Wakes one connection that waits for room.
    room: Notify,
    /// Wakes one connection that waits until it may be read ahead.
    calm: Notify,
    /// Wakes the listener that waits for connections to end.
    closed: Notify,
    on_cut: OnceLock<OnCut>,
}

struct State {
    ledger: Ledger,
    signals: IndexMap<AccountId, Arc<CutSignal>>,
}

/// Tells a connection that it has to end.
#[derive(Debug, Default)]
pub(super) struct CutSignal {
    pub(super) cut: CancellationToken,
    /// Whether it holds more than an idle connection.
    pub(super) holds_more: AtomicBool,
}

impl Clients {
    /// Creates the account of a process whose VM is divided by `plan`.
    pub fn new(plan: ResourcePlan) -> Arc<Self> {
        let ledger = Ledger::new(plan.client_bytes, plan.client_connections);
        Arc::new(Self {
            state: Mutex::new(State { ledger, signals: IndexMap::new() }),
            plan,
            room: Notify::new(),
            calm: Notify::new(),
            closed: Notify::new(),
            on_cut: OnceLock::new(),
        })
    }

    /// Reports connections that are ended from now on. Only the first call counts.
    pub fn report_to(&self, on_cut: OnCut) {
        let _ = self.on_cut.set(on_cut);
    }

    fn report(&self, cuts: impl IntoIterator<Item = ClientCut>, cause: CutCause) {
        let Some(on_cut) = self.on_cut.get() else { return };
        cuts.into_iter().for_each(|cut| on_cut(cut, cause));
    }

    /// Opens the account of a new connection, and ends another one if there are too many.
    pub fn open(self: &Arc<Self>, address: IpAddr) -> ClientConnection {
        let signal = Arc::<CutSignal>::default();
        let (id, cut) = {
            let State { ledger, signals } = &mut *self.state.lock();
            let id = ledger.open(address);
            signals.insert(id, Arc::clone(&signal));
            ledger.charge(id, Held::Connection, CONNECTION_BYTES);
            let cut = ledger.cut_for_connections();
            cut.iter().for_each(|cut| send_cut(signals, cut));
            (id, cut)
        };
        self.report(cut, CutCause::Connections);
        ClientConnection::new(Account::new(Arc::clone(self), id, signal))
    }

    /// Waits while so many connections are about to end that no more may be accepted.
    pub async fn wait_acceptable(&self) {
        loop {
            let closed = self.closed.notified();
            if !self.state.lock().ledger.is_crowded() {
                return;
            }
            closed.await;
        }
    }

    pub(super) fn close(&self, id: AccountId) {
        let mut state = self.state.lock();
        state.ledger.release(id, Held::Connection, CONNECTION_BYTES);
        state.ledger.close(id);
        state.signals.swap_remove(&id);
        self.wake(&state.ledger);
        drop(state);
        self.closed.notify_one();
    }

    /// Charges what is held already; the heaviest connections end until it fits.
    pub(super) fn charge(&self, id: AccountId, kind: Held, bytes: usize) {
        let mut cuts = Vec::new();
        {
            let State { ledger, signals } = &mut *self.state.lock();
            ledger.charge(id, kind, bytes);
            while let Some(cut) = ledger.cut_for_bytes(0) {
                send_cut(signals, &cut);
                cuts.push(cut);
            }
        }
        self.report(cuts, CutCause::Memory);
    }

    /// Waits until there is room, and charges it. The heaviest connections end until there is.
    pub(super) async fn reserve(&self, id: AccountId, kind: Held, bytes: usize) {
        loop {
            let room = self.room.notified();
            let mut cuts = Vec::new();
            let is_reserved = {
                let State { ledger, signals } = &mut *self.state.lock();
                while let Some(cut) = ledger.cut_for_bytes(bytes) {
                    send_cut(signals, &cut);
                    cuts.push(cut);
                }
                let has_room = ledger.has_room(bytes);
                if has_room {
                    ledger.charge(id, kind, bytes);
                    self.wake(ledger);
                }
                has_room
            };
            self.report(cuts, CutCause::Memory);
            if is_reserved {
                return;
            }
            room.await;
        }
    }

    /// Waits until connections with a request in progress may be read.
    pub(super) async fn wait_read_ahead(&self) {
        loop {
            let calm = self.calm.notified();
            {
                let state = self.state.lock();
                if state.ledger.may_read_ahead() {
                    self.wake(&state.ledger);
                    return;
                }
            }
            calm.await;
        }
    }

    pub(super) fn release(&self, id: AccountId, kind: Held, bytes: usize) {
        let mut state = self.state.lock();
        state.ledger.release(id, kind, bytes);
        self.wake(&state.ledger);
    }

    pub(super) fn update(&self, f: impl FnOnce(&mut Ledger)) {
        f(&mut self.state.lock().ledger);
    }

    /// Records that a connection ends because its client stalls.
    pub(super) fn cut_stalled(&self, id: AccountId) {
        let cut = self.state.lock().ledger.cut(id);
        self.report([cut], CutCause::Stalled);
    }

    /// Wakes one that waits for what there may be again. It wakes the next one in turn.
    fn wake(&self, ledger: &Ledger) {
        if ledger.has_room(1) {
            self.room.notify_one();
        }
        if ledger.may_read_ahead() {
            self.calm.notify_one();
        }
    }

    /// Returns the bytes that are held, by kind, and the number of connections.
    pub fn usage(&self) -> (HeldBytes, usize) {
        let state = self.state.lock();
        (state.ledger.held(), state.ledger.connections())
    }

    /// Returns the limits.
    pub fn plan(&self) -> &ResourcePlan {
        &self.plan
    }

    /// Returns a charge of `bytes` that were reserved before.
    pub(super) fn charged(self: &Arc<Self>, id: AccountId, kind: Held, bytes: usize) -> Charge {
        Charge::new(Arc::clone(self), id, kind, bytes)
    }
}

fn send_cut(signals: &IndexMap<AccountId, Arc<CutSignal>>, cut: &ClientCut) {
    let Some(signal) = signals.get(&cut.account) else { return };
    signal.holds_more.store(cut.held > CONNECTION_BYTES, Ordering::Relaxed);
    signal.cut.cancel();
}

impl fmt::Debug for Clients {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Clients").field("plan", &self.plan).finish_non_exhaustive()
    }
}
