//! The admission state machine.

mod dispatch;
mod overload;

use std::time::Duration;

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use crate::process::admission::AdmissionConfig;
use crate::process::admission::Arrival;
use crate::process::admission::Completion;
use crate::process::admission::Decision;
use crate::process::admission::Fault;
use crate::process::admission::Level;
use crate::process::admission::Policy;
use crate::process::admission::Shed;
use crate::process::admission::ShedReason;
use crate::process::admission::Ticket;
use crate::process::admission::Verdict;
use crate::process::admission::Work;
use crate::process::admission::latency::DrainRate;
use crate::process::admission::latency::Latencies;
use crate::process::admission::level_control::LevelControl;
use crate::process::admission::limit::ConcurrencyLimit;
use crate::process::admission::pacing::ReturnPacing;
use crate::process::admission::queue::WaitQueue;
use crate::process::admission::queue::Waiting;
use crate::process::admission::queue::shed_key;
use crate::version::Criticality;

/// Time for which the slots of deferrable work stay capped after other work
/// has had to wait.
const CAP_MEMORY: Duration = Duration::from_secs(10);

/// One request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    criticality: Criticality,
    started: Duration,
    answer_started: bool,
}

/// Decides which work may start at the local upstream.
///
/// After every [`Self::arrive`], [`Self::complete`] and [`Self::cancel`], and
/// at [`Self::next_wakeup`], the driver calls [`Self::poll`] for the verdicts
/// on queued work. `now` is the monotonic time since the process started and
/// never goes backwards.
///
/// Between two calls no slot is idle while a waiting request may take it.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    next_ticket: u64,
    queue: WaitQueue,
    running: IndexMap<Ticket, Running, FxBuildHasher>,
    held: [usize; Criticality::ALL.len()],
    limit: ConcurrencyLimit,
    latencies: Latencies,
    drain: DrainRate,
    level: LevelControl,
    pacing: ReturnPacing,
    decisions: Vec<Decision>,
    window_start: Duration,
    others_waited: Option<Duration>,
}

