use std::time::Duration;

use endivescale::process::InstanceId;
use endivescale::process::ServiceName;
use endivescale::process::admission::Level;
use endivescale::process::membership::Observation;
use endivescale::process::routing::NoRoute;
use endivescale::process::routing::Pick;
use endivescale::process::routing::Place;
use endivescale::process::routing::Router;
use endivescale::process::routing::Work;
use endivescale::version::Criticality;
use indexmap::IndexMap;

use super::test_membership::list;
use super::test_membership::ms;

const SEED: u64 = 11;
const CALLS: usize = 1_000;

/// Two instances in each of three availability zones; x1 and x2 are in one region.
const FLEET: [&str; 6] = ["a-x1-1", "a-x1-2", "a-x2-1", "a-x2-2", "a-y1-1", "a-y1-2"];

struct Setup {
    router: Router,
    service: ServiceName,
}

impl Setup {
    fn new() -> Self {
        let here = Place { instance: "b-x1-1".into(), zone: "x1".into(), region: "x".into() };
        let mut router = Router::new(here, SEED);
        router.apply(ms(0), &list(1, &FLEET));
        Self { router, service: "a".into() }
    }

    fn pick_for(&mut self, at: u64, criticality: Criticality, avoid: &[&str]) -> Pick {
        let avoid: Vec<InstanceId> = avoid.iter().map(|&name| name.into()).collect();
        let work = Work { criticality, hash: 500, is_call: false, affinity: None };
        self.router.pick(ms(at), &self.service, &work, &avoid)
    }

    fn pick(&mut self, at: u64) -> Pick {
        self.pick_for(at, Criticality::Normal, &[])
    }

    fn see(&mut self, at: u64, name: &str, seen: Observation) {
        self.router.observe(ms(at), &name.into(), seen);
    }

    /// Picks many times at one instant and returns how often each instance was chosen.
    fn shares(&mut self, at: u64, criticality: Criticality) -> IndexMap<String, usize> {
        let mut shares = IndexMap::new();
        for _ in 0..CALLS {
            *shares.entry(name(self.pick_for(at, criticality, &[]))).or_default() += 1;
        }
        shares
    }
}

fn name(pick: Pick) -> String {
    match pick {
        Pick::To(vm) => vm.instance.to_string(),
        Pick::None(reason) => panic!("no route: {reason:?}"),
    }
}

fn in_zone(shares: &IndexMap<String, usize>, zone: &str) -> usize {
    shares.iter().filter(|(name, _)| name.contains(zone)).map(|(_, n)| n).sum()
}

/// Picks for a call on behalf of a request that was let in.
fn pick_for_call(s: &mut Setup) -> Pick {
    let work = Work { criticality: Criticality::Normal, hash: 500, is_call: true, affinity: None };
    s.router.pick(ms(0), &s.service, &work, &[])
}

