//! Chooses the coordinators that a daemon reports to, and the one whose answer it follows.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::CustomerUsage;
use super::Excess;
use super::UsageAnswer;
use super::UsageReport;
use crate::process::CustomerName;
use crate::process::routing::rendezvous;

/// Coordinators that a daemon reports to: one to follow and a standby that knows as much, so
/// that the loss of one of them changes nothing.
const COORDINATORS: usize = 2;
/// How long the fractions of an answer apply, from when the report was sent: until the answer to
/// the next report is late.
const ANSWER_LIFETIME: Duration = Duration::from_millis(1400);
/// Time after its last report for which a daemon counts as one of those that report to a
/// coordinator: the longest interval, and a repeated report. It is hardly longer than
/// [`ANSWER_LIFETIME`], so that a standby which is followed after a split knows its part.
pub(super) const REPORTER_LIFETIME: Duration = Duration::from_millis(1500);
/// Time after the first report to a coordinator in which it learns the demand. Its answers are
/// not followed before.
const DEMAND_LEARNING_TIME: Duration = Duration::from_secs(1);
/// Reports that a coordinator may leave without an answer before its first one.
const FIRST_REPORTS_MAX: u32 = 2;
/// Time without an answer after which a coordinator that has answered before is given up on. It
/// is longer than one lost message after another lasts, since lost messages must not scatter the
/// daemons over many coordinators.
const SILENCE_MAX: Duration = Duration::from_millis(2500);
/// How long a coordinator that did not answer is passed over. It is longer than the list of VMs
/// needs to drop one that is gone.
const FAILED_COORDINATOR_TIME: Duration = Duration::from_secs(30);
/// Key by which daemons rank each other as coordinators.
const COORDINATOR_RANKING: &str = "usage";

/// Requests since the last report that was answered.
#[derive(Clone, Copy, Debug, Default)]
struct Unreported {
    arrived: u32,
    admitted: i64,
}

/// What passed between this daemon and one coordinator.
#[derive(Debug)]
struct Link {
    coordinator: SocketAddr,
    began: Duration,
    /// Time of the last report that was answered.
    since: Duration,
    counts: IndexMap<CustomerName, Unreported, FxBuildHasher>,
    /// Whether an answer is awaited.
    is_awaited: bool,
    unanswered: u32,
    valid_until: Duration,
    /// Whether the coordinator knows the demand at the daemons that report to it.
    is_informed: bool,
    fractions: IndexMap<CustomerName, f64, FxBuildHasher>,
    excess: Excess,
}

impl Link {
    fn new(now: Duration, coordinator: SocketAddr) -> Self {
        Self {
            coordinator,
            began: now,
            since: now,
            counts: IndexMap::default(),
            is_awaited: false,
            unanswered: 0,
            valid_until: Duration::ZERO,
            is_informed: false,
            fractions: IndexMap::default(),
            excess: Excess::default(),
        }
    }

    fn report(&self, now: Duration, from: SocketAddr) -> UsageReport {
        let customer = |(name, count): (&CustomerName, &Unreported)| CustomerUsage {
            name: name.clone(),
            arrived: count.arrived,
            admitted: count.admitted,
        };
        let customers = self.counts.iter().map(customer).collect();
        let interval = now.saturating_sub(self.since);
        UsageReport { from, daemons: 1, since: self.since, interval, customers }
    }

    /// Whether the coordinator is to be given up on.
    fn has_failed(&self, now: Duration) -> bool {
        match self.valid_until.is_zero() {
            true => self.unanswered >= FIRST_REPORTS_MAX,
            false => self.unanswered > 0 && now.saturating_sub(self.since) >= SILENCE_MAX,
        }
    }

    fn acknowledge(&mut self, report: &UsageReport, answer: &UsageAnswer) {
        for usage in &report.customers {
            if let Some(count) = self.counts.get_mut(&usage.name) {
                count.arrived = count.arrived.saturating_sub(usage.arrived);
                count.admitted -= usage.admitted;
            }
        }
        self.counts.retain(|_, count| count.arrived > 0 || count.admitted != 0);
        self.since = report.sent_at();
        self.is_awaited = false;
        self.unanswered = 0;
        self.valid_until = report.sent_at() + ANSWER_LIFETIME;
        self.fractions = answer
            .fractions
            .iter()
            .map(|(name, fraction)| (name.clone(), fraction.clamp(0.0, 1.0)))
            .collect();
        self.excess.clone_from(&answer.excess);
    }
}

/// The coordinators of usage that a daemon reports to, in order of rank.
///
/// Each of them counts the requests at all daemons that report to it and gives away fractions of
/// what arrives there, so daemons that follow different ones admit no more together than daemons
/// that follow the same one.
#[derive(Debug, Default)]
pub(super) struct CoordinatorLinks {
    links: Vec<Link>,
    /// Coordinators that are passed over, and until when.
    failed: IndexMap<SocketAddr, Duration>,
    /// When the last report was sent whose answer could be followed.
    informed_at: Option<Duration>,
}

