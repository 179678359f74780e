//! Limits on the rate of requests that upstreams state; see `docs/design/rate-limits.md`.

use std::collections::BinaryHeap;
use std::time::Duration;

use endivescale::process::InstanceId;
use endivescale::process::admission::Admission;
use endivescale::process::admission::AdmissionConfig;
use endivescale::process::admission::Arrival;
use endivescale::process::admission::Completion;
use endivescale::process::admission::KnownLimit;
use endivescale::process::admission::Level;
use endivescale::process::admission::LimitChange;
use endivescale::process::admission::LimitNotice;
use endivescale::process::admission::PathLevels;
use endivescale::process::admission::RequestRate;
use endivescale::process::admission::ShedReason;
use endivescale::process::admission::Work;
use endivescale::process::membership::Observation;
use endivescale::process::routing::LoadReport;
use endivescale::process::routing::Pick;
use endivescale::process::routing::Place;
use endivescale::process::routing::Router;
use endivescale::process::routing::Work as RoutedWork;
use endivescale::request::dialect::limit_notice;
use endivescale::version::Criticality;
use endivescale::version::PlanKey;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use indexmap::IndexMap;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use super::test_membership::list;
use super::test_membership::ms;

const SEED: u64 = 30;
/// Window, factor and extra requests of the platform's rule.
const WINDOW: Duration = Duration::from_secs(4);
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// Time after a limit is first stated from which the rule holds.
const CONTACT: Duration = Duration::from_secs(3);

fn work(criticality: Criticality, hash: u16, now: Duration) -> Work {
    Work {
        criticality,
        hash,
        depth: 0,
        deadline: now + ms(5_000),
        objective: None,
        kind: PlanKey(0),
        may_wait: true,
        weight: 1,
    }
}

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

fn stated(text: &str) -> LimitNotice {
    LimitNotice::Stated(rate(text))
}

fn limited(slots: usize, limit: &str) -> Admission {
    let mut admission = Admission::new(&AdmissionConfig::new(slots));
    admission.record_limit_notice(ms(0), stated(limit), false);
    admission
}

/// Returns the most events in any window that begins at `from` or later.
fn most_in_a_window(sent: &[Duration], from: Duration) -> usize {
    let starts = sent.iter().filter(|at| **at >= from);
    let in_window =
        |start: &Duration| sent.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count();
    starts.map(in_window).max().unwrap_or(0)
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * ALLOWED_FACTOR + ALLOWED_EXTRA) as usize
}

macro_rules! parse_tests {
    ($($name:ident: $text:expr => $notice:expr;)*) => {$(
        #[test]
        fn $name() {
            let name = HeaderName::from_static("server-limit");
            let mut headers = HeaderMap::new();
            for text in $text {
                headers.append(&name, HeaderValue::from_str(text).unwrap());
            }
            assert_eq!(limit_notice(&headers, &name), $notice);
        }
    )*};
}

parse_tests! {
    no_header_states_no_limit: [] as [&str; 0] => LimitNotice::Absent;
    fraction_is_a_limit: ["33.2"] => stated("33.2");
    zero_is_a_limit: ["0"] => stated("0.0");
    huge_number_is_a_limit: ["1e300"] => stated("1e300");
    lowest_of_several_limits_counts: ["30", "x", "20.5"] => stated("20.5");
    negative_limit_is_malformed: ["-3"] => LimitNotice::Malformed;
    word_is_malformed: ["many"] => LimitNotice::Malformed;
    empty_limit_is_malformed: [""] => LimitNotice::Malformed;
    nan_is_malformed: ["NaN"] => LimitNotice::Malformed;
    infinity_is_malformed: ["inf"] => LimitNotice::Malformed;
    overflow_is_malformed: ["1e999"] => LimitNotice::Malformed;
}

#[test]
fn known_limit_round_trips() {
    let known = KnownLimit { rate: rate("33.25"), age: ms(1200) };
    assert_eq!(known.to_string().parse::<KnownLimit>().unwrap(), known);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive {
        rank: u8,
        hash: u16,
        depth: u8,
    },
    Resend,
    Complete,
    /// An answer without a limit, with this one again, or with one that cannot be parsed.
    Answer(u8),
    Pass {
        ms: u64,
    },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0..6 => Self::Arrive {
                rank: u8::arbitrary(g) % 4,
                hash: u16::arbitrary(g),
                depth: u8::arbitrary(g) % 3,
            },
            6 => Self::Resend,
            7 => Self::Complete,
            8 => Self::Answer(u8::arbitrary(g) % 3),
            _ => Self::Pass { ms: u64::arbitrary(g) % 200 },
        }
    }
}

