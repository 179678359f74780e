//! Admission state machine.

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
use crate::process::admission::KnownLimit;
use crate::process::admission::Level;
use crate::process::admission::LimitChange;
use crate::process::admission::LimitNotice;
use crate::process::admission::LimitPolicy;
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
use crate::process::admission::load::OfferedLoad;
use crate::process::admission::pacing::RetryPacing;
use crate::process::admission::pacing::retry_after_range;
use crate::process::admission::queue::QueuedRequest;
use crate::process::admission::queue::WaitQueue;
use crate::process::admission::queue::shed_key;
use crate::process::admission::rate_limiter::RateLimiter;
use crate::version::Criticality;
use crate::version::PlanKey;

/// Time for which deferrable requests stay capped after a non-deferrable request was queued.
const DEFERRABLE_CAP_DURATION: Duration = Duration::from_secs(10);

/// Share of the concurrency limit in use below which the upstream has spare slots.
const SPARE_UTILIZATION: f64 = 0.9;

/// Weight of one completed request in the success ratio. The ratio of a failing
/// upstream drops noticeably within a few dozen requests.
const SUCCESS_SAMPLE_WEIGHT: f64 = 0.05;

/// One request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    criticality: Criticality,
    kind: PlanKey,
    started: Duration,
    answer_started: bool,
}

/// Decides which requests may start at the local upstream.
///
/// After each [`Self::arrive`], [`Self::complete`] and [`Self::cancel`], and at
/// [`Self::next_wakeup`], the driver must call [`Self::poll`] for the verdicts on
/// queued requests. `now` is the monotonic time since the process started.
///
/// Between two calls, no slot is idle while a queued request may take it.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    next_ticket: u64,
    queue: WaitQueue,
    running: IndexMap<Ticket, Running, FxBuildHasher>,
    slots_held: [usize; Criticality::ALL.len()],
    limit: ConcurrencyLimit,
    latencies: Latencies,
    drain: DrainRate,
    load: OfferedLoad,
    level: LevelControl,
    /// Most critical class of which a request missed its objective or deadline in this
    /// window.
    missed_class: Option<Criticality>,
    /// Moving average of the share of attempts that the upstream answered.
    success_ratio: f64,
    pacing: RetryPacing,
    /// Keeps the rate of requests at the limit that the upstream states.
    rate: RateLimiter,
    decisions: Vec<Decision>,
    window_start: Duration,
    /// Time at which a non-deferrable request was last queued.
    others_waited_at: Option<Duration>,
}

/// Returns whether a request is shed once it can no longer meet its objective.
///
/// The most critical requests are still worth answering after their objective. Calls
/// are not shed for other requests, because the requests that made them hold slots
/// elsewhere.
fn expires_at_objective(work: &Work) -> bool {
    work.criticality != Criticality::Critical && work.depth == 0
}

impl Admission {
    /// Creates the state machine with all slots free.
    pub fn new(cfg: &AdmissionConfig) -> Self {
        Self {
            cfg: cfg.clone(),
            next_ticket: 0,
            queue: WaitQueue::default(),
            running: IndexMap::default(),
            slots_held: [0; Criticality::ALL.len()],
            limit: ConcurrencyLimit::new(cfg.limit, cfg.slots),
            latencies: Latencies::default(),
            drain: DrainRate::default(),
            load: OfferedLoad::default(),
            level: LevelControl::new(),
            missed_class: None,
            success_ratio: 1.0,
            pacing: RetryPacing::default(),
            rate: RateLimiter::new(),
            decisions: Vec::new(),
            window_start: Duration::ZERO,
            others_waited_at: None,
        }
    }

    /// Decides on a request that has just arrived.
    pub fn arrive(&mut self, now: Duration, work: Work) -> Arrival {
        self.advance(now);
        self.dispatch(now);
        if self.slot_level().admits(work.criticality, work.hash) {
            let hold_seconds = self.latencies.kind_hold_seconds(work.kind);
            self.load.record_arrival(work.criticality, work.depth, hold_seconds);
        }
        if self.cannot_meet_deadline(now, &work) {
            return Arrival::Shed(self.refuse(now, &work, ShedReason::Deadline));
        }
        if !self.rate.offer(now, &work) {
            return Arrival::Shed(self.refuse(now, &work, ShedReason::RateLimit));
        }
        if self.has_slot(now, work.criticality) {
            if !self.rate.try_send(now, &work) {
                return Arrival::Shed(self.refuse(now, &work, ShedReason::RateLimit));
            }
            let ticket = self.issue_ticket();
            self.start(now, ticket, &work);
            return Arrival::Admitted(ticket);
        }
        if self.cfg.policy == Policy::Adaptive && self.misses_objective(now, &work) {
            self.record_miss(work.criticality);
            return Arrival::Shed(self.refuse(now, &work, ShedReason::Objective));
        }
        if let Some(reason) = self.queue_refusal(&work)
            && !self.displace(now, &work, reason)
        {
            return Arrival::Shed(self.refuse(now, &work, reason));
        }
        Arrival::Queued(self.enqueue(now, work))
    }

