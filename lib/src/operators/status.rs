//! Renders the status of daemons.

use std::fmt;

use indexmap::IndexSet;
use serde::Serialize;

use super::DaemonResult;
use super::Table;
use crate::process::DurationText;
use crate::process::status::AdmissionStatus;
use crate::process::status::PeerStanding;
use crate::process::status::QueueStatus;
use crate::process::status::StatusReport;

/// The status of one or several daemons.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct StatusSummary {
    /// The status or error of each daemon.
    pub daemons: Vec<DaemonResult<StatusReport>>,
    #[serde(skip)]
    with_peers: bool,
}

impl StatusSummary {
    /// Creates a summary. Its `Display` output lists the daemons' peers if
    /// `with_peers` is set or there is only one daemon.
    pub fn new(daemons: Vec<DaemonResult<StatusReport>>, with_peers: bool) -> Self {
        let with_peers = with_peers || daemons.len() == 1;
        Self { daemons, with_peers }
    }

    /// Returns whether all daemons responded.
    pub fn is_complete(&self) -> bool {
        self.daemons.iter().all(|daemon| daemon.report.is_some())
    }

    fn reports(&self) -> impl Iterator<Item = &StatusReport> {
        self.daemons.iter().filter_map(|daemon| daemon.report.as_ref())
    }

    fn daemons_table(&self) -> Table {
        let mut table = Table::new(&[
            "INSTANCE", "SERVICE", "ZONE", "STATE", "UP", "RULES", "VMS", "LIMIT", "BUSY",
            "WAITING", "LEVEL", "TOKENS", "PEERS",
        ]);
        for daemon in self.reports() {
            table.push(daemon_row(daemon));
        }
        table
    }

    fn refusals_table(&self) -> Table {
        let mut table = Table::new(&[
            "INSTANCE",
            "ROLE",
            "SERVICE",
            "CRITICALITY",
            "REASON",
            "OUTCOME",
            "ORIGIN",
            "COUNT",
        ]);
        for daemon in self.reports() {
            for refusal in &daemon.refusals {
                table.push(vec![
                    daemon.instance.to_string(),
                    refusal.role.as_str().to_owned(),
                    refusal.service.to_string(),
                    refusal.criticality.to_string(),
                    refusal.cause.fault.to_string(),
                    refusal.cause.outcome.to_string(),
                    refusal.cause.origin.as_str().to_owned(),
                    refusal.cause.count.to_string(),
                ]);
            }
        }
        table
    }

    fn peers_table(&self) -> Table {
        let mut table =
            Table::new(&["INSTANCE", "PEER", "SERVICE", "STANDING", "OUTSTANDING", "LEVEL"]);
        for daemon in self.reports() {
            for peer in &daemon.peers {
                table.push(vec![
                    daemon.instance.to_string(),
                    peer.instance.to_string(),
                    peer.service.to_string(),
                    peer.standing.to_string(),
                    peer.outstanding.to_string(),
                    peer.level.clone().unwrap_or_else(|| "-".to_owned()),
                ]);
            }
        }
        table
    }

    /// Lists the customers of which some daemon refuses requests for their caps.
    fn customers_table(&self) -> Table {
        let mut table = Table::new(&["INSTANCE", "CUSTOMER", "CAP/S", "LET THROUGH", "REFUSED"]);
        for daemon in self.reports() {
            let customers = daemon.customers.iter().flat_map(|customers| &customers.limited);
            for customer in customers {
                table.push(vec![
                    daemon.instance.to_string(),
                    customer.name.to_string(),
                    customer.per_second.map_or_else(|| "-".to_owned(), |cap| cap.to_string()),
                    format!("{:.0}%", customer.fraction * 100.0),
                    customer.refused.to_string(),
                ]);
            }
        }
        table
    }

    /// Lists what clients make the daemons hold.
    fn clients_table(&self) -> Table {
        let mut table = Table::new(&[
            "INSTANCE",
            "CONNECTIONS",
            "HELD MB",
            "IDLE",
            "INPUT",
            "REQUESTS",
            "RESPONSES",
            "SOCKETS",
            "OF DAEMONS MB",
        ]);
        for daemon in self.reports() {
            let Some(clients) = &daemon.clients else { continue };
            let held = &clients.held;
            table.push(vec![
                daemon.instance.to_string(),
                format!("{}/{}", clients.connections, clients.max_connections),
                format!("{}/{}", megabytes(held.total()), megabytes(clients.max_bytes)),
                megabytes(held.connections),
                megabytes(held.input),
                megabytes(held.requests),
                megabytes(held.responses),
                megabytes(held.sockets),
                format!(
                    "{}/{}",
                    megabytes(clients.sender_bytes),
                    megabytes(clients.max_sender_bytes)
                ),
            ]);
        }
        table
    }