/// Returns when requests were sent to an upstream with this limit, while it stays in force.
fn sent_times(slots: usize, limit: &str, events: &[Event]) -> Vec<Duration> {
    let mut admission = limited(slots, limit);
    let (mut now, mut sent, mut running) = (ms(0), Vec::new(), Vec::new());
    let mut decisions = Vec::new();
    for event in events {
        match *event {
            Event::Arrive { rank, hash, depth } => {
                let work = Work { depth, ..work(Criticality::from_rank(rank).unwrap(), hash, now) };
                if let Arrival::Admitted(ticket) = admission.arrive(now, work) {
                    running.push(ticket);
                    sent.push(now);
                }
            }
            Event::Resend if admission.try_resend(now) => sent.push(now),
            Event::Complete if !running.is_empty() => {
                admission.complete(now, running.swap_remove(0), Completion::Answered);
            }
            // The limit would be withdrawn if it were absent for long.
            Event::Answer(0) => {
                admission.record_limit_notice(now, LimitNotice::Absent, false);
                admission.record_limit_notice(now, stated(limit), false);
            }
            Event::Answer(1) => {
                admission.record_limit_notice(now, stated(limit), false);
            }
            Event::Answer(_) => {
                admission.record_limit_notice(now, LimitNotice::Malformed, false);
            }
            Event::Pass { ms: gap } => now += ms(gap),
            Event::Resend | Event::Complete => {}
        }
        admission.poll(now, &mut decisions);
        for decision in decisions.drain(..) {
            if decision.verdict == endivescale::process::admission::Verdict::Admitted {
                running.push(decision.ticket);
                sent.push(now);
            }
        }
    }
    sent
}

/// Whatever arrives, an upstream gets no more in any window than its limit allows.
#[test]
fn holds_rate_limit_under_any_mix() {
    fn holds(limit_tenths: u16, slots: u8, events: Vec<Event>) -> bool {
        let limit = f64::from(limit_tenths % 2_000) / 10.0;
        let slots = usize::from(slots % 60) + 1;
        let sent = sent_times(slots, &limit.to_string(), &events);
        most_in_a_window(&sent, ms(0)) <= allowed(limit)
    }
    let holds: fn(u16, u8, Vec<Event>) -> bool = holds;
    QuickCheck::new().rng(Gen::from_size_and_seed(800, SEED)).tests(500).quickcheck(holds);
}

/// The check above must see a state machine that does not know the limit.
#[test]
fn holds_rate_limit_sees_a_limit_that_is_not_known() {
    let mut admission = Admission::new(&AdmissionConfig::new(60));
    let sent: Vec<_> = (0..400)
        .map(|n| ms(n * 10))
        .filter(|now| {
            let arrival = admission.arrive(*now, work(Criticality::Normal, 0, *now));
            if let Arrival::Admitted(ticket) = arrival {
                admission.complete(*now, ticket, Completion::Answered);
            }
            matches!(arrival, Arrival::Admitted(_))
        })
        .collect();
    assert!(most_in_a_window(&sent, ms(0)) > allowed(20.0));
}

/// Sends `per_second` requests of alternating criticality for 20 s, and returns how many of
/// each were sent and offered in the second half, with the hashes of the deferrable ones.
fn overload(limit: &str, per_second: u64) -> (IndexMap<Criticality, (usize, usize)>, Vec<u16>) {
    let mut admission = limited(100, limit);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut counts: IndexMap<Criticality, (usize, usize)> = IndexMap::new();
    let mut hashes = Vec::new();
    for n in 0..per_second * 20 {
        let now = Duration::from_micros(n * 1_000_000 / per_second);
        let criticality = [Criticality::Critical, Criticality::Normal][n as usize % 2];
        let hash = rng.random();
        let arrival = admission.arrive(now, work(criticality, hash, now));
        let is_sent = match arrival {
            Arrival::Admitted(ticket) => {
                admission.complete(now, ticket, Completion::Answered);
                true
            }
            Arrival::Shed(shed) => {
                assert_eq!(shed.reason, ShedReason::RateLimit);
                false
            }
            Arrival::Queued(_) => panic!("slots are free"),
        };
        if now >= ms(10_000) {
            let (sent, offered) = counts.entry(criticality).or_default();
            *sent += usize::from(is_sent);
            *offered += 1;
            if is_sent && criticality == Criticality::Normal {
                hashes.push(hash);
            }
        }
    }
    (counts, hashes)
}