    /// Removes a queued request, or frees the slot of an admitted one, because its caller
    /// cancelled it. A ticket that is no longer valid is ignored.
    pub fn cancel(&mut self, now: Duration, ticket: Ticket) {
        self.advance(now);
        if self.queue.remove(ticket).is_none() {
            self.complete(now, ticket, Completion::Cancelled);
        }
    }

    /// Records that the head of the answer has arrived.
    ///
    /// Service time is measured up to this point, so that a client that reads a long body
    /// slowly does not make the upstream look slow. Calling this is optional.
    pub fn answer_started(&mut self, now: Duration, ticket: Ticket) {
        if let Some(running) = self.running.get_mut(&ticket)
            && !running.answer_started
        {
            running.answer_started = true;
            let Running { kind, started, .. } = *running;
            self.record_service_time(now, kind, now.saturating_sub(started));
        }
    }

    /// Frees the slot of an admitted request.
    pub fn complete(&mut self, now: Duration, ticket: Ticket, completion: Completion) {
        self.advance(now);
        let Some(running) = self.running.swap_remove(&ticket) else { return };
        let Running { criticality, kind, started, answer_started } = running;
        self.slots_held[usize::from(criticality.rank())] -= 1;
        self.drain.record_completion();
        let elapsed = now.saturating_sub(started);
        self.latencies.slot_released(criticality, kind, elapsed);
        self.update_success_ratio(completion);
        match completion {
            Completion::Answered if !answer_started => self.record_service_time(now, kind, elapsed),
            Completion::TimedOut | Completion::Cancelled if !answer_started => {
                self.latencies.record_lower_bound(now, kind, elapsed);
            }
            Completion::Overloaded => self.limit.record_refusal(self.running.len() + 1),
            _ => {}
        }
        self.dispatch(now);
    }

    /// Appends the verdicts reached on queued requests since the last call.
    pub fn poll(&mut self, now: Duration, decisions: &mut Vec<Decision>) {
        self.advance(now);
        self.dispatch(now);
        decisions.append(&mut self.decisions);
    }

    /// Returns when [`Self::poll`] must be called even if nothing else happens.
    pub fn next_wakeup(&self) -> Option<Duration> {
        if !self.decisions.is_empty() {
            return Some(Duration::ZERO);
        }
        let is_adapting = self.queue.len() > 0 || !self.level.is_open() || !self.rate.is_open();
        let window_end = is_adapting.then(|| self.window_start + self.cfg.window);
        window_end.into_iter().chain(self.queue.next_expiry()).min()
    }

    /// Returns the maximum number of requests that the upstream serves concurrently.
    pub fn slots(&self) -> usize {
        self.cfg.slots
    }

    /// Sets the maximum number of requests that the upstream serves concurrently.
    pub fn set_slots(&mut self, now: Duration, slots: usize) {
        if slots == self.cfg.slots {
            return;
        }
        self.cfg.set_slots(slots);
        self.limit = ConcurrencyLimit::new(self.cfg.limit, slots);
        self.dispatch(now);
    }

    /// Returns the admission level that callers should apply on behalf of this daemon.
    pub fn level(&self) -> Level {
        self.slot_level().min(self.rate.level())
    }

    /// Returns the admission level for the upstream's slots.
    fn slot_level(&self) -> Level {
        match self.cfg.policy {
            Policy::None | Policy::FixedLimit => Level::OPEN,
            Policy::Adaptive => self.level.level(),
        }
    }

    /// Records what an answer says about the limit on the rate of requests. Returns a change
    /// that operators are told of.
    ///
    /// `is_late` marks an answer to another request than the one that it was received for.
    pub fn record_limit_notice(
        &mut self,
        now: Duration,
        notice: LimitNotice,
        is_late: bool,
    ) -> Option<LimitChange> {
        self.rate.record_notice(now, notice, is_late)
    }

