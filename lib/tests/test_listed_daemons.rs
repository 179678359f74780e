//! Which daemons a list tells of; see `docs/design/membership.md`.

use std::net::SocketAddr;
use std::time::Duration;

use endivescale::process::membership::Daemons;
use endivescale::process::membership::UpstreamFacts;
use endivescale::process::membership::Vm;
use endivescale::process::membership::VmState;
use endivescale::version::Policy;
use endivescale::version::routes::RequestLimits;
use endivescale::version::routes::RouteTable;

use super::test_membership::vm;

fn routes(services: &[&str]) -> Policy {
    let limits = RequestLimits {
        head_bytes: 16_384,
        body_bytes: 1,
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let services = services.iter().map(|service| (*service).into());
    Policy::Routes(RouteTable::new(Vec::new(), services, limits))
}

fn entry(name: &str, host: u8) -> Vm {
    let at = |port| SocketAddr::from(([127, 0, 0, host], port));
    let upstream =
        UpstreamFacts { address: at(3), slots: 4, warmup_left: Duration::ZERO, start_ms: 1 };
    Vm { peer: at(1), control: at(2), upstream: Some(upstream), ..vm(name) }
}

fn leaving(name: &str, host: u8) -> Vm {
    Vm { state: VmState::Leaving, ..entry(name, host) }
}

/// Returns the last octet of each daemon's address, and whether it is live.
fn found(vms: &[Vm], policy: Option<&Policy>) -> Vec<(u8, bool)> {
    let daemons = Daemons::of(vms, policy);
    let octet = |addr: SocketAddr| addr.to_string().split(['.', ':']).nth(3).unwrap().parse();
    daemons.iter().map(|daemon| (octet(daemon.peer).unwrap(), daemon.is_live)).collect()
}

macro_rules! daemons {
    ($($(#[$doc:meta])* $name:ident: $vms:expr, $policy:expr => $expected:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            assert_eq!(found(&$vms, $policy.as_ref()), $expected);
        }
    )*};
}

daemons! {
    /// Guards against hosts of other services that are polled, reported to and counted.
    host_of_an_unnamed_service_has_no_daemon:
        [entry("a-x1-1", 1), entry("agent-x1-2", 2)], Some(routes(&["a", "b"])) => [(1, true)];
    host_whose_service_a_later_version_names_has_a_daemon:
        [entry("a-x1-1", 1), entry("agent-x1-2", 2)], Some(routes(&["a", "agent"]))
            => [(1, true), (2, true)];
    all_hosts_have_daemons_before_the_first_version:
        [entry("a-x1-1", 1), entry("agent-x1-2", 2)], None::<Policy> => [(1, true), (2, true)];
    /// Guards against a daemon that is counted twice while its upstream restarts.
    two_instances_at_an_address_have_one_daemon:
        [leaving("a-x1-1", 1), entry("a-x1-2", 1)], Some(routes(&["a"])) => [(1, true)];
    draining_agent_on_a_vm_leaves_its_daemon_live:
        [entry("a-x1-1", 1), leaving("agent-x1-2", 1)], Some(routes(&["a"])) => [(1, true)];
    daemon_of_a_leaving_instance_is_leaving:
        [leaving("a-x1-1", 1)], Some(routes(&["a"])) => [(1, false)];
}

#[test]
fn daemon_whose_address_changes_hands_serves_both_services() {
    let daemons = Daemons::of(&[entry("a-x1-1", 1), entry("b-x1-2", 1)], None);
    let daemon = daemons.iter().next().unwrap();
    assert!(daemon.serves(&"a".into()) && daemon.serves(&"b".into()));
    assert!(!daemon.serves(&"c".into()));
}
