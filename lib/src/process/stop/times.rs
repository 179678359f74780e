//! The times by which work ends in a stop.

use std::time::Duration;

/// Time between the end of a stop and the deadline of what begins in it. It covers the way of
/// an upstream's answer at the deadline.
const ANSWER_TIME: Duration = Duration::from_millis(300);
/// Time between the end of a stop and the last answers that a daemon gives itself.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// Run time that is assumed for requests of a kind that the upstream has not run lately.
const UNKNOWN_RUN_TIME: Duration = Duration::from_secs(1);
/// Shortest run time that is assumed, because a next run may be slower than all before it.
const SHORTEST_RUN_TIME: Duration = Duration::from_millis(250);

/// The times by which work ends in a stop, on the clock of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopTimes {
    /// When the process ends at the latest.
    pub end: Duration,
}

impl StopTimes {
    /// Returns the deadline that the upstream is told for what begins in the stop.
    pub fn run_deadline(&self) -> Duration {
        self.end.saturating_sub(ANSWER_TIME)
    }

    /// Returns when the daemon stops waiting for answers and gives its own.
    pub fn cutoff(&self) -> Duration {
        self.end.saturating_sub(WRITE_TIME)
    }

    /// Returns when the upstream may begin to run a request at the latest so that its answer
    /// arrives in time. `longest_run` is the longest run of its kind lately, if there was one.
    pub fn latest_start(&self, longest_run: Option<Duration>) -> Duration {
        self.latest_start_of(longest_run.unwrap_or(UNKNOWN_RUN_TIME))
    }

    /// Returns the same for a call that may be broken off and repeated. Without it the request
    /// that made the call would fail, and the work for that one is done.
    pub fn latest_call_start(&self) -> Duration {
        self.latest_start_of(SHORTEST_RUN_TIME)
    }

    fn latest_start_of(&self, run: Duration) -> Duration {
        self.run_deadline().saturating_sub(run.max(SHORTEST_RUN_TIME))
    }
}
