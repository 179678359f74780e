//! Runs the admission state machine for the requests of one process.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::process::admission::Admission;
use crate::process::admission::AdmissionConfig;
use crate::process::admission::Arrival;
use crate::process::admission::Completion;
use crate::process::admission::Decision;
use crate::process::admission::KnownLimit;
use crate::process::admission::Level;
use crate::process::admission::LimitChange;
use crate::process::admission::LimitNotice;
use crate::process::admission::Shed;
use crate::process::admission::Ticket;
use crate::process::admission::Verdict;
use crate::process::admission::Work;
use crate::process::clock::Clock;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::routing::LoadReport;

/// Time at a fully open admission level after which shedding is reported as ended.
const SHEDDING_END_DELAY: Duration = Duration::from_secs(5);

/// Admits requests to the local upstream as the admission state machine decides.
#[derive(Debug)]
pub struct Gate {
    clock: Clock,
    table: Mutex<Table>,
    /// Wakes the timer when an earlier wake-up may be due.
    rescheduled: Notify,
}

#[derive(Debug)]
struct Table {
    admission: Admission,
    waiting: IndexMap<Ticket, oneshot::Sender<Verdict>>,
    decisions: Vec<Decision>,
    shedding: SheddingState,
}

/// Whether the daemon sheds load, as last reported to operators.
#[derive(Clone, Copy, Debug)]
enum SheddingState {
    Open,
    Shedding { last_active: Duration },
}

/// What callers are told of the local upstream on each answer.
#[derive(Clone, Copy, Debug)]
pub struct GateReport {
    /// Admission level that they should apply.
    pub level: Level,
    /// Load of the upstream.
    pub load: LoadReport,
    /// Limit on the rate of requests that the upstream states.
    pub rate_limit: Option<KnownLimit>,
}

/// A slot at the upstream, freed when the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    gate: Arc<Gate>,
    ticket: Option<Ticket>,
}

/// A queued request, removed from the queue when this is dropped.
struct QueuedTicket {
    gate: Arc<Gate>,
    ticket: Option<Ticket>,
}

impl Gate {
    /// Creates a gate with all slots free.
    pub fn new(cfg: &AdmissionConfig, clock: Clock) -> Arc<Self> {
        let admission = Admission::new(cfg);
        let table = Table {
            admission,
            waiting: IndexMap::new(),
            decisions: Vec::new(),
            shedding: SheddingState::Open,
        };
        Arc::new(Self { clock, table: Mutex::new(table), rescheduled: Notify::new() })
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns why the request was refused and when it may be retried.
    pub async fn enter(self: &Arc<Self>, work: Work) -> Result<Permit, Shed> {
        let (ticket, rx) = {
            let mut table = self.table.lock();
            let now = self.clock.now();
            let arrival = table.admission.arrive(now, work);
            let queued = match arrival {
                Arrival::Admitted(ticket) => (ticket, None),
                Arrival::Shed(shed) => return Err(shed),
                Arrival::Queued(ticket) => {
                    let (tx, rx) = oneshot::channel();
                    table.waiting.insert(ticket, tx);
                    (ticket, Some(rx))
                }
            };
            table.poll(now);
            queued
        };
        let Some(rx) = rx else {
            return Ok(Permit { gate: Arc::clone(self), ticket: Some(ticket) });
        };
        self.rescheduled.notify_one();
        self.wait(ticket, rx).await
    }

    async fn wait(
        self: &Arc<Self>,
        ticket: Ticket,
        rx: oneshot::Receiver<Verdict>,
    ) -> Result<Permit, Shed> {
        let mut queued = QueuedTicket { gate: Arc::clone(self), ticket: Some(ticket) };
        let verdict =
            rx.await.expect("the verdict on a queued ticket is sent before it is dropped");
        queued.ticket = None;
        match verdict {
            Verdict::Admitted => Ok(Permit { gate: Arc::clone(self), ticket: Some(ticket) }),
            Verdict::Shed(shed) => Err(shed),
        }
    }

    /// Decides on queued requests when they time out or may be admitted, until
    /// the process ends.
    pub async fn run_timer(self: Arc<Self>) {
        loop {
            let wakeup = {
                let mut table = self.table.lock();
                let now = self.clock.now();
                table.poll(now);
                table.admission.next_wakeup()
            };
            match wakeup {
                None => self.rescheduled.notified().await,
                Some(at) => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = self.rescheduled.notified() => {}
                },
            }
        }
    }

    /// Returns what callers are told on each answer.
    pub fn report(&self) -> GateReport {
        let table = self.table.lock();
        let admission = &table.admission;
        GateReport {
            level: admission.level(),
            load: load_of(admission),
            rate_limit: admission.rate_limit(self.clock.now()),
        }
    }

