//! Drives the admission state machines of a deployment in virtual time.
//!
//! Callers, network and upstreams are counters and delays; every decision is
//! made by the code that the daemons run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use endivescale::process::admission::Admission;
use endivescale::process::admission::Arrival;
use endivescale::process::admission::Completion;
use endivescale::process::admission::Level;
use endivescale::process::admission::PathLevels;
use endivescale::process::admission::Ticket;
use endivescale::process::admission::Verdict;
use endivescale::process::admission::Work;
use endivescale::version::PlanKey;
use indexmap::IndexMap;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::deployment::Class;
use crate::deployment::DEEP;
use crate::deployment::Deployment;
use crate::deployment::ZONES;
use crate::report::Tally;
use crate::scenario::END;
use crate::scenario::FINISH;
use crate::scenario::Scenario;
use crate::scenario::capacity;
use crate::variant::Variant;

/// Attempts of a caller after its first.
const CALLER_RETRIES: u8 = 3;

/// Time after which a caller that was told nothing tries again.
const CALLER_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which an instance that refused a connection is avoided.
const AVOID: Duration = Duration::from_secs(1);

/// Time without any answer after which an instance is avoided.
const SILENCE: Duration = Duration::from_millis(500);

/// Time after the last fresh request until its answer counts no more.
const DRAIN: Duration = Duration::from_secs(22);

type Id = u32;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Fresh(usize),
    Attempt(Id),
    Reach(Id, u32),
    Phase(Id, u32),
    Return(Id, u32),
    GiveUp(Id, u32),
    Wake(usize),
    Kill,
}

/// A request as its caller sees it.
struct Logical {
    class: u8,
    tries: u8,
    arrived: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Travelling,
    Waiting,
    Backlogged,
    FirstHalf,
    Below,
    SecondHalf,
    Transfer,
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Whole,
    Refused(Option<Duration>),
    Unreachable,
    Failed,
}

/// One attempt at one instance.
struct Call {
    epoch: u32,
    logical: Id,
    parent: Option<Id>,
    child: Option<Id>,
    class: usize,
    sender: usize,
    instance: usize,
    hash: u16,
    deadline: Duration,
    retries: u8,
    ticket: Option<Ticket>,
    stage: Stage,
    end: End,
    level: Level,
    /// Work of this call and of the calls below it that were answered whole.
    used: Duration,
    /// Nobody waits for the answer any more.
    orphan: bool,
}

struct Instance {
    service: usize,
    zone: usize,
    admission: Admission,
    busy: usize,
    backlog: VecDeque<Id>,
    calls: IndexMap<Ticket, Id>,
    wake: Option<Duration>,
}

/// What one sender knows of one instance.
#[derive(Clone, Copy, Default)]
struct Peer {
    outstanding: u32,
    quiet_since: Duration,
    avoid_until: Duration,
}

/// One run of one scenario under one policy.
pub(crate) struct Sim<'a> {
    dep: &'a Deployment,
    scenario: &'a Scenario,
    variant: &'a Variant,
    rng: ChaCha8Rng,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    logicals: Vec<Logical>,
    calls: Vec<Call>,
    free: Vec<Id>,
    instances: Vec<Instance>,
    /// Entries first, then instances as senders of deep calls.
    peers: Vec<Vec<Peer>>,
    levels: Vec<PathLevels<usize>>,
    rate: f64,
    tally: Tally,
}

impl<'a> Sim<'a> {
    pub(crate) fn new(
        dep: &'a Deployment,
        scenario: &'a Scenario,
        variant: &'a Variant,
        seed: u64,
    ) -> Self {
        let instances: Vec<Instance> = (0..dep.services.len() * ZONES)
            .map(|n| Instance {
                service: n / ZONES,
                zone: n % ZONES,
                admission: Admission::new(&variant.admission(dep.services[n / ZONES].slots)),
                busy: 0,
                backlog: VecDeque::new(),
                calls: IndexMap::new(),
                wake: None,
            })
            .collect();
        let senders = 2 * instances.len();
        Self {
            dep,
            scenario,
            variant,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            logicals: Vec::new(),
            calls: Vec::new(),
            free: Vec::new(),
            peers: vec![vec![Peer::default(); instances.len()]; senders],
            levels: vec![PathLevels::default(); senders],
            instances,
            rate: capacity(dep),
            tally: Tally::new(dep, scenario),
        }
    }

