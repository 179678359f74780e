//! Implements the operators' interface of the daemon.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Node;
use crate::process::CustomerName;
use crate::process::admission::Level;
use crate::process::burn::BurnReport;
use crate::process::burn::CauseReport;
use crate::process::burn::ClassReport;
use crate::process::log::DrainCause;
use crate::process::membership::Health;
use crate::process::membership::Vm;
use crate::process::membership::VmState;
use crate::process::routing::Router;
use crate::process::status::AdmissionStatus;
use crate::process::status::BannedContent;
use crate::process::status::CauseOfRefusal;
use crate::process::status::ClientsStatus;
use crate::process::status::CustomerStatus;
use crate::process::status::CustomersStatus;
use crate::process::status::DrainReport;
use crate::process::status::OperatorApi;
use crate::process::status::PeerStanding;
use crate::process::status::PeerStatus;
use crate::process::status::QueueStatus;
use crate::process::status::RulesReport;
use crate::process::status::RulesStatus;
use crate::process::status::State;
use crate::process::status::StatusReport;
use crate::process::status::TokenStatus;
use crate::process::status::VmsStatus;
use crate::version::Criticality;
use crate::version::Policy;

/// Most customers that a status lists.
const CUSTOMERS_SHOWN_MAX: usize = 20;

impl OperatorApi for Node {
    fn status(&self) -> StatusReport {
        let daemon = &self.settings.daemon;
        // A borrow within the literal would last until its end, and a second one of the same
        // channel waits for a writer that waits for the first.
        let rules = self.rules_status();
        let vms = self.vms().map(|list| VmsStatus { version: list.version, vms: list.vms.len() });
        StatusReport {
            instance: daemon.instance.clone(),
            service: daemon.service.clone(),
            zone: daemon.zone.clone(),
            region: daemon.region.clone(),
            incarnation: self.incarnation,
            program: env!("CARGO_PKG_VERSION").to_owned(),
            uptime: self.clock.now(),
            state: self.state(),
            in_progress: self.lifecycle.in_progress(),
            rules,
            vms,
            admission: self.admission_status(),
            tokens: self.token_status(),
            peers: self.peer_statuses(),
            refusals: refusal_causes(&self.burn()),
            banned: self.banned_contents(),
            customers: self.customer_statuses(),
            clients: Some(self.clients_status()),
        }
    }

    fn burn(&self) -> BurnReport {
        self.burn.lock().report(self.clock.now())
    }

    fn counters(&self) -> IndexMap<String, u64> {
        let mut counters = self.metrics.snapshot();
        let config = self.config.counters.snapshot();
        counters.extend(config.into_iter().map(|(name, value)| (format!("config.{name}"), value)));
        let ClientsStatus { connections, held, sender_bytes, .. } = self.clients_status();
        let gauges = [
            ("clients.connections", connections),
            ("clients.held-bytes", held.total()),
            ("senders.held-bytes", sender_bytes),
        ];
        counters.extend(gauges.map(|(name, value)| (name.to_owned(), value as u64)));
        counters
    }

    fn rules(&self) -> Option<RulesReport> {
        let active = Node::rules(self)?;
        // The text of routes holds keys in a form that only the platform's adapter knows.
        let text = match &active.policy {
            policy if policy.customers().is_empty() => active.text.to_string(),
            Policy::Rules(rules) => rules.to_string(),
            Policy::Routes(_) => String::new(),
        };
        Some(RulesReport { version: active.version(), text })
    }

    fn drain(&self) -> DrainReport {
        let began = self.lifecycle.leave(DrainCause::Operator);
        DrainReport {
            instance: self.settings.daemon.instance.clone(),
            state: self.state(),
            began,
            in_progress: self.lifecycle.in_progress(),
        }
    }
}

impl Node {
    fn state(&self) -> State {
        match (self.lifecycle.is_leaving(), self.lifecycle.in_progress()) {
            (true, 0) => State::Drained,
            (true, _) => State::Draining,
            (false, _) if Node::rules(self).is_none() => State::Starting,
            (false, _) => State::Serving,
        }
    }

    fn clients_status(&self) -> ClientsStatus {
        let (held, connections) = self.clients.usage();
        let (sender_bytes, max_sender_bytes) = self.senders.usage();
        let plan = self.clients.plan();
        ClientsStatus {
            connections,
            max_connections: plan.client_connections,
            held,
            max_bytes: plan.client_bytes,
            sender_bytes,
            max_sender_bytes,
        }
    }

