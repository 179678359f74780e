//! Decides, at one daemon, which requests of a customer are within its cap.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxBuildHasher;

use super::UsageAnswer;
use super::UsageReport;
use super::links::CoordinatorLinks;
use crate::process::CustomerName;
use crate::version::customers::UsageCap;

/// How long a daemon without an answer goes on at the rates that coordinators allowed before. It
/// bridges the time until other coordinators know the demand.
const BRIDGE_TIME: Duration = Duration::from_secs(4);
/// Time constant of the average of the rates that coordinators allow a daemon, in seconds.
const ALLOWED_TIME_CONSTANT: f64 = 2.0;
/// Time between two reports while no customer sends more than its even part here.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// The same while some customer does.
const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest time between two reports, also after a surge.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(50);
/// Rise of a customer's requests over the usual ones that is reported at once.
const SURGE_FACTOR: f64 = 2.0;
/// Requests that are no surge, however few there were before.
const SURGE_REQUESTS_MIN: f64 = 2.0;
/// Time constant of the average that is the usual rate of requests here, in seconds.
const USUAL_RATE_TIME_CONSTANT: f64 = 2.0;
/// Requests beyond a customer's even part that make a daemon report more often. Without it, each
/// single request of a small customer would.
const BUSY_REQUESTS_MIN: f64 = 1.0;

/// Part of all daemons that one daemon is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonPart {
    /// Number of listed daemons.
    pub daemons: usize,
}

impl DaemonPart {
    fn share(self) -> f64 {
        1.0 / self.daemons.max(1) as f64
    }
}

/// Requests of one customer at this daemon.
#[derive(Clone, Debug)]
struct Account {
    /// Requests since the last report.
    arrived: u32,
    /// Moving average of the requests a second up to the last report.
    usual_rate: f64,
    /// Moving average of the requests a second that coordinators allowed here.
    allowed_rate: f64,
    /// Sum of the fractions of past requests, less one for each that was admitted.
    credit: f64,
    /// Requests that may be admitted without a coordinator.
    level: f64,
    level_at: Duration,
    /// Requests that were refused since the start of the daemon.
    refused: u64,
}

/// Usage of all customers at one daemon, and the fractions that it may admit.
///
/// Load pattern: one customer sends many times its usual at all daemons, or from one daemon
/// after the other, while others send less than one request a second; the coordinator is lost
/// or on the other side of a split. Times are of a clock that counts suspended time.
#[derive(Debug)]
pub struct Usage {
    accounts: IndexMap<CustomerName, Account, FxBuildHasher>,
    links: CoordinatorLinks,
    reported_at: Duration,
    rng: ChaCha8Rng,
}

