//! How long the upstream runs requests of each kind.

use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::version::PlanKey;

/// Length of the windows over which the longest run of a kind is kept.
const WINDOW: Duration = Duration::from_secs(10);
/// Most kinds that are tracked; the one tracked longest is forgotten first.
const KINDS_MAX: usize = 4096;

/// Identifies one run at the upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RunId(u64);

/// The runs in progress, and the longest runs of each kind lately.
///
/// A run begins once the whole request was passed on, so that a slow upload does not look like
/// a slow upstream.
#[derive(Debug, Default)]
pub struct RunTimes {
    next_id: u64,
    running: IndexMap<RunId, (PlanKey, Duration), FxBuildHasher>,
    longest: IndexMap<PlanKey, LongestRun, FxBuildHasher>,
}

/// Longest run in the current window and in the one before it.
#[derive(Clone, Copy, Debug, Default)]
struct LongestRun {
    window: u64,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl LongestRun {
    fn advance(&mut self, now: Duration) {
        let window = now.as_secs() / WINDOW.as_secs();
        self.previous = match window.saturating_sub(self.window) {
            0 => return,
            1 => self.current,
            _ => None,
        };
        self.current = None;
        self.window = window;
    }
}

impl RunTimes {
    /// Records that a whole request was passed on to the upstream.
    pub fn begin(&mut self, now: Duration, kind: PlanKey) -> RunId {
        self.next_id += 1;
        let id = RunId(self.next_id);
        self.running.insert(id, (kind, now));
        id
    }

    /// Records the end of a run. The time of one that was given up says little and is not kept.
    pub fn end(&mut self, now: Duration, id: RunId, is_complete: bool) {
        let Some((kind, began)) = self.running.swap_remove(&id) else { return };
        if !is_complete {
            return;
        }
        if self.longest.len() >= KINDS_MAX && !self.longest.contains_key(&kind) {
            self.longest.shift_remove_index(0);
        }
        let longest = self.longest.entry(kind).or_default();
        longest.advance(now);
        longest.current = longest.current.max(Some(now.saturating_sub(began)));
    }

    /// Returns the longest run of a kind in the last 10 to 20 s, those in progress included;
    /// `None` without one.
    pub fn longest(&self, now: Duration, kind: PlanKey) -> Option<Duration> {
        let ended = self.longest.get(&kind).copied().and_then(|mut longest| {
            longest.advance(now);
            longest.current.max(longest.previous)
        });
        let running = self.running.values().filter(|(running, _)| *running == kind);
        ended.max(running.map(|(_, began)| now.saturating_sub(*began)).max())
    }
}