    pub(crate) fn run(mut self) -> Tally {
        for class in 0..self.dep.classes.len() {
            self.schedule_fresh(class);
        }
        self.schedule(crate::scenario::BEGIN, Event::Kill);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > FINISH + DRAIN {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.tally
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Fresh(class) => self.fresh(class),
            Event::Attempt(logical) => self.attempt(logical),
            Event::Reach(id, epoch) if self.is_current(id, epoch) => self.reach(id),
            Event::Phase(id, epoch) if self.is_current(id, epoch) => self.phase_over(id),
            Event::Return(id, epoch) if self.is_current(id, epoch) => self.returned(id),
            Event::GiveUp(id, epoch) if self.is_current(id, epoch) => self.give_up(id),
            Event::Wake(instance) => self.wake(instance),
            Event::Kill => self.kill(),
            _ => {}
        }
    }

    fn is_current(&self, id: Id, epoch: u32) -> bool {
        self.calls[id as usize].epoch == epoch
    }

    fn call(&mut self, id: Id) -> &mut Call {
        &mut self.calls[id as usize]
    }

    fn class_of(&self, id: Id) -> &'a Class {
        &self.dep.classes[self.calls[id as usize].class]
    }

    // Callers.

    fn schedule_fresh(&mut self, class: usize) {
        let spec = &self.dep.classes[class];
        let mut rate = self.rate * spec.share * self.scenario.demand(self.now);
        if spec.transfer > Duration::ZERO {
            rate *= self.scenario.downloads(self.now);
        }
        let uniform: f64 = self.rng.random::<f64>().max(1e-12);
        let gap = Duration::from_secs_f64(-uniform.ln() / rate);
        let at = self.now + gap;
        if at < FINISH {
            self.schedule(at, Event::Fresh(class));
        }
    }

    fn fresh(&mut self, class: usize) {
        self.schedule_fresh(class);
        self.tally.fresh(self.now, class);
        let logical = self.logicals.len() as Id;
        self.logicals.push(Logical { class: class as u8, tries: 0, arrived: self.now });
        self.attempt(logical);
    }

    fn attempt(&mut self, logical: Id) {
        let request = &mut self.logicals[logical as usize];
        request.tries += 1;
        let class = usize::from(request.class);
        self.tally.attempt(class, request.tries);
        let entry = self.rng.random_range(0..self.instances.len());
        let hash: u16 = self.rng.random();
        let spec = &self.dep.classes[class];
        if self.variant.feedback
            && let Err(shed) =
                self.levels[entry].check(self.now, &class, spec.criticality, hash, None)
        {
            self.tally.refused_at_root(class);
            let hint = self.variant.hints.then_some(shed.retry_after);
            return self.attempt_failed(logical, hint);
        }
        let deadline = self.now + spec.deadline - 2 * self.dep.to_callers;
        let budget = self.variant.budget + self.variant.hop_retries;
        let id = self.send(logical, None, entry, spec.service, hash, deadline, budget);
        if id.is_none() {
            self.attempt_failed(logical, None);
        }
    }

    fn attempt_failed(&mut self, logical: Id, hint: Option<Duration>) {
        let request = &self.logicals[logical as usize];
        if request.tries > CALLER_RETRIES {
            return;
        }
        let hint = hint.filter(|_| !self.scenario.retries_hard());
        let pause = hint.unwrap_or(CALLER_BACKOFF) + 2 * self.dep.to_callers;
        self.schedule(self.now + pause, Event::Attempt(logical));
    }

    // Senders.

    #[expect(clippy::too_many_arguments, reason = "one call site for each kind of sender")]
    fn send(
        &mut self,
        logical: Id,
        parent: Option<Id>,
        sender: usize,
        service: usize,
        hash: u16,
        deadline: Duration,
        retries: u8,
    ) -> Option<Id> {
        let instance = self.pick(sender, service);
        let class = usize::from(self.logicals[logical as usize].class);
        let call = Call {
            epoch: 0,
            logical,
            parent,
            child: None,
            class,
            sender,
            instance,
            hash,
            deadline,
            retries,
            ticket: None,
            stage: Stage::Travelling,
            end: End::Failed,
            level: Level::OPEN,
            used: Duration::ZERO,
            orphan: false,
        };
        let id = self.allocate(call);
        let peer = &mut self.peers[sender][instance];
        if peer.outstanding == 0 {
            peer.quiet_since = self.now;
        }
        peer.outstanding += 1;
        let epoch = self.calls[id as usize].epoch;
        let at = self.now + self.delay(sender, instance);
        self.schedule(at, Event::Reach(id, epoch));
        self.schedule(deadline.max(self.now), Event::GiveUp(id, epoch));
        Some(id)
    }

    fn allocate(&mut self, mut call: Call) -> Id {
        match self.free.pop() {
            Some(id) => {
                call.epoch = self.calls[id as usize].epoch;
                self.calls[id as usize] = call;
                id
            }
            None => {
                self.calls.push(call);
                (self.calls.len() - 1) as Id
            }
        }
    }

    fn release(&mut self, id: Id) {
        let call = &mut self.calls[id as usize];
        call.epoch += 1;
        let Call { sender, instance, .. } = *call;
        self.free.push(id);
        let peer = &mut self.peers[sender][instance];
        peer.outstanding = peer.outstanding.saturating_sub(1);
    }

    fn delay(&self, sender: usize, instance: usize) -> Duration {
        let near = sender % ZONES == self.instances[instance].zone;
        if near { Duration::from_micros(100) } else { self.dep.between_zones }
    }

    fn pick(&mut self, sender: usize, service: usize) -> usize {
        let mut zone = || self.rng.random_range(0..ZONES) + service * ZONES;
        let (one, two) = (zone(), zone());
        if !self.variant.balance {
            return one;
        }
        let rank = |&n: &usize| {
            let peer = &self.peers[sender][n];
            let silent = peer.outstanding > 0 && self.now - peer.quiet_since > SILENCE;
            (silent || peer.avoid_until > self.now, peer.outstanding)
        };
        let best = [one, two].into_iter().min_by_key(rank).unwrap_or(one);
        if !rank(&best).0 {
            return best;
        }
        (service * ZONES..(service + 1) * ZONES).min_by_key(rank).unwrap_or(best)
    }

    // Instances.

    fn reach(&mut self, id: Id) {
        let n = self.calls[id as usize].instance;
        let (service, zone) = (self.instances[n].service, self.instances[n].zone);
        if self.scenario.is_dead(self.now, service == DEEP, zone) {
            return self.end(id, End::Unreachable);
        }
        if self.defer_if_frozen(n, Event::Reach(id, self.calls[id as usize].epoch)) {
            return;
        }
        let class = self.class_of(id);
        let call = &self.calls[id as usize];
        let work = Work {
            criticality: class.criticality,
            hash: call.hash,
            depth: u8::from(call.parent.is_some()),
            kind: PlanKey::of_name(class.name),
            deadline: call.deadline,
            objective: None,
            may_wait: class.may_wait,
            weight: class.weight,
        };
        match self.instances[n].admission.arrive(self.now, work) {
            Arrival::Admitted(ticket) => {
                self.hold(id, ticket);
                self.take(id);
            }
            Arrival::Queued(ticket) => {
                self.hold(id, ticket);
                self.call(id).stage = Stage::Waiting;
            }
            Arrival::Shed(shed) => self.end(id, End::Refused(Some(shed.retry_after))),
        }
        self.settle(n);
    }

    fn hold(&mut self, id: Id, ticket: Ticket) {
        let n = self.calls[id as usize].instance;
        self.call(id).ticket = Some(ticket);
        self.instances[n].calls.insert(ticket, id);
    }

    fn defer_if_frozen(&mut self, n: usize, event: Event) -> bool {
        let frozen = self.scenario.is_frozen(self.now, self.instances[n].zone);
        if frozen {
            self.schedule(END, event);
        }
        frozen
    }

    fn settle(&mut self, n: usize) {
        let mut decisions = Vec::new();
        self.instances[n].admission.poll(self.now, &mut decisions);
        for decision in decisions {
            let Some(&id) = self.instances[n].calls.get(&decision.ticket) else { continue };
            match decision.verdict {
                Verdict::Admitted => self.take(id),
                Verdict::Shed(shed) => {
                    self.instances[n].calls.swap_remove(&decision.ticket);
                    self.call(id).ticket = None;
                    self.end(id, End::Refused(Some(shed.retry_after)));
                }
            }
        }
        self.plan_wake(n);
    }

    fn plan_wake(&mut self, n: usize) {
        let instance = &mut self.instances[n];
        let Some(due) = instance.admission.next_wakeup() else { return };
        let at = due.max(self.now + Duration::from_micros(1));
        if instance.wake.is_none_or(|planned| at < planned) {
            instance.wake = Some(at);
            self.schedule(at, Event::Wake(n));
        }
    }

    fn wake(&mut self, n: usize) {
        if self.defer_if_frozen(n, Event::Wake(n)) {
            return;
        }
        self.instances[n].wake = None;
        self.settle(n);
    }

    /// Hands admitted work to the upstream, which has a backlog of its own.
    fn take(&mut self, id: Id) {
        self.call(id).stage = Stage::Travelling;
        let n = self.calls[id as usize].instance;
        let service = &self.dep.services[self.instances[n].service];
        let real = self.real_slots(n);
        let instance = &mut self.instances[n];
        if instance.busy < real {
            instance.busy += 1;
            self.begin(id);
        } else if instance.busy + instance.backlog.len() < service.connections {
            instance.backlog.push_back(id);
            self.call(id).stage = Stage::Backlogged;
        } else {
            self.leave(id, Completion::Overloaded);
            self.end(id, End::Refused(None));
        }
    }

    fn begin(&mut self, id: Id) {
        let class = self.class_of(id);
        let call = &self.calls[id as usize];
        let work = match (call.parent, class.deep) {
            (Some(_), Some(deep)) => deep,
            (None, Some(_)) => class.front / 2,
            _ => class.front,
        };
        self.call(id).stage = Stage::FirstHalf;
        self.work(id, work);
    }

    fn work(&mut self, id: Id, work: Duration) {
        let n = self.calls[id as usize].instance;
        let (deep, zone) = (self.instances[n].service == DEEP, self.instances[n].zone);
        let slow = self.scenario.slowness(self.now, deep, zone);
        let time = work.mul_f64(slow * self.rng.random_range(0.5..1.5));
        self.call(id).used += time;
        self.plan_phase(id, time);
    }

    fn plan_phase(&mut self, id: Id, time: Duration) {
        let epoch = self.calls[id as usize].epoch;
        self.schedule(self.now + time, Event::Phase(id, epoch));
    }

    fn phase_over(&mut self, id: Id) {
        let n = self.calls[id as usize].instance;
        let epoch = self.calls[id as usize].epoch;
        if self.defer_if_frozen(n, Event::Phase(id, epoch)) {
            return;
        }
        let class = self.class_of(id);
        let call = &self.calls[id as usize];
        match call.stage {
            Stage::FirstHalf if call.parent.is_none() && class.deep.is_some() => {
                let retries = call.retries;
                self.call_below(id, retries);
            }
            Stage::FirstHalf | Stage::SecondHalf if class.transfer > Duration::ZERO => {
                if let Some(ticket) = call.ticket {
                    self.instances[n].admission.answer_started(self.now, ticket);
                }
                self.call(id).stage = Stage::Transfer;
                self.plan_phase(id, class.transfer);
            }
            _ => self.finish(id, End::Whole),
        }
    }

    fn call_below(&mut self, id: Id, retries: u8) {
        self.call(id).stage = Stage::Below;
        let call = &self.calls[id as usize];
        let Call { logical, instance, hash, deadline, class, .. } = *call;
        let sender = self.instances.len() + instance;
        let criticality = self.dep.classes[class].criticality;
        if self.variant.feedback
            && let Err(shed) = self.levels[sender].check(self.now, &class, criticality, hash, None)
        {
            let level = self.levels[sender].level(self.now, &class);
            self.call(id).level = level;
            return self.finish(id, End::Refused(Some(shed.retry_after)));
        }
        let child = self.send(logical, Some(id), sender, DEEP, hash, deadline, retries);
        self.call(id).child = child;
    }

    /// Gives back the slot, if any, and lets the upstream's backlog move up.
    fn leave(&mut self, id: Id, completion: Completion) {
        let call = &self.calls[id as usize];
        let (n, stage) = (call.instance, call.stage);
        if let Some(ticket) = self.call(id).ticket.take() {
            let instance = &mut self.instances[n];
            instance.calls.swap_remove(&ticket);
            match stage {
                Stage::Waiting => instance.admission.cancel(self.now, ticket),
                _ => instance.admission.complete(self.now, ticket, completion),
            }
        }
        match stage {
            Stage::Backlogged => self.instances[n].backlog.retain(|&other| other != id),
            Stage::FirstHalf | Stage::Below | Stage::SecondHalf | Stage::Transfer => {
                self.instances[n].busy -= 1;
                self.start_backlog(n);
            }
            _ => {}
        }
        self.call(id).stage = Stage::Done;
        self.settle(n);
    }

    fn start_backlog(&mut self, n: usize) {
        while self.instances[n].busy < self.real_slots(n) {
            let Some(next) = self.instances[n].backlog.pop_front() else { return };
            self.instances[n].busy += 1;
            self.begin(next);
        }
    }

    fn real_slots(&self, n: usize) -> usize {
        let slots = self.dep.services[self.instances[n].service].slots;
        (slots as f64 * self.scenario.slots_share(self.now)) as usize
    }

    fn finish(&mut self, id: Id, end: End) {
        let completion = if end == End::Whole { Completion::Answered } else { Completion::Failed };
        self.leave(id, completion);
        self.end(id, end);
    }

    /// Sends the answer back.
    fn end(&mut self, id: Id, end: End) {
        let call = &self.calls[id as usize];
        let (sender, instance, epoch) = (call.sender, call.instance, call.epoch);
        let own = self.instances[instance].admission.level();
        let call = self.call(id);
        call.end = end;
        call.stage = Stage::Done;
        if end != End::Unreachable {
            call.level = call.level.min(own);
        }
        let at = self.now + self.delay(sender, instance);
        self.schedule(at, Event::Return(id, epoch));
    }

    // Answers.

    fn returned(&mut self, id: Id) {
        let call = &self.calls[id as usize];
        let Call {
            logical,
            parent,
            class,
            sender,
            instance,
            hash,
            deadline,
            retries,
            end,
            level,
            used,
            orphan,
            ..
        } = *call;
        let peer = &mut self.peers[sender][instance];
        peer.quiet_since = self.now;
        if end == End::Unreachable {
            peer.avoid_until = self.now + AVOID;
        } else if self.variant.feedback {
            match end {
                End::Whole => self.levels[sender].record_answer(self.now, &class, Some(level)),
                _ => self.levels[sender].record_level(self.now, &class, level),
            }
        }
        self.release(id);
        if orphan {
            return self.tally.worked(self.now, used, false);
        }
        if end != End::Whole || parent.is_none() {
            self.tally.worked(self.now, used, end == End::Whole);
        }
        let retriable = end != End::Whole && retries > 0 && self.may_retry(class, sender, hash);
        match parent {
            None if retriable => {
                let service = self.dep.classes[class].service;
                self.send(logical, None, sender, service, hash, deadline, retries - 1);
            }
            None => self.answered(logical, end),
            Some(parent) if retriable => {
                if self.variant.hop_retries == 0 {
                    self.call(parent).retries = retries - 1;
                }
                self.call_below(parent, retries - 1);
            }
            Some(parent) => self.resume(parent, end, level, used),
        }
    }

    fn may_retry(&self, class: usize, sender: usize, hash: u16) -> bool {
        let criticality = self.dep.classes[class].criticality;
        !self.variant.feedback
            || self.levels[sender].level(self.now, &class).admits(criticality, hash)
    }

    fn resume(&mut self, parent: Id, end: End, level: Level, used: Duration) {
        let call = self.call(parent);
        call.child = None;
        call.level = call.level.min(level);
        if end == End::Whole {
            call.stage = Stage::SecondHalf;
            call.used += used;
            let half = self.class_of(parent).front / 2;
            self.work(parent, half);
        } else {
            let hint = if let End::Refused(hint) = end { hint } else { None };
            let end = if self.variant.hints { End::Refused(hint) } else { End::Failed };
            self.finish(parent, end);
        }
    }

    fn answered(&mut self, logical: Id, end: End) {
        let request = &self.logicals[logical as usize];
        let class = usize::from(request.class);
        if end == End::Whole {
            self.tally.whole(self.now, class, request.arrived, request.tries);
            return;
        }
        let hint = if let End::Refused(hint) = end { hint } else { None };
        self.attempt_failed(logical, hint.filter(|_| self.variant.hints));
    }

    /// The deadline passes: the sender goes away, and a caller may try again.
    fn give_up(&mut self, id: Id) {
        let Call { orphan, parent, logical, .. } = self.calls[id as usize];
        if orphan {
            return;
        }
        self.abandon(id);
        if let Some(parent) = parent {
            return self.resume(parent, End::Failed, Level::OPEN, Duration::ZERO);
        }
        self.tally.gave_up(usize::from(self.logicals[logical as usize].class));
        self.attempt_failed(logical, None);
    }

    /// Takes a call out of the way, and what it has begun below.
    fn abandon(&mut self, id: Id) {
        let stage = self.calls[id as usize].stage;
        let waits =
            matches!(stage, Stage::Waiting | Stage::Backlogged | Stage::Travelling | Stage::Done);
        let stops = self.variant.cancel && self.class_of(id).idempotent;
        let n = self.calls[id as usize].instance;
        let frozen = self.scenario.is_frozen(self.now, self.instances[n].zone);
        if !waits && !stops || frozen {
            // Nobody waits for the answer: the work runs on to its end.
            self.call(id).orphan = true;
            return;
        }
        if let Some(child) = self.call(id).child.take() {
            self.abandon(child);
        }
        self.leave(id, Completion::TimedOut);
        let used = self.calls[id as usize].used;
        self.tally.worked(self.now, used, false);
        self.release(id);
    }

    /// Cuts off all calls at instances that have just gone.
    fn kill(&mut self) {
        for id in 0..self.calls.len() as Id {
            let call = &self.calls[id as usize];
            let instance = &self.instances[call.instance];
            let dead = self.scenario.is_dead(self.now, instance.service == DEEP, instance.zone);
            if dead && !matches!(call.stage, Stage::Done | Stage::Travelling) {
                if let Some(child) = self.call(id).child.take() {
                    self.call(child).orphan = true;
                }
                self.finish(id, End::Unreachable);
            }
        }
    }
}
