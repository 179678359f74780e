use std::time::Duration;

use endivescale::process::InstanceId;
use endivescale::process::membership::Description;
use endivescale::process::membership::Health;
use endivescale::process::membership::Listing;
use endivescale::process::membership::LocalInstances;
use endivescale::process::membership::LocalStanding;
use endivescale::process::membership::Membership;
use endivescale::process::membership::Observation;
use endivescale::process::membership::UpstreamFacts;
use endivescale::process::membership::Vm;
use endivescale::process::membership::VmList;
use endivescale::process::membership::VmState;
use endivescale::process::membership::listing_changes;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 7;

/// Returns a VM whose name is `<service>-<zone>-<number>`.
pub(crate) fn vm(name: &str) -> Vm {
    let mut parts = name.split('-');
    let service = parts.next().expect("a service");
    let zone = parts.next().expect("a zone");
    Vm {
        instance: name.into(),
        service: service.into(),
        zone: zone.into(),
        region: zone[..1].into(),
        peer: "127.0.0.1:1".parse().expect("an address"),
        control: "127.0.0.1:2".parse().expect("an address"),
        state: VmState::Live,
        upstream: None,
    }
}

pub(crate) fn list(version: u64, names: &[&str]) -> VmList {
    VmList { version, vms: names.iter().map(|name| vm(name)).collect() }
}

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Setup {
    members: Membership,
    rng: ChaCha8Rng,
    name: InstanceId,
}

impl Setup {
    fn new() -> Self {
        let mut members = Membership::new();
        assert!(members.apply(ms(0), &list(1, &["a-x1-1"])));
        Self { members, rng: ChaCha8Rng::seed_from_u64(SEED), name: "a-x1-1".into() }
    }

    fn see(&mut self, at: u64, seen: Observation) {
        self.members.observe(ms(at), &self.name, seen, &mut self.rng);
    }

    fn time_out(&mut self, sent_at: u64, at: u64) {
        self.see(at, Observation::TimedOut { sent_at: ms(sent_at) });
    }

    fn probe(&mut self, at: u64) {
        self.members.probe_sent(ms(at), &self.name, &mut self.rng);
    }

    fn health(&self, at: u64) -> Health {
        self.members.health(ms(at), &self.name)
    }

    fn probe_at(&self, at: u64) -> u64 {
        match self.health(at) {
            Health::Probed { at } => at.as_millis() as u64,
            health => panic!("not suspected: {health:?}"),
        }
    }
}

const WORKS: Health = Health::Working { share: 1.0 };

macro_rules! cases {
    ($($name:ident: |$s:ident| $body:block)*) => {
        $(#[test]
        fn $name() {
            let mut $s = Setup::new();
            $body
        })*
    };
}

