//! The routes of one version, looked up by host and path.

use indexmap::IndexMap;
use indexmap::IndexSet;
use rustc_hash::FxBuildHasher;

use super::RequestLimits;
use super::Route;
use super::Target;
use crate::process::ServiceName;
use crate::version::Plan;
use crate::version::PlanKey;
use crate::version::customers::CustomerTable;

/// Weight of a response; a route cannot set another.
const DEFAULT_WEIGHT: u32 = 1;

/// The routes, services and request limits of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    /// Routes by host, the longest prefix first.
    routes_by_host: IndexMap<String, Vec<Route>, FxBuildHasher>,
    services: IndexSet<ServiceName, FxBuildHasher>,
    limits: RequestLimits,
    customers: Box<CustomerTable>,
}

impl RouteTable {
    /// Returns a table of `routes`. `services` are all services that the
    /// configuration names, with or without a route.
    pub fn new(
        routes: Vec<Route>,
        services: impl IntoIterator<Item = ServiceName>,
        limits: RequestLimits,
    ) -> Self {
        let mut routes_by_host: IndexMap<_, Vec<Route>, _> = IndexMap::default();
        for route in routes {
            routes_by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            routes_by_host,
            services: services.into_iter().collect(),
            limits,
            customers: Box::default(),
        }
    }

    /// Sets the customers whose keys requests must carry.
    pub fn with_customers(self, customers: CustomerTable) -> Self {
        Self { customers: Box::new(customers), ..self }
    }

    /// Returns the customers that the configuration names.
    pub fn customers(&self) -> &CustomerTable {
        &self.customers
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes_by_host.get(host)?.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns how a request is served; `None` if it matches no route. If the route
    /// splits its traffic, the request counts towards the split.
    pub fn plan(&self, host: &str, path: &str) -> Option<Plan> {
        let route = self.find(host, path)?;
        let service = match &route.target {
            Target::One(service) => service,
            Target::Split(split) => split.next_service(),
        };
        Some(Plan {
            service: service.clone(),
            key: PlanKey::of_name(&route.name),
            criticality: route.criticality,
            weight: DEFAULT_WEIGHT,
            idempotent: route.idempotent,
            retries: route.max_attempts.saturating_sub(1),
            deadline: route.timeout,
            objective: Some(route.objective),
            may_wait: true,
            public: route.public,
        })
    }

    /// Returns whether the configuration names a service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        self.services.contains(service)
    }

    /// Returns the routes, grouped by host.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.routes_by_host.values().flatten()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.routes_by_host.values().map(Vec::len).sum()
    }

    /// Returns whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes_by_host.is_empty()
    }

    /// Returns the size and time limits of requests.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }
}
