//! Notices overload at the end of each window and sheds what is too much.

use std::time::Duration;

use super::Admission;
use super::expires_at_objective;
use crate::process::admission::Policy;
use crate::process::admission::ShedReason;
use crate::process::admission::Work;
use crate::process::admission::queue::WaitQueue;
use crate::version::Criticality;

/// Part of the slots that is taken to be left for the least work.
const MIN_FREE_SHARE: f64 = 0.05;

/// Queued requests that cover the random variation of arrivals, for each
/// square root of a slot; with fewer, slots stay idle at an even load.
const VARIATION_ENTRIES_PER_SQRT_SLOT: f64 = 2.0;

impl Admission {
    pub(super) fn close_window(&mut self, now: Duration, elapsed: Duration) {
        self.window_start = now;
        self.drain.close_window(elapsed);
        let capacity = self.completions_per_second() * elapsed.as_secs_f64();
        self.pacing.close_window(capacity);
        self.load.close_window(elapsed);
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
    /// The wait is taken as the time in which the upstream serves all that
    /// goes before. Deferrable work may wait while there is room for it, and so
    /// may work with an objective until it misses it.
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
    /// Calls with an objective are not trimmed, and they hold slots of their
    /// callers while they wait; so new requests are held back before calls miss
    /// anything.
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

    /// Returns the rate at which the upstream completes requests when it is
    /// fully used.
    ///
    /// The measured rate alone would be too low after a time with idle slots,
    /// and a level cut to it would keep the slots idle.
    fn completions_per_second(&self) -> f64 {
        self.drain.per_second().max(self.latencies.expected_completions_per_second())
    }

    /// Returns how long new work is expected to wait for a slot.
    ///
    /// What arrives later and goes before it takes its part of the slots.
    pub(super) fn expected_wait(&self, work: &Work) -> Duration {
        let slots = self.limit() as f64;
        let free = slots - self.load.slots_before(work.criticality, work.depth);
        let ahead = self.queue.seconds_ahead_of(work.criticality, work.depth);
        Duration::from_secs_f64(ahead / free.max(slots * MIN_FREE_SHARE))
    }

    /// Whether new work that waits for its objective would miss it.
    pub(super) fn misses_objective(&self, now: Duration, work: &Work) -> bool {
        let Some(objective) = work.objective.filter(|_| expires_at_objective(work)) else {
            return false;
        };
        let service_time = self.latencies.service_time(now, work.kind);
        now + self.expected_wait(work) + service_time > objective
    }

    /// Returns how many requests may wait within the target delay, or to cover
    /// the random variation of arrivals if that takes more.
    fn target_queue_length(&self) -> usize {
        let is_call_shed_first =
            self.queue.first_to_shed().is_some_and(|((_, depth, _), _)| depth.0 > 0);
        let target =
            if is_call_shed_first { self.cfg.deep_target_delay } else { self.cfg.target_delay };
        let entries = self.completions_per_second() * target.as_secs_f64();
        let variation = VARIATION_ENTRIES_PER_SQRT_SLOT * (self.limit() as f64).sqrt();
        entries.max(variation).ceil() as usize
    }

    /// Sheds what waits beyond the target delay, the least worth first.
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
