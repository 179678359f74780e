//! The policies that are compared.

use endivescale::process::admission::AdmissionConfig;
use endivescale::process::admission::LimitPolicy;
use endivescale::process::admission::Policy;
use endivescale::process::admission::QueueOrder;

/// One policy of daemons and callers' libraries together.
#[derive(Clone, Debug)]
pub(crate) struct Variant {
    pub(crate) name: &'static str,
    pub(crate) policy: Policy,
    pub(crate) limit: LimitPolicy,
    pub(crate) order: QueueOrder,
    pub(crate) deadline_cut: bool,
    /// Whether levels travel back and are applied by the callers' daemons.
    pub(crate) feedback: bool,
    /// Whether instances are picked by outstanding requests.
    pub(crate) balance: bool,
    /// Whether work is cancelled when its caller has gone.
    pub(crate) cancel: bool,
    /// Attempts that every hop adds by itself.
    pub(crate) hop_retries: u8,
    /// Retries that the whole request has, when hops share them.
    pub(crate) budget: u8,
    /// Whether refused callers are told when to come back.
    pub(crate) hints: bool,
}

/// What the daemons do by default.
pub(crate) const ADAPTIVE: Variant = Variant {
    name: "adaptive",
    policy: Policy::Adaptive,
    limit: LimitPolicy::Aimd,
    order: QueueOrder::AdaptiveRank,
    deadline_cut: true,
    feedback: true,
    balance: true,
    cancel: true,
    hop_retries: 0,
    budget: 1,
    hints: true,
};

/// No control, and naive retries at every hop.
pub(crate) const NO_CONTROL: Variant = Variant {
    name: "none",
    policy: Policy::None,
    limit: LimitPolicy::Slots,
    order: QueueOrder::Fifo,
    deadline_cut: false,
    feedback: false,
    balance: false,
    cancel: false,
    hop_retries: 2,
    budget: 0,
    hints: false,
};

/// A fixed limit for each instance, and naive retries at every hop.
pub(crate) const FIXED_LIMIT: Variant =
    Variant { name: "fixed", policy: Policy::FixedLimit, ..NO_CONTROL };

/// The baselines, and last the default policy.
pub(crate) const COMPARED: [Variant; 3] = [NO_CONTROL, FIXED_LIMIT, ADAPTIVE];

/// The default policy with one part left out or changed at a time.
pub(crate) const TRIALS: [Variant; 8] = [
    Variant { name: "slots", limit: LimitPolicy::Slots, ..ADAPTIVE },
    Variant { name: "fifo", order: QueueOrder::Fifo, ..ADAPTIVE },
    Variant { name: "no-cut", deadline_cut: false, ..ADAPTIVE },
    Variant { name: "local", feedback: false, ..ADAPTIVE },
    Variant { name: "no-hints", hints: false, ..ADAPTIVE },
    Variant { name: "no-retry", budget: 0, ..ADAPTIVE },
    Variant { name: "random", balance: false, ..ADAPTIVE },
    ADAPTIVE,
];

impl Variant {
    pub(crate) fn admission(&self, slots: usize) -> AdmissionConfig {
        AdmissionConfig {
            policy: self.policy,
            limit: self.limit,
            order: self.order,
            shed_past_deadline: self.deadline_cut,
            ..AdmissionConfig::new(slots)
        }
    }
}
