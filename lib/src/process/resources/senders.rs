//! What the requests of other daemons hold.

use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;

use crate::process::Incarnation;

/// Bytes that requests of other daemons hold, by daemon.
///
/// A daemon may hold as much as all of them leave free. Load pattern: one daemon sends on the
/// requests of a crowd, while others send few.
#[derive(Debug)]
pub struct Senders {
    max_bytes: usize,
    /// Most bytes of bodies of one daemon that nobody reads: the window of its connection. Beyond
    /// it, bodies that nobody reads would hold up those that are read.
    max_unread: usize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    by_sender: IndexMap<Incarnation, HeldOfSender>,
}

/// What a request or all requests of one daemon hold, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeldOfSender {
    /// Heads, tasks and responses.
    pub other: usize,
    /// Bodies, as far as they may be unread.
    pub unread: usize,
}

impl HeldOfSender {
    fn total(self) -> usize {
        self.other + self.unread
    }
}

impl Senders {
    /// Creates an account of which nothing is used.
    pub fn new(max_bytes: usize, max_unread: usize) -> Arc<Self> {
        Arc::new(Self { max_bytes, max_unread, state: Mutex::default() })
    }

    /// Charges a request to the daemon that sent it; `None` if it holds too much.
    pub fn try_charge(
        self: &Arc<Self>,
        sender: Incarnation,
        held: HeldOfSender,
    ) -> Option<SenderCharge> {
        let mut state = self.state.lock();
        let of_sender = state.by_sender.get(&sender).copied().unwrap_or_default();
        let free = self.max_bytes.saturating_sub(state.held);
        let has_room = of_sender.total() + held.total() <= free;
        if !has_room || of_sender.unread + held.unread > self.max_unread {
            return None;
        }
        state.add(sender, held);
        Some(SenderCharge { senders: Arc::clone(self), sender, held })
    }

    /// Returns the bytes held, and their limit.
    pub fn usage(&self) -> (usize, usize) {
        (self.state.lock().held, self.max_bytes)
    }
}

impl State {
    fn add(&mut self, sender: Incarnation, held: HeldOfSender) {
        self.held += held.total();
        let of_sender = self.by_sender.entry(sender).or_default();
        of_sender.other += held.other;
        of_sender.unread += held.unread;
    }

    fn remove(&mut self, sender: Incarnation, held: HeldOfSender) {
        self.held -= held.total();
        let Some(of_sender) = self.by_sender.get_mut(&sender) else { return };
        of_sender.other -= held.other;
        of_sender.unread -= held.unread;
        if of_sender.total() == 0 {
            self.by_sender.swap_remove(&sender);
        }
    }
}

/// What is charged to a daemon until this is dropped.
#[derive(Debug)]
pub struct SenderCharge {
    senders: Arc<Senders>,
    sender: Incarnation,
    held: HeldOfSender,
}

impl SenderCharge {
    /// Charges the response in place of its request.
    pub fn answer(&mut self, response_bytes: usize) {
        let held = HeldOfSender { other: response_bytes, unread: 0 };
        let mut state = self.senders.state.lock();
        state.add(self.sender, held);
        state.remove(self.sender, self.held);
        self.held = held;
    }
}

impl Drop for SenderCharge {
    fn drop(&mut self) {
        self.senders.state.lock().remove(self.sender, self.held);
    }
}
