//! Drives the usage accounts of customers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;

use super::Node;
use crate::process::CustomerName;
use crate::process::clock::boot_time;
use crate::process::config::ActiveRules;
use crate::process::customers::Coordinator;
use crate::process::customers::DaemonPart;
use crate::process::customers::Usage;
use crate::process::customers::UsageAnswer;
use crate::process::customers::UsageReport;
use crate::process::log;
use crate::process::log::StateChange;
use crate::version::customers::Customer;
use crate::version::customers::UsageCap;

/// Usage of customers, as this daemon counts it and as others report it here.
#[derive(Debug)]
pub(crate) struct Customers {
    usage: Mutex<Usage>,
    coordinator: Mutex<Coordinator>,
    /// Coordinator that answered last, for the log.
    answering: Mutex<Option<SocketAddr>>,
    /// Wakes the task that reports usage when a customer's requests rise sharply.
    pub(crate) surged: Notify,
}

fn cap_in(rules: &ActiveRules) -> impl Fn(&CustomerName) -> Option<UsageCap> {
    |name| rules.policy.customers().get(name)?.cap
}

impl Customers {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            usage: Mutex::new(Usage::new(seed)),
            coordinator: Mutex::default(),
            answering: Mutex::default(),
            surged: Notify::new(),
        }
    }
}

impl Node {
    /// Decides whether a request of a customer is within its cap.
    pub(crate) fn admit_usage(&self, customer: &Customer) -> bool {
        let Some(cap) = customer.cap else { return true };
        let (now, part) = (boot_time(), self.daemon_part());
        let mut usage = self.customers.usage.lock();
        let is_within = usage.admit(now, &customer.name, &cap, part);
        let has_surged = usage.has_surged(now, &customer.name);
        drop(usage);
        if has_surged {
            self.customers.surged.notify_one();
        }
        is_within
    }

    /// Returns the hash by which a request is shed, given an evenly spread one.
    pub(crate) fn rank_usage(&self, customer: Option<&Customer>, hash: u16) -> u16 {
        let usage = self.customers.usage.lock();
        usage.rank(boot_time(), customer.map(|customer| &customer.name), hash)
    }

    /// Gives back a request that was within its customer's cap and did not run.
    pub(crate) fn give_back_usage(&self, name: &CustomerName) {
        self.customers.usage.lock().give_back(name);
    }

    fn daemon_part(&self) -> DaemonPart {
        // Without a list, this daemon knows of itself alone.
        DaemonPart { daemons: self.daemons().len().max(1) }
    }

    /// Returns the time until usage is to be reported; `None` if no customer has a cap.
    pub(crate) fn usage_report_due_in(&self) -> Option<Duration> {
        let rules = self.config().rules.borrow().clone()?;
        let customers = rules.policy.customers();
        if !customers.iter().any(|customer| customer.cap.is_some()) {
            return None;
        }
        let usage = self.customers.usage.lock();
        Some(usage.report_due_in(boot_time(), self.daemon_part(), cap_in(&rules)))
    }

    /// Takes the reports of this daemon's usage, with the coordinators to send them to; empty if
    /// there is no configuration yet.
    pub(crate) fn take_usage_reports(&self) -> Vec<(SocketAddr, UsageReport)> {
        let rules = self.config().rules.borrow().clone();
        let Some((rules, _)) = rules.zip(self.vms()) else {
            return Vec::new();
        };
        let mut usage = self.customers.usage.lock();
        usage.retain(|name| rules.policy.customers().get(name).is_some());
        let daemons = self.daemons();
        let daemons = daemons.iter().map(|daemon| daemon.peer).chain([self.peer_addr]);
        usage.take_reports(boot_time(), self.peer_addr, daemons)
    }

    /// Applies a coordinator's answer to a report.
    pub(crate) fn apply_usage_answer(
        &self,
        coordinator: SocketAddr,
        report: &UsageReport,
        answer: &UsageAnswer,
    ) {
        let mut usage = self.customers.usage.lock();
        usage.record_answer(coordinator, report, answer);
        let followed = usage.coordinator(boot_time());
        drop(usage);
        let Some(coordinator) = followed else { return };
        let before = self.customers.answering.lock().replace(coordinator);
        if before != Some(coordinator) {
            log::write(&StateChange::UsageCoordinator { coordinator });
        }
    }

    /// Records that a coordinator has not answered a report.
    pub(crate) fn record_unanswered_usage(&self, coordinator: SocketAddr) {
        self.customers.usage.lock().record_failure(boot_time(), coordinator);
    }

    /// Answers the report of a daemon; `None` if there is no configuration yet.
    pub(crate) fn answer_usage_report(&self, report: &UsageReport) -> Option<UsageAnswer> {
        let rules: Arc<ActiveRules> = self.config().rules.borrow().clone()?;
        let listed = self.daemon_part().daemons;
        let mut coordinator = self.customers.coordinator.lock();
        Some(coordinator.record(boot_time(), report, listed, cap_in(&rules)))
    }

    /// Returns the fraction of the requests that is within the cap, and the number of requests
    /// that were refused, by customer.
    pub(crate) fn usage_standing(&self) -> Vec<(CustomerName, f64, u64)> {
        let usage = self.customers.usage.lock();
        let now = boot_time();
        usage
            .standing(now)
            .map(|(name, fraction, refused)| (name.clone(), fraction, refused))
            .collect()
    }
}
