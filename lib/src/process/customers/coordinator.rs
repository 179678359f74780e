//! Decides, for all daemons that report to this one, which fraction of a customer's requests is
//! within its cap.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::Excess;
use super::UsageAnswer;
use super::UsageReport;
use super::fairness::UsualDemand;
use super::links::REPORTER_LIFETIME;
use crate::process::CustomerName;
use crate::version::customers::UsageCap;

/// Factor by which the part of a cap's rate may exceed the part of the daemons that report here. In a
/// split, the parts of all sides together exceed the cap by no more than that.
const PART_TOLERANCE: f64 = 1.2;
/// Time in which a customer's unused burst may be spent, and what was admitted in excess is
/// paid back.
const LEVEL_TIME: Duration = Duration::from_secs(1);
/// Most that is paid back, as a time of requests at the rate of the cap. What is older has
/// left every window in which it could count.
const DEBT_MAX: Duration = Duration::from_secs(4);
/// Shortest interval over which the rate of requests is measured.
const RATE_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Time constant of the average of a rate, for which single requests count.
const RATE_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Number of requests in an interval that determine the rate by themselves.
const RATE_REQUESTS_MIN: f64 = 30.0;
/// Rate below which a daemon no longer counts.
const RATE_MIN: f64 = 1e-3;

#[derive(Debug)]
struct Reporter {
    at: Duration,
    daemons: u32,
    /// The last report, whose requests have been counted.
    report: UsageReport,
}

/// Requests of one customer at all daemons that report here.
#[derive(Debug)]
struct Tracked {
    /// Requests a second at each daemon.
    rates: IndexMap<SocketAddr, f64, FxBuildHasher>,
    /// Sum of `rates`.
    demand: f64,
    /// Requests that may be admitted beyond the rate; below zero if too many were.
    level: f64,
    level_at: Duration,
    usual: UsualDemand,
}

impl Tracked {
    /// Updates the rate of one daemon by the requests that arrived there in an interval.
    fn update_rate(&mut self, from: SocketAddr, arrived: f64, interval: Duration) {
        let before = self.rates.get(&from).copied().unwrap_or(0.0);
        let interval = interval.max(RATE_INTERVAL_MIN).as_secs_f64();
        let weight_by_time = 1.0 - (-interval / RATE_TIME_CONSTANT.as_secs_f64()).exp();
        // Requests that were expected and did not arrive tell as much as those that did.
        let requests = arrived.max(before * interval);
        let weight = weight_by_time.max((requests / RATE_REQUESTS_MIN).min(1.0));
        self.set_rate(from, before + (arrived / interval - before) * weight);
    }

    fn set_rate(&mut self, from: SocketAddr, rate: f64) {
        let rate = if rate < RATE_MIN { 0.0 } else { rate };
        let before = match rate > 0.0 {
            true => self.rates.insert(from, rate),
            false => self.rates.swap_remove(&from),
        };
        // Rounding errors may otherwise leave a negative sum.
        self.demand = (self.demand + rate - before.unwrap_or(0.0)).max(0.0);
    }

    fn refill(&mut self, now: Duration, cap: &UsageCap, part: f64) {
        let elapsed = now.saturating_sub(self.level_at).as_secs_f64();
        self.level_at = now;
        self.usual.record(self.admitted(cap, part), elapsed);
        let lowest = -cap.per_second * DEBT_MAX.as_secs_f64();
        let level = self.level + cap.per_second * part * elapsed;
        self.level = level.min(burst(cap, part)).max(lowest);
    }

    /// Returns the requests a second that are admitted.
    fn admitted(&self, cap: &UsageCap, part: f64) -> f64 {
        self.demand * self.fraction(cap, part)
    }

    fn fraction(&self, cap: &UsageCap, part: f64) -> f64 {
        let allowed = cap.per_second * part + self.level / LEVEL_TIME.as_secs_f64();
        // Few requests a second vary by chance; their demand is surely above its average less
        // two standard deviations.
        match self.demand - 2.0 * self.demand.sqrt() > allowed {
            true => (allowed / self.demand).clamp(0.0, 1.0),
            false => 1.0,
        }
    }
}

/// Returns the part of a cap's burst; it has no tolerance, since all of it may be spent at once.
fn burst(cap: &UsageCap, part: f64) -> f64 {
    if part < 1.0 { cap.burst * part / PART_TOLERANCE } else { cap.burst }
}

/// Usage of all customers at the daemons that report here.
///
/// Load pattern: see [`super::Usage`].
#[derive(Debug, Default)]
pub struct Coordinator {
    reporters: IndexMap<SocketAddr, Reporter>,
    /// Time from which daemons have reported here without a gap.
    reported_since: Duration,
    customers: IndexMap<CustomerName, Tracked, FxBuildHasher>,
}