cases! {
    an_older_list_is_not_taken: |s| {
        assert!(s.members.apply(ms(1), &list(3, &["a-x1-1", "a-x1-2"])));
        assert!(!s.members.apply(ms(2), &list(2, &[])));
        assert!(!s.members.apply(ms(2), &list(3, &[])));
        assert_eq!(s.health(2), WORKS);
    }

    a_failed_connection_suspects_at_once: |s| {
        s.see(0, Observation::ConnectFailed);
        assert!((50..=100).contains(&s.probe_at(0)));
    }

    failures_of_probes_lengthen_the_wait_to_its_limit: |s| {
        s.see(0, Observation::ConnectFailed);
        let mut longest = 0;
        let mut at = 0;
        for _ in 0..12 {
            let next = s.probe_at(at);
            longest = longest.max(next - at);
            at = next;
            s.probe(at);
            s.see(at, Observation::ConnectFailed);
        }
        assert!((5_000..=10_000).contains(&longest), "{longest}");
    }

    failures_of_older_calls_do_not_lengthen_the_wait: |s| {
        for _ in 0..50 {
            s.see(0, Observation::ConnectFailed);
        }
        assert!(s.probe_at(0) <= 100);
    }

    a_probe_out_delays_the_next_one: |s| {
        s.see(0, Observation::ConnectFailed);
        s.probe(200);
        assert!(s.probe_at(200) > 200);
    }

    an_answer_brings_back_and_warms_up: |s| {
        s.see(0, Observation::ConnectFailed);
        s.probe(100);
        s.see(110, Observation::Answered);
        assert_eq!(s.health(110), Health::Working { share: 0.1 });
        assert_eq!(s.health(5_110), Health::Working { share: 0.5 });
        assert_eq!(s.health(10_110), WORKS);
    }

    three_timeouts_in_a_row_suspect: |s| {
        s.time_out(0, 500);
        s.time_out(20, 520);
        s.see(530, Observation::Answered);
        s.time_out(40, 540);
        s.time_out(60, 560);
        assert_eq!(s.health(560), WORKS);
        s.time_out(80, 580);
        s.probe_at(580);
    }

    requests_that_time_out_together_do_not_lose_a_peer_that_answers: |s| {
        for sent_at in (0..3_200).step_by(100) {
            s.see(sent_at + 50, Observation::Served);
        }
        for sent_at in (0..3_000).step_by(50) {
            s.time_out(sent_at, 3_200);
        }
        assert_eq!(s.health(3_200), WORKS);
    }

    requests_sent_together_time_out_as_one: |s| {
        for _ in 0..48 {
            s.time_out(0, 2_000);
        }
        s.time_out(9, 2_009);
        s.time_out(2_000, 4_000);
        assert_eq!(s.health(4_000), WORKS);
        s.time_out(4_000, 6_000);
        s.probe_at(6_000);
    }

    requests_with_different_deadlines_that_were_sent_together_time_out_as_one: |s| {
        for deadline in [200, 500, 900, 2_000] {
            s.time_out(0, deadline);
        }
        assert_eq!(s.health(2_000), WORKS);
    }

    slow_requests_do_not_lose_a_peer_that_serves_quick_ones: |s| {
        for at in (0..20_000).step_by(1_000) {
            s.see(at + 500, Observation::Served);
            for sent_at in [at, at + 20, at + 40] {
                s.time_out(sent_at, sent_at + 900);
            }
            assert_eq!(s.health(at + 940), WORKS);
        }
    }

    refusals_do_not_hide_an_upstream_that_serves_nothing: |s| {
        s.see(400, Observation::Answered);
        for sent_at in [0, 20, 40] {
            s.time_out(sent_at, sent_at + 500);
        }
        s.probe_at(540);
    }

    silent_peer_is_suspected_at_the_third_request_sent_to_it: |s| {
        s.see(1_000, Observation::Served);
        for sent_at in [1_010, 1_020, 1_030] {
            assert_eq!(s.health(sent_at + 499), WORKS);
            s.time_out(sent_at, sent_at + 500);
        }
        s.probe_at(1_530);
    }

    few_requests_a_second_suspect_a_silent_peer: |s| {
        for sent_at in [0, 5_000, 10_000] {
            assert_eq!(s.health(sent_at), WORKS);
            s.time_out(sent_at, sent_at + 2_000);
        }
        s.probe_at(12_000);
    }

    timeouts_of_earlier_requests_are_no_failed_probe: |s| {
        for sent_at in [0, 20, 40] {
            s.time_out(sent_at, sent_at + 500);
        }
        let probe_at = s.probe_at(540);
        s.probe(probe_at);
        s.time_out(60, probe_at + 1);
        assert!(s.probe_at(probe_at + 1) <= probe_at + 100);
        s.time_out(probe_at, probe_at + 500);
        assert!(s.probe_at(probe_at + 500) > probe_at + 600);
    }

    failed_probes_that_overlap_lengthen_the_wait: |s| {
        s.see(0, Observation::ConnectFailed);
        s.probe(100);
        s.probe(200);
        s.time_out(100, 1_100);
        assert!((1_200..=1_300).contains(&s.probe_at(1_100)));
    }

    leaving_on_the_wire_goes_before_a_list_that_lags: |s| {
        s.see(0, Observation::Leaving { sent_at: ms(0) });
        assert!(s.members.apply(ms(1), &list(2, &["a-x1-1"])));
        assert!(s.probe_at(1) >= 30_000);
    }

    a_late_answer_does_not_end_leaving: |s| {
        s.see(0, Observation::Leaving { sent_at: ms(0) });
        s.see(20, Observation::Answered);
        s.see(30_020, Observation::Answered);
        s.probe_at(30_020);
    }

    a_restarted_instance_is_found_by_a_probe: |s| {
        s.see(0, Observation::Leaving { sent_at: ms(0) });
        s.probe(30_000);
        s.see(30_010, Observation::Answered);
        assert_eq!(s.health(30_010), Health::Working { share: 0.1 });
    }

    leaving_in_the_list_is_gone: |s| {
        let mut newer = list(2, &["a-x1-1"]);
        newer.vms[0].state = VmState::Leaving;
        s.members.apply(ms(1), &newer);
        assert_eq!(s.health(1), Health::Gone);
    }

    what_leaves_the_list_is_forgotten: |s| {
        s.see(0, Observation::ConnectFailed);
        assert_eq!(s.members.health_record_count(), 1);
        s.members.apply(ms(1), &list(2, &["a-x1-2"]));
        s.see(1, Observation::ConnectFailed);
        assert_eq!(s.members.health_record_count(), 1);
        assert_eq!(s.health(1), Health::Gone);
    }

    a_newly_listed_instance_is_cold: |s| {
        s.members.apply(ms(500), &list(2, &["a-x1-1", "a-x1-2"]));
        let health = s.members.health(ms(500), &"a-x1-2".into());
        assert_eq!(health, Health::Working { share: 0.1 });
        assert_eq!(s.health(500), WORKS);
    }

    after_a_pause_suspected_instances_are_probed_at_once: |s| {
        s.see(0, Observation::Leaving { sent_at: ms(0) });
        s.members.mark_stale(ms(5_000));
        assert_eq!(s.probe_at(5_000), 5_000);
    }
}