/// Load pattern: twice the limit is asked for, half of it critical.
#[test]
fn less_critical_requests_are_refused_first_at_the_limit() {
    let (counts, hashes) = overload("60", 100);
    let (critical, offered) = counts[&Criticality::Critical];
    assert!(critical * 100 >= offered * 98, "{critical} of {offered} critical requests");
    let (normal, _) = counts[&Criticality::Normal];
    // 10 a second are left to them.
    assert!((60..=120).contains(&normal), "{normal} normal requests in 10 s");
    // Those with low hashes are served, at this hop as at any other.
    let low = hashes.iter().filter(|hash| **hash < u16::MAX / 2).count();
    assert!(low * 10 >= hashes.len() * 9, "{low} of {}", hashes.len());
}

#[test]
fn limit_is_used_in_full() {
    let (counts, _) = overload("40", 100);
    let sent: usize = counts.values().map(|(sent, _)| sent).sum();
    assert!((360..=420).contains(&sent), "{sent} requests in 10 s at a limit of 40");
}

#[test]
fn level_closes_while_more_is_asked_for_and_opens_again() {
    let mut admission = limited(100, "20");
    for n in 0..500 {
        let now = ms(n * 10);
        admission.arrive(now, work(Criticality::Normal, 40_000, now));
    }
    assert!(admission.level() < Level::OPEN);
    let mut decisions = Vec::new();
    for n in 0..100 {
        admission.poll(ms(5_000 + n * 100), &mut decisions);
    }
    assert_eq!(admission.level(), Level::OPEN);
}

#[test]
fn refusal_at_the_limit_says_when_to_come_back() {
    let mut admission = limited(100, "0");
    for n in 0..20 {
        let now = ms(n);
        let objective = Some(now + ms(1_000));
        let work = Work { objective, ..work(Criticality::Normal, n as u16 * 3_000, now) };
        let Arrival::Shed(shed) = admission.arrive(now, work) else { continue };
        assert!((ms(100)..=ms(500)).contains(&shed.retry_after), "{:?}", shed.retry_after);
    }
}

/// An instance at its limit is not sick.
#[test]
fn refusals_of_an_upstream_at_its_limit_do_not_count_against_it() {
    let mut admission = Admission::new(&AdmissionConfig::new(10));
    let limit = admission.limit();
    for n in 0..100 {
        let now = ms(n * 100);
        let Arrival::Admitted(ticket) = admission.arrive(now, work(Criticality::High, 0, now))
        else {
            continue;
        };
        admission.record_limit_notice(now, stated("5"), false);
        assert!(admission.is_at_rate_limit(now));
        admission.complete(now, ticket, Completion::AtRateLimit);
    }
    assert_eq!(admission.limit(), limit);
    assert!(admission.success_ratio() > 0.999);
}

#[test]
fn upstream_that_gets_far_less_than_its_limit_is_not_excused() {
    let mut admission = limited(10, "100");
    assert!(!admission.is_at_rate_limit(ms(1_000)));
}

#[test]
fn limit_is_withdrawn_once_answers_have_lacked_it_for_a_while() {
    let mut admission = limited(10, "20");
    let absent = |admission: &mut Admission, at| {
        admission.record_limit_notice(ms(at), LimitNotice::Absent, false)
    };
    assert_eq!(absent(&mut admission, 10_000), None);
    assert_eq!(absent(&mut admission, 11_000), None);
    assert!(admission.rate_limit(ms(11_000)).is_some());
    assert_eq!(absent(&mut admission, 12_000), Some(LimitChange::Withdrawn));
    assert!(admission.rate_limit(ms(12_000)).is_none());
}

