//! The operators' text in force, of either form.

use super::Plan;
use super::PlanKey;
use super::routes::RequestLimits;
use super::routes::RouteTable;
use super::rules::Rules;
use crate::process::ServiceName;

/// What decides how requests are served.
#[derive(Debug)]
pub enum Policy {
    /// Rules by service, method and path; the host names the service.
    Rules(Rules),
    /// Routes by host and path, which name services themselves.
    Routes(RouteTable),
}

impl Policy {
    /// Returns how a request is served; `None` if nothing serves it.
    ///
    /// `host` may carry a port and `path` a query; neither is looked at.
    pub fn plan(&self, host: &str, method: &http::Method, path: &str) -> Option<Plan> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        match self {
            Self::Rules(rules) => {
                let service = ServiceName::from(host);
                Some(Plan::of_rule(service, rules.find(host, method, path)))
            }
            Self::Routes(routes) => routes.plan(host, path),
        }
    }

    /// Returns what serves a request, without counting it among a split's shares.
    pub fn key(&self, host: &str, method: &http::Method, path: &str) -> Option<PlanKey> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        match self {
            Self::Rules(rules) => Some(PlanKey::of_line(rules.find(host, method, path).line)),
            Self::Routes(routes) => Some(PlanKey::of_name(&routes.find(host, path)?.name)),
        }
    }

    /// Returns the number of rules or routes.
    pub fn len(&self) -> usize {
        match self {
            Self::Rules(rules) => rules.iter().len(),
            Self::Routes(routes) => routes.len(),
        }
    }

    /// Whether there is no rule or route.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns what requests may take, if the text says so.
    pub fn limits(&self) -> Option<&RequestLimits> {
        match self {
            Self::Rules(_) => None,
            Self::Routes(routes) => Some(routes.limits()),
        }
    }
}