fn started(name: &str, start_ms: u64) -> Vm {
    let facts = UpstreamFacts {
        address: "127.0.0.1:3".parse().expect("an address"),
        slots: 4,
        warmup_left: ms(3_000),
        start_ms,
    };
    Vm { upstream: Some(facts), ..vm(name) }
}

#[test]
fn an_instance_that_left_its_address_is_gone_until_it_starts_anew() {
    let mut s = Setup::new();
    let list = |version, born| VmList { version, vms: vec![started("a-x1-1", born)] };
    assert!(s.members.apply(ms(0), &list(2, 100)));
    s.see(1, Observation::Gone);
    assert_eq!(s.health(1), Health::Gone);
    assert!(s.members.apply(ms(2), &list(3, 100)));
    s.see(2, Observation::Answered);
    assert_eq!(s.health(2), Health::Gone);
    assert!(s.members.apply(ms(3), &list(4, 200)));
    assert_eq!(s.health(3), Health::Working { share: 0.5 });
    assert_eq!(s.health(3_003), WORKS);
}

/// Guards against instances that get nothing for good after an entry named another's address as
/// theirs for a moment.
#[test]
fn instance_whose_entry_has_its_own_address_again_is_used_again() {
    let mut s = Setup::new();
    let at = |version, peer: &str| {
        let vm = Vm { peer: peer.parse().unwrap(), ..started("a-x1-1", 100) };
        VmList { version, vms: vec![vm] }
    };
    s.members.apply(ms(0), &at(2, "127.0.0.1:1"));
    s.members.apply(ms(1), &at(3, "127.0.0.2:1"));
    s.see(2, Observation::Gone);
    assert_eq!(s.health(2), Health::Gone);
    s.members.apply(ms(3), &at(4, "127.0.0.1:1"));
    assert!(matches!(s.health(3), Health::Working { .. }), "{:?}", s.health(3));
}

/// Returns an empty table of a daemon whose upstream listens where [`started`] says.
fn local_instances() -> LocalInstances {
    let upstream = started("a-x1-1", 100);
    LocalInstances::new(upstream.upstream.unwrap().address, upstream.service)
}

#[test]
fn a_departed_instance_is_forgotten_once_the_list_has_caught_up() {
    let mut local = local_instances();
    let list = |born| VmList { version: 1, vms: vec![started("a-x1-1", born)] };
    local.apply(&list(100));
    local.record_departure(&"a-x1-1".into());
    local.apply(&list(100));
    assert_eq!(local.standing(&"a-x1-1".into()), LocalStanding::Departed);
    local.apply(&list(200));
    assert_eq!(local.standing(&"a-x1-1".into()), LocalStanding::Current);
}