    /// Adopts a limit on the rate of requests that another daemon knows of, unless this one
    /// has heard from the upstream since.
    pub fn adopt_rate_limit(&mut self, now: Duration, known: KnownLimit) -> Option<LimitChange> {
        self.rate.adopt(now, known)
    }

    /// Forgets the limit on the rate of requests, because another upstream uses the address.
    pub fn clear_rate_limit(&mut self, now: Duration) -> Option<LimitChange> {
        self.rate.clear(now)
    }

    /// Returns the limit on the rate of requests that the upstream states.
    pub fn rate_limit(&self, now: Duration) -> Option<KnownLimit> {
        self.rate.known(now)
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> usize {
        match self.cfg.policy {
            Policy::None => usize::MAX,
            Policy::FixedLimit => self.cfg.slots,
            Policy::Adaptive => self.limit.get(),
        }
    }

    /// Returns the moving average of the share of attempts that the upstream answered.
    pub fn success_ratio(&self) -> f64 {
        self.success_ratio
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_progress(&self) -> usize {
        self.running.len()
    }

    /// Returns whether the upstream has spare slots, so that a refusal by it has another
    /// reason than overload.
    pub fn has_spare_slots(&self) -> bool {
        let has_fixed_limit = self.cfg.limit == LimitPolicy::Slots;
        has_fixed_limit || (self.running.len() as f64) < self.limit() as f64 * SPARE_UTILIZATION
    }

    /// Takes the place of a request that the upstream refused and that is sent to it again.
    /// Returns whether the limit on the rate of requests allows it.
    pub fn try_resend(&mut self, now: Duration) -> bool {
        self.rate.try_resend(now)
    }

    /// Returns whether the upstream gets about as many requests as it takes, by the limit that
    /// it states. It may then refuse some and is sound all the same.
    pub fn is_at_rate_limit(&mut self, now: Duration) -> bool {
        self.rate.is_at_limit(now)
    }

    /// Returns the offered rate of requests as a share of the limit that the upstream states;
    /// 0 without a limit.
    pub fn rate_utilization(&self) -> f64 {
        self.rate.utilization()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of queued requests of one criticality.
    pub fn queued_of(&self, criticality: Criticality) -> usize {
        self.queue.len_of(criticality)
    }

    /// Returns whether a request of this criticality would start if it arrived now.
    pub fn has_slot(&self, now: Duration, criticality: Criticality) -> bool {
        let limit = self.limit();
        if self.running.len() >= limit {
            return false;
        }
        let is_capped = criticality == Criticality::Deferrable
            && self.cfg.policy == Policy::Adaptive
            && self.caps_deferrable(now);
        !is_capped || self.slots_held[usize::from(criticality.rank())] < self.deferrable_cap()
    }

    fn issue_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        Ticket(self.next_ticket)
    }

    fn start(&mut self, now: Duration, ticket: Ticket, work: &Work) {
        let Work { criticality, kind, .. } = *work;
        let running = Running { criticality, kind, started: now, answer_started: false };
        self.running.insert(ticket, running);
        self.slots_held[usize::from(criticality.rank())] += 1;
        self.latencies.slot_taken(kind);
        self.limit.record_in_progress(self.running.len());
    }

    fn enqueue(&mut self, now: Duration, work: Work) -> Ticket {
        if work.criticality != Criticality::Deferrable {
            self.others_waited_at = Some(now);
        }
        let ticket = self.issue_ticket();
        let expires = self.expiry(now, &work);
        let hold_seconds = self.latencies.kind_hold_seconds(work.kind);
        self.queue.push(ticket, QueuedRequest { work, arrived: now, expires, hold_seconds });
        ticket
    }

    /// Returns when a request that is queued now expires.
    fn expiry(&self, now: Duration, work: &Work) -> Duration {
        if self.cfg.policy == Policy::FixedLimit {
            return Duration::MAX;
        }
        let latest_start = self.latest_start(now, work);
        let latest_start = match work.objective {
            Some(objective) if expires_at_objective(work) => {
                let service_time = self.latencies.service_time(now, work.kind);
                latest_start.min(objective.saturating_sub(service_time))
            }
            _ => latest_start,
        };
        if work.may_wait { latest_start } else { latest_start.min(now + self.cfg.brief_wait) }
    }

    /// Returns the latest start time that still meets the deadline.
    fn latest_start(&self, now: Duration, work: &Work) -> Duration {
        if !self.cfg.shed_past_deadline {
            return work.deadline;
        }
        let service_time = self.latencies.service_time(now, work.kind);
        work.deadline.saturating_sub(service_time)
    }

    /// Returns whether a request is not expected to finish before its deadline.
    fn cannot_meet_deadline(&self, now: Duration, work: &Work) -> bool {
        self.cfg.policy == Policy::Adaptive
            && self.cfg.shed_past_deadline
            && self.latest_start(now, work) <= now
    }

    /// Returns why a request may not be queued, or `None` if it may.
    fn queue_refusal(&self, work: &Work) -> Option<ShedReason> {
        let is_full = self.queue.len() >= self.cfg.queue_entries;
        // A call is not shed in favor of new requests, because work was already spent on
        // the request that made it.
        let is_excluded = work.depth == 0 && !self.level().admits(work.criticality, work.hash);
        if is_full {
            Some(ShedReason::QueueFull)
        } else if is_excluded {
            Some(ShedReason::Level)
        } else {
            None
        }
    }

    /// Sheds a queued request that ranks below a new one; returns whether there was one.
    fn displace(&mut self, now: Duration, work: &Work, reason: ShedReason) -> bool {
        let ranks_requests = self.cfg.policy == Policy::Adaptive;
        if !ranks_requests || self.cfg.fault == Some(Fault::ShedNewcomer) {
            return false;
        }
        let Some((key, ticket)) = self.queue.first_to_shed() else { return false };
        if key <= shed_key(work) {
            return false;
        }
        self.shed_queued(now, ticket, reason);
        true
    }

    fn shed_queued(&mut self, now: Duration, ticket: Ticket, reason: ShedReason) {
        if let Some(request) = self.queue.remove(ticket) {
            let shed = self.refuse(now, &request.work, reason);
            self.decisions.push(Decision { ticket, verdict: Verdict::Shed(shed) });
        }
    }

    fn refuse(&mut self, now: Duration, work: &Work, reason: ShedReason) -> Shed {
        let drain_rate = match (reason, self.rate.rate()) {
            (ShedReason::RateLimit, Some(rate)) => rate,
            _ => self.drain.per_second(),
        };
        let remaining = work.objective.map(|objective| objective.saturating_sub(now));
        let retry_after = self.pacing.schedule_retry(
            work.criticality,
            work.hash,
            self.queue.len(),
            drain_rate,
            remaining.map_or(self.cfg.retry_after, retry_after_range),
        );
        Shed { retry_after, reason }
    }

    /// Sheds queued requests that have expired and ends the window when it is over.
    fn advance(&mut self, now: Duration) {
        while let Some((ticket, request)) = self.queue.pop_expired(now) {
            let work = &request.work;
            if work.objective.is_some() {
                self.record_miss(work.criticality);
            }
            let in_time = self.latest_start(now, work) > now;
            let reason = match in_time {
                true if !work.may_wait => ShedReason::NoWait,
                true if work.objective.is_some() => ShedReason::Objective,
                _ => ShedReason::Deadline,
            };
            let shed = self.refuse(now, &request.work, reason);
            self.decisions.push(Decision { ticket, verdict: Verdict::Shed(shed) });
        }
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= self.cfg.window {
            self.close_window(now, elapsed);
        }
    }

    /// Records that the upstream refused an admitted request, which is sent to it again.
    ///
    /// Load pattern: an upstream refuses half of what it gets while it has free slots. If
    /// only the last attempt counted, callers would see a sound upstream and go on to send
    /// it as much as one that refuses nothing, and each refusal costs a repeat.
    pub fn record_resend(&mut self) {
        self.add_success_sample(0.0);
    }

    fn update_success_ratio(&mut self, completion: Completion) {
        match completion {
            Completion::Answered => self.add_success_sample(1.0),
            Completion::Failed | Completion::Overloaded | Completion::TimedOut => {
                self.add_success_sample(0.0);
            }
            Completion::AtRateLimit | Completion::Cancelled => {}
        }
    }

    fn add_success_sample(&mut self, success: f64) {
        self.success_ratio += (success - self.success_ratio) * SUCCESS_SAMPLE_WEIGHT;
    }

    fn record_miss(&mut self, criticality: Criticality) {
        self.missed_class =
            Some(self.missed_class.map_or(criticality, |missed| missed.min(criticality)));
    }

    fn record_service_time(&mut self, now: Duration, kind: PlanKey, latency: Duration) {
        self.latencies.record_service_time(now, kind, latency);
    }
}