fn level(criticality: Criticality, threshold: u16) -> Observation {
    Observation::Level(Level { criticality, threshold })
}

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
    an_unlisted_service_has_no_route: |s| {
        s.service = "z".into();
        assert_eq!(s.pick(0), Pick::None(NoRoute::UnknownService));
    }

    calls_stay_in_the_own_zone: |s| {
        assert_eq!(in_zone(&s.shares(0, Criticality::Normal), "x1"), CALLS);
    }

    a_retry_goes_to_another_instance: |s| {
        for _ in 0..CALLS {
            let pick = s.pick_for(0, Criticality::Normal, &["a-x1-1"]);
            assert_ne!(name(pick), "a-x1-1");
        }
    }

    a_listed_but_dead_instance_gets_one_probe_an_interval: |s| {
        s.see(0, "a-x1-1", Observation::ConnectFailed);
        assert_eq!(s.shares(0, Criticality::Normal).get("a-x1-1"), None);
        assert_eq!(s.shares(150, Criticality::Normal).get("a-x1-1"), Some(&1));
    }

    critical_work_is_no_probe: |s| {
        s.see(0, "a-x1-1", Observation::ConnectFailed);
        assert_eq!(s.shares(150, Criticality::Critical).get("a-x1-1"), None);
    }

    critical_work_is_a_probe_if_nothing_else_is_left: |s| {
        for instance in FLEET {
            s.see(0, instance, Observation::ConnectFailed);
        }
        assert!(matches!(s.pick_for(200, Criticality::Critical, &[]), Pick::To(_)));
    }

    a_leaving_instance_gets_nothing_while_the_list_lags: |s| {
        s.see(0, "a-x1-1", Observation::Leaving { sent_at: ms(0) });
        for at in [0, 1_000, 29_000] {
            assert_eq!(s.shares(at, Criticality::Normal).get("a-x1-1"), None);
        }
    }

    a_zone_lost_sends_all_work_to_the_region_then_beyond: |s| {
        for instance in ["a-x1-1", "a-x1-2"] {
            s.see(0, instance, Observation::ConnectFailed);
        }
        assert_eq!(in_zone(&s.shares(0, Criticality::Normal), "x2"), CALLS);
        for instance in ["a-x2-1", "a-x2-2"] {
            s.see(0, instance, Observation::ConnectFailed);
        }
        assert_eq!(in_zone(&s.shares(0, Criticality::Normal), "y1"), CALLS);
    }

    a_zone_that_returns_gets_its_work_back_by_degrees: |s| {
        for instance in ["a-x1-1", "a-x1-2"] {
            s.see(0, instance, Observation::ConnectFailed);
        }
        assert_eq!(in_zone(&s.shares(200, Criticality::Normal), "x1"), 2);
        for instance in ["a-x1-1", "a-x1-2"] {
            s.see(210, instance, Observation::Answered);
        }
        let cold = in_zone(&s.shares(210, Criticality::Normal), "x1");
        assert!((150..250).contains(&cold), "{cold}");
        assert_eq!(in_zone(&s.shares(10_210, Criticality::Normal), "x1"), CALLS);
    }

    nothing_works_is_told_at_once_with_a_time_to_come_back: |s| {
        for instance in FLEET {
            s.see(0, instance, Observation::ConnectFailed);
        }
        let Pick::None(NoRoute::NoneWorking { retry_after }) = s.pick(0) else {
            panic!("a route to a dead instance");
        };
        assert!(retry_after > Duration::ZERO && retry_after <= ms(100));
    }

    refused_work_spills_to_another_zone_and_the_rest_stays: |s| {
        for instance in ["a-x1-1", "a-x1-2"] {
            s.see(0, instance, level(Criticality::Normal, 499));
        }
        assert_eq!(in_zone(&s.shares(0, Criticality::Normal), "x2"), CALLS);
        assert_eq!(in_zone(&s.shares(0, Criticality::High), "x1"), CALLS);
    }

    work_refused_everywhere_is_refused_here: |s| {
        for instance in FLEET {
            s.see(0, instance, level(Criticality::High, u16::MAX));
        }
        assert_eq!(s.pick(0), Pick::None(NoRoute::Refused));
        assert!(matches!(s.pick_for(0, Criticality::Critical, &[]), Pick::To(_)));
    }

    // Load pattern: a bottleneck closes while the requests that it let in are still
    // making their calls.
    a_call_of_a_request_that_was_let_in_is_not_refused_by_levels: |s| {
        for instance in FLEET {
            s.see(0, instance, level(Criticality::Critical, u16::MAX));
        }
        assert_eq!(s.pick(0), Pick::None(NoRoute::Refused));
        assert!(matches!(pick_for_call(&mut s), Pick::To(_)));
    }

    a_level_not_heard_again_expires: |s| {
        for instance in FLEET {
            s.see(0, instance, level(Criticality::High, u16::MAX));
        }
        assert!(matches!(s.pick(1_001), Pick::To(_)));
    }

    a_cold_instance_gets_a_small_share: |s| {
        s.router.apply(ms(0), &list(2, &["a-x1-1", "a-x1-2", "a-x1-3"]));
        for instance in ["a-x1-1", "a-x1-2"] {
            s.router.started(&instance.into());
        }
        let mut cold = 0;
        for _ in 0..100 {
            let instance: InstanceId = name(s.pick(0)).as_str().into();
            cold += usize::from(instance.as_str() == "a-x1-3");
            s.router.started(&instance);
        }
        assert!((2..=12).contains(&cold), "{cold}");
    }

    outstanding_calls_even_out: |s| {
        for _ in 0..CALLS {
            let instance: InstanceId = name(s.pick(0)).as_str().into();
            s.router.started(&instance);
        }
        let counts = ["a-x1-1", "a-x1-2"].map(|n| s.router.outstanding(&n.into()));
        assert!(counts[0].abs_diff(counts[1]) <= 1, "{counts:?}");
    }

    ended_calls_leave_no_state: |s| {
        let instance: InstanceId = "a-x1-1".into();
        s.router.started(&instance);
        s.router.finished(&instance);
        s.router.finished(&instance);
        assert_eq!(s.router.outstanding(&instance), 0);
    }
}

#[test]
fn daemons_spread_over_a_large_service() {
    let names: Vec<String> = (0..40).map(|n| format!("a-x1-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let list = list(1, &names);
    let mut chosen: IndexMap<String, usize> = IndexMap::new();
    for n in 0..200_u64 {
        let instance = format!("b-x1-{n}").as_str().into();
        let here = Place { instance, zone: "x1".into(), region: "x".into() };
        let mut router = Router::new(here, n);
        router.apply(ms(0), &list);
        let work =
            Work { criticality: Criticality::Normal, hash: 0, is_call: false, affinity: None };
        let mut own = IndexMap::new();
        for _ in 0..100 {
            let instance = name(router.pick(ms(0), &"a".into(), &work, &[]));
            own.insert(instance, ());
        }
        assert!(own.len() <= 8, "state grows with the service");
        for (instance, ()) in own {
            *chosen.entry(instance).or_default() += 1;
        }
    }
    let callers = chosen.values();
    assert_eq!(chosen.len(), 40);
    assert!(callers.clone().min() >= Some(&20) && callers.max() <= Some(&65), "{chosen:?}");
}
