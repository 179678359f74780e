//! The daemon as its operators see it.

use std::time::Duration;

use indexmap::IndexMap;

use super::Node;
use crate::process::admission::Admission;
use crate::process::admission::Level;
use crate::process::burn::BurnReport;
use crate::process::log::DrainCause;
use crate::process::membership::Health;
use crate::process::membership::Vm;
use crate::process::routing::Router;
use crate::process::status::AdmissionStatus;
use crate::process::status::CauseOfRefusal;
use crate::process::status::DrainReport;
use crate::process::status::Operated;
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

const FULL_SHARE: f64 = 1.0;

impl Operated for Node {
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
            rules: self.rules_status(),
            vms: self.vms().map(|list| VmsStatus { version: list.version, vms: list.vms.len() }),
            admission: self.gate.with_admission(|admission| self.admission_status(admission)),
            tokens: self.token_status(),
            peers: self.peers_status(),
            refusals: refusals(&self.burn()),
        }
    }

    fn burn(&self) -> BurnReport {
        self.burn.lock().report(self.clock.now())
    }

    fn counters(&self) -> IndexMap<String, u64> {
        let mut counters = self.metrics.snapshot();
        let config = self.config.counters.snapshot().into_iter();
        let counted = config.filter(|(_, value)| *value > 0);
        counters.extend(counted.map(|(name, value)| (format!("config.{name}"), value)));
        counters
    }

    fn rules(&self) -> Option<RulesReport> {
        let rules = self.config.rules.borrow().clone()?;
        Some(RulesReport { version: rules.version(), text: rules.text.to_string() })
    }

    fn drain(&self) -> DrainReport {
        let began = !self.lifecycle.is_leaving();
        self.lifecycle.leave(DrainCause::Operator);
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
        let is_ready = self.config.is_ready();
        match (self.lifecycle.is_leaving(), self.lifecycle.in_progress(), is_ready) {
            (true, 0, _) => State::Drained,
            (true, _, _) => State::Draining,
            (false, _, true) => State::Serving,
            (false, _, false) => State::Starting,
        }
    }

    fn rules_status(&self) -> Option<RulesStatus> {
        let rules = self.config.rules.borrow().clone()?;
        Some(RulesStatus { version: rules.version(), rules: rules.rules.iter().len() })
    }

    fn admission_status(&self, admission: &Admission) -> AdmissionStatus {
        let queue =
            |criticality| QueueStatus { criticality, waiting: admission.queued_of(criticality) };
        AdmissionStatus {
            limit: admission.limit(),
            slots: self.settings.upstream.slots as usize,
            in_progress: admission.in_progress(),
            queues: Criticality::ALL.into_iter().map(queue).collect(),
            level: level_text(admission.level()),
        }
    }

    fn token_status(&self) -> TokenStatus {
        self.home.usage()
    }

    fn peers_status(&self) -> Vec<PeerStatus> {
        let now = self.clock.now();
        let router = self.router.lock();
        let members = router.members();
        let peers = members.seen_instances().filter_map(|instance| members.vm(instance));
        peers.map(|vm| peer_status(now, &router, vm)).collect()
    }
}

fn peer_status(now: Duration, router: &Router, vm: &Vm) -> PeerStatus {
    let members = router.members();
    PeerStatus {
        instance: vm.instance.clone(),
        service: vm.service.clone(),
        standing: match members.health(now, &vm.instance) {
            Health::Working { share } if share >= FULL_SHARE => PeerStanding::Working,
            Health::Working { .. } => PeerStanding::Warming,
            Health::Probed { .. } => PeerStanding::Probed,
            Health::Gone => PeerStanding::Leaving,
        },
        outstanding: router.outstanding(&vm.instance),
        level: members.level(now, &vm.instance).map(level_text),
    }
}

/// Says which requests a level lets through, the least important ones in percent.
fn level_text(level: Level) -> String {
    if level == Level::OPEN {
        return "all".to_owned();
    }
    let share = f64::from(level.threshold) / f64::from(u16::MAX) * 100.0;
    format!("{} {share:.0}%", level.criticality)
}

fn refusals(burn: &BurnReport) -> Vec<CauseOfRefusal> {
    let mut refusals: Vec<_> = burn
        .classes
        .iter()
        .flat_map(|class| {
            class.causes.iter().map(|cause| CauseOfRefusal {
                role: class.role,
                service: class.service.clone(),
                criticality: class.criticality,
                cause: *cause,
            })
        })
        .collect();
    refusals.sort_by_key(|refusal| std::cmp::Reverse(refusal.cause.count));
    refusals
}
