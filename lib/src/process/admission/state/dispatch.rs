//! Gives free slots to queued requests.

use std::time::Duration;

use super::Admission;
use super::DEFERRABLE_CAP_DURATION;
use crate::process::admission::Decision;
use crate::process::admission::Fault;
use crate::process::admission::Policy;
use crate::process::admission::QueueOrder;
use crate::process::admission::ShedReason;
use crate::process::admission::Ticket;
use crate::process::admission::Verdict;
use crate::version::Criticality;

impl Admission {
    /// Starts queued requests while slots are free.
    pub(super) fn dispatch(&mut self, now: Duration) {
        if self.cfg.fault == Some(Fault::LeaveSlotIdle) {
            return;
        }
        while let Some(ticket) = self.next_to_start(now) {
            let Some(request) = self.queue.remove(ticket) else { return };
            if self.cannot_meet_deadline(now, &request.work) {
                let shed = self.refuse(now, &request.work, ShedReason::Deadline);
                self.decisions.push(Decision { ticket, verdict: Verdict::Shed(shed) });
                continue;
            }
            if !self.rate.try_send(now, &request.work) {
                let shed = self.refuse(now, &request.work, ShedReason::RateLimit);
                self.decisions.push(Decision { ticket, verdict: Verdict::Shed(shed) });
                continue;
            }
            self.start(now, ticket, &request.work);
            self.decisions.push(Decision { ticket, verdict: Verdict::Admitted });
        }
    }

    /// Returns the queued request that the next free slot goes to.
    fn next_to_start(&self, now: Duration) -> Option<Ticket> {
        let ignores_criticality =
            self.cfg.policy != Policy::Adaptive || self.cfg.fault == Some(Fault::IgnoreCriticality);
        if ignores_criticality {
            let free = self.running.len() < self.limit();
            return free.then(|| self.queue.oldest()).flatten();
        }
        Criticality::ALL
            .into_iter()
            .filter(|&criticality| self.has_slot(now, criticality))
            .find_map(|criticality| self.next_of(now, criticality))
    }

    /// Returns the queued request of one criticality that starts next.
    ///
    /// Load pattern: each request makes many calls here, others come directly, and only part
    /// of both fits. Every hop serves the requests with the same hashes,
    /// so that they end whole. Any order by age would serve some calls of every request, and
    /// calls before direct requests would leave no slot to these.
    fn next_of(&self, now: Duration, criticality: Criticality) -> Option<Ticket> {
        match self.cfg.order {
            QueueOrder::AdaptiveRank if self.is_late(now, criticality) => {
                self.queue.lowest_hash_of(criticality)
            }
            QueueOrder::AdaptiveRank | QueueOrder::Fifo => self.queue.oldest_of(criticality),
        }
    }

    /// Returns whether deferrable requests are capped, because they would hold slots that
    /// other requests need soon.
    ///
    /// This is the case if a non-deferrable request was queued recently, or if deferrable
    /// requests release slots too slowly for the target delay.
    pub(super) fn caps_deferrable(&self, now: Duration) -> bool {
        let others_waited_lately = self
            .others_waited_at
            .is_some_and(|at| now.saturating_sub(at) < DEFERRABLE_CAP_DURATION);
        let hold_seconds = self.latencies.hold_seconds(Criticality::Deferrable);
        let seconds_per_release = hold_seconds / self.limit.get() as f64;
        others_waited_lately || seconds_per_release > self.cfg.target_delay.as_secs_f64()
    }

    pub(super) fn deferrable_cap(&self) -> usize {
        let cap = self.limit.get() as f64 * self.cfg.deferrable_share;
        (cap as usize).max(1)
    }
}
