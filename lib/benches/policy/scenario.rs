//! What goes wrong, from when until when.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::ZONES;

/// When causes begin.
pub(crate) const BEGIN: Duration = Duration::from_secs(4);

/// When causes end.
pub(crate) const END: Duration = Duration::from_secs(14);

/// When a run ends.
pub(crate) const FINISH: Duration = Duration::from_secs(30);

/// Demand before and after the cause, as a share of capacity.
const CALM: f64 = 0.7;

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Cause {
    /// Demand at a multiple of capacity.
    Demand(f64),
    /// The deep service takes this many times as long.
    DeepSlow(f64),
    /// Callers ignore when they are told to come back.
    HardRetries,
    /// One instance of each listed service is gone.
    Killed { deep_only: bool },
    /// Every instance takes only this share of the slots that it states.
    FewerSlots(f64),
    /// One instance of each service is cold: slower by this factor at first.
    Cold(f64),
    /// Deferrable requests come this many times as often.
    Downloads(f64),
    /// One instance of each service does nothing for the whole time.
    Frozen,
}

/// A named set of causes.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) name: String,
    pub(crate) causes: Vec<Cause>,
}

impl Scenario {
    /// Tells whether a cause is active.
    fn active(now: Duration) -> bool {
        (BEGIN..END).contains(&now)
    }

    /// Returns the demand as a share of capacity.
    pub(crate) fn demand(&self, now: Duration) -> f64 {
        let surge = self.causes.iter().find_map(|cause| match cause {
            Cause::Demand(factor) => Some(*factor),
            _ => None,
        });
        if Self::active(now) { surge.unwrap_or(CALM) } else { CALM }
    }

    /// Returns the factor on the demand of deferrable classes.
    pub(crate) fn downloads(&self, now: Duration) -> f64 {
        let factor = self.causes.iter().find_map(|cause| match cause {
            Cause::Downloads(factor) => Some(*factor),
            _ => None,
        });
        if Self::active(now) { factor.unwrap_or(1.0) } else { 1.0 }
    }

    /// Returns how many times as long an instance takes for its work.
    pub(crate) fn slowness(&self, now: Duration, deep: bool, zone: usize) -> f64 {
        if !Self::active(now) {
            return 1.0;
        }
        let factor = |cause: &Cause| match cause {
            Cause::DeepSlow(factor) if deep => *factor,
            Cause::Cold(factor) if zone == 0 => *factor,
            _ => 1.0,
        };
        self.causes.iter().map(factor).product()
    }

    /// Returns the share of the stated slots that instances have.
    pub(crate) fn slots_share(&self, now: Duration) -> f64 {
        let share = self.causes.iter().find_map(|cause| match cause {
            Cause::FewerSlots(share) => Some(*share),
            _ => None,
        });
        if Self::active(now) { share.unwrap_or(1.0) } else { 1.0 }
    }

    /// Tells whether an instance is gone.
    pub(crate) fn is_dead(&self, now: Duration, deep: bool, zone: usize) -> bool {
        Self::active(now)
            && zone == 0
            && self
                .causes
                .iter()
                .any(|c| matches!(c, Cause::Killed { deep_only } if deep || !deep_only))
    }

    /// Tells whether an instance does nothing at the moment.
    pub(crate) fn is_frozen(&self, now: Duration, zone: usize) -> bool {
        Self::active(now) && zone == 0 && self.causes.contains(&Cause::Frozen)
    }

    /// Tells whether callers ignore when they are told to come back.
    pub(crate) fn retries_hard(&self) -> bool {
        self.causes.contains(&Cause::HardRetries)
    }

    /// Returns the capacity of a service in whole instances at their best.
    pub(crate) fn instances(&self, now: Duration, deep: bool) -> f64 {
        (0..ZONES)
            .filter(|&zone| !self.is_dead(now, deep, zone) && !self.is_frozen(now, zone))
            .map(|zone| self.slots_share(now) / self.slowness(now, deep, zone))
            .sum()
    }
}

/// Returns the requests a second that each class may have answered, given what
/// is asked: the more critical class takes what it needs first, classes of one
/// criticality share alike.
pub(crate) fn allowed(
    dep: &Deployment,
    scenario: &Scenario,
    now: Duration,
    asked: &[f64],
) -> Vec<f64> {
    let mut free: Vec<f64> = (0..dep.services.len())
        .map(|s| {
            dep.services[s].slots as f64 * scenario.instances(now, s == crate::deployment::DEEP)
        })
        .collect();
    let mut rates = vec![0.0; dep.classes.len()];
    for rank in 0..4 {
        let members: Vec<usize> =
            (0..dep.classes.len()).filter(|&c| dep.classes[c].criticality.rank() == rank).collect();
        for &c in &members {
            let costs = slot_seconds(dep, scenario, now, c);
            let fits = costs.iter().map(|&(service, cost)| {
                let together: f64 = members
                    .iter()
                    .flat_map(|&other| {
                        slot_seconds(dep, scenario, now, other)
                            .into_iter()
                            .map(move |cost| (other, cost))
                    })
                    .filter(|&(_, (s, _))| s == service)
                    .map(|(other, (_, cost))| cost * asked[other])
                    .sum();
                if together > 0.0 && cost > 0.0 { (free[service] / together).min(1.0) } else { 1.0 }
            });
            rates[c] = asked[c] * fits.fold(1.0, f64::min);
        }
        for &c in &members {
            for (service, cost) in slot_seconds(dep, scenario, now, c) {
                free[service] = (free[service] - cost * rates[c]).max(0.0);
            }
        }
    }
    rates
}

/// Returns how long a request of a class holds a slot of each service.
fn slot_seconds(
    dep: &Deployment,
    scenario: &Scenario,
    now: Duration,
    class: usize,
) -> Vec<(usize, f64)> {
    let class = &dep.classes[class];
    let slow = scenario.causes.iter().find_map(|c| match c {
        Cause::DeepSlow(factor) if Scenario::active(now) => Some(*factor),
        _ => None,
    });
    let deep = class.deep.map_or(0.0, |d| d.as_secs_f64());
    let away = if deep > 0.0 {
        deep * slow.unwrap_or(1.0) + 4.0 / 3.0 * dep.between_zones.as_secs_f64()
    } else {
        0.0
    };
    let front = class.front.as_secs_f64() + class.transfer.as_secs_f64() + away;
    let mut costs = vec![(class.service, front)];
    if deep > 0.0 {
        costs.push((crate::deployment::DEEP, deep));
    }
    costs
}

/// Returns the fresh requests a second that fill the deployment.
pub(crate) fn capacity(dep: &Deployment) -> f64 {
    let calm = Scenario { name: String::new(), causes: Vec::new() };
    let mut load = vec![0.0; dep.services.len()];
    for (c, class) in dep.classes.iter().enumerate() {
        for (service, cost) in slot_seconds(dep, &calm, Duration::ZERO, c) {
            load[service] += cost * class.share;
        }
    }
    let fill = |(s, load): (usize, &f64)| (dep.services[s].slots * ZONES) as f64 / load;
    load.iter().enumerate().map(fill).fold(f64::INFINITY, f64::min)
}
