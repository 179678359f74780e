//! A count over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Slots that a window is divided into; the count is late by at most one.
const SLOTS: u32 = 100;

/// Counts events in the window that ends now.
#[derive(Debug)]
pub(super) struct SlidingCount {
    slot: Duration,
    /// Slots that hold an event, the oldest first, with their numbers.
    slots: VecDeque<(u64, u32)>,
    total: u32,
}

impl SlidingCount {
    pub(super) fn new(window: Duration) -> Self {
        let slot = (window / SLOTS).max(Duration::from_millis(1));
        Self { slot, slots: VecDeque::new(), total: 0 }
    }

    pub(super) fn add(&mut self, now: Duration) {
        self.forget(now);
        let number = self.number(now);
        match self.slots.back_mut() {
            Some((last, count)) if *last == number => *count += 1,
            _ => self.slots.push_back((number, 1)),
        }
        self.total += 1;
    }

    /// Returns the events of the last window, rounded up to whole slots.
    pub(super) fn total(&mut self, now: Duration) -> u32 {
        self.forget(now);
        self.total
    }

    /// Returns the events of the `span` that ended `ago`, rounded to whole slots.
    pub(super) fn between(&mut self, now: Duration, span: Duration, ago: Duration) -> u32 {
        self.forget(now);
        let end = self.number(now.saturating_sub(ago));
        let begin = self.number(now.saturating_sub(ago + span));
        let slots = self.slots.iter().filter(|(number, _)| (begin..=end).contains(number));
        slots.map(|(_, count)| count).sum()
    }

    /// Returns the time since the oldest event that is counted.
    pub(super) fn span(&mut self, now: Duration) -> Duration {
        self.forget(now);
        let Some(&(oldest, _)) = self.slots.front() else { return Duration::ZERO };
        let slots = self.number(now) - oldest + 1;
        self.slot * u32::try_from(slots).unwrap_or(u32::MAX)
    }

    fn forget(&mut self, now: Duration) {
        let oldest = self.number(now).saturating_sub(u64::from(SLOTS));
        while let Some(&(number, count)) = self.slots.front() {
            if number >= oldest {
                return;
            }
            self.total -= count;
            self.slots.pop_front();
        }
    }

    fn number(&self, now: Duration) -> u64 {
        (now.as_millis() / self.slot.as_millis()) as u64
    }
}
