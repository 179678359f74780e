//! The order of shedding, for any mix of arrivals, completions and pauses.

use std::time::Duration;

use endivescale::process::admission::Admission;
use endivescale::process::admission::AdmissionConfig;
use endivescale::process::admission::Arrival;
use endivescale::process::admission::Completion;
use endivescale::process::admission::Fault;
use endivescale::process::admission::LimitPolicy;
use endivescale::process::admission::QueueOrder;
use endivescale::process::admission::Shed;
use endivescale::process::admission::Ticket;
use endivescale::process::admission::Verdict;
use endivescale::process::admission::Work;
use endivescale::version::Criticality;
use endivescale::version::PlanKey;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

const SEED: u64 = 46;
const TRACES: u64 = 2000;
const EVENTS: usize = 200;

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive { rank: u8, hash: u16, depth: u8, patience_ms: u64, may_wait: bool },
    Complete { nth: usize, completion: Completion },
    Cancel { nth: usize },
    Pass { ms: u64 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let completions = [
            Completion::Answered,
            Completion::Failed,
            Completion::Overloaded,
            Completion::TimedOut,
            Completion::Cancelled,
        ];
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Arrive {
                rank: u8::arbitrary(g) % 4,
                hash: u16::arbitrary(g),
                depth: u8::arbitrary(g) % 3,
                patience_ms: u64::arbitrary(g) % 2000,
                may_wait: bool::arbitrary(g),
            },
            4 | 5 => Self::Complete {
                nth: usize::arbitrary(g),
                completion: *g.choose(&completions).unwrap(),
            },
            6 => Self::Cancel { nth: usize::arbitrary(g) },
            _ => Self::Pass { ms: u64::arbitrary(g) % 300 },
        }
    }
}

#[derive(Clone, Debug)]
struct Trace {
    slots: usize,
    queue_entries: usize,
    ranks_when_late: bool,
    learned_limit: bool,
    events: Vec<Event>,
}

