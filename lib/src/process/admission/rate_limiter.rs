//! Keeps the rate of requests to the upstream at the limit that it states.
//!
//! Load pattern: an upstream in need states how many requests a second it takes, while its
//! slots are free and other instances have room. What does not fit is refused at once, before
//! work is spent on it, so that its sender finds another instance. See
//! `docs/design/rate-limits.md`.

use std::time::Duration;

use super::KnownLimit;
use super::Level;
use super::LimitChange;
use super::LimitNotice;
use super::Work;
use super::level_control::LevelControl;
use super::load::OfferedLoad;
use super::rate_limit::LimitRecord;
use crate::version::Criticality;

/// Time of the limit's rate that may be saved up by sending less.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Lowest rate, in requests per second. An upstream that takes none must still be asked now
/// and then, because only its answers show that it takes some again.
const RATE_MIN: f64 = 1.0;
/// Share of the burst that is left to more critical requests, by criticality.
const RESERVED_SHARES: [f64; Criticality::ALL.len()] = [0.0, 0.1, 0.25, 0.5];
/// Factor on that share for calls, because work was spent on the requests that made them.
const CALL_RESERVE_FACTOR: f64 = 0.5;
/// Share of the burst that is left to the requests that the level admits.
const EXCLUDED_RESERVED_SHARE: f64 = 0.75;
/// Share of the burst below which the upstream counts as being at its limit.
const AT_LIMIT_SHARE: f64 = 0.5;
/// Load of one request if the capacity is a number of requests per second.
const REQUEST: f64 = 1.0;

/// Token bucket with a reserve for more critical requests, and an admission level, so that
/// a lasting excess is refused for the same requests at every hop.
#[derive(Clone, Debug)]
pub(super) struct RateLimiter {
    record: LimitRecord,
    /// Requests that may be sent at once.
    tokens: f64,
    refilled_at: Duration,
    /// All requests that arrive, per second.
    offered: OfferedLoad,
    /// Requests per second that arrive and that the level admits.
    admissible: OfferedLoad,
    /// Requests per second that are sent to the upstream.
    sent: OfferedLoad,
    level: LevelControl,
    /// Most critical class of which an admissible request was refused in this window.
    refused_class: Option<Criticality>,
}

impl RateLimiter {
    pub(super) fn new() -> Self {
        Self {
            record: LimitRecord::default(),
            tokens: 0.0,
            refilled_at: Duration::ZERO,
            offered: OfferedLoad::default(),
            admissible: OfferedLoad::default(),
            sent: OfferedLoad::default(),
            level: LevelControl::new(),
            refused_class: None,
        }
    }

    /// Records what an answer says about the limit; see [`LimitRecord`].
    pub(super) fn record_notice(
        &mut self,
        now: Duration,
        notice: LimitNotice,
        is_late: bool,
    ) -> Option<LimitChange> {
        self.update(now, |record| match is_late {
            true => record.record_late_answer(now, notice),
            false => record.record_answer(now, notice),
        })
    }

    /// Adopts a limit that another daemon knows of.
    pub(super) fn adopt(&mut self, now: Duration, known: KnownLimit) -> Option<LimitChange> {
        self.update(now, |record| record.adopt(now, known))
    }

    /// Forgets the limit, because another upstream uses the address.
    pub(super) fn clear(&mut self, now: Duration) -> Option<LimitChange> {
        self.update(now, LimitRecord::clear)
    }

    /// Returns the limit in force, for other daemons.
    pub(super) fn known(&self, now: Duration) -> Option<KnownLimit> {
        self.record.known(now)
    }

    /// Returns the rate of requests that is sent at most, if there is a limit.
    pub(super) fn rate(&self) -> Option<f64> {
        self.record.rate().map(|rate| rate.per_second().max(RATE_MIN))
    }

