//! Notices that the local upstream has crashed, and with which requests.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::mpsc::unbounded_channel;

use super::Node;
use crate::process::InstanceId;
use crate::process::RequestName;
use crate::process::clock::Clock;
use crate::process::crashes::AnswerNotice;
use crate::process::crashes::BanNotice;
use crate::process::crashes::CrashHistory;
use crate::process::crashes::CrashId;
use crate::process::crashes::CrashReport;
use crate::process::crashes::CrashSnapshot;
use crate::process::crashes::CrashUpdate;
use crate::process::crashes::RunId;
use crate::process::crashes::RunningRequests;
use crate::process::log::Decision;
use crate::process::membership::LocalStanding;
use crate::process::metrics::Counter;
use crate::request::ContentDigest;
use crate::request::HeadDigest;
use crate::request::RequestContent;

/// Time after a crash in which failures of connections belong to the same crash.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

/// What the daemon knows of crashes of the local upstream.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    clock: Clock,
    running: Arc<Mutex<RunningRequests>>,
    check: Mutex<CheckState>,
    shared: Arc<SharedHistory>,
    /// What the other daemons of the service are to be told of at once.
    update_rx: tokio::sync::Mutex<UnboundedReceiver<CrashUpdate>>,
}

/// The crash history, with what the other daemons are to be told of.
#[derive(Debug)]
struct SharedHistory {
    history: Mutex<CrashHistory>,
    update_tx: UnboundedSender<CrashUpdate>,
}

impl SharedHistory {
    fn push(&self, update: CrashUpdate) {
        // The receiver lives as long as the node.
        let _ = self.update_tx.send(update);
    }

    /// Records that the local upstream has answered a content, and tells the other daemons if
    /// it is suspected of a crash.
    fn record_answer(&self, now: Duration, content: ContentDigest, age: Duration) {
        let answer = AnswerNotice { content, age };
        let is_new = self.history.lock().record_answer(now, &answer);
        if is_new {
            self.push(CrashUpdate { answers: vec![answer], ..CrashUpdate::default() });
        }
    }
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
    shared: Arc<SharedHistory>,
    id: RunId,
}

impl RunGuard {
    /// Records that the upstream has answered the request with success.
    pub(crate) fn answered(&self) {
        let now = self.clock.now();
        let content = self.running.lock().answered(now, self.id);
        if let Some(content) = content {
            self.shared.record_answer(now, content, Duration::ZERO);
        }
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
        let (update_tx, update_rx) = unbounded_channel();
        Self {
            clock,
            running: Arc::default(),
            check: Mutex::new(CheckState::Idle),
            shared: Arc::new(SharedHistory { history: Mutex::default(), update_tx }),
            update_rx: tokio::sync::Mutex::new(update_rx),
        }
    }

    /// Adds a request that is about to be sent to the upstream.
    pub(crate) fn begin(&self, content: RequestContent, name: Option<RequestName>) -> RunGuard {
        let id = self.running.lock().begin(content, name);
        let (running, shared) = (Arc::clone(&self.running), Arc::clone(&self.shared));
        RunGuard { clock: self.clock, running, shared, id }
    }

    /// Returns the time until requests with a content may run again; `None` if they may now.
    pub(crate) fn ban_left(&self, content: ContentDigest) -> Option<Duration> {
        self.shared.history.lock().ban_left(self.clock.now(), content)
    }

    /// Whether the body of a request with this head must be known before it is sent.
    pub(crate) fn needs_body(&self, head: HeadDigest) -> bool {
        self.shared.history.lock().needs_body(head)
    }

    /// Waits for what the other daemons of the service are to be told of.
    pub(crate) async fn next_update(&self) -> CrashUpdate {
        let update = self.update_rx.lock().await.recv().await;
        update.expect("the sender lives as long as the receiver")
    }