impl Arbitrary for Trace {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            slots: usize::arbitrary(g) % 8 + 1,
            queue_entries: usize::arbitrary(g) % 8 + 1,
            ranks_when_late: bool::arbitrary(g),
            learned_limit: bool::arbitrary(g),
            events: Vec::arbitrary(g),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let whole = self.clone();
        Box::new(self.events.shrink().map(move |events| Self { events, ..whole.clone() }))
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Violation {
    /// Work was admitted while more critical work waited.
    AdmittedBefore,
    /// Work was shed for capacity while less critical work stayed queued.
    ShedBefore,
    /// A slot was free while waiting work could have taken it.
    IdleSlot,
    /// More work waited than the queue may hold.
    QueueOverrun,
    /// A ticket got a second verdict, or one that never waited got one.
    StrayVerdict,
}

/// What the driver of the state machine knows, from its answers alone.
struct Observer {
    admission: Admission,
    queue_entries: usize,
    now: Duration,
    waiting: Vec<(Ticket, Criticality)>,
    running: Vec<Ticket>,
}

impl Observer {
    fn new(trace: &Trace, fault: Option<Fault>) -> Self {
        let order = if trace.ranks_when_late { QueueOrder::AdaptiveRank } else { QueueOrder::Fifo };
        let limit = if trace.learned_limit { LimitPolicy::Aimd } else { LimitPolicy::Slots };
        let cfg = AdmissionConfig {
            queue_entries: trace.queue_entries,
            order,
            limit,
            fault,
            ..AdmissionConfig::new(trace.slots)
        };
        Self {
            admission: Admission::new(&cfg),
            queue_entries: trace.queue_entries,
            now: Duration::ZERO,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    fn step(&mut self, event: Event) -> Result<(), Violation> {
        match event {
            Event::Arrive { rank, hash, depth, patience_ms, may_wait } => {
                let criticality = Criticality::from_rank(rank).unwrap();
                let deadline = self.now + Duration::from_millis(patience_ms);
                let work = Work {
                    criticality,
                    hash,
                    depth,
                    deadline,
                    objective: None,
                    kind: PlanKey(0),
                    may_wait,
                    weight: 1,
                };
                let arrival = self.admission.arrive(self.now, work);
                self.settle()?;
                self.arrived(criticality, arrival)?;
            }
            Event::Complete { nth, completion } if !self.running.is_empty() => {
                let ticket = self.running.remove(nth % self.running.len());
                self.admission.complete(self.now, ticket, completion);
            }
            Event::Cancel { nth } if !self.waiting.is_empty() => {
                let (ticket, _) = self.waiting[nth % self.waiting.len()];
                self.admission.cancel(self.now, ticket);
                self.settle_cancelled(ticket)?;
            }
            Event::Complete { .. } | Event::Cancel { .. } => {}
            Event::Pass { ms } => self.now += Duration::from_millis(ms),
        }
        self.settle()?;
        self.judge_state()
    }

    /// Takes the verdicts that are due; a cancelled request may still get one.
    fn settle_cancelled(&mut self, cancelled: Ticket) -> Result<(), Violation> {
        self.settle()?;
        self.waiting.retain(|&(ticket, _)| ticket != cancelled);
        Ok(())
    }

    fn settle(&mut self) -> Result<(), Violation> {
        let mut decisions = Vec::new();
        self.admission.poll(self.now, &mut decisions);
        for decision in decisions {
            let position = self.waiting.iter().position(|&(ticket, _)| ticket == decision.ticket);
            let (ticket, criticality) =
                self.waiting.swap_remove(position.ok_or(Violation::StrayVerdict)?);
            match decision.verdict {
                Verdict::Admitted => self.admitted(ticket, criticality)?,
                Verdict::Shed(shed) => self.judge_shed(criticality, shed)?,
            }
        }
        Ok(())
    }

    fn arrived(&mut self, criticality: Criticality, arrival: Arrival) -> Result<(), Violation> {
        match arrival {
            Arrival::Admitted(ticket) => self.admitted(ticket, criticality),
            Arrival::Shed(shed) => self.judge_shed(criticality, shed),
            Arrival::Queued(ticket) => {
                self.waiting.push((ticket, criticality));
                Ok(())
            }
        }
    }

    fn admitted(&mut self, ticket: Ticket, criticality: Criticality) -> Result<(), Violation> {
        self.running.push(ticket);
        let passed_over = self.waiting.iter().any(|&(_, waiting)| waiting < criticality);
        if passed_over { Err(Violation::AdmittedBefore) } else { Ok(()) }
    }

    fn judge_shed(&self, criticality: Criticality, shed: Shed) -> Result<(), Violation> {
        let kept_less = self.waiting.iter().any(|&(_, waiting)| waiting > criticality);
        if shed.reason.is_for_capacity() && kept_less {
            return Err(Violation::ShedBefore);
        }
        Ok(())
    }

    fn judge_state(&self) -> Result<(), Violation> {
        let admissible =
            |&(_, criticality): &(_, _)| self.admission.has_slot(self.now, criticality);
        if self.waiting.iter().any(admissible) {
            return Err(Violation::IdleSlot);
        }
        let counted = self.admission.queued() == self.waiting.len()
            && self.admission.in_progress() == self.running.len();
        if !counted {
            return Err(Violation::StrayVerdict);
        }
        if self.waiting.len() > self.queue_entries {
            return Err(Violation::QueueOverrun);
        }
        Ok(())
    }
}

fn run(trace: &Trace, fault: Option<Fault>) -> Result<(), Violation> {
    let mut observer = Observer::new(trace, fault);
    trace.events.iter().try_for_each(|&event| observer.step(event))
}

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(EVENTS, SEED)).tests(TRACES)
}

/// Each broken variant must be seen breaking the invariant that it is for.
macro_rules! broken {
    ($($name:ident: $fault:expr => $violation:expr;)*) => {
        $(#[test]
        fn $name() {
            fn property(trace: Trace) -> TestResult {
                TestResult::from_bool(run(&trace, Some($fault)) != Err($violation))
            }
            let verdict = checker().quicktest(property as fn(Trace) -> TestResult);
            assert!(verdict.is_err(), "the broken variant was not noticed");
        })*
    };
}

broken! {
    holds_shedding_sees_newcomer_shed_first: Fault::ShedNewcomer => Violation::ShedBefore;
    holds_shedding_sees_criticality_ignored: Fault::IgnoreCriticality => Violation::AdmittedBefore;
    holds_shedding_sees_slot_left_idle: Fault::LeaveSlotIdle => Violation::IdleSlot;
}

#[test]
fn holds_shedding_under_any_mix() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck hands over owned values")]
    fn property(trace: Trace) -> TestResult {
        match run(&trace, None) {
            Ok(()) => TestResult::passed(),
            Err(violation) => TestResult::error(format!("{violation:?}")),
        }
    }
    checker().quickcheck(property as fn(Trace) -> TestResult);
}
