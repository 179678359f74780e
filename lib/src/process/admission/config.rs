//! Configuration of the admission state machine.

use std::time::Duration;

/// Configuration of one [`super::Admission`].
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// Admission policy.
    pub policy: Policy,
    /// Maximum number of requests that the upstream serves concurrently.
    pub slots: usize,
    /// How the concurrency limit adapts below `slots`.
    pub limit: LimitPolicy,
    /// Order in which queued requests of one criticality and depth start.
    pub order: QueueOrder,
    /// Capacity of the queue, shared by all criticalities.
    pub queue_entries: usize,
    /// Whether a request that is not expected to finish before its deadline is
    /// shed instead of taking a slot.
    pub shed_past_deadline: bool,
    /// Maximum time in the queue for a request whose [`super::Work::may_wait`] is
    /// false.
    pub brief_wait: Duration,
    /// Target for the queueing delay; a longer delay counts as overload.
    pub target_delay: Duration,
    /// Target for the queueing delay of calls made on behalf of other requests.
    /// Such a call holds slots of its callers while it waits.
    pub deep_target_delay: Duration,
    /// Interval at which the concurrency limit and the admission level adapt.
    pub window: Duration,
    /// Share of the concurrency limit that deferrable requests may use while they
    /// would make other requests wait.
    pub deferrable_share: f64,
    /// Minimum and maximum retry delay sent to the callers of shed requests that
    /// have no objective.
    pub retry_after: (Duration, Duration),
    /// Defect that a test injects to prove that it detects the violation.
    pub fault: Option<Fault>,
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Every request starts immediately.
    None,
    /// Fixed concurrency limit with a single FIFO queue that ignores criticality.
    FixedLimit,
    /// Adaptive concurrency limit, one queue for each criticality and an admission
    /// level.
    Adaptive,
}

/// How the concurrency limit adapts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPolicy {
    /// The limit stays at the configured number of slots.
    Slots,
    /// Multiplicative decrease after the upstream refused work for overload,
    /// additive increase otherwise.
    Aimd,
}

/// Order in which queued requests of one criticality start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// Oldest request first.
    Fifo,
    /// The lowest hash of a root request first, at any depth, while the queueing delay
    /// exceeds its target; oldest first otherwise.
    AdaptiveRank,
}

/// Defect that a test injects to prove that it detects the violation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A full queue sheds the new request even if a queued one ranks lower.
    ShedNewcomer,
    /// The queue ignores criticality.
    IgnoreCriticality,
    /// Free slots are not given to queued requests.
    LeaveSlotIdle,
}

impl AdmissionConfig {
    /// Returns the default configuration for an upstream with `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self {
            policy: Policy::Adaptive,
            slots,
            limit: LimitPolicy::Aimd,
            order: QueueOrder::AdaptiveRank,
            queue_entries: slots * QUEUE_ENTRIES_PER_SLOT,
            shed_past_deadline: true,
            brief_wait: Duration::from_millis(250),
            target_delay: Duration::from_millis(100),
            deep_target_delay: Duration::from_millis(40),
            window: Duration::from_millis(100),
            deferrable_share: 0.5,
            retry_after: (Duration::from_secs(1), Duration::from_secs(120)),
            fault: None,
        }
    }

    /// Changes the number of slots and scales the queue capacity with it.
    pub(super) fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
        self.queue_entries = slots * QUEUE_ENTRIES_PER_SLOT;
    }
}

/// Default queue capacity per slot.
const QUEUE_ENTRIES_PER_SLOT: usize = 16;
