//! Detects overload at the end of each window and sheds excess requests.

use std::time::Duration;

use super::Admission;
use super::expires_at_objective;
use crate::process::admission::Policy;
use crate::process::admission::ShedReason;
use crate::process::admission::Work;
use crate::process::admission::queue::WaitQueue;
use crate::version::Criticality;

/// Minimum share of the slots assumed to be free for the least critical requests.
const MIN_FREE_SHARE: f64 = 0.05;

/// Length of the queue that covers the random variation of arrivals, per square root of
/// the number of slots. With a shorter queue, slots are idle even under constant load.
const VARIATION_ENTRIES_PER_SQRT_SLOT: f64 = 2.0;

impl Admission {
    pub(super) fn close_window(&mut self, now: Duration, elapsed: Duration) {
        self.window_start = now;
        self.drain.close_window(elapsed);
        let capacity = self.completions_per_second() * elapsed.as_secs_f64();
        self.pacing.close_window(capacity);
        self.load.close_window(elapsed);
        self.rate.close_window(elapsed);
        let late_class = self.late_class();
        if late_class.is_some() && self.cfg.policy == Policy::Adaptive {
            self.shed_excess(now);
        }
        let late_class = late_class
            .into_iter()
            .chain(self.late_call_class())
            .chain(self.missed_class.take())
            .min();
        let slots = self.limit.get() as f64;
        self.level.close_window(late_class, &self.load, slots, self.running.len() as f64 / slots);
        self.limit.record_in_progress(self.running.len());
        self.limit.close_window();
    }

    /// Returns the most critical class that waits too long.
    ///
    /// The expected wait is the time that the upstream needs to serve the requests queued
    /// ahead. Deferrable requests may wait while the queue has room, and requests with an
    /// objective until they miss it.
    fn late_class(&self) -> Option<Criticality> {
        let mut ahead = 0;
        for criticality in [Criticality::Critical, Criticality::High, Criticality::Normal] {
            ahead += self.queue.without_objective_of(criticality);
            if ahead > self.target_queue_length()
                && self.queue.without_objective_of(criticality) > 0
            {
                return Some(criticality);
            }
        }
        (self.queue.len() * 2 > self.cfg.queue_entries).then_some(Criticality::Deferrable)
    }

    /// Returns the most critical class whose calls wait too long.
    ///
    /// Calls with an objective do not count towards the target queue length, and they hold
    /// slots of their callers while they wait. New requests are therefore limited before
    /// any call misses its objective.
    fn late_call_class(&self) -> Option<Criticality> {
        let slots = self.limit() as f64;
        let waits_long = |criticality: &Criticality| {
            let seconds = self.queue.call_seconds(*criticality);
            seconds > 0.0
                && self.queue.seconds_ahead_of(*criticality, 1) / slots
                    > self.cfg.deep_target_delay.as_secs_f64()
        };
        Criticality::ALL.into_iter().find(waits_long)
    }

    /// Returns the rate at which the upstream completes requests when fully used.
    ///
    /// After a period with idle slots, the measured rate alone would be too low. A level
    /// derived from it would keep the slots idle.
    fn completions_per_second(&self) -> f64 {
        self.drain.per_second().max(self.latencies.expected_completions_per_second())
    }

    /// Returns how long a new request is expected to wait for a slot.
    ///
    /// Requests that arrive later but start earlier are taken into account: they use a
    /// part of the slots.
    pub(super) fn expected_wait(&self, work: &Work) -> Duration {
        let slots = self.limit() as f64;
        let free = slots - self.load.slots_before(work.criticality, work.depth);
        let ahead = self.queue.seconds_ahead_of(work.criticality, work.depth);
        Duration::from_secs_f64(ahead / free.max(slots * MIN_FREE_SHARE))
    }

    /// Returns whether a new request would miss its objective and should not be queued.
    pub(super) fn misses_objective(&self, now: Duration, work: &Work) -> bool {
        let Some(objective) = work.objective.filter(|_| expires_at_objective(work)) else {
            return false;
        };
        let service_time = self.latencies.service_time(now, work.kind);
        now + self.expected_wait(work) + service_time > objective
    }

    /// Returns how many requests may be queued: as many as are served within the target
    /// delay, or more if the random variation of arrivals requires it.
    fn target_queue_length(&self) -> usize {
        let is_call_shed_first =
            self.queue.first_to_shed().is_some_and(|((_, depth, _), _)| depth.0 > 0);
        let target =
            if is_call_shed_first { self.cfg.deep_target_delay } else { self.cfg.target_delay };
        let entries = self.completions_per_second() * target.as_secs_f64();
        let variation = VARIATION_ENTRIES_PER_SQRT_SLOT * (self.limit() as f64).sqrt();
        entries.max(variation).ceil() as usize
    }

    /// Sheds requests that exceed the target queue length, the lowest ranked first.
    fn shed_excess(&mut self, now: Duration) {
        let max_queued = self.target_queue_length();
        let max_deferrable = self.cfg.queue_entries / 2;
        let non_deferrable = |queue: &WaitQueue| {
            queue.without_objective() - queue.without_objective_of(Criticality::Deferrable)
        };
        while non_deferrable(&self.queue) > max_queued
            || self.queue.without_objective() > max_queued.max(max_deferrable)
        {
            let Some((_, ticket)) = self.queue.first_to_shed() else { return };
            self.shed_queued(now, ticket, ShedReason::Level);
        }
    }

    pub(super) fn is_late(&self, now: Duration, criticality: Criticality) -> bool {
        self.queue.oldest_wait(now, criticality).is_some_and(|age| age > self.cfg.target_delay)
    }
}