#[test]
fn local_upstream_runs_nothing_for_an_instance_that_leaves_or_left_the_list() {
    let mut local = local_instances();
    let leaving = Vm { state: VmState::Leaving, ..started("a-x1-1", 100) };
    let lists = [
        (vec![], LocalStanding::Current),
        (vec![started("a-x1-1", 100)], LocalStanding::Current),
        (vec![leaving], LocalStanding::Leaving),
        (vec![started("a-x1-2", 200)], LocalStanding::Unlisted),
        (vec![started("a-x1-1", 300), started("a-x1-2", 200)], LocalStanding::Current),
    ];
    for (vms, expected) in lists {
        local.apply(&VmList { version: 1, vms });
        assert_eq!(local.standing(&"a-x1-1".into()), expected);
    }
}

/// A list that lacks an instance for a while, or names an earlier start of it, is no new start.
#[test]
fn upstream_that_said_it_leaves_gets_nothing_before_it_starts_anew() {
    let list = |version, vms| VmList { version, vms };
    let lists = [
        (vec![started("a-x1-1", 100)], false),
        (vec![], false),
        (vec![started("a-x1-1", 100)], false),
        (vec![started("a-x1-1", 50)], false),
        (vec![started("a-x1-1", 200)], true),
    ];
    let mut s = Setup::new();
    let mut local = local_instances();
    s.members.apply(ms(0), &list(2, vec![started("a-x1-1", 100)]));
    local.apply(&list(2, vec![started("a-x1-1", 100)]));
    s.see(1, Observation::UpstreamLeaving);
    assert!(local.record_leaving(&"a-x1-1".into()));
    assert!(!local.record_leaving(&"a-x1-1".into()));
    for (version, (vms, is_back)) in (3..).zip(lists) {
        s.members.apply(ms(version), &list(version, vms.clone()));
        local.apply(&list(version, vms));
        s.see(version, Observation::Answered);
        let is_gone = s.health(version) == Health::Gone;
        assert_eq!(!is_gone, is_back, "in list {version}");
        let standing = local.standing(&"a-x1-1".into());
        let expected = if is_back { LocalStanding::Current } else { LocalStanding::Leaving };
        assert_eq!(standing, expected, "in list {version}");
    }
}

/// A request may arrive before the list that names its instance.
#[test]
fn start_of_an_upstream_that_said_it_leaves_may_be_listed_later() {
    let mut local = local_instances();
    assert!(local.record_leaving(&"a-x1-1".into()));
    for (version, start_ms, expected) in
        [(1, 100, LocalStanding::Leaving), (2, 200, LocalStanding::Current)]
    {
        local.apply(&VmList { version, vms: vec![started("a-x1-1", start_ms)] });
        assert_eq!(local.standing(&"a-x1-1".into()), expected);
    }
}

fn with_slots(name: &str, start_ms: u64, slots: u32) -> Vm {
    let mut vm = started(name, start_ms);
    vm.upstream.as_mut().unwrap().slots = slots;
    vm
}

fn describe(slots: u32, is_another: bool) -> Description {
    Description { slots: Some(slots), is_another }
}

/// Guards against an entry of another writer that takes the place of the upstream's own because
/// it claims a later start.
#[test]
fn entry_that_the_upstream_answers_for_describes_it() {
    let mut local = local_instances();
    let both = VmList {
        version: 1,
        vms: vec![with_slots("a-x1-1", 100, 4), with_slots("a-x1-2", 200, 1)],
    };
    assert_eq!(local.apply(&both), describe(1, false));
    assert_eq!(local.record_run(&"a-x1-1".into()), Some(describe(4, true)));
    assert_eq!(local.record_run(&"a-x1-1".into()), None);
    assert_eq!(local.apply(&both), describe(4, false));
}

