//! Decides which requests of a connection may be passed on while others before them are
//! unanswered.
//!
//! A response that breaks off ends its connection, and with it the responses behind it.
//! Therefore nothing is passed on behind a response that may break off, and a response with
//! requests behind it that were passed on is held until it is whole. See
//! `docs/design/answers.md`.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::connection::body::BodyEnd;
use crate::connection::body::OnEnd;

/// The requests of one connection in the order of their responses.
#[derive(Debug, Default)]
pub(crate) struct Order {
    state: Mutex<State>,
    changed: Notify,
}

/// Requests are numbered from 0 in the order in which they were read.
#[derive(Debug, Default)]
struct State {
    /// Request whose response is the next one to be written.
    front: u64,
    /// Last request that was passed on.
    last_passed: Option<u64>,
    /// Last request that had to wait.
    last_waiting: Option<u64>,
    /// Requests whose responses may break off while they are written.
    streaming: Vec<u64>,
    /// Whether the connection ends, so that nothing more is passed on.
    is_closed: bool,
}

impl State {
    fn may_pass(&self, number: u64, is_idempotent: bool) -> bool {
        let is_behind_a_stream = self.streaming.iter().any(|&other| other < number);
        let is_front = self.front == number;
        !self.is_closed && !is_behind_a_stream && (is_idempotent || is_front)
    }
}

impl Order {
    /// Records that the response at the front, or one in its place, was written completely.
    pub(super) fn advance(&self) {
        let mut state = self.state.lock();
        let written = state.front;
        state.streaming.retain(|&other| other != written);
        state.front += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Whether a request behind the response at the front has had to wait.
    pub(super) fn has_waiting(&self) -> bool {
        let state = self.state.lock();
        state.last_waiting > Some(state.front)
    }

    /// Records that the connection ends.
    pub(super) fn close(&self) {
        self.state.lock().is_closed = true;
    }
}

/// The place of a request among those of its connection.
#[derive(Clone, Debug)]
pub(crate) struct Turn(Arc<Place>);

#[derive(Debug)]
struct Place {
    order: Arc<Order>,
    number: u64,
}

impl Turn {
    pub(super) fn new(order: &Arc<Order>, number: u64) -> Self {
        Self(Arc::new(Place { order: Arc::clone(order), number }))
    }

    /// Waits until the request may be passed on, and records that it is.
    ///
    /// An idempotent one waits for responses before it that may break off. Any other waits for
    /// all responses before it: if one of them closed the connection, its caller would take it
    /// for unread and send it again.
    pub(crate) async fn wait(&self, is_idempotent: bool) {
        loop {
            let changed = self.0.order.changed.notified();
            if self.try_pass(is_idempotent) {
                return;
            }
            changed.await;
        }
    }

    /// Records that the request is passed on, unless it has to wait; returns whether it is.
    pub(crate) fn try_pass(&self, is_idempotent: bool) -> bool {
        let Place { order, number } = &*self.0;
        let mut state = order.state.lock();
        let may_pass = state.may_pass(*number, is_idempotent);
        let last = match may_pass {
            true => &mut state.last_passed,
            false => &mut state.last_waiting,
        };
        *last = (*last).max(Some(*number));
        may_pass
    }

    /// Begins to stream the response if it is the next one to be written and no request behind
    /// it has been passed on.
    pub(crate) fn try_stream(&self) -> Option<Streaming> {
        let Place { order, number } = &*self.0;
        let mut state = order.state.lock();
        let is_front = state.front == *number;
        let is_last = state.last_passed <= Some(*number);
        (is_front && is_last).then(|| self.add_streaming(&mut state))
    }

    /// Begins to stream the response. The requests behind it that have been passed on are lost
    /// if it breaks off.
    pub(crate) fn stream(&self) -> Streaming {
        self.add_streaming(&mut self.0.order.state.lock())
    }

    fn add_streaming(&self, state: &mut State) -> Streaming {
        state.streaming.push(self.0.number);
        Streaming(self.clone())
    }
}

/// Keeps requests from being passed on behind a response until its body has ended.
#[derive(Debug)]
pub(crate) struct Streaming(Turn);

impl OnEnd for Streaming {
    fn on_end(&mut self, end: BodyEnd) {
        // One that failed ends its connection, or is replaced by the writer, which decides what is
        // passed on behind it.
        if end == BodyEnd::Failed {
            return;
        }
        // A response that is dropped was replaced by another, unless the connection has ended.
        let Place { order, number } = &*self.0.0;
        order.state.lock().streaming.retain(|other| other != number);
        order.changed.notify_waiters();
    }
}
