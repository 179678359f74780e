//! Checks for settings that are each in range but contradict one another, and for
//! invalid names.

use std::net::SocketAddr;

use super::Settings;
use super::error::Problem;
use crate::process::units::DurationText;
use crate::version::Criticality;

/// Adds to `problems` every invalid name and every contradiction between two keys.
pub(super) fn check_settings(settings: &Settings, problems: &mut Vec<Problem>) {
    check_names(settings, problems);
    check_listeners(settings, problems);
    check_upstream_address(settings, problems);
    check_connections(settings, problems);
    check_objectives(settings, problems);
    check_withdrawal(settings, problems);
}

fn check_names(settings: &Settings, problems: &mut Vec<Problem>) {
    let daemon = &settings.daemon;
    let names = [
        ("daemon.instance", daemon.instance.as_str()),
        ("daemon.service", daemon.service.as_str()),
        ("daemon.zone", daemon.zone.as_str()),
        ("daemon.region", daemon.region.as_str()),
    ];
    for (key, name) in names {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(is_allowed) {
            problems.push(Problem::InvalidValue {
                key: key.to_owned(),
                found: format!("{name:?}"),
                expected: "a name of letters, digits, '-', '_' and '.'".to_owned(),
            });
        }
    }
}

/// Returns the address of every listener that is set, with its key.
fn listener_addresses(settings: &Settings) -> Vec<(&'static str, SocketAddr)> {
    let listen = &settings.listen;
    let addresses = [
        ("listen.caller", Some(listen.caller)),
        ("listen.upstream", listen.upstream),
        ("listen.peer", Some(listen.peer)),
        ("listen.control", listen.control),
        ("listen.operator", Some(listen.operator)),
        ("adapter.ready", settings.adapter.as_ref().map(|adapter| adapter.ready)),
    ];
    let if_set = |(key, address): (&'static str, Option<SocketAddr>)| Some((key, address?));
    addresses.into_iter().filter_map(if_set).collect()
}

fn check_listeners(settings: &Settings, problems: &mut Vec<Problem>) {
    let listeners = listener_addresses(settings);
    for (index, (key, address)) in listeners.iter().enumerate() {
        let earlier = listeners[..index].iter().find(|(_, other)| same_port(*address, *other));
        if let Some((other, other_address)) = earlier {
            let accepted = "an address of its own for each listener";
            problems.push(contradiction(key, address, other, other_address, accepted));
        }
    }
}

fn check_upstream_address(settings: &Settings, problems: &mut Vec<Problem>) {
    let address = settings.upstream.address;
    for (key, listener) in listener_addresses(settings) {
        if same_port(address, listener) {
            let accepted = "the address of the upstream's own process";
            problems.push(contradiction("upstream.address", &address, key, &listener, accepted));
        }
    }
}

fn check_connections(settings: &Settings, problems: &mut Vec<Problem>) {
    let upstream = &settings.upstream;
    if upstream.connections < upstream.slots {
        let accepted = format!("{} to 100000", upstream.slots);
        problems.push(contradiction(
            "upstream.connections",
            &upstream.connections,
            "upstream.slots",
            &upstream.slots,
            &accepted,
        ));
    }
}

/// Checks that something can tell the daemon how old its rules are, without which it would
/// refuse all requests with keys.
fn check_withdrawal(settings: &Settings, problems: &mut Vec<Problem>) {
    if let (Some(bound), None) = (settings.customers.withdrawal, &settings.adapter) {
        let accepted = "no bound without a section [adapter]";
        let bound = DurationText(bound);
        problems.push(contradiction("customers.withdrawal", &bound, "adapter", &"none", accepted));
    }
}

/// Checks that no criticality is allowed more failures than the next lower one.
///
/// Requests of higher criticality are shed later, so that their objective cannot be
/// the looser one.
fn check_objectives(settings: &Settings, problems: &mut Vec<Problem>) {
    let objectives = &settings.objectives;
    for pair in Criticality::ALL.windows(2) {
        let [stricter, looser] = [pair[0], pair[1]].map(|c| (c, objectives.allowed_per_10k(c)));
        if stricter.1 > looser.1 {
            problems.push(contradiction(
                &format!("objectives.{}", stricter.0),
                &stricter.1,
                &format!("objectives.{}", looser.0),
                &looser.1,
                &format!("1 to {}", looser.1),
            ));
        }
    }
}

/// Returns whether two listeners would use the same port of the same address.
///
/// Port 0 requests a free port from the operating system and never conflicts.
fn same_port(left: SocketAddr, right: SocketAddr) -> bool {
    let overlaps =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    left.port() != 0 && left.port() == right.port() && overlaps
}

fn contradiction(
    key: &str,
    found: &dyn ToString,
    other: &str,
    other_found: &dyn ToString,
    accepted: &str,
) -> Problem {
    Problem::Contradiction {
        key: key.to_owned(),
        found: found.to_string(),
        other: other.to_owned(),
        other_found: other_found.to_string(),
        accepted: accepted.to_owned(),
    }
}