impl Coordinator {
    /// Records a report and returns the answer. `listed` is the number of listed daemons.
    pub fn record(
        &mut self,
        now: Duration,
        report: &UsageReport,
        listed: usize,
        cap: impl Fn(&CustomerName) -> Option<UsageCap>,
    ) -> UsageAnswer {
        self.expire(now);
        if self.reporters.is_empty() {
            self.reported_since = now;
        }
        if let Some(fresh) = self.uncounted(report) {
            let at = now;
            let reporter = Reporter { at, daemons: report.daemons, report: report.clone() };
            self.reporters.insert(report.from, reporter);
            self.count(now, &fresh, listed, &cap);
        }
        let part = self.part(listed);
        let fraction = |(name, tracked): (&CustomerName, &mut Tracked)| {
            let cap = cap(name)?;
            tracked.refill(now, &cap, part);
            let fraction = tracked.fraction(&cap, part);
            (fraction < 1.0).then(|| (name.clone(), fraction))
        };
        let fractions = self.customers.iter_mut().filter_map(fraction).collect();
        UsageAnswer { fractions, excess: self.excess(part, &cap) }
    }

    /// Returns the part of a report that has not been counted with an earlier one; `None` for a
    /// report that a later one has overtaken.
    fn uncounted(&self, report: &UsageReport) -> Option<UsageReport> {
        let Some(Reporter { report: counted, .. }) = self.reporters.get(&report.from) else {
            return Some(report.clone());
        };
        if (report.since, report.interval) < (counted.since, counted.interval) {
            return None;
        }
        let mut fresh = report.clone();
        if report.since == counted.since {
            fresh.interval -= counted.interval;
            let counted: IndexMap<_, _, FxBuildHasher> =
                counted.customers.iter().map(|usage| (&usage.name, usage)).collect();
            for usage in &mut fresh.customers {
                if let Some(counted) = counted.get(&usage.name) {
                    usage.arrived = usage.arrived.saturating_sub(counted.arrived);
                    usage.admitted -= counted.admitted;
                }
            }
        }
        Some(fresh)
    }

    fn count(
        &mut self,
        now: Duration,
        report: &UsageReport,
        listed: usize,
        cap: impl Fn(&CustomerName) -> Option<UsageCap>,
    ) {
        let part = self.part(listed);
        self.customers.retain(|name, _| cap(name).is_some());
        let reported: IndexMap<_, _, FxBuildHasher> =
            report.customers.iter().map(|usage| (&usage.name, usage)).collect();
        for (name, tracked) in &mut self.customers {
            if !reported.contains_key(name) {
                tracked.update_rate(report.from, 0.0, report.interval);
            }
        }
        for (name, usage) in reported {
            let Some(cap) = cap(name) else { continue };
            let tracked = self.customers.entry(name.clone()).or_insert_with(|| Tracked {
                rates: IndexMap::default(),
                demand: 0.0,
                // The customer has sent nothing since then.
                level: 0.0,
                level_at: self.reported_since,
                usual: UsualDemand::default(),
            });
            tracked.refill(now, &cap, part);
            tracked.update_rate(report.from, f64::from(usage.arrived), report.interval);
            tracked.level = (tracked.level - usage.admitted as f64).min(burst(&cap, part));
        }
    }

    /// Returns what customers ask beyond their parts.
    fn excess(&self, part: f64, cap: impl Fn(&CustomerName) -> Option<UsageCap>) -> Excess {
        let (mut all, mut in_excess) = (0.0, 0.0);
        let mut within = Vec::new();
        for (name, tracked) in &self.customers {
            let Some(cap) = cap(name) else { continue };
            let admitted = tracked.admitted(&cap, part);
            let fraction = tracked.usual.fraction_within(admitted);
            all += admitted;
            if fraction < 1.0 {
                in_excess += admitted * (1.0 - fraction);
                within.push((name.clone(), fraction));
            }
        }
        Excess { share: if all > 0.0 { in_excess / all } else { 0.0 }, within }
    }

    /// Returns the part of each cap that the daemons reporting here may use.
    fn part(&self, listed: usize) -> f64 {
        let reporting: u32 = self.reporters.values().map(|reporter| reporter.daemons).sum();
        let part = f64::from(reporting) / listed.max(1) as f64;
        (part * PART_TOLERANCE).min(1.0)
    }

    fn expire(&mut self, now: Duration) {
        let is_gone = |reporter: &Reporter| now.saturating_sub(reporter.at) > REPORTER_LIFETIME;
        let gone: Vec<SocketAddr> = self
            .reporters
            .iter()
            .filter(|(_, reporter)| is_gone(reporter))
            .map(|(from, _)| *from)
            .collect();
        for from in gone {
            self.reporters.swap_remove(&from);
            for tracked in self.customers.values_mut() {
                tracked.set_rate(from, 0.0);
            }
        }
    }

    /// Returns the number of daemons that report here.
    pub fn reporters(&self) -> usize {
        self.reporters.len()
    }
}
