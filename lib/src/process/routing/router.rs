//! Selects an instance for each call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::LoadReport;
use super::cost::CandidateLoad;
use super::cost::ReceivedReport;
use super::cost::cost;
use super::cost::estimate_unreported_utilization;
use super::subset::Subset;
use crate::process::InstanceId;
use crate::process::Region;
use crate::process::ServiceName;
use crate::process::Zone;
use crate::process::admission::KnownLimit;
use crate::process::admission::Level;
use crate::process::membership::Health;
use crate::process::membership::Membership;
use crate::process::membership::Observation;
use crate::process::membership::Vm;
use crate::process::membership::VmList;
use crate::version::Criticality;

/// Share of a tier's instances that must work for the tier to keep all of its calls.
const HEALTHY_SHARE_MIN: f64 = 0.5;
/// Maximum random jitter added to a cost.
const COST_JITTER_MAX: f64 = 0.1;
/// Retry delay if no probe of an instance is scheduled.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Location of a daemon.
#[derive(Clone, Debug)]
pub struct Place {
    /// Instance that the daemon belongs to.
    pub instance: InstanceId,
    /// Availability zone of the daemon.
    pub zone: Zone,
    /// Region of the daemon.
    pub region: Region,
}

/// Properties of a request that decide where it may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Work {
    /// Criticality of the request.
    pub criticality: Criticality,
    /// Hash of the root request; ranks requests of one criticality the same at every hop.
    pub hash: u16,
    /// Whether an admitted request waits for this one. Admission levels do not exclude such a
    /// call: work was spent on the admitted request, which would fail with the call.
    pub is_call: bool,
    /// Set if the last attempt broke off, as when its instance has crashed: attempts with the
    /// same value go to the same instance, so that a request which crashes instances ends one
    /// more of them and not several.
    pub affinity: Option<u64>,
}

impl Work {
    fn passes(&self, level: Option<Level>) -> bool {
        self.is_call || level.is_none_or(|level| level.admits(self.criticality, self.hash))
    }
}

/// Destination of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// The call goes to this instance.
    To(Arc<Vm>),
    /// No instance can take the call, which has not run.
    None(NoRoute),
}

/// Why no instance can take a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoute {
    /// The platform lists no instance of the service.
    UnknownService,
    /// No instance works, or all working ones were tried.
    NoneWorking {
        /// Time until an instance may be tried again.
        retry_after: Duration,
    },
    /// The admission levels of all working instances exclude this criticality and hash.
    Refused,
}