impl Usage {
    /// Creates the state of a daemon that has served no customer.
    pub fn new(seed: u64) -> Self {
        Self {
            accounts: IndexMap::default(),
            links: CoordinatorLinks::default(),
            reported_at: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Decides whether a request that has just arrived is within its customer's cap.
    pub fn admit(
        &mut self,
        now: Duration,
        name: &CustomerName,
        cap: &UsageCap,
        part: DaemonPart,
    ) -> bool {
        let fraction = self.links.fraction(now, name);
        let is_bridged = now < self.links.answered_until() + BRIDGE_TIME;
        let draw = self.rng.random_range(0.0..1.0);
        if !self.accounts.contains_key(name) {
            // Nothing of its burst has been spent here.
            let level = cap.burst * part.share();
            self.accounts.insert(name.clone(), Account::new(now, draw, level));
        }
        let account = &mut self.accounts[name];
        account.arrived = account.arrived.saturating_add(1);
        account.refill(now, cap, part, is_bridged);
        let is_within = match fraction {
            Some(fraction) => account.take_fraction(fraction),
            None => account.take_from_level(draw),
        };
        if !is_within {
            account.refused += 1;
        }
        self.links.record_arrival(name, is_within);
        is_within
    }

    /// Returns the hash by which a request is shed, given an evenly spread one.
    pub fn rank(&self, now: Duration, customer: Option<&CustomerName>, hash: u16) -> u16 {
        self.links.excess(now).map_or(hash, |excess| excess.rank(customer, hash))
    }

    /// Gives back a request that was admitted and did not run.
    pub fn give_back(&mut self, name: &CustomerName) {
        if self.accounts.contains_key(name) {
            self.links.record_unused(name);
        }
    }

    /// Returns the time until the next reports are due.
    pub fn report_due_in(
        &self,
        now: Duration,
        part: DaemonPart,
        cap: impl Fn(&CustomerName) -> Option<UsageCap>,
    ) -> Duration {
        let elapsed = now.saturating_sub(self.reported_at);
        // Fractions must follow demand that falls, too, and lost reports are repeated.
        let is_busy = self.links.is_limited(now) || self.links.is_unanswered();
        let mut interval = if is_busy { BUSY_REPORT_INTERVAL } else { REPORT_INTERVAL };
        for (name, account) in &self.accounts {
            if account.arrived == 0 {
                continue;
            }
            let Some(cap) = cap(name) else { continue };
            let even_part = cap.per_second * part.share() * elapsed.as_secs_f64();
            if account.has_surged(elapsed) {
                interval = REPORT_INTERVAL_MIN;
                break;
            }
            if f64::from(account.arrived) > even_part + BUSY_REQUESTS_MIN {
                interval = BUSY_REPORT_INTERVAL;
            }
        }
        interval.saturating_sub(elapsed)
    }

    /// Whether the requests of a customer have risen so much that a report should be sent
    /// before the next one is due.
    pub fn has_surged(&self, now: Duration, name: &CustomerName) -> bool {
        let elapsed = now.saturating_sub(self.reported_at);
        self.accounts.get(name).is_some_and(|account| account.has_surged(elapsed))
    }

    /// Returns the reports that are to be sent now, with the coordinators that they go to. Each
    /// must be followed by [`Self::record_answer`] or [`Self::record_failure`].
    pub fn take_reports(
        &mut self,
        now: Duration,
        from: SocketAddr,
        daemons: impl Iterator<Item = SocketAddr>,
    ) -> Vec<(SocketAddr, UsageReport)> {
        let seconds = now.saturating_sub(self.reported_at).as_secs_f64().max(1e-3);
        self.reported_at = now;
        let weight = 1.0 - (-seconds / USUAL_RATE_TIME_CONSTANT).exp();
        for account in self.accounts.values_mut() {
            let rate = f64::from(std::mem::take(&mut account.arrived)) / seconds;
            account.usual_rate += (rate - account.usual_rate) * weight;
        }
        self.links.choose(now, daemons);
        self.links.take_reports(now, from)
    }

    /// Applies a coordinator's answer to a report.
    pub fn record_answer(
        &mut self,
        coordinator: SocketAddr,
        report: &UsageReport,
        answer: &UsageAnswer,
    ) {
        if !self.links.record_answer(coordinator, report, answer) {
            return;
        }
        let seconds = report.interval.as_secs_f64().max(1e-3);
        let weight = 1.0 - (-seconds / ALLOWED_TIME_CONSTANT).exp();
        let arrived: IndexMap<_, _, FxBuildHasher> =
            report.customers.iter().map(|usage| (&usage.name, usage.arrived)).collect();
        for (name, account) in &mut self.accounts {
            let arrived = arrived.get(name).copied().unwrap_or(0);
            let fraction = self.links.fraction(report.sent_at(), name).unwrap_or(1.0);
            let rate = f64::from(arrived) / seconds * fraction;
            account.allowed_rate += (rate - account.allowed_rate) * weight;
        }
    }

    /// Records that a coordinator has not answered a report in time.
    pub fn record_failure(&mut self, now: Duration, coordinator: SocketAddr) {
        self.links.record_failure(now, coordinator);
    }

    /// Returns the coordinator whose answers are followed.
    pub fn coordinator(&self, now: Duration) -> Option<SocketAddr> {
        self.links.coordinator(now)
    }

    /// Forgets customers that the version in force no longer names.
    pub fn retain(&mut self, is_named: impl Fn(&CustomerName) -> bool) {
        self.links.retain(&is_named);
        self.accounts.retain(|name, _| is_named(name));
    }

    /// Returns the fraction that may be admitted and the number of refused requests of each
    /// customer, for operators.
    pub fn standing(&self, now: Duration) -> impl Iterator<Item = (&CustomerName, f64, u64)> {
        self.accounts.iter().map(move |(name, account)| {
            let fraction = self.links.fraction(now, name).unwrap_or(0.0);
            (name, fraction, account.refused)
        })
    }
}

impl Account {
    fn new(now: Duration, credit: f64, level: f64) -> Self {
        Self {
            arrived: 0,
            usual_rate: 0.0,
            allowed_rate: 0.0,
            credit,
            level,
            level_at: now,
            refused: 0,
        }
    }

    fn has_surged(&self, elapsed: Duration) -> bool {
        let expected = self.usual_rate * elapsed.as_secs_f64() * SURGE_FACTOR;
        f64::from(self.arrived) > expected + SURGE_REQUESTS_MIN
    }

    fn refill(&mut self, now: Duration, cap: &UsageCap, part: DaemonPart, is_bridged: bool) {
        let elapsed = now.saturating_sub(self.level_at).as_secs_f64();
        self.level_at = now;
        let own_rate = cap.per_second * part.share();
        let rate = match is_bridged {
            true => self.allowed_rate.max(own_rate).min(cap.per_second),
            false => own_rate,
        };
        let level_max = (cap.burst * part.share()).max(self.allowed_rate);
        self.level = (self.level + rate * elapsed).min(level_max);
    }

    /// Admits the fraction of the requests that the coordinator has set, evenly spread.
    fn take_fraction(&mut self, fraction: f64) -> bool {
        self.credit = (self.credit + fraction).min(2.0);
        let is_within = fraction >= 1.0 || self.credit >= 1.0;
        if is_within {
            self.credit = (self.credit - 1.0).max(0.0);
        }
        is_within
    }

    /// Admits a request from this daemon's own part of the cap. Less than a whole request is
    /// drawn by lot, so that small parts are used as well.
    fn take_from_level(&mut self, draw: f64) -> bool {
        let is_within = self.level > draw;
        if is_within {
            self.level -= 1.0;
        }
        is_within
    }
}
