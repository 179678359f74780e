//! Notices that the local upstream has crashed, and with which requests.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use super::Node;
use crate::process::InstanceId;
use crate::process::RequestName;
use crate::process::clock::Clock;
use crate::process::crashes::CrashScene;
use crate::process::crashes::RunId;
use crate::process::crashes::RunningRequests;
use crate::process::log::Decision;
use crate::process::membership::LocalStanding;
use crate::process::metrics::Counter;
use crate::request::RequestContent;

/// Time after a crash in which failures of connections belong to the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

/// What the daemon knows of crashes of the local upstream.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    clock: Clock,
    running: Arc<Mutex<RunningRequests>>,
    check: Mutex<CheckState>,
}

/// Whether the failure of a connection starts a check of the upstream.
#[derive(Clone, Copy, Debug)]
enum CheckState {
    Idle,
    Checking,
    Crashed { at: Duration },
}

/// A request at the local upstream, from just before it is sent.
#[derive(Debug)]
pub(crate) struct RunGuard {
    clock: Clock,
    running: Arc<Mutex<RunningRequests>>,
    id: RunId,
}

impl RunGuard {
    /// Records that the upstream has answered the request with success.
    pub(crate) fn answered(&self) {
        self.running.lock().answered(self.clock.now(), self.id);
    }

    /// Records that the request did not run.
    pub(crate) fn not_run(&self) {
        self.running.lock().not_run(self.id);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.running.lock().abandoned(self.clock.now(), self.id);
    }
}

impl CrashWatch {
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, running: Arc::default(), check: Mutex::new(CheckState::Idle) }
    }

    /// Adds a request that is about to be sent to the upstream.
    pub(crate) fn begin(&self, content: RequestContent, name: Option<RequestName>) -> RunGuard {
        let id = self.running.lock().begin(content, name);
        RunGuard { clock: self.clock, running: Arc::clone(&self.running), id }
    }

    fn try_begin_check(&self, now: Duration) -> bool {
        let mut check = self.check.lock();
        match *check {
            CheckState::Checking => return false,
            CheckState::Crashed { at } if now.saturating_sub(at) < SAME_CRASH_TIME => return false,
            CheckState::Crashed { .. } | CheckState::Idle => {}
        }
        *check = CheckState::Checking;
        true
    }

    fn end_check(&self, now: Duration, has_crashed: bool) {
        *self.check.lock() = match has_crashed {
            true => CheckState::Crashed { at: now },
            false => CheckState::Idle,
        };
    }
}

impl Node {
    /// Checks whether the local upstream has crashed, after a connection failed on which
    /// `instance` was running a request. A single connection may also have been reset.
    pub(crate) fn check_for_crash(self: &Arc<Self>, instance: &InstanceId) {
        // An instance that leaves ends as planned.
        if self.local_standing(instance) != LocalStanding::Current {
            return;
        }
        let now = self.clock.now();
        if !self.crash_watch.try_begin_check(now) {
            return;
        }
        let scene = self.crash_watch.running.lock().suspects(now);
        let (node, instance) = (Arc::clone(self), instance.clone());
        tokio::spawn(async move {
            let has_ended = node.upstream.has_ended().await;
            node.crash_watch.end_check(node.clock.now(), has_ended);
            if has_ended {
                node.record_crash(&instance, &scene);
            }
        });
    }

    fn record_crash(&self, instance: &InstanceId, scene: &CrashScene) {
        let now = self.clock.now();
        self.crash_watch.running.lock().crashed(scene);
        self.metrics.count(Counter::UpstreamCrashes);
        let suspects = scene.suspects().count();
        let decision =
            Decision::UpstreamCrashed { instance, suspects, trusted: scene.trusted_count() };
        self.decisions.write(now, None, &decision);
        for (suspect, name) in scene.suspects() {
            let decision = Decision::CrashSuspect { instance, suspect, name: name.as_ref() };
            self.decisions.write(now, None, &decision);
        }
    }
}