    pub(crate) fn is_history_empty(&self) -> bool {
        let mut history = self.shared.history.lock();
        history.expire(self.clock.now());
        history.is_empty()
    }

    pub(crate) fn checksum(&self) -> u64 {
        self.shared.history.lock().checksum()
    }

    pub(crate) fn crash_ids(&self) -> Vec<CrashId> {
        self.shared.history.lock().crash_ids()
    }

    pub(crate) fn reports(&self, wanted: &[CrashId]) -> Vec<CrashReport> {
        self.shared.history.lock().reports(self.clock.now(), wanted)
    }

    pub(crate) fn bans_and_answers(&self) -> CrashUpdate {
        self.shared.history.lock().bans_and_answers(self.clock.now())
    }

    /// Returns the contents that may not run now, with the time until they may.
    pub(crate) fn active_bans(&self) -> Vec<(ContentDigest, Duration)> {
        self.shared.history.lock().active_bans(self.clock.now())
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
        let snapshot = self.crash_watch.running.lock().suspects(now);
        let (node, instance) = (Arc::clone(self), instance.clone());
        tokio::spawn(async move {
            let has_ended = node.upstream.has_ended().await;
            node.crash_watch.end_check(node.clock.now(), has_ended);
            if has_ended {
                node.record_crash(&instance, &snapshot);
            }
        });
    }

    /// Records what another daemon tells.
    pub(crate) fn apply_crash_update(&self, update: CrashUpdate) {
        let now = self.clock.now();
        for answer in &update.answers {
            self.crash_watch.shared.history.lock().record_answer(now, answer);
        }
        for report in update.crashes {
            self.record_report(report);
        }
        for ban in &update.bans {
            let is_new = self.crash_watch.shared.history.lock().adopt_ban(now, ban);
            if is_new {
                self.report_ban(ban, true);
            }
        }
        // Answers to contents that became suspect only by these crashes.
        for answer in &update.answers {
            self.crash_watch.shared.history.lock().record_answer(now, answer);
        }
    }

    /// Records a crash, and tells which of its suspects the local upstream has answered.
    fn record_report(&self, report: CrashReport) {
        let now = self.clock.now();
        let contents: Vec<_> =
            report.suspects.iter().filter_map(|suspect| suspect.content).collect();
        let bans = self.crash_watch.shared.history.lock().record(now, report);
        for content in contents {
            let answered_at = self.crash_watch.running.lock().answered_at(content);
            if let Some(age) = answered_at.map(|at| now.saturating_sub(at)) {
                self.crash_watch.shared.record_answer(now, content, age);
            }
        }
        for ban in &bans {
            self.report_ban(ban, false);
        }
    }

    fn report_ban(&self, ban: &BanNotice, is_told: bool) {
        self.metrics.count(Counter::ContentsBanned);
        let decision = Decision::ContentBanned { ban, is_told };
        self.decisions.write(self.clock.now(), None, &decision);
    }

    fn record_crash(&self, instance: &InstanceId, snapshot: &CrashSnapshot) {
        let now = self.clock.now();
        self.crash_watch.running.lock().crashed();
        self.metrics.count(Counter::UpstreamCrashes);
        let suspects = snapshot.suspects().count();
        let decision =
            Decision::UpstreamCrashed { instance, suspects, trusted: snapshot.trusted_count() };
        self.decisions.write(now, None, &decision);
        for (suspect, name) in snapshot.suspects() {
            let decision = Decision::CrashSuspect { instance, suspect, name: name.as_ref() };
            self.decisions.write(now, None, &decision);
        }
        let report = CrashReport {
            id: CrashId(rand::random()),
            instance: instance.clone(),
            age: Duration::ZERO,
            suspects: snapshot.suspects().map(|(suspect, _)| *suspect).collect(),
        };
        self.record_report(report.clone());
        self.crash_watch
            .shared
            .push(CrashUpdate { crashes: vec![report], ..CrashUpdate::default() });
    }
}
