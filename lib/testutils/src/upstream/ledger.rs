//! Record of every request that reached an upstream stand-in.

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::OwnedSemaphorePermit;

/// How a request ended, or that it has not.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The request is still being worked on.
    Running,
    /// The last byte of the answer was handed to the connection.
    Whole,
    /// The connection closed before the answer ended.
    Cancelled,
    /// The upstream failed the request.
    Failed,
    /// The deadline passed during the work.
    Expired,
    /// The upstream refused the request without any work.
    Shed,
}

/// One request as the upstream saw it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Entry {
    /// Mark of the caller's request.
    pub mark: String,
    /// Number of the caller's attempt.
    pub attempt: u64,
    /// Method of the request.
    pub method: String,
    /// Path of the request.
    pub path: String,
    /// Service that the request named.
    pub service: String,
    /// Context handle that came with the request.
    pub context: Option<String>,
    /// Names of all headers of the request.
    pub headers: Vec<String>,
    /// Time left that came with the request, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether the work itself began.
    pub worked: bool,
    /// Whether the request's body was the stream of its mark.
    pub body_matches: bool,
    /// Length of the request's body, in bytes.
    pub body_bytes: u64,
    /// How the request ended.
    pub state: State,
    /// Arrival since the start of the upstream, in milliseconds.
    pub begun_ms: f64,
    /// End since the start of the upstream, in milliseconds.
    pub ended_ms: Option<f64>,
}

/// Record of the requests of one upstream.
#[derive(Clone, Debug)]
pub struct Ledger {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self { start: Instant::now(), entries: Arc::default() }
    }
}

impl Ledger {
    /// Returns a copy of all entries in order of arrival.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().clone()
    }

    /// Milliseconds since the start of the upstream.
    pub(crate) fn now_ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Records the arrival of a request.
    pub(crate) fn begin(&self, entry: Entry) -> Running {
        let mut entries = self.entries.lock();
        entries.push(entry);
        Running { ledger: self.clone(), index: entries.len() - 1, slot: None, ended: false }
    }
}

/// A request that has not ended; dropping it records a cancellation.
#[derive(Debug)]
pub struct Running {
    ledger: Ledger,
    index: usize,
    slot: Option<OwnedSemaphorePermit>,
    ended: bool,
}

impl Running {
    /// Records that the work began, in `slot`.
    pub(crate) fn work(&mut self, slot: OwnedSemaphorePermit) {
        self.slot = Some(slot);
        self.ledger.entries.lock()[self.index].worked = true;
    }

    /// Records the length of the request's body and whether it was the stream
    /// of its mark.
    pub(crate) fn body(&self, matches: bool, bytes: u64) {
        let entry = &mut self.ledger.entries.lock()[self.index];
        entry.body_matches = matches;
        entry.body_bytes = bytes;
    }

    /// Records that the whole answer was handed out.
    pub(crate) fn whole(self) {
        self.end(State::Whole);
    }

    /// Records that the upstream failed the request.
    pub(crate) fn failed(self) {
        self.end(State::Failed);
    }

    /// Records that the deadline passed.
    pub(crate) fn expired(self) {
        self.end(State::Expired);
    }

    /// Records that the request was refused without work.
    pub(crate) fn shed(self) {
        self.end(State::Shed);
    }

    fn end(mut self, state: State) {
        self.record(state);
    }

    fn record(&mut self, state: State) {
        let ended_ms = self.ledger.now_ms();
        let mut entries = self.ledger.entries.lock();
        entries[self.index].state = state;
        entries[self.index].ended_ms = Some(ended_ms);
        self.ended = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.ended {
            self.record(State::Cancelled);
        }
    }
}