    /// Sets the number of requests that the upstream processes concurrently.
    pub fn set_slots(&self, slots: usize) {
        self.update(|admission, now| admission.set_slots(now, slots));
    }

    /// Takes the place of a request that the upstream refused and that is sent to it again.
    /// Returns whether the limit on the rate of requests allows it.
    pub fn try_resend(&self) -> bool {
        self.update(Admission::try_resend)
    }

    /// Returns whether the upstream gets about as many requests as it takes.
    pub fn is_at_rate_limit(&self) -> bool {
        self.update(Admission::is_at_rate_limit)
    }

    /// Records that the upstream refused a request that is sent to it again.
    pub fn record_resend(&self) {
        self.update(|admission, _| admission.record_resend());
    }

    /// Records what an answer says about the limit on the rate of requests.
    pub fn record_limit_notice(&self, notice: LimitNotice, is_late: bool) -> Option<LimitChange> {
        let mut table = self.table.lock();
        let now = self.clock.now();
        table.admission.record_limit_notice(now, notice, is_late)
    }

    /// Adopts a limit on the rate of requests that another daemon knows of.
    pub fn adopt_rate_limit(&self, known: KnownLimit) -> Option<LimitChange> {
        self.update(|admission, now| admission.adopt_rate_limit(now, known))
    }

    /// Forgets the limit on the rate of requests.
    pub fn clear_rate_limit(&self) -> Option<LimitChange> {
        self.update(|admission, now| admission.clear_rate_limit(now))
    }

    /// Returns the limit on the rate of requests that the upstream states.
    pub fn rate_limit(&self) -> Option<KnownLimit> {
        self.table.lock().admission.rate_limit(self.clock.now())
    }

    /// Reads from the state machine through `f`, for status reports and decisions.
    pub fn with_admission<T>(&self, f: impl FnOnce(&Admission) -> T) -> T {
        f(&self.table.lock().admission)
    }

    fn update<T>(&self, f: impl FnOnce(&mut Admission, Duration) -> T) -> T {
        let mut table = self.table.lock();
        let now = self.clock.now();
        let result = f(&mut table.admission, now);
        table.poll(now);
        result
    }
}

/// Returns the load that an upstream reports to callers.
fn load_of(admission: &Admission) -> LoadReport {
    let requests = u32::try_from(admission.in_progress() + admission.queued());
    let slots = u32::try_from(admission.limit()).unwrap_or(u32::MAX);
    // An upstream at its rate limit has free slots, but is as good as full.
    let requests_by_rate = (admission.rate_utilization() * f64::from(slots)).ceil() as u32;
    LoadReport {
        requests: requests.unwrap_or(u32::MAX).max(requests_by_rate),
        slots,
        success_ratio: admission.success_ratio(),
    }
}

impl Table {
    fn poll(&mut self, now: Duration) {
        self.admission.poll(now, &mut self.decisions);
        for decision in self.decisions.drain(..) {
            let Some(tx) = self.waiting.swap_remove(&decision.ticket) else { continue };
            // Where the receiver is dropped, `QueuedTicket` cancels the ticket.
            let _ = tx.send(decision.verdict);
        }
        self.log_shedding_changes(now);
    }

    /// Logs when shedding begins, and when it has been over for [`SHEDDING_END_DELAY`].
    fn log_shedding_changes(&mut self, now: Duration) {
        let level = self.admission.level();
        match (self.shedding, level == Level::OPEN) {
            (SheddingState::Open, true) => {}
            (SheddingState::Open, false) => {
                self.shedding = SheddingState::Shedding { last_active: now };
                log::write(&StateChange::SheddingBegan { level });
            }
            (SheddingState::Shedding { .. }, false) => {
                self.shedding = SheddingState::Shedding { last_active: now };
            }
            (SheddingState::Shedding { last_active }, true)
                if now >= last_active + SHEDDING_END_DELAY =>
            {
                self.shedding = SheddingState::Open;
                log::write(&StateChange::SheddingEnded);
            }
            (SheddingState::Shedding { .. }, true) => {}
        }
    }
}

impl Permit {
    /// Records that the head of the answer has arrived.
    pub fn answer_started(&self) {
        let Some(ticket) = self.ticket else { return };
        self.gate.update(|admission, now| admission.answer_started(now, ticket));
    }

    /// Frees the slot and reports how the request ended.
    pub fn complete(mut self, completion: Completion) {
        self.finish(completion);
    }

    fn finish(&mut self, completion: Completion) {
        let Some(ticket) = self.ticket.take() else { return };
        self.gate.update(|admission, now| admission.complete(now, ticket, completion));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.finish(Completion::Cancelled);
    }
}

impl Drop for QueuedTicket {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else { return };
        self.gate.table.lock().waiting.swap_remove(&ticket);
        self.gate.update(|admission, now| admission.cancel(now, ticket));
    }
}
