//! Notices overload at the end of each window and sheds what is too much.

use std::time::Duration;

use super::Admission;
use crate::process::admission::Policy;
use crate::process::admission::ShedReason;
use crate::process::admission::queue::WaitQueue;
use crate::version::Criticality;

/// Waiting requests that cover the random variation of arrivals, for each
/// square root of a slot; with fewer, slots stay idle at an even load.
const VARIATION_ENTRIES: f64 = 2.0;

impl Admission {
    pub(super) fn roll(&mut self, now: Duration, elapsed: Duration) {
        self.window_start = now;
        self.drain.roll(elapsed);
        let served = self.completions_per_second() * elapsed.as_secs_f64();
        self.pacing.roll(served);
        let late = self.late_class();
        if late.is_some() && self.cfg.policy == Policy::Adaptive {
            self.trim();
        }
        let in_use = self.running.len() as f64 / self.limit.get() as f64;
        self.level.roll(late, served, in_use);
        self.limit.in_use(self.running.len());
        self.limit.roll();
    }

    /// Returns the most critical class that waits too long.
    ///
    /// The wait is taken as the time in which the upstream serves all that
    /// goes before. Deferrable work may wait while there is room for it.
    fn late_class(&self) -> Option<Criticality> {
        let mut ahead = 0;
        for criticality in [Criticality::Critical, Criticality::High, Criticality::Normal] {
            ahead += self.queue.len_of(criticality);
            if ahead > self.target_entries() && self.queue.len_of(criticality) > 0 {
                return Some(criticality);
            }
        }
        (self.queue.len() * 2 > self.cfg.queue_entries).then_some(Criticality::Deferrable)
    }

    /// Returns the rate at which the upstream completes requests when it is
    /// fully used.
    ///
    /// The measured rate alone would be too low after a time with idle slots,
    /// and a level cut to it would keep the slots idle.
    fn completions_per_second(&self) -> f64 {
        let expected = Criticality::ALL.into_iter().map(|criticality| {
            let held = self.held[usize::from(criticality.rank())] as f64;
            let hold = self.latencies.hold_seconds(criticality);
            if hold > 0.0 { held / hold } else { 0.0 }
        });
        self.drain.per_second().max(expected.sum())
    }

    /// Returns how many requests may wait within the target delay, or to cover
    /// the random variation of arrivals if that takes more.
    fn target_entries(&self) -> usize {
        let deep = self.queue.least_worth().is_some_and(|((_, depth, _), _)| depth.0 > 0);
        let target = if deep { self.cfg.deep_target_delay } else { self.cfg.target_delay };
        let entries = self.completions_per_second() * target.as_secs_f64();
        let variation = VARIATION_ENTRIES * (self.limit() as f64).sqrt();
        entries.max(variation).ceil() as usize
    }

    /// Sheds what waits beyond the target delay, the least worth first.
    fn trim(&mut self) {
        let kept = self.target_entries();
        let deferrable = self.cfg.queue_entries / 2;
        let others = |queue: &WaitQueue| queue.len() - queue.len_of(Criticality::Deferrable);
        while others(&self.queue) > kept || self.queue.len() > kept.max(deferrable) {
            let Some((_, ticket)) = self.queue.least_worth() else { return };
            self.settle_shed(ticket, ShedReason::Level);
        }
    }

    pub(super) fn is_late(&self, now: Duration, criticality: Criticality) -> bool {
        self.queue.age(now, criticality).is_some_and(|age| age > self.cfg.target_delay)
    }
}