#[test]
fn limit_stays_while_some_answers_state_it() {
    let mut admission = limited(10, "20");
    for n in 0..100 {
        let notice = if n % 10 == 0 { stated("20") } else { LimitNotice::Absent };
        admission.record_limit_notice(ms(n * 150), notice, false);
        assert!(admission.rate_limit(ms(n * 150)).is_some());
    }
}

#[test]
fn late_answer_can_only_lower_the_limit() {
    let mut admission = limited(10, "20");
    let rate_now = |admission: &Admission| admission.rate_limit(ms(0)).unwrap().rate;
    admission.record_limit_notice(ms(1), stated("90"), true);
    assert_eq!(rate_now(&admission), rate("20"));
    admission.record_limit_notice(ms(2), stated("5"), true);
    assert_eq!(rate_now(&admission), rate("5"));
    admission.record_limit_notice(ms(3), stated("90"), false);
    assert_eq!(rate_now(&admission), rate("90"));
}

#[test]
fn limit_of_another_daemon_is_adopted_only_if_it_is_news() {
    let known = |age| KnownLimit { rate: rate("20"), age: ms(age) };
    let mut restarted = Admission::new(&AdmissionConfig::new(10));
    assert_eq!(restarted.adopt_rate_limit(ms(10), known(5_000)), Some(LimitChange::To(rate("20"))));
    let mut informed = Admission::new(&AdmissionConfig::new(10));
    informed.record_limit_notice(ms(8_000), LimitNotice::Absent, false);
    assert_eq!(informed.adopt_rate_limit(ms(10_000), known(5_000)), None);
    assert!(informed.rate_limit(ms(10_000)).is_none());
    assert!(informed.adopt_rate_limit(ms(10_000), known(1_000)).is_some());
}

#[test]
fn limit_of_another_upstream_is_forgotten() {
    let mut admission = limited(10, "20");
    assert_eq!(admission.clear_rate_limit(ms(5)), Some(LimitChange::Withdrawn));
    assert!(admission.rate_limit(ms(5)).is_none());
}

/// An owner with its upstream in a [`Fleet`].
struct Owner {
    admission: Admission,
    limit: Option<&'static str>,
    sent: Vec<Duration>,
    /// When requests were sent for senders that had passed an answer with the limit on.
    sent_for_told: Vec<Duration>,
}

/// A request that runs.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Running {
    /// When it ends, negated so that the earliest is the greatest.
    ends: std::cmp::Reverse<Duration>,
    sender: usize,
    instance: usize,
    ticket: endivescale::process::admission::Ticket,
}

/// Senders and owners of one service, by virtual time.
struct Fleet {
    owners: Vec<Owner>,
    names: Vec<InstanceId>,
    senders: Vec<Router>,
    /// When each sender has passed an answer with a limit on, by instance; restarts of the
    /// sender excuse it.
    told: Vec<IndexMap<usize, Duration>>,
    /// What each sender knows of the levels below.
    path_levels: Vec<PathLevels<()>>,
    /// Whether senders tell a restarted owner of the limit that they know.
    hands_back: bool,
    service_time: Duration,
    running: BinaryHeap<Running>,
    rng: ChaCha8Rng,
}

const SERVICE_TIME: Duration = Duration::from_millis(90);
/// Time after which a sender that has passed an answer with a limit on is bound by it.
const TOLD_TIME: Duration = Duration::from_millis(500);
const NAMES: [&str; 3] = ["a-x1-1", "a-x2-1", "a-x3-1"];
const MAX_REROUTES: usize = 3;

impl Fleet {
    fn new(senders: usize) -> Self {
        let owner = |_: &&str| Owner {
            admission: Admission::new(&AdmissionConfig::new(158)),
            limit: None,
            sent: Vec::new(),
            sent_for_told: Vec::new(),
        };
        Self {
            owners: NAMES.iter().map(owner).collect(),
            names: NAMES.map(InstanceId::from).to_vec(),
            senders: (0..senders).map(|n| new_sender(n, SEED)).collect(),
            told: vec![IndexMap::new(); senders],
            path_levels: vec![PathLevels::default(); senders],
            hands_back: true,
            service_time: SERVICE_TIME,
            running: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(SEED),
        }
    }

    /// Restarts an owner, which forgets its limit. The requests that run there go on.
    fn restart_owner(&mut self, instance: usize) {
        self.owners[instance].admission = Admission::new(&AdmissionConfig::new(158));
    }

