//! Renders the burn rates of error budgets.

use std::fmt;
use std::time::Duration;

use serde::Serialize;
use serde_with::DisplayFromStr;
use serde_with::serde_as;

use super::DaemonResult;
use super::Table;
use super::status::write_unanswered;
use crate::process::DurationText;
use crate::process::InstanceId;
use crate::process::ServiceName;
use crate::process::burn::BurnReport;
use crate::process::burn::CauseReport;
use crate::process::burn::ClassReport;
use crate::process::burn::MergeError;
use crate::process::burn::Role;
use crate::process::burn::Tally;
use crate::process::burn::WindowReport;
use crate::process::burn::merge;
use crate::version::Criticality;

/// Burn rates and latencies of one or several daemons, with failure causes.
#[derive(Clone, Debug, Serialize)]
pub struct BurnSummary {
    /// The daemons whose reports are included.
    pub instances: Vec<InstanceId>,
    /// One row for each class of requests: role, service and criticality.
    pub classes: Vec<ClassRow>,
    /// Causes of failed requests in the last five minutes.
    pub causes: Vec<CauseRow>,
    /// The daemons that did not respond.
    pub unanswered: Vec<DaemonResult<()>>,
}

/// Burn rates and latencies of one class of requests.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct ClassRow {
    /// Role in which the daemons served the requests.
    pub role: Role,
    /// Service of the requests.
    pub service: ServiceName,
    /// Criticality of the requests.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Number of failures that the objective allows in 10,000 requests.
    pub allowed_per_10k: u32,
    /// Counts and burn rate in each window, the shortest first.
    pub windows: Vec<WindowRow>,
    /// Median latency of recent complete responses, in microseconds.
    pub p50_us: Option<u64>,
    /// 99th percentile latency of recent complete responses, in microseconds.
    pub p99_us: Option<u64>,
}

/// Counts and burn rate of one class in one window.
#[serde_as]
#[derive(Clone, Copy, Debug, Serialize)]
pub struct WindowRow {
    /// Length of the window.
    #[serde_as(as = "DurationText")]
    pub window: Duration,
    /// Counts of requests by result.
    #[serde(flatten)]
    pub tally: Tally,
    /// Rate at which the error budget is consumed; a rate of 1 uses it up exactly.
    pub burn_rate: f64,
}

/// How often one cause made requests of one class fail.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct CauseRow {
    /// Role in which the daemons served the requests.
    pub role: Role,
    /// Service of the requests.
    pub service: ServiceName,
    /// Criticality of the requests.
    #[serde_as(as = "DisplayFromStr")]
    pub criticality: Criticality,
    /// Cause and number of the failures.
    #[serde(flatten)]
    pub cause: CauseReport,
}

impl BurnSummary {
    /// Merges the reports of daemons; includes only the classes of `role`, if given.
    ///
    /// # Errors
    ///
    /// Fails if a latency histogram cannot be decoded.
    pub fn new(
        results: Vec<DaemonResult<BurnReport>>,
        role: Option<Role>,
    ) -> Result<Self, MergeError> {
        let (mut reports, mut unanswered) = (Vec::new(), Vec::new());
        for result in results {
            match result.report {
                Some(report) => reports.push(report),
                None => unanswered.push(DaemonResult {
                    address: result.address,
                    report: None,
                    error: result.error,
                }),
            }
        }
        let mut merged = merge(reports)?;
        merged.classes.retain(|class| role.is_none_or(|role| class.role == role));
        Ok(Self {
            instances: merged.instances,
            classes: merged.classes.iter().map(ClassRow::new).collect(),
            causes: merged.classes.iter().flat_map(CauseRow::of_class).collect(),
            unanswered,
        })
    }

    /// Returns whether all daemons responded.
    pub fn is_complete(&self) -> bool {
        self.unanswered.is_empty()
    }
}

impl ClassRow {
    fn new(class: &ClassReport) -> Self {
        let latency_micros = |quantile| {
            let latency = class.latency_at(quantile).ok().flatten()?;
            u64::try_from(latency.as_micros()).ok()
        };
        let window = |report: &WindowReport| WindowRow {
            window: report.window,
            tally: report.tally,
            burn_rate: report.tally.burn_rate(class.allowed_per_10k),
        };
        Self {
            role: class.role,
            service: class.service.clone(),
            criticality: class.criticality,
            allowed_per_10k: class.allowed_per_10k,
            windows: class.windows.iter().map(window).collect(),
            p50_us: latency_micros(0.5),
            p99_us: latency_micros(0.99),
        }
    }

    fn cells(&self) -> Vec<String> {
        let longest = self.windows.last().map(|window| window.tally).unwrap_or_default();
        let mut cells = vec![
            self.role.as_str().to_owned(),
            self.service.to_string(),
            self.criticality.to_string(),
            longest.requests.to_string(),
            longest.failed.to_string(),
            longest.cancelled.to_string(),
        ];
        cells.extend(self.windows.iter().map(|window| format!("{:.2}", window.burn_rate)));
        cells.extend([millis(self.p50_us), millis(self.p99_us)]);
        cells
    }
}

impl CauseRow {
    fn of_class(class: &ClassReport) -> impl Iterator<Item = Self> {
        class.causes.iter().map(|cause| Self {
            role: class.role,
            service: class.service.clone(),
            criticality: class.criticality,
            cause: *cause,
        })
    }

    fn cells(&self) -> Vec<String> {
        vec![
            self.role.as_str().to_owned(),
            self.service.to_string(),
            self.criticality.to_string(),
            self.cause.fault.to_string(),
            self.cause.outcome.to_string(),
            self.cause.origin.as_str().to_owned(),
            self.cause.count.to_string(),
        ]
    }
}

fn millis(micros: Option<u64>) -> String {
    micros.map_or("-".to_owned(), |micros| format!("{:.1}ms", micros as f64 / 1_000.0))
}

impl fmt::Display for BurnSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut classes = Table::new(&[
            "ROLE",
            "SERVICE",
            "CRITICALITY",
            "REQUESTS",
            "FAILED",
            "CANCELLED",
            "BURN 5s",
            "BURN 1m",
            "BURN 5m",
            "BURN 1h",
            "P50",
            "P99",
        ]);
        self.classes.iter().for_each(|class| classes.push(class.cells()));
        let mut causes =
            Table::new(&["ROLE", "SERVICE", "CRITICALITY", "REASON", "OUTCOME", "ORIGIN", "COUNT"]);
        self.causes.iter().for_each(|cause| causes.push(cause.cells()));
        match (self.instances.is_empty(), classes.is_empty()) {
            (true, _) => {}
            (false, true) => writeln!(f, "No requests in the last 1h.")?,
            (false, false) => write!(f, "{classes}")?,
        }
        if !causes.is_empty() {
            write!(f, "\nRefused or failed in the last 5m:\n{causes}")?;
        }
        write_unanswered(f, &self.unanswered)
    }
}
