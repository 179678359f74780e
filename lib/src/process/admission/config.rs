//! What the admission state machine is set up with.

use std::time::Duration;

/// Settings of one [`super::Admission`].
#[derive(Clone, Debug)]
pub struct AdmissionConfig {
    /// How work is admitted.
    pub policy: Policy,
    /// Most requests that the upstream serves at once.
    pub slots: usize,
    /// How the concurrency limit is learned below `slots`.
    pub limit: LimitPolicy,
    /// Which of the waiting requests of one criticality and depth goes first.
    pub order: QueueOrder,
    /// Most requests that wait at once, of all criticalities together.
    pub queue_entries: usize,
    /// Whether work that cannot finish inside its deadline is dropped before
    /// it takes a slot.
    pub deadline_cut: bool,
    /// Longest wait of work that may not wait.
    pub brief_wait: Duration,
    /// Age of the oldest waiting request above which the upstream counts as
    /// overloaded.
    pub target_delay: Duration,
    /// The same for work deep in a chain, which holds slots of its callers
    /// while it waits.
    pub deep_target_delay: Duration,
    /// Time between two adaptations of limit and level.
    pub window: Duration,
    /// Share of the limit that deferrable work may hold while it would keep
    /// other work waiting.
    pub deferrable_share: f64,
    /// Least and greatest time that a refused caller is told to stay away.
    pub retry_after: (Duration, Duration),
    /// A deliberate defect, for the tests that must see it.
    pub fault: Option<Fault>,
}

/// How work is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// Everything starts at once.
    None,
    /// A fixed limit with one first-come queue that knows no criticality.
    FixedLimit,
    /// Learned limit, queues by criticality, admission level.
    Adaptive,
}

/// How the concurrency limit is learned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitPolicy {
    /// The limit is the stated number of slots.
    Slots,
    /// Multiplicative decrease after a refusal by the upstream, additive
    /// increase otherwise.
    Aimd,
}

/// Which of the waiting requests of one criticality and depth goes first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueOrder {
    /// The oldest.
    Fifo,
    /// The youngest while overloaded, the oldest otherwise.
    YoungFirst,
}

/// A deliberate defect, for the tests that must see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A full queue refuses the newcomer, whatever it is worth.
    ShedNewcomer,
    /// The queue ignores criticality.
    IgnoreCriticality,
    /// A freed slot is not given to waiting work.
    LeaveSlotIdle,
}

impl AdmissionConfig {
    /// Returns the defaults for an upstream with `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self {
            policy: Policy::Adaptive,
            slots,
            limit: LimitPolicy::Aimd,
            order: QueueOrder::YoungFirst,
            queue_entries: slots * QUEUE_ENTRIES_PER_SLOT,
            deadline_cut: true,
            brief_wait: Duration::from_millis(250),
            target_delay: Duration::from_millis(100),
            deep_target_delay: Duration::from_millis(40),
            window: Duration::from_millis(100),
            deferrable_share: 0.5,
            retry_after: (Duration::from_secs(1), Duration::from_secs(120)),
            fault: None,
        }
    }

    /// Takes in another number of slots, and the length of queue that goes with it.
    pub(super) fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
        self.queue_entries = slots * QUEUE_ENTRIES_PER_SLOT;
    }
}

/// Default length of the queue for each slot.
const QUEUE_ENTRIES_PER_SLOT: usize = 16;