impl CoordinatorLinks {
    /// Counts a request that has arrived.
    pub(super) fn record_arrival(&mut self, name: &CustomerName, is_admitted: bool) {
        for link in &mut self.links {
            let count = link.counts.entry(name.clone()).or_default();
            count.arrived = count.arrived.saturating_add(1);
            count.admitted += i64::from(is_admitted);
        }
    }

    /// Takes back a request that was admitted and did not run.
    pub(super) fn record_unused(&mut self, name: &CustomerName) {
        for link in &mut self.links {
            link.counts.entry(name.clone()).or_default().admitted -= 1;
        }
    }

    /// Chooses the coordinators among the daemons: the same at all daemons with the same list.
    pub(super) fn choose(&mut self, now: Duration, daemons: impl Iterator<Item = SocketAddr>) {
        self.failed.retain(|_, until| *until > now);
        let mut ranked: Vec<(u64, SocketAddr)> = daemons
            .filter(|daemon| !self.failed.contains_key(daemon))
            .map(|daemon| (rendezvous(COORDINATOR_RANKING, &daemon.to_string()), daemon))
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.dedup();
        let mut before = std::mem::take(&mut self.links);
        for (_, coordinator) in ranked.into_iter().take(COORDINATORS) {
            let known = before.iter().position(|link| link.coordinator == coordinator);
            let link = match known {
                Some(n) => before.swap_remove(n),
                None => Link::new(now, coordinator),
            };
            self.links.push(link);
        }
    }

    /// Returns a report for each coordinator that has none in progress.
    pub(super) fn take_reports(
        &mut self,
        now: Duration,
        from: SocketAddr,
    ) -> Vec<(SocketAddr, UsageReport)> {
        let mut reports = Vec::new();
        for link in self.links.iter_mut().filter(|link| !link.is_awaited) {
            link.is_awaited = true;
            reports.push((link.coordinator, link.report(now, from)));
        }
        reports
    }

    /// Applies an answer; returns whether it is the one that the daemon follows.
    pub(super) fn record_answer(
        &mut self,
        coordinator: SocketAddr,
        report: &UsageReport,
        answer: &UsageAnswer,
    ) -> bool {
        let sent_at = report.sent_at();
        let informed_at = self.informed_at;
        let Some(link) = self.links.iter_mut().find(|link| link.coordinator == coordinator) else {
            return false;
        };
        link.acknowledge(report, answer);
        // A coordinator that was followed before counts this daemon for a while yet.
        let age = sent_at.saturating_sub(link.began);
        link.is_informed |= match informed_at {
            None => true,
            Some(at) if sent_at.saturating_sub(at) >= REPORTER_LIFETIME => {
                age >= DEMAND_LEARNING_TIME
            }
            Some(_) => age >= REPORTER_LIFETIME,
        };
        if link.is_informed {
            self.informed_at = self.informed_at.max(Some(sent_at));
        }
        self.followed(sent_at).is_some_and(|link| link.coordinator == coordinator)
    }

    /// Records that a report was not answered. A coordinator that answers none is passed over for
    /// a while.
    pub(super) fn record_failure(&mut self, now: Duration, coordinator: SocketAddr) {
        let Some(link) = self.links.iter_mut().find(|link| link.coordinator == coordinator) else {
            return;
        };
        link.is_awaited = false;
        link.unanswered += 1;
        if link.has_failed(now) {
            self.failed.insert(coordinator, now + FAILED_COORDINATOR_TIME);
        }
    }

    /// Whether a coordinator has left a report without an answer since its last one.
    pub(super) fn is_unanswered(&self) -> bool {
        self.links.iter().any(|link| link.unanswered > 0)
    }

    /// Returns the coordinator that the daemon follows.
    pub(super) fn coordinator(&self, now: Duration) -> Option<SocketAddr> {
        self.followed(now).map(|link| link.coordinator)
    }

    /// Returns the fraction of a customer's requests that may be admitted; `None` without a
    /// recent answer.
    pub(super) fn fraction(&self, now: Duration, name: &CustomerName) -> Option<f64> {
        let link = self.followed(now)?;
        Some(link.fractions.get(name).copied().unwrap_or(1.0))
    }

    /// Whether the daemon admits a fraction of the requests of some customer only.
    pub(super) fn is_limited(&self, now: Duration) -> bool {
        self.followed(now).is_some_and(|link| !link.fractions.is_empty())
    }

    /// Returns what customers ask beyond their parts, by a recent answer.
    pub(super) fn excess(&self, now: Duration) -> Option<&Excess> {
        self.followed(now).map(|link| &link.excess)
    }

    /// Returns the time at which the last answer that was followed ceases to apply.
    pub(super) fn answered_until(&self) -> Duration {
        self.informed_at.map_or(Duration::ZERO, |at| at + ANSWER_LIFETIME)
    }

    /// Forgets customers that the version in force no longer names.
    pub(super) fn retain(&mut self, is_named: impl Fn(&CustomerName) -> bool) {
        for link in &mut self.links {
            link.counts.retain(|name, _| is_named(name));
        }
    }

    fn followed(&self, now: Duration) -> Option<&Link> {
        self.links.iter().find(|link| link.is_informed && now < link.valid_until)
    }
}
