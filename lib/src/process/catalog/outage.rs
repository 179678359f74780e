//! Notices outages of the catalog, and bounds the belief in entries that lapsed in one.

use std::time::Duration;

use http::StatusCode;

use super::CatalogError;

/// Shortest outage in which the lease of an instance may lapse.
const LAPSE_TIME_MIN: Duration = Duration::from_secs(2);
/// Time after the catalog's return within which living instances write their entries again.
const BELIEF_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which a daemon whose own path to the catalog has failed is not bound by removals.
const UNBOUND_TIME: Duration = Duration::from_secs(3);
/// Time after a confirmed removal within which requests may still be sent to the instance. The
/// tightest deployment allows 2 s until they arrive.
const DRAIN_TIME: Duration = Duration::from_millis(1800);

/// How long entries that lapsed in an outage are believed. See `docs/design/membership.md`.
#[derive(Clone, Copy, Debug)]
pub(super) struct Belief {
    /// When the catalog answered again.
    pub(super) back_at: Duration,
    /// Latest time at which the catalog is known to have been away.
    away_at: Duration,
    /// Live entries that were known at the catalog's return.
    known: usize,
    /// How many of them have lapsed.
    lapsed: usize,
}

impl Belief {
    /// Returns when the entries that lapsed are dropped.
    ///
    /// If most have lapsed, all instances were cut off, not just this daemon. Removals then
    /// bind from [`UNBOUND_TIME`] after the catalog's return, so one that binds is
    /// [`DRAIN_TIME`] old at the earliest when the entries are dropped.
    pub(super) fn until(&self) -> Duration {
        let bound = match self.is_shared() {
            true => self.drill_until(),
            false => self.away_at + UNBOUND_TIME,
        };
        bound.min(self.back_at + BELIEF_LIFETIME)
    }

    /// Returns when entries are dropped that a catalog lacks that came back from a copy.
    pub(super) fn drill_until(&self) -> Duration {
        self.away_at + UNBOUND_TIME + DRAIN_TIME
    }

    /// Whether a removal that is told now may be a lapse in the outage.
    pub(super) fn holds(&self, now: Duration) -> bool {
        now < self.back_at + BELIEF_LIFETIME
    }

    /// Counts an entry that has lapsed; returns whether [`Self::until`] has changed.
    pub(super) fn count_lapse(&mut self) -> bool {
        let was_shared = self.is_shared();
        self.lapsed += 1;
        self.is_shared() != was_shared
    }

    fn is_shared(&self) -> bool {
        self.lapsed * 2 > self.known
    }
}

/// An outage in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outage {
    /// When the catalog may have been away for the first time.
    began_at: Duration,
    /// Latest time at which the catalog is known to have been away.
    away_at: Duration,
}

impl Outage {
    /// Returns the outage with a call that was sent at a time and has failed now; unchanged
    /// if the failure says nothing of the catalog.
    pub(super) fn with_failure(
        outage: Option<Self>,
        sent_at: Duration,
        now: Duration,
        err: &CatalogError,
    ) -> Option<Self> {
        let (began_at, away_at) = match err {
            CatalogError::Timeout => (sent_at, sent_at),
            // The catalog may have come back since and reset the connection.
            CatalogError::Exchange { .. } | CatalogError::Body { .. } => (now, sent_at),
            // A catalog that is asked too often is not away.
            CatalogError::Refused { status } if *status == StatusCode::TOO_MANY_REQUESTS => {
                return outage;
            }
            CatalogError::Connect { .. } | CatalogError::Refused { .. } => (now, now),
            CatalogError::Unreadable { .. }
            | CatalogError::ChangesDiscarded
            | CatalogError::ChangesTooLong
            | CatalogError::EraChanged { .. }
            | CatalogError::EarlierEra { .. }
            | CatalogError::Relay => return outage,
        };
        Some(match outage {
            Some(outage) => Self { away_at: outage.away_at.max(away_at), ..outage },
            None => Self { began_at, away_at },
        })
    }

    /// Returns what is believed after the outage, which ends now; `None` if no lease can
    /// have lapsed in it.
    pub(super) fn end(self, now: Duration, known: usize) -> Option<Belief> {
        let may_lapse = now.saturating_sub(self.began_at) >= LAPSE_TIME_MIN;
        may_lapse.then_some(Belief { back_at: now, away_at: self.away_at, known, lapsed: 0 })
    }
}