    /// Restarts a sender, which forgets all that it has heard.
    fn restart_sender(&mut self, sender: usize) {
        let seed = self.rng.random();
        self.senders[sender] = new_sender(sender, seed);
        self.told[sender].clear();
    }

    /// Sends requests at random times until `until`; returns how many were served and refused.
    fn run(&mut self, from: Duration, until: Duration, per_second: f64) -> (usize, usize) {
        let (mut now, mut served, mut refused) = (from, 0, 0);
        while now < until {
            let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / per_second;
            now += Duration::from_secs_f64(gap);
            self.finish_until(now);
            let sender = self.rng.random_range(0..self.senders.len());
            match self.send(now, sender) {
                true => served += 1,
                false => refused += 1,
            }
        }
        (served, refused)
    }

    fn send(&mut self, now: Duration, sender: usize) -> bool {
        let hash = self.rng.random();
        let levels = &mut self.path_levels[sender];
        if levels.check(now, &(), Criticality::Normal, hash, None).is_err() {
            return false;
        }
        let routed =
            RoutedWork { criticality: Criticality::Normal, hash, is_call: false, affinity: None };
        let mut tried = Vec::new();
        while tried.len() <= MAX_REROUTES {
            let Pick::To(vm) = self.senders[sender].pick(now, &"a".into(), &routed, &tried) else {
                return false;
            };
            let instance = self.names.iter().position(|name| *name == vm.instance).unwrap();
            let owner = &mut self.owners[instance];
            let known = self.senders[sender].members().rate_limit(now, &vm.instance);
            if let Some(known) = known.filter(|_| self.hands_back) {
                owner.admission.adopt_rate_limit(now, known);
            }
            let arrival = owner.admission.arrive(now, work(Criticality::Normal, hash, now));
            match arrival {
                Arrival::Admitted(ticket) => {
                    owner.sent.push(now);
                    let told = self.told[sender].get(&instance);
                    if told.is_some_and(|at| *at + TOLD_TIME <= now) {
                        owner.sent_for_told.push(now);
                    }
                    self.senders[sender].started(&vm.instance);
                    let ends = std::cmp::Reverse(now + self.service_time);
                    self.running.push(Running { ends, sender, instance, ticket });
                    return true;
                }
                Arrival::Queued(_) => panic!("slots are free"),
                Arrival::Shed(_) => {
                    let level = owner.admission.level();
                    self.path_levels[sender].record_level(now, &(), level);
                    self.report(now, sender, instance);
                }
            }
            tried.push(vm.instance.clone());
        }
        false
    }

    fn finish_until(&mut self, now: Duration) {
        while self.running.peek().is_some_and(|running| running.ends.0 <= now) {
            let Running { ends, sender, instance, ticket } = self.running.pop().unwrap();
            let owner = &mut self.owners[instance];
            let notice = owner.limit.map_or(LimitNotice::Absent, stated);
            owner.admission.record_limit_notice(ends.0, notice, false);
            owner.admission.complete(ends.0, ticket, Completion::Answered);
            if owner.limit.is_some() {
                self.told[sender].entry(instance).or_insert(ends.0);
            }
            self.senders[sender].finished(&self.names[instance]);
            let level = self.owners[instance].admission.level();
            self.path_levels[sender].record_answer(ends.0, &(), Some(level));
            self.report(ends.0, sender, instance);
        }
    }

    /// Tells a sender what an owner reports on each answer.
    fn report(&mut self, now: Duration, sender: usize, instance: usize) {
        let admission = &self.owners[instance].admission;
        let by_rate = admission.rate_utilization() * admission.limit() as f64;
        let requests = (admission.in_progress() as u32).max(by_rate.ceil() as u32);
        let slots = admission.limit() as u32;
        let level = admission.level();
        let (router, name) = (&mut self.senders[sender], &self.names[instance]);
        router.record_load(now, name, LoadReport { requests, slots, success_ratio: 1.0 });
        router.observe(now, name, Observation::Level(level));
        router.record_rate_limit(now, name, admission.rate_limit(now));
    }
}

fn new_sender(number: usize, seed: u64) -> Router {
    let zone = format!("x{}", number % 3 + 1);
    let instance = format!("b-{zone}-{number}").as_str().into();
    let here = Place { instance, zone: zone.as_str().into(), region: "x".into() };
    let mut router = Router::new(here, seed + number as u64);
    router.apply(ms(0), &list(1, &NAMES));
    router
}

