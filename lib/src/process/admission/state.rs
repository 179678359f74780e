//! The admission state machine.

use std::time::Duration;

use super::AdmissionConfig;
use super::Arrival;
use super::Completion;
use super::Decision;
use super::Level;
use super::Ticket;
use super::Work;

/// Decides which work may start at the local upstream.
///
/// After every [`Self::arrive`], [`Self::complete`] and [`Self::cancel`], and
/// at [`Self::next_wakeup`], the driver calls [`Self::poll`] for the verdicts
/// on queued work. `now` is the monotonic time since the process started and
/// never goes backwards.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    next_ticket: u64,
}

impl Admission {
    /// Creates the state machine with all slots free.
    pub fn new(cfg: &AdmissionConfig) -> Self {
        Self { cfg: cfg.clone(), next_ticket: 0 }
    }

    /// Decides on a request that has just arrived.
    pub fn arrive(&mut self, _now: Duration, _work: Work) -> Arrival {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        Arrival::Admitted(ticket)
    }

    /// Forgets a queued request, or frees the slot of an admitted one, because
    /// its caller went away. A ticket already settled is ignored.
    pub fn cancel(&mut self, _now: Duration, _ticket: Ticket) {}

    /// Notes that the answer's head has arrived.
    ///
    /// Latency is taken up to this point, so that a slow reader of a long body
    /// does not pass for a slow upstream. Optional.
    pub fn answer_started(&mut self, _now: Duration, _ticket: Ticket) {}

    /// Frees the slot of an admitted request.
    pub fn complete(&mut self, _now: Duration, _ticket: Ticket, _completion: Completion) {}

    /// Appends the verdicts on queued requests that are due.
    pub fn poll(&mut self, _now: Duration, _decisions: &mut Vec<Decision>) {}

    /// Returns when [`Self::poll`] has something to do without another event.
    pub fn next_wakeup(&self) -> Option<Duration> {
        None
    }

    /// Returns the level that callers should apply on our behalf.
    pub fn level(&self) -> Level {
        Level::OPEN
    }

    /// Returns the concurrency limit now in force.
    pub fn limit(&self) -> usize {
        self.cfg.slots
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_progress(&self) -> usize {
        0
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        0
    }
}
