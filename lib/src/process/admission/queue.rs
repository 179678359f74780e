//! Queue of the requests that wait for a slot.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::Ticket;
use super::Work;
use super::load::WaitingLoad;
use crate::version::Criticality;

/// One queued request.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub(super) work: Work,
    pub(super) arrived: Duration,
    /// When the request is shed if it has not started.
    pub(super) expires: Duration,
    /// Expected time for which the request will hold a slot, in seconds.
    pub(super) hold_seconds: f64,
}

/// Order in which queued requests are shed; the greatest key is shed first.
///
/// New requests are shed before calls deep in a chain, on which more work has already
/// been spent.
pub(super) type ShedKey = (Criticality, Reverse<u8>, u16);

/// Returns the position of a request in the order of shedding.
pub(super) fn shed_key(work: &Work) -> ShedKey {
    (work.criticality, Reverse(work.depth), work.hash)
}

/// Queued requests, indexed by each order in which they leave the queue.
///
/// Every request is in `entries` and exactly once in each index.
#[derive(Debug, Default)]
pub(super) struct WaitQueue {
    entries: IndexMap<Ticket, QueuedRequest, FxBuildHasher>,
    by_start_order: [BTreeSet<(Reverse<u8>, Ticket)>; Criticality::ALL.len()],
    by_hash: [BTreeSet<(u16, Ticket)>; Criticality::ALL.len()],
    by_age: [BTreeSet<Ticket>; Criticality::ALL.len()],
    by_shed_order: BTreeSet<(ShedKey, Ticket)>,
    by_expiry: BTreeSet<(Duration, Ticket)>,
    load: WaitingLoad,
    /// Number of requests without an objective, by criticality.
    without_objective: [usize; Criticality::ALL.len()],
}

impl WaitQueue {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn len_of(&self, criticality: Criticality) -> usize {
        self.by_age[usize::from(criticality.rank())].len()
    }

    /// Returns the number of requests without an objective. Their queueing delay is
    /// bounded by its target.
    pub(super) fn without_objective(&self) -> usize {
        self.without_objective.iter().sum()
    }

    /// Returns the number of requests of one criticality without an objective.
    pub(super) fn without_objective_of(&self, criticality: Criticality) -> usize {
        self.without_objective[usize::from(criticality.rank())]
    }

    pub(super) fn push(&mut self, ticket: Ticket, request: QueuedRequest) {
        let rank = usize::from(request.work.criticality.rank());
        self.by_start_order[rank].insert((Reverse(request.work.depth), ticket));
        self.by_hash[rank].insert((request.work.hash, ticket));
        self.by_age[rank].insert(ticket);
        self.without_objective[rank] += usize::from(request.work.objective.is_none());
        self.by_shed_order.insert((shed_key(&request.work), ticket));
        self.by_expiry.insert((request.expires, ticket));
        self.load.add(request.work.criticality, request.work.depth, request.hold_seconds);
        self.entries.insert(ticket, request);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let request = self.entries.swap_remove(&ticket)?;
        let rank = usize::from(request.work.criticality.rank());
        self.by_start_order[rank].remove(&(Reverse(request.work.depth), ticket));
        self.by_hash[rank].remove(&(request.work.hash, ticket));
        self.by_age[rank].remove(&ticket);
        self.without_objective[rank] -= usize::from(request.work.objective.is_none());
        self.by_shed_order.remove(&(shed_key(&request.work), ticket));
        self.by_expiry.remove(&(request.expires, ticket));
        self.load.remove(request.work.criticality, request.work.depth, request.hold_seconds);
        Some(request)
    }

    /// Returns the slot seconds that the queued calls of a criticality need.
    pub(super) fn call_seconds(&self, criticality: Criticality) -> f64 {
        self.load.seconds_of_calls(criticality)
    }

    /// Returns the slot seconds of the queued requests that start before a new request of
    /// a criticality and depth.
    pub(super) fn seconds_ahead_of(&self, criticality: Criticality, depth: u8) -> f64 {
        self.load.seconds_ahead_of(criticality, depth)
    }

    /// Returns the oldest of the deepest requests of one criticality.
    pub(super) fn oldest_of(&self, criticality: Criticality) -> Option<Ticket> {
        let order = &self.by_start_order[usize::from(criticality.rank())];
        order.first().map(|&(_, oldest)| oldest)
    }

    /// Returns the request of one criticality whose root request has the lowest hash.
    pub(super) fn lowest_hash_of(&self, criticality: Criticality) -> Option<Ticket> {
        let order = &self.by_hash[usize::from(criticality.rank())];
        order.first().map(|&(_, ticket)| ticket)
    }

    /// Returns the oldest request in the queue.
    pub(super) fn oldest(&self) -> Option<Ticket> {
        self.by_age.iter().filter_map(|tickets| tickets.first().copied()).min()
    }

    /// Returns how long the oldest request of one criticality has waited.
    pub(super) fn oldest_wait(&self, now: Duration, criticality: Criticality) -> Option<Duration> {
        let oldest = self.by_age[usize::from(criticality.rank())].first()?;
        Some(now.saturating_sub(self.entries.get(oldest)?.arrived))
    }

    /// Returns the request that is shed first and its key.
    pub(super) fn first_to_shed(&self) -> Option<(ShedKey, Ticket)> {
        self.by_shed_order.last().copied()
    }

    /// Removes one request that has expired, if any.
    pub(super) fn pop_expired(&mut self, now: Duration) -> Option<(Ticket, QueuedRequest)> {
        let &(expires, ticket) = self.by_expiry.first()?;
        if expires > now {
            return None;
        }
        self.remove(ticket).map(|request| (ticket, request))
    }

    /// Returns when the next request expires.
    pub(super) fn next_expiry(&self) -> Option<Duration> {
        self.by_expiry.first().map(|&(expires, _)| expires)
    }
}