    fn banned_table(&self) -> Table {
        let mut table = Table::new(&["INSTANCE", "CONTENT", "FOR"]);
        for daemon in self.reports() {
            for banned in &daemon.banned {
                let seconds = std::time::Duration::from_secs(banned.left.as_secs());
                table.push(vec![
                    daemon.instance.to_string(),
                    banned.content.clone(),
                    DurationText(seconds).to_string(),
                ]);
            }
        }
        table
    }

    /// Returns the list of rules versions in force, if daemons differ.
    fn versions(&self) -> Option<String> {
        let version = |daemon: &StatusReport| daemon.rules.as_ref().map(|rules| rules.version);
        let versions: IndexSet<_> = self.reports().map(version).collect();
        let show = |version: &Option<u64>| version.map_or("none".to_owned(), |v| v.to_string());
        let shown: Vec<_> = versions.iter().map(show).collect();
        (versions.len() > 1).then(|| shown.join(", "))
    }
}

fn daemon_row(daemon: &StatusReport) -> Vec<String> {
    let or_dash = |version: Option<u64>| version.map_or("-".to_owned(), |v| v.to_string());
    let admission = &daemon.admission;
    let lost = daemon.peers.iter().filter(|peer| peer.standing == PeerStanding::Lost).count();
    let peers = match lost {
        0 => daemon.peers.len().to_string(),
        lost => format!("{} ({lost} lost)", daemon.peers.len()),
    };
    vec![
        daemon.instance.to_string(),
        daemon.service.to_string(),
        daemon.zone.to_string(),
        daemon.state.to_string(),
        uptime(daemon),
        or_dash(daemon.rules.as_ref().map(|rules| rules.version)),
        or_dash(daemon.vms.as_ref().map(|vms| vms.version)),
        limit(admission),
        admission.in_progress.to_string(),
        waiting(&admission.queues),
        admission.level.clone(),
        daemon.tokens.used.to_string(),
        peers,
    ]
}

/// Returns the limit on concurrent requests, and that on their rate if there is one.
fn limit(admission: &AdmissionStatus) -> String {
    let concurrent = format!("{}/{}", admission.limit, admission.slots);
    match admission.rate_limit {
        Some(rate) => format!("{concurrent}, {rate:.1}/s"),
        None => concurrent,
    }
}

fn megabytes(bytes: usize) -> String {
    format!("{:.1}", bytes as f64 / 1e6)
}

fn uptime(daemon: &StatusReport) -> String {
    let seconds = daemon.uptime.as_secs();
    let rounded = match seconds {
        0..600 => seconds,
        600..36_000 => seconds / 60 * 60,
        _ => seconds / 3_600 * 3_600,
    };
    DurationText(std::time::Duration::from_secs(rounded)).to_string()
}

fn waiting(queues: &[QueueStatus]) -> String {
    let nonempty = queues.iter().filter(|queue| queue.waiting > 0);
    let shown: Vec<_> =
        nonempty.map(|queue| format!("{} {}", queue.waiting, queue.criticality)).collect();
    if shown.is_empty() { "0".to_owned() } else { shown.join(", ") }
}

impl fmt::Display for StatusSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let daemons = self.daemons_table();
        if !daemons.is_empty() {
            write!(f, "{daemons}")?;
        }
        if let Some(versions) = self.versions() {
            writeln!(f, "\nRules of different versions are in force: {versions}")?;
        }
        let refusals = self.refusals_table();
        if !refusals.is_empty() {
            write!(f, "\nRefused or failed in the last 5m:\n{refusals}")?;
        }
        let customers = self.customers_table();
        if !customers.is_empty() {
            write!(f, "\nCustomers at their caps:\n{customers}")?;
        }
        let banned = self.banned_table();
        if !banned.is_empty() {
            write!(f, "\nRequests that have crashed upstreams and are not run:\n{banned}")?;
        }
        let clients = self.clients_table();
        if !clients.is_empty() {
            write!(f, "\nHeld for clients:\n{clients}")?;
        }
        let peers = self.peers_table();
        if self.with_peers && !peers.is_empty() {
            write!(f, "\nPeers:\n{peers}")?;
        }
        write_unanswered(f, &self.daemons)
    }
}

/// Writes one line with address and error for each daemon that did not respond.
pub(super) fn write_unanswered<T>(
    f: &mut fmt::Formatter<'_>,
    daemons: &[DaemonResult<T>],
) -> fmt::Result {
    for daemon in daemons {
        if let Some(error) = &daemon.error {
            writeln!(f, "{}: {error}", daemon.address)?;
        }
    }
    Ok(())
}