    fn rules_status(&self) -> Option<RulesStatus> {
        let active = self.config.rules.borrow().clone()?;
        Some(RulesStatus { version: active.version(), rules: active.policy.len() })
    }

    fn admission_status(&self) -> AdmissionStatus {
        let rate_limit = self.gate.rate_limit().map(|known| known.rate.per_second());
        self.gate.with_admission(|admission| {
            let queue = |criticality| QueueStatus {
                criticality,
                waiting: admission.queued_of(criticality),
            };
            AdmissionStatus {
                limit: admission.limit(),
                slots: admission.slots(),
                in_progress: admission.in_progress(),
                queues: Criticality::ALL.into_iter().map(queue).collect(),
                level: format_level(admission.level()),
                rate_limit,
            }
        })
    }

    fn banned_contents(&self) -> Vec<BannedContent> {
        let bans = self.crash_watch.active_bans().into_iter();
        bans.map(|(content, left)| BannedContent { content: content.to_string(), left }).collect()
    }

    /// Returns the customers of which not all requests are let through, those with the smallest
    /// fraction first, and the sum of all others.
    fn customer_statuses(&self) -> Option<CustomersStatus> {
        let rules = self.config.rules.borrow().clone()?;
        let named = rules.policy.customers();
        if named.is_empty() {
            return None;
        }
        let cap = |name: &CustomerName| Some(named.get(name)?.cap?.per_second);
        let mut standing = self.usage_standing();
        standing.sort_by(|a, b| a.1.total_cmp(&b.1).then(b.2.cmp(&a.2)));
        let refused_before =
            standing.iter().filter(|(_, fraction, refused)| *fraction < 1.0 || *refused > 0);
        let limited = refused_before.take(CUSTOMERS_SHOWN_MAX).map(|(name, fraction, refused)| {
            let per_second = cap(name);
            CustomerStatus {
                name: name.clone(),
                per_second,
                fraction: *fraction,
                refused: *refused,
            }
        });
        Some(CustomersStatus {
            named: named.len(),
            keys_age: self.config().rules_age(),
            limited: limited.collect(),
        })
    }

    fn token_status(&self) -> TokenStatus {
        self.tokens.usage()
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let list = self.vms();
        let router = self.router.lock();
        let status_if_called =
            |vm: &Arc<Vm>| self.was_called(&router, vm).then(|| self.peer_status(&router, vm));
        let vms = list.iter().flat_map(|list| &list.vms);
        vms.filter_map(|vm| status_if_called(router.members().vm(&vm.instance)?)).collect()
    }

    fn was_called(&self, router: &Router, vm: &Vm) -> bool {
        router.members().has_health_record(&vm.instance) || router.outstanding(&vm.instance) > 0
    }

    fn peer_status(&self, router: &Router, vm: &Vm) -> PeerStatus {
        let now = self.clock.now();
        let standing = match router.members().health(now, &vm.instance) {
            _ if vm.state == VmState::Leaving => PeerStanding::Leaving,
            Health::Gone => PeerStanding::Leaving,
            Health::Probed { .. } => PeerStanding::Lost,
            Health::Working { share } if share < 1.0 => PeerStanding::Warming,
            Health::Working { .. } => PeerStanding::Working,
        };
        PeerStatus {
            instance: vm.instance.clone(),
            service: vm.service.clone(),
            standing,
            outstanding: router.outstanding(&vm.instance),
            level: router.members().level(now, &vm.instance).map(format_level),
        }
    }
}

/// Formats a level for operators: `all`, or the lowest criticality that it
/// admits and the admitted percentage of that criticality.
fn format_level(level: Level) -> String {
    if level == Level::OPEN {
        return "all".to_owned();
    }
    let share = f64::from(level.threshold) / f64::from(u16::MAX) * 100.0;
    format!("{} {share:.0}%", level.criticality)
}

fn refusal_causes(burn: &BurnReport) -> Vec<CauseOfRefusal> {
    let of_class = |class: &ClassReport| {
        let (role, service, criticality) = (class.role, class.service.clone(), class.criticality);
        let cause = move |cause: &CauseReport| CauseOfRefusal {
            role,
            service: service.clone(),
            criticality,
            cause: *cause,
        };
        class.causes.iter().map(cause).collect::<Vec<_>>()
    };
    burn.classes.iter().flat_map(of_class).collect()
}
