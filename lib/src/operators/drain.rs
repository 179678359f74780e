//! Renders the results of draining daemons.

use std::fmt;

use serde::Serialize;

use super::DaemonResult;
use super::Table;
use super::status::write_unanswered;
use crate::process::status::DrainReport;

/// The responses of daemons to a drain command.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub struct DrainSummary {
    /// The response or error of each daemon.
    pub daemons: Vec<DaemonResult<DrainReport>>,
}

impl DrainSummary {
    /// Returns whether all daemons responded.
    pub fn is_complete(&self) -> bool {
        self.daemons.iter().all(|daemon| daemon.report.is_some())
    }
}

impl fmt::Display for DrainSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["INSTANCE", "STATE", "BEGAN NOW", "IN PROGRESS"]);
        for report in self.daemons.iter().filter_map(|daemon| daemon.report.as_ref()) {
            table.push(vec![
                report.instance.to_string(),
                report.state.to_string(),
                if report.began { "yes" } else { "no" }.to_owned(),
                report.in_progress.to_string(),
            ]);
        }
        if !table.is_empty() {
            write!(f, "{table}")?;
        }
        write_unanswered(f, &self.daemons)
    }
}
