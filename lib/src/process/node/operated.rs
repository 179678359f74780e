//! Implements the operators' interface of the daemon.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Node;
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

impl OperatorApi for Node {
    fn status(&self) -> StatusReport {
        let daemon = &self.settings.daemon;
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
            rules: self.config.rules.borrow().as_ref().map(|active| RulesStatus {
                version: active.version(),
                rules: active.policy.len(),
            }),
            vms: self
                .config
                .vms
                .borrow()
                .as_ref()
                .map(|list| VmsStatus { version: list.version, vms: list.vms.len() }),
            admission: self.admission_status(),
            tokens: self.token_status(),
            peers: self.peer_statuses(),
            refusals: refusal_causes(&self.burn()),
            banned: self.banned_contents(),
        }
    }

    fn burn(&self) -> BurnReport {
        self.burn.lock().report(self.clock.now())
    }

    fn counters(&self) -> IndexMap<String, u64> {
        let mut counters = self.metrics.snapshot();
        let config = self.config.counters.snapshot();
        counters.extend(config.into_iter().map(|(name, value)| (format!("config.{name}"), value)));
        counters
    }

    fn rules(&self) -> Option<RulesReport> {
        let active = Node::rules(self)?;
        Some(RulesReport { version: active.version(), text: active.text.to_string() })
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

    fn token_status(&self) -> TokenStatus {
        self.tokens.usage()
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let router = self.router.lock();
        let status_if_called =
            |vm: &Arc<Vm>| self.was_called(&router, vm).then(|| self.peer_status(&router, vm));
        let list = self.config.vms.borrow();
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
