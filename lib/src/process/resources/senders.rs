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
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: usize,
    by_sender: IndexMap<Incarnation, usize>,
}

impl Senders {
    /// Creates an account of which nothing is used.
    pub fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self { max_bytes, state: Mutex::default() })
    }

    /// Charges a request to the daemon that sent it; `None` if it holds too much.
    pub fn try_charge(self: &Arc<Self>, sender: Incarnation, bytes: usize) -> Option<SenderCharge> {
        let mut state = self.state.lock();
        let of_sender = state.by_sender.get(&sender).copied().unwrap_or_default();
        if of_sender + bytes > self.max_bytes.saturating_sub(state.held) {
            return None;
        }
        state.add(sender, bytes);
        Some(SenderCharge { senders: Arc::clone(self), sender, bytes })
    }

    /// Returns the bytes held, and their limit.
    pub fn usage(&self) -> (usize, usize) {
        (self.state.lock().held, self.max_bytes)
    }
}

impl State {
    fn add(&mut self, sender: Incarnation, bytes: usize) {
        self.held += bytes;
        *self.by_sender.entry(sender).or_default() += bytes;
    }

    fn remove(&mut self, sender: Incarnation, bytes: usize) {
        self.held -= bytes;
        let Some(of_sender) = self.by_sender.get_mut(&sender) else { return };
        *of_sender -= bytes;
        if *of_sender == 0 {
            self.by_sender.swap_remove(&sender);
        }
    }
}

/// Bytes that are charged to a daemon until this is dropped.
#[derive(Debug)]
pub struct SenderCharge {
    senders: Arc<Senders>,
    sender: Incarnation,
    bytes: usize,
}

impl SenderCharge {
    /// Charges `bytes` in place of what is charged so far.
    pub fn replace(&mut self, bytes: usize) {
        let mut state = self.senders.state.lock();
        state.add(self.sender, bytes);
        state.remove(self.sender, self.bytes);
        self.bytes = bytes;
    }
}

impl Drop for SenderCharge {
    fn drop(&mut self) {
        self.senders.state.lock().remove(self.sender, self.bytes);
    }
}