/// Load pattern of the incident: 200 requests a second, three instances, two of which state
/// limits of 33.2 and 22.4, while the third has room for all.
#[test]
fn what_does_not_fit_goes_to_instances_with_room() {
    let mut fleet = Fleet::new(12);
    fleet.run(ms(0), ms(8_000), 200.0);
    let sent_before = fleet.owners[0].sent.len();
    assert!(sent_before > 8 * 40, "{sent_before}");
    (fleet.owners[0].limit, fleet.owners[1].limit) = (Some("33.2"), Some("22.4"));
    let (served, refused) = fleet.run(ms(8_000), ms(30_000), 200.0);
    for (owner, limit) in fleet.owners.iter().zip([33.2, 22.4]) {
        let most = most_in_a_window(&owner.sent, ms(8_000) + CONTACT);
        assert!(most <= allowed(limit), "{most} requests in 4 s, allowed {}", allowed(limit));
    }
    assert!(refused * 1_000 <= served, "{refused} refused, {served} served");
}

/// Load pattern: all instances state limits, together a third of what is asked for.
#[test]
fn limits_of_all_instances_are_used_and_kept() {
    let mut fleet = Fleet::new(12);
    fleet.run(ms(0), ms(4_000), 200.0);
    let limits = ["33.2", "22.4", "12"];
    for (owner, limit) in fleet.owners.iter_mut().zip(limits) {
        owner.limit = Some(limit);
    }
    fleet.run(ms(4_000), ms(10_000), 200.0);
    let (served, _) = fleet.run(ms(10_000), ms(30_000), 200.0);
    for (owner, limit) in fleet.owners.iter().zip([33.2, 22.4, 12.0]) {
        let most = most_in_a_window(&owner.sent, ms(4_000) + CONTACT);
        assert!(most <= allowed(limit), "{most} requests in 4 s, allowed {}", allowed(limit));
    }
    let capacity = (33.2 + 22.4 + 12.0) * 20.0;
    assert!(served as f64 >= capacity * 0.85, "{served} served, {capacity} fit");
}

/// Plays restarts of owners and senders at random while two of three instances state limits.
/// Returns whether an instance got more for told senders than its limit allows.
fn breaks_limit_in_restarts(seed: u64, hands_back: bool) -> bool {
    let mut fleet = Fleet::new(12);
    fleet.rng = ChaCha8Rng::seed_from_u64(seed);
    fleet.hands_back = hands_back;
    // Answers are slow, so that a restarted owner hears late of the limit by itself.
    fleet.service_time = ms(1_500);
    let mut now = ms(4_000);
    fleet.run(ms(0), now, 80.0);
    (fleet.owners[0].limit, fleet.owners[1].limit) = (Some("12"), Some("2.5"));
    for _ in 0..12 {
        let until = now + ms(fleet.rng.random_range(300..3_000));
        fleet.run(now, until, 80.0);
        now = until;
        match fleet.rng.random_range(0..2) {
            0 => {
                let owner = fleet.rng.random_range(0..2);
                fleet.restart_owner(owner);
            }
            _ => {
                let sender = fleet.rng.random_range(0..fleet.senders.len());
                fleet.restart_sender(sender);
            }
        }
    }
    let owners = fleet.owners.iter().zip([12.0, 2.5]);
    let mut most = owners.map(|(owner, limit)| {
        (most_in_a_window(&owner.sent_for_told, ms(4_000) + CONTACT), allowed(limit))
    });
    most.any(|(most, allowed)| most > allowed)
}

const RESTART_SEEDS: u64 = 60;

#[test]
fn holds_rate_limit_over_restarts() {
    let broken: Vec<_> =
        (0..RESTART_SEEDS).filter(|seed| breaks_limit_in_restarts(*seed, true)).collect();
    assert!(broken.is_empty(), "seeds {broken:?}");
}

/// A restarted owner that nobody tells of the limit sends too much.
#[test]
fn holds_rate_limit_over_restarts_sees_limits_that_are_not_handed_back() {
    assert!((0..RESTART_SEEDS).any(|seed| breaks_limit_in_restarts(seed, false)));
}
