//! The configuration in force: rules or routes.

use std::time::Duration;

use super::Plan;
use super::PlanKey;
use super::customers::CustomerTable;
use super::routes::RequestLimits;
use super::routes::RouteTable;
use super::rules::Rules;
use crate::process::ServiceName;

/// The rules or the routes that decide how requests are served.
#[derive(Debug)]
pub enum Policy {
    /// Rules matched by service, method and path; the request's host is the name of
    /// the service.
    Rules(Rules),
    /// Routes matched by host and path; each route gives the services that its
    /// requests are sent to.
    Routes(RouteTable),
}

impl Policy {
    /// Returns how a request is served; `None` if it matches no route.
    ///
    /// `host` may include a port and `path` a query; both are ignored.
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

    /// Returns the key of the rule or route that a request matches, without
    /// counting the request towards a traffic split; `None` if it matches no route.
    pub fn plan_key(&self, host: &str, method: &http::Method, path: &str) -> Option<PlanKey> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        match self {
            Self::Rules(rules) => Some(PlanKey::of_line(rules.find(host, method, path).line)),
            Self::Routes(routes) => Some(PlanKey::of_name(&routes.find(host, path)?.name)),
        }
    }

    /// Whether upstreams of a service belong to this platform. Rules may leave services out, and
    /// the platform that publishes rules lists no others.
    pub fn names_service(&self, service: &ServiceName) -> bool {
        match self {
            Self::Rules(_) => true,
            Self::Routes(routes) => routes.has_service(service),
        }
    }

    /// Returns the customers that the configuration names.
    pub fn customers(&self) -> &CustomerTable {
        match self {
            Self::Rules(rules) => rules.customers(),
            Self::Routes(routes) => routes.customers(),
        }
    }

    /// Returns the longest deadline of any rule or route.
    pub fn longest_deadline(&self) -> Duration {
        let longest = match self {
            Self::Rules(rules) => rules.iter().map(|rule| rule.deadline).max(),
            Self::Routes(routes) => routes.iter().map(|route| route.timeout).max(),
        };
        longest.unwrap_or_default()
    }

    /// Returns the number of rules or routes.
    pub fn len(&self) -> usize {
        match self {
            Self::Rules(rules) => rules.iter().len(),
            Self::Routes(routes) => routes.len(),
        }
    }

    /// Returns whether there are no rules and no routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the size and time limits of requests, which only a configuration
    /// with routes sets.
    pub fn limits(&self) -> Option<&RequestLimits> {
        match self {
            Self::Rules(_) => None,
            Self::Routes(routes) => Some(routes.limits()),
        }
    }
}