    /// Records that a request has arrived, and returns whether it fits now.
    pub(super) fn offer(&mut self, now: Duration, work: &Work) -> bool {
        if self.rate().is_none() {
            return true;
        }
        self.refill(now);
        self.offered.record_arrival(work.criticality, work.depth, REQUEST);
        if self.admits(work) {
            self.admissible.record_arrival(work.criticality, work.depth, REQUEST);
        }
        let fits = self.fits(work);
        if !fits {
            self.record_refusal(work);
        }
        fits
    }

    /// Takes the place of a request that is about to be sent; returns whether it fits.
    pub(super) fn try_send(&mut self, now: Duration, work: &Work) -> bool {
        if self.rate().is_none() {
            return true;
        }
        self.refill(now);
        if !self.fits(work) {
            self.record_refusal(work);
            return false;
        }
        self.tokens -= 1.0;
        self.sent.record_arrival(work.criticality, work.depth, REQUEST);
        true
    }

    /// Takes the place of a request that is about to be sent to the upstream once more.
    pub(super) fn try_resend(&mut self, now: Duration) -> bool {
        if self.rate().is_none() {
            return true;
        }
        self.refill(now);
        let fits = self.tokens >= 1.0;
        if fits {
            self.tokens -= 1.0;
        }
        fits
    }

    /// Returns whether the upstream gets about as much as it takes, so that it may refuse
    /// requests for its limit.
    pub(super) fn is_at_limit(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.rate().is_some() && self.tokens < self.burst() * AT_LIMIT_SHARE
    }

    /// Ends a window and adapts the level.
    pub(super) fn close_window(&mut self, elapsed: Duration) {
        let Some(rate) = self.rate() else { return };
        for load in [&mut self.offered, &mut self.admissible, &mut self.sent] {
            load.close_window(elapsed);
        }
        let utilization = self.sent.total() / rate;
        self.level.close_window(self.refused_class.take(), &self.admissible, rate, utilization);
    }

    /// Returns the level that callers should apply.
    pub(super) fn level(&self) -> Level {
        self.level.level()
    }

    pub(super) fn is_open(&self) -> bool {
        self.level.is_open()
    }

    /// Returns the offered rate as a share of the limit; 0 without a limit.
    pub(super) fn utilization(&self) -> f64 {
        self.rate().map_or(0.0, |rate| self.offered.total() / rate)
    }

    fn update(
        &mut self,
        now: Duration,
        record: impl FnOnce(&mut LimitRecord) -> Option<LimitChange>,
    ) -> Option<LimitChange> {
        self.refill(now);
        let had_limit = self.rate().is_some();
        let change = record(&mut self.record);
        match (had_limit, self.rate().is_some()) {
            // Nothing is saved up yet when a limit comes into force.
            (false, true) | (true, false) => {
                *self = Self { record: self.record, refilled_at: now, ..Self::new() };
            }
            (true, true) => self.tokens = self.tokens.min(self.burst()),
            (false, false) => {}
        }
        change
    }

    fn burst(&self) -> f64 {
        1.0 + self.rate().unwrap_or(0.0) * BURST_TIME.as_secs_f64()
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let earned = self.rate().unwrap_or(0.0) * elapsed.as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.burst());
    }

    fn admits(&self, work: &Work) -> bool {
        work.depth > 0 || self.level().admits(work.criticality, work.hash)
    }

    fn fits(&self, work: &Work) -> bool {
        let reserved_share = match self.admits(work) {
            true if work.depth > 0 => reserved_share(work.criticality) * CALL_RESERVE_FACTOR,
            true => reserved_share(work.criticality),
            false => EXCLUDED_RESERVED_SHARE,
        };
        self.tokens >= 1.0 + reserved_share * (self.burst() - 1.0)
    }

    fn record_refusal(&mut self, work: &Work) {
        if self.admits(work) {
            let refused = self.refused_class.map_or(work.criticality, |c| c.min(work.criticality));
            self.refused_class = Some(refused);
        }
    }
}

fn reserved_share(criticality: Criticality) -> f64 {
    RESERVED_SHARES[usize::from(criticality.rank())]
}