impl Admission {
    /// Creates the state machine with all slots free.
    pub fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            cfg: cfg.clone(),
            next_ticket: 0,
            queue: WaitQueue::default(),
            running: IndexMap::default(),
            held: [0; Criticality::ALL.len()],
            limit: ConcurrencyLimit::new(cfg.limit, cfg.slots),
            latencies: Latencies::default(),
            drain: DrainRate::default(),
            level: LevelControl::new(),
            pacing: ReturnPacing::default(),
            decisions: Vec::new(),
            window_start: Duration::ZERO,
            others_waited: None,
        }
    }

    /// Decides on a request that has just arrived.
    pub fn arrive(&mut self, now: Duration, work: Work) -> Arrival {
        self.advance(now);
        self.dispatch(now);
        self.level.arrived(work.criticality, work.hash);
        if self.is_doomed(now, &work) {
            return Arrival::Shed(self.shed(&work, ShedReason::Deadline));
        }
        if self.has_slot(now, work.criticality) {
            let ticket = self.issue();
            self.start(now, ticket, work.criticality);
            return Arrival::Admitted(ticket);
        }
        if let Some(reason) = self.refusal(&work)
            && !self.displace(&work, reason)
        {
            return Arrival::Shed(self.shed(&work, reason));
        }
        Arrival::Queued(self.enqueue(now, work))
    }

    /// Forgets a queued request, or frees the slot of an admitted one, because
    /// its caller went away. A ticket already settled is ignored.
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) {
        self.advance(now);
        if self.queue.remove(ticket).is_none() {
            self.complete(now, ticket, Completion::Cancelled);
        }
    }

    /// Notes that the answer's head has arrived.
    ///
    /// Latency is taken up to this point, so that a slow reader of a long body
    /// does not pass for a slow upstream. Optional.
    pub fn answer_started(&mut self, now: Duration, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket)
            && !running.answer_started
        {
            running.answer_started = true;
            let Running { criticality, started, .. } = *running;
            self.sample(now, criticality, now.saturating_sub(started));
        }
    }

    /// Frees the slot of an admitted request.
    pub fn complete(&mut self, now: Duration, ticket: Ticket, completion: Completion) {
        self.advance(now);
        let Some(running) = self.running.swap_remove(&ticket) else { return };
        let Running { criticality, started, answer_started } = running;
        self.held[usize::from(criticality.rank())] -= 1;
        self.drain.completed();
        let elapsed = now.saturating_sub(started);
        self.latencies.held(criticality, elapsed);
        match completion {
            Completion::Answered if !answer_started => self.sample(now, criticality, elapsed),
            Completion::TimedOut | Completion::Cancelled if !answer_started => {
                self.latencies.sample_at_least(now, criticality, elapsed);
            }
            Completion::Overloaded => self.limit.upstream_overloaded(),
            _ => {}
        }
        self.dispatch(now);
    }

    /// Appends the verdicts on queued requests that are due.
    pub fn poll(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        self.advance(now);
        self.dispatch(now);
        decisions.append(&mut self.decisions);
    }

    /// Returns when [`Self::poll`] has something to do without another event.
    pub fn next_wakeup(&self) -> Option<Duration> {
        if !self.decisions.is_empty() {
            return Some(Duration::ZERO);
        }
        let adapting = self.queue.len() > 0 || !self.level.is_open();
        let window_end = adapting.then(|| self.window_start + self.cfg.window);
        window_end.into_iter().chain(self.queue.next_expiry()).min()
    }

    /// Returns the most requests that the upstream serves at once.
    pub fn slots(&self) -> usize {
        self.cfg.slots
    }

    /// Takes in how many requests the upstream serves at once.
    pub fn set_slots(&mut self, now: Duration, slots: usize) {
        if slots == self.cfg.slots {
            return;
        }
        self.cfg.set_slots(slots);
        self.limit = ConcurrencyLimit::new(self.cfg.limit, slots);
        self.dispatch(now);
    }

    /// Returns the level that callers should apply on our behalf.
    pub fn level(&self) -> Level {
        match self.cfg.policy {
            Policy::None | Policy::FixedLimit => Level::OPEN,
            Policy::Adaptive => self.level.level(),
        }
    }

    /// Returns the concurrency limit now in force.
    pub fn limit(&self) -> usize {
        match self.cfg.policy {
            Policy::None => usize::MAX,
            Policy::FixedLimit => self.cfg.slots,
            Policy::Adaptive => self.limit.get(),
        }
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_progress(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests of one criticality that wait.
    pub fn queued_of(&self, criticality: Criticality) -> usize {
        self.queue.len_of(criticality)
    }

    /// Tells whether a request of a criticality that arrives now would start.
    pub fn has_slot(&self, now: Duration, criticality: Criticality) -> bool {
        let limit = self.limit();
        if self.running.len() >= limit {
            return false;
        }
        let capped = criticality == Criticality::Deferrable
            && self.cfg.policy == Policy::Adaptive
            && self.caps_deferrable(now);
        !capped || self.held[usize::from(criticality.rank())] < self.deferrable_cap()
    }

    fn issue(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn start(&mut self, now: Duration, ticket: Ticket, criticality: Criticality) {
        let running = Running { criticality, started: now, answer_started: false };
        self.running.insert(ticket, running);
        self.held[usize::from(criticality.rank())] += 1;
        self.limit.in_use(self.running.len());
    }

    fn enqueue(&mut self, now: Duration, work: Work) -> Ticket {
        if work.criticality != Criticality::Deferrable {
            self.others_waited = Some(now);
        }
        let ticket = self.issue();
        let expires = self.expiry(now, &work);
        self.queue.push(ticket, Waiting { work, arrived: now, expires });
        ticket
    }

    /// Returns when a request that starts to wait now is dropped.
    fn expiry(&self, now: Duration, work: &Work) -> Duration {
        if self.cfg.policy == Policy::FixedLimit {
            return Duration::MAX;
        }
        let latest_start = self.latest_start(now, work);
        if work.may_wait { latest_start } else { latest_start.min(now + self.cfg.brief_wait) }
    }

    /// Returns the latest start that still meets the deadline.
    fn latest_start(&self, now: Duration, work: &Work) -> Duration {
        if !self.cfg.deadline_cut {
            return work.deadline;
        }
        let service_time = self.latencies.service_time(now, work.criticality);
        work.deadline.saturating_sub(service_time)
    }

    /// Tells whether a request cannot finish inside its deadline.
    fn is_doomed(&self, now: Duration, work: &Work) -> bool {
        self.cfg.policy == Policy::Adaptive
            && self.cfg.deadline_cut
            && self.latest_start(now, work) <= now
    }

    /// Returns why a request may not wait, if so.
    fn refusal(&self, work: &Work) -> Option<ShedReason> {
        let full = self.queue.len() >= self.cfg.queue_entries;
        let excluded = !self.level().admits(work.criticality, work.hash);
        if full {
            Some(ShedReason::QueueFull)
        } else if excluded {
            Some(ShedReason::Level)
        } else {
            None
        }
    }

    /// Sheds a waiting request that is worth less than a new one, if any.
    fn displace(&mut self, work: &Work, reason: ShedReason) -> bool {
        let ranked = self.cfg.policy == Policy::Adaptive;
        if !ranked || self.cfg.fault == Some(Fault::ShedNewcomer) {
            return false;
        }
        let Some((key, ticket)) = self.queue.least_worth() else { return false };
        if key <= shed_key(work) {
            return false;
        }
        self.settle_shed(ticket, reason);
        true
    }

    fn settle_shed(&mut self, ticket: Ticket, reason: ShedReason) {
        if let Some(waiting) = self.queue.remove(ticket) {
            let shed = self.shed(&waiting.work, reason);
            self.decisions.push(Decision { ticket, verdict: Verdict::Shed(shed) });
        }
    }

    fn shed(&mut self, work: &Work, reason: ShedReason) -> Shed {
        let retry_after = self.pacing.refuse(
            work.criticality,
            work.hash,
            self.queue.len(),
            self.drain.per_second(),
            self.cfg.retry_after,
        );
        Shed { retry_after, reason }
    }

    /// Drops waiting requests whose time has run out and closes windows.
    fn advance(&mut self, now: Duration) {
        while let Some((ticket, waiting)) = self.queue.pop_expired(now) {
            let brief = !waiting.work.may_wait && self.latest_start(now, &waiting.work) > now;
            let reason = if brief { ShedReason::NoWait } else { ShedReason::Deadline };
            let shed = self.shed(&waiting.work, reason);
            self.decisions.push(Decision { ticket, verdict: Verdict::Shed(shed) });
        }
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= self.cfg.window {
            self.roll(now, elapsed);
        }
    }

    fn sample(&mut self, now: Duration, criticality: Criticality, latency: Duration) {
        self.latencies.sample(now, criticality, latency);
    }
}