/// Selects instances by location, health, admission level, reported load and outstanding
/// calls.
#[derive(Debug)]
pub struct Router {
    here: Place,
    members: Membership,
    subsets: IndexMap<ServiceName, Subset>,
    outstanding: IndexMap<InstanceId, u32>,
    /// Latest load report of each instance that was called.
    reports: IndexMap<InstanceId, ReceivedReport>,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router without any instances.
    pub fn new(here: Place, seed: u64) -> Self {
        Self {
            here,
            members: Membership::new(),
            subsets: IndexMap::new(),
            outstanding: IndexMap::new(),
            reports: IndexMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies an instance list of the platform; returns whether it was newer.
    pub fn apply(&mut self, now: Duration, list: &VmList) -> bool {
        let is_newer = self.members.apply(now, list);
        if is_newer {
            self.subsets.clear();
            let members = &self.members;
            self.reports.retain(|instance, _| members.vm(instance).is_some());
        }
        is_newer
    }

    /// Records an observation that a call made of an instance.
    pub fn observe(&mut self, now: Duration, instance: &InstanceId, seen: Observation) {
        self.members.observe(now, instance, seen, &mut self.rng);
    }

    /// Records the load that an instance reported.
    pub fn record_load(&mut self, now: Duration, instance: &InstanceId, report: LoadReport) {
        let outstanding = self.outstanding(instance);
        self.reports
            .insert(instance.clone(), ReceivedReport { report, received_at: now, outstanding });
    }

    /// Records the limit on the rate of requests that an instance's owner reported, if any.
    pub fn record_rate_limit(
        &mut self,
        now: Duration,
        instance: &InstanceId,
        limit: Option<KnownLimit>,
    ) {
        self.members.record_rate_limit(now, instance, limit);
    }

    /// Records that the connection to the daemon at an address ended.
    pub fn disconnected(&mut self, now: Duration, peer: SocketAddr) {
        for instance in self.members.at_peer(peer) {
            self.members.observe(now, &instance, Observation::Disconnected, &mut self.rng);
        }
    }

    /// Treats all observations as outdated, as is needed after a pause of the process.
    pub fn mark_stale(&mut self, now: Duration) {
        self.members.mark_stale(now);
    }

    /// Returns the known instances and the observations of them.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Returns whether an instance receives calls other than probes.
    pub fn is_working(&self, now: Duration, instance: &InstanceId) -> bool {
        matches!(self.members.health(now, instance), Health::Working { .. })
    }

    /// Counts a call that starts at an instance.
    pub fn started(&mut self, instance: &InstanceId) {
        *self.outstanding.entry(instance.clone()).or_default() += 1;
    }

    /// Counts a call that ended at an instance, however it ended.
    pub fn finished(&mut self, instance: &InstanceId) {
        let Some(count) = self.outstanding.get_mut(instance) else { return };
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.outstanding.swap_remove(instance);
        }
    }

    /// Returns the number of calls outstanding at an instance.
    pub fn outstanding(&self, instance: &InstanceId) -> u32 {
        self.outstanding.get(instance).copied().unwrap_or(0)
    }

    /// Selects the instance that a call goes to, excluding those in `avoid`.
    ///
    /// The caller must report the call to [`Self::started`] and [`Self::finished`], and its
    /// result to [`Self::observe`].
    pub fn pick(
        &mut self,
        now: Duration,
        service: &ServiceName,
        work: &Work,
        avoid: &[InstanceId],
    ) -> Pick {
        if !self.subsets.contains_key(service) {
            let vms = self.members.instances(service);
            if vms.is_empty() {
                return Pick::None(NoRoute::UnknownService);
            }
            self.subsets.insert(service.clone(), Subset::choose(&self.here, vms));
        }
        let survey = self.survey(now, service, work, avoid);
        match self.choose(now, &survey, work) {
            Some(choice) => self.resolve_choice(now, &choice),
            None => Pick::None(survey.no_route(now)),
        }
    }

    fn survey(
        &self,
        now: Duration,
        service: &ServiceName,
        work: &Work,
        avoid: &[InstanceId],
    ) -> Survey {
        let mut survey = Survey::default();
        for (distance, instances) in &self.subsets[service].tiers {
            let mut tier = TierCandidates {
                listed: instances.len(),
                distance: *distance,
                ..TierCandidates::default()
            };
            for instance in instances {
                self.survey_instance(now, instance, work, avoid, &mut survey, &mut tier);
            }
            survey.tiers.push(tier);
        }
        survey
    }

    fn survey_instance(
        &self,
        now: Duration,
        instance: &InstanceId,
        work: &Work,
        avoid: &[InstanceId],
        survey: &mut Survey,
        tier: &mut TierCandidates,
    ) {
        match self.members.health(now, instance) {
            Health::Gone => tier.listed -= 1,
            _ if avoid.contains(instance) => {}
            Health::Probed { at } if at <= now => survey.probes.push(instance.clone()),
            Health::Probed { at } => {
                survey.next_probe = Some(survey.next_probe.map_or(at, |next| next.min(at)));
            }
            Health::Working { share } => {
                if work.passes(self.members.level(now, instance)) {
                    let outstanding = self.outstanding(instance);
                    let load_per_share = f64::from(outstanding + 1) / share;
                    survey.has_reports |= self.reports.contains_key(instance);
                    let instance = instance.clone();
                    let distance = tier.distance;
                    tier.candidates.push(Candidate { instance, share, load_per_share, distance });
                } else {
                    survey.refused_by_level = true;
                }
            }
        }
    }

    /// Chooses among the instances that may take the call.
    ///
    /// A due probe takes precedence, so that one request finds out whether an instance works
    /// again. Critical requests are not used as probes unless no other instance is available.
    ///
    /// With load reports, the instance with the lowest cost is chosen. Otherwise it is the
    /// less loaded of two instances of the nearest tier, where a tier with few working
    /// instances passes a share of its calls on to the next tier.
    fn choose(&mut self, now: Duration, survey: &Survey, work: &Work) -> Option<Choice> {
        if let Some(key) = work.affinity {
            let candidates = survey.tiers.iter().flat_map(|tier| &tier.candidates);
            let chosen = candidates.max_by_key(|candidate| rendezvous(key, &candidate.instance));
            if let Some(chosen) = chosen {
                return Some(Choice::Working(chosen.instance.clone()));
            }
        }
        let probe = survey.probes.first().cloned().map(Choice::Probe);
        if probe.is_some() && work.criticality != Criticality::Critical {
            return probe;
        }
        if survey.has_reports {
            let cheapest = self.lowest_cost(now, survey).map(Choice::Working);
            return cheapest.or(probe);
        }
        let mut nearest = None;
        for tier in survey.tiers.iter().filter(|tier| !tier.candidates.is_empty()) {
            nearest = nearest.or(Some(tier));
            if self.rng.random_bool(tier.share_to_keep()) {
                nearest = Some(tier);
                break;
            }
        }
        nearest.map(|tier| Choice::Working(self.less_loaded_of_two(&tier.candidates))).or(probe)
    }

    /// Returns the candidate with the lowest cost by the load reports.
    ///
    /// The random jitter keeps daemons with the same reports from all sending to the same
    /// instance.
    fn lowest_cost(&mut self, now: Duration, survey: &Survey) -> Option<InstanceId> {
        let candidates = || survey.tiers.iter().flat_map(|tier| &tier.candidates);
        let (reports, outstanding, rng) = (&self.reports, &self.outstanding, &mut self.rng);
        let candidate_load = |candidate: &Candidate| CandidateLoad {
            received: reports.get(&candidate.instance),
            outstanding: outstanding.get(&candidate.instance).copied().unwrap_or(0),
            share: candidate.share,
            distance: candidate.distance,
        };
        let assumed_utilization =
            estimate_unreported_utilization(now, candidates().map(candidate_load));
        let with_cost = candidates().map(|candidate| {
            (
                cost(now, &candidate_load(candidate), assumed_utilization)
                    + rng.random_range(0.0..COST_JITTER_MAX),
                candidate,
            )
        });
        let cheapest = with_cost.min_by(|(a, _), (b, _)| a.total_cmp(b));
        cheapest.map(|(_, candidate)| candidate.instance.clone())
    }

    /// Returns the less loaded of two candidates drawn at random.
    fn less_loaded_of_two(&mut self, candidates: &[Candidate]) -> InstanceId {
        let first = self.rng.random_range(0..candidates.len());
        if candidates.len() == 1 {
            return candidates[first].instance.clone();
        }
        let step = self.rng.random_range(1..candidates.len());
        let second = (first + step) % candidates.len();
        let (a, b) = (&candidates[first], &candidates[second]);
        let chosen = if b.load_per_share < a.load_per_share { b } else { a };
        chosen.instance.clone()
    }

    fn resolve_choice(&mut self, now: Duration, choice: &Choice) -> Pick {
        let instance = match choice {
            Choice::Working(instance) => instance,
            Choice::Probe(instance) => {
                self.members.probe_sent(now, instance, &mut self.rng);
                instance
            }
        };
        let vm = self.members.vm(instance).expect("a candidate is listed");
        Pick::To(vm.clone())
    }
}

/// Returns the rank of an instance for a key, which is the same at all daemons.
fn rendezvous(key: u64, instance: &InstanceId) -> u64 {
    use std::hash::Hasher as _;
    let mut hasher = siphasher::sip::SipHasher13::new_with_keys(key, 0);
    hasher.write(instance.as_str().as_bytes());
    hasher.finish()
}

#[derive(Debug)]
enum Choice {
    Working(InstanceId),
    Probe(InstanceId),
}

#[derive(Debug)]
struct Candidate {
    instance: InstanceId,
    share: f64,
    load_per_share: f64,
    distance: usize,
}

/// Instances of one tier that may take a call.
#[derive(Debug, Default)]
struct TierCandidates {
    listed: usize,
    /// Distance of the tier's instances.
    distance: usize,
    candidates: Vec<Candidate>,
}

impl TierCandidates {
    /// Returns the share of calls that the tier can keep without overloading its few working
    /// instances.
    fn share_to_keep(&self) -> f64 {
        let shares: f64 = self.candidates.iter().map(|c| c.share).sum();
        (shares / (self.listed as f64 * HEALTHY_SHARE_MIN)).clamp(0.0, 1.0)
    }
}

/// Instances of a service that may take one call, and why others may not.
#[derive(Debug, Default)]
struct Survey {
    tiers: Vec<TierCandidates>,
    probes: Vec<InstanceId>,
    next_probe: Option<Duration>,
    refused_by_level: bool,
    /// Whether at least one candidate has reported its load.
    has_reports: bool,
}

impl Survey {
    fn no_route(&self, now: Duration) -> NoRoute {
        if self.refused_by_level {
            return NoRoute::Refused;
        }
        let wait = self.next_probe.map(|at| at.saturating_sub(now));
        NoRoute::NoneWorking { retry_after: wait.unwrap_or(DEFAULT_RETRY_AFTER) }
    }
}
