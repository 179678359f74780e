//! Counts what became of the requests of one run.

use std::time::Duration;

use crate::deployment::Deployment;
use crate::scenario::BEGIN;
use crate::scenario::END;
use crate::scenario::FINISH;
use crate::scenario::Scenario;
use crate::scenario::allowed;
use crate::scenario::capacity;

/// Length of the bins that recovery is read from.
const BIN: Duration = Duration::from_millis(250);

/// Bins that are judged together, so that small classes have enough requests.
const JUDGED_BINS: usize = 4;

/// Share of fresh requests that must be answered whole at the first attempt.
const RECOVERED: f64 = 0.99;

#[derive(Clone, Copy, Default)]
struct Bin {
    fresh: u32,
    whole: u32,
}

/// Counts of one class.
#[derive(Clone, Default)]
struct ClassTally {
    weight: f64,
    allowed: f64,
    whole: f64,
    fresh: u64,
    attempts: u64,
    refused_at_root: u64,
    gave_up: u64,
    bins: Vec<Bin>,
}

/// Counts of one run.
pub(crate) struct Tally {
    classes: Vec<ClassTally>,
    useful: f64,
    wasted: f64,
}

impl Tally {
    pub(crate) fn new(dep: &Deployment, scenario: &Scenario) -> Self {
        let rate = capacity(dep) * scenario.demand(BEGIN);
        let asked: Vec<f64> = dep
            .classes
            .iter()
            .map(|class| {
                let slow = class.transfer > Duration::ZERO;
                rate * class.share * if slow { scenario.downloads(BEGIN) } else { 1.0 }
            })
            .collect();
        let allowed = allowed(dep, scenario, BEGIN, &asked);
        let seconds = (END - BEGIN).as_secs_f64();
        let bins = (FINISH.as_millis() / BIN.as_millis()) as usize + 1;
        let classes = dep.classes.iter().zip(allowed).map(|(class, allowed)| ClassTally {
            weight: f64::from(class.weight),
            allowed: allowed * seconds,
            bins: vec![Bin::default(); bins],
            ..ClassTally::default()
        });
        Self { classes: classes.collect(), useful: 0.0, wasted: 0.0 }
    }

    pub(crate) fn fresh(&mut self, now: Duration, class: usize) {
        self.classes[class].fresh += 1;
        self.classes[class].bins[bin(now)].fresh += 1;
    }

    pub(crate) fn attempt(&mut self, class: usize, _tries: u8) {
        self.classes[class].attempts += 1;
    }

    pub(crate) fn refused_at_root(&mut self, class: usize) {
        self.classes[class].refused_at_root += 1;
    }

    pub(crate) fn gave_up(&mut self, class: usize) {
        self.classes[class].gave_up += 1;
    }

    pub(crate) fn whole(&mut self, now: Duration, class: usize, arrived: Duration, tries: u8) {
        let class = &mut self.classes[class];
        if (BEGIN..END).contains(&now) {
            class.whole += 1.0;
        }
        if tries == 1 {
            class.bins[bin(arrived)].whole += 1;
        }
    }

    pub(crate) fn worked(&mut self, now: Duration, used: Duration, useful: bool) {
        if now < BEGIN {
            return;
        }
        let total = if useful { &mut self.useful } else { &mut self.wasted };
        *total += used.as_secs_f64();
    }

    /// Whole answers of a class as a share of what capacity allowed.
    pub(crate) fn class_goodput(&self, class: usize) -> f64 {
        let class = &self.classes[class];
        if class.allowed < 1.0 { 1.0 } else { (class.whole / class.allowed).min(1.0) }
    }

    /// Weighted whole answers as a share of what capacity allowed.
    pub(crate) fn weighted_goodput(&self) -> f64 {
        let worth = |whole: fn(&ClassTally) -> f64| -> f64 {
            self.classes.iter().map(|class| class.weight * whole(class)).sum()
        };
        worth(|class| class.whole) / worth(|class| class.allowed)
    }

    /// Share of the upstreams' work that served no whole answer.
    pub(crate) fn wasted(&self) -> f64 {
        self.wasted / (self.useful + self.wasted).max(f64::MIN_POSITIVE)
    }

    /// Attempts of callers after the first, for each request.
    pub(crate) fn retries(&self) -> f64 {
        let total = |count: fn(&ClassTally) -> u64| -> f64 {
            self.classes.iter().map(|class| count(class) as f64).sum()
        };
        total(|class| class.attempts) / total(|class| class.fresh) - 1.0
    }

    /// Share of attempts that ran into their deadline instead of being refused.
    pub(crate) fn gave_up_share(&self) -> f64 {
        let total = |count: fn(&ClassTally) -> u64| -> f64 {
            self.classes.iter().map(|class| count(class) as f64).sum()
        };
        total(|class| class.gave_up) / total(|class| class.attempts)
    }

    /// Share of attempts that were refused before any upstream saw them.
    pub(crate) fn root_share(&self) -> f64 {
        let total = |count: fn(&ClassTally) -> u64| -> f64 {
            self.classes.iter().map(|class| count(class) as f64).sum()
        };
        total(|class| class.refused_at_root) / total(|class| class.attempts)
    }

    /// Seconds from the end of the cause until fresh requests of the given
    /// classes stay answered, if they ever do.
    pub(crate) fn recovery(&self, classes: &[usize]) -> Option<f64> {
        let bins = bin(FINISH);
        let good = |start: usize| {
            let judged = start..(start + JUDGED_BINS).min(bins);
            let (mut fresh, mut whole) = (0u32, 0u32);
            for &class in classes {
                for bin in &self.classes[class].bins[judged.clone()] {
                    fresh += bin.fresh;
                    whole += bin.whole;
                }
            }
            f64::from(whole) >= RECOVERED * f64::from(fresh)
        };
        let first = bin(END);
        let last_bad = (first..bins - JUDGED_BINS).rev().find(|&start| !good(start));
        let recovered = last_bad.map_or(first, |bad| bad + 1);
        let seconds = (recovered - first) as f64 * BIN.as_secs_f64();
        (recovered < bins - JUDGED_BINS).then_some(seconds)
    }
}

fn bin(at: Duration) -> usize {
    (at.as_millis() / BIN.as_millis()) as usize
}
