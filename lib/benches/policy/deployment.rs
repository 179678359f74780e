//! The two deployments of the brief, as sizes and classes of requests.

use std::time::Duration;

use endivescale::version::Criticality;

/// One service, served alike by its instances.
pub(crate) struct Service {
    pub(crate) slots: usize,
    pub(crate) connections: usize,
}

/// One class of requests, as one line of a rules file would make it.
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) criticality: Criticality,
    pub(crate) weight: u32,
    /// Share of the fresh requests.
    pub(crate) share: f64,
    /// Index into [`Deployment::services`].
    pub(crate) service: usize,
    /// Work at the service itself.
    pub(crate) front: Duration,
    /// Work at the deep service, half way through that at the service.
    pub(crate) deep: Option<Duration>,
    /// Time that a slow reader holds the slot after the answer has begun.
    pub(crate) transfer: Duration,
    pub(crate) deadline: Duration,
    pub(crate) idempotent: bool,
    pub(crate) may_wait: bool,
}

/// Sizes, latencies and classes of one deployment.
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    /// The last one is the deep service.
    pub(crate) services: [Service; 4],
    pub(crate) classes: [Class; 5],
    /// One way between availability zones.
    pub(crate) between_zones: Duration,
    /// One way to callers.
    pub(crate) to_callers: Duration,
}

/// Availability zones, and instances of each service.
pub(crate) const ZONES: usize = 3;

/// Index of the deep service.
pub(crate) const DEEP: usize = 3;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Tsagaan Grant Signals.
pub(crate) const TSAGAAN: Deployment = Deployment {
    name: "tsagaan",
    services: [
        Service { slots: 40, connections: 320 },
        Service { slots: 40, connections: 320 },
        Service { slots: 40, connections: 320 },
        Service { slots: 15, connections: 180 },
    ],
    classes: [
        Class {
            name: "submit",
            criticality: Criticality::Critical,
            weight: 10,
            share: 0.15,
            service: 0,
            front: ms(30),
            deep: Some(ms(40)),
            transfer: ms(0),
            deadline: ms(2000),
            idempotent: false,
            may_wait: false,
        },
        Class {
            name: "status",
            criticality: Criticality::High,
            weight: 4,
            share: 0.10,
            service: 0,
            front: ms(30),
            deep: None,
            transfer: ms(0),
            deadline: ms(1000),
            idempotent: true,
            may_wait: false,
        },
        Class {
            name: "search",
            criticality: Criticality::Normal,
            weight: 2,
            share: 0.45,
            service: 1,
            front: ms(50),
            deep: Some(ms(30)),
            transfer: ms(0),
            deadline: ms(1500),
            idempotent: true,
            may_wait: true,
        },
        Class {
            name: "browse",
            criticality: Criticality::Normal,
            weight: 2,
            share: 0.28,
            service: 2,
            front: ms(40),
            deep: None,
            transfer: ms(0),
            deadline: ms(1500),
            idempotent: true,
            may_wait: true,
        },
        Class {
            name: "pack",
            criticality: Criticality::Deferrable,
            weight: 1,
            share: 0.02,
            service: 2,
            front: ms(100),
            deep: None,
            transfer: ms(2000),
            deadline: ms(20_000),
            idempotent: true,
            may_wait: true,
        },
    ],
    between_zones: Duration::from_micros(1500),
    to_callers: ms(8),
};

/// Derwent Tankholders Co-operative.
pub(crate) const COOPERATIVE: Deployment = Deployment {
    name: "cooperative",
    services: [
        Service { slots: 140, connections: 900 },
        Service { slots: 140, connections: 900 },
        Service { slots: 140, connections: 900 },
        Service { slots: 30, connections: 290 },
    ],
    classes: [
        Class {
            name: "transfer",
            criticality: Criticality::Critical,
            weight: 10,
            share: 0.15,
            service: 0,
            front: ms(30),
            deep: Some(ms(40)),
            transfer: ms(0),
            deadline: ms(2000),
            idempotent: false,
            may_wait: false,
        },
        Class {
            name: "gauge",
            criticality: Criticality::High,
            weight: 4,
            share: 0.40,
            service: 1,
            front: ms(30),
            deep: Some(ms(15)),
            transfer: ms(0),
            deadline: ms(1000),
            idempotent: true,
            may_wait: false,
        },
        Class {
            name: "check",
            criticality: Criticality::Normal,
            weight: 2,
            share: 0.33,
            service: 0,
            front: ms(30),
            deep: Some(ms(20)),
            transfer: ms(0),
            deadline: ms(1500),
            idempotent: true,
            may_wait: true,
        },
        Class {
            name: "table",
            criticality: Criticality::Normal,
            weight: 1,
            share: 0.10,
            service: 2,
            front: ms(50),
            deep: None,
            transfer: ms(0),
            deadline: ms(1500),
            idempotent: true,
            may_wait: true,
        },
        Class {
            name: "audit",
            criticality: Criticality::Deferrable,
            weight: 1,
            share: 0.02,
            service: 2,
            front: ms(200),
            deep: None,
            transfer: ms(3000),
            deadline: ms(20_000),
            idempotent: true,
            may_wait: true,
        },
    ],
    between_zones: ms(1),
    to_callers: ms(3),
};