/// Guards against slots that stay those of an instance that ended.
#[test]
fn restarted_upstream_is_described_by_its_first_answer_or_refusal() {
    let old = || with_slots("a-x1-1", 100, 4);
    let both = VmList { version: 2, vms: vec![old(), with_slots("a-x1-2", 200, 8)] };
    let confirmed = || {
        let mut local = local_instances();
        local.apply(&VmList { version: 1, vms: vec![old()] });
        local.record_run(&"a-x1-1".into());
        assert_eq!(local.apply(&both), describe(4, false));
        local
    };
    assert_eq!(confirmed().record_run(&"a-x1-2".into()), Some(describe(8, true)));
    let mut local = confirmed();
    assert_eq!(local.record_departure(&"a-x1-1".into()), describe(8, true));
    // An answer of the instance that ended arrives late.
    assert_eq!(local.record_run(&"a-x1-1".into()), None);
    assert_eq!(
        confirmed().apply(&VmList { version: 3, vms: vec![with_slots("a-x1-2", 200, 8)] }),
        describe(8, true)
    );
}

#[test]
fn entries_of_other_services_at_the_address_say_nothing_of_the_upstream() {
    let mut local = local_instances();
    let foreign =
        Vm { service: "b".into(), state: VmState::Leaving, ..with_slots("a-x1-2", 200, 1) };
    let list = VmList { version: 1, vms: vec![with_slots("a-x1-1", 100, 4), foreign] };
    assert_eq!(local.apply(&list), describe(4, false));
    assert_eq!(local.standing(&"a-x1-1".into()), LocalStanding::Current);
}

/// Instances of other VMs are not this daemon's to judge.
#[test]
fn entries_at_other_addresses_do_not_matter() {
    let mut local = LocalInstances::new("127.0.0.9:9".parse().unwrap(), "a".into());
    let leaving = Vm { state: VmState::Leaving, ..started("a-x1-1", 100) };
    local.apply(&VmList { version: 1, vms: vec![leaving] });
    assert_eq!(local.standing(&"a-x1-1".into()), LocalStanding::Current);
    local.apply(&VmList { version: 2, vms: vec![] });
    assert_eq!(local.standing(&"a-x1-1".into()), LocalStanding::Current);
}

#[test]
fn listing_changes_name_each_instance_that_is_offered_otherwise() {
    let old = list(1, &["a-x1-1", "a-x1-2", "a-x1-3"]);
    let mut new = list(2, &["a-x1-1", "a-x1-2", "a-x1-4"]);
    new.vms[1].state = VmState::Leaving;
    let (second, third, fourth) = ("a-x1-2".into(), "a-x1-3".into(), "a-x1-4".into());
    let expected =
        [(&second, Listing::Leaving), (&fourth, Listing::Live), (&third, Listing::Unlisted)];
    assert_eq!(listing_changes(&old, &new), expected);
    assert_eq!(listing_changes(&new, &new), []);
}

/// A leaving daemon that ends its connection may be back at once.
#[test]
fn a_restarted_daemon_is_probed_soon_after_its_connection_ended() {
    let mut s = Setup::new();
    s.see(0, Observation::Leaving { sent_at: ms(0) });
    assert!(s.probe_at(0) >= 30_000);
    s.see(3_000, Observation::Disconnected);
    assert_eq!(s.probe_at(3_000), 3_500);
}

/// A daemon's last answers and the end of its connection are recorded by different tasks. In the
/// other order the instance was left out for 30 s (review/7).
#[test]
fn a_restarted_daemon_is_probed_soon_if_its_last_answer_is_recorded_late() {
    let mut s = Setup::new();
    s.see(2_000, Observation::Leaving { sent_at: ms(1_990) });
    s.see(3_000, Observation::Disconnected);
    s.see(3_001, Observation::Leaving { sent_at: ms(2_990) });
    assert_eq!(s.probe_at(3_001), 3_500);
}

/// The first word of a daemon's leaving may come with the end of its connection, too.
#[test]
fn a_daemon_whose_only_answer_is_recorded_late_is_probed_soon() {
    let mut s = Setup::new();
    s.see(2_000, Observation::Answered);
    s.see(3_000, Observation::Disconnected);
    s.see(3_001, Observation::Leaving { sent_at: ms(2_990) });
    assert_eq!(s.probe_at(3_001), 3_500);
}

#[test]
fn a_daemon_that_says_later_that_it_leaves_is_left_alone() {
    let mut s = Setup::new();
    s.see(3_000, Observation::Disconnected);
    s.see(3_020, Observation::Leaving { sent_at: ms(3_010) });
    assert!(s.probe_at(3_020) >= 33_000);
}
