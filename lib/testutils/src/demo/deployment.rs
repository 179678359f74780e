//! Tsagaan's four services, scaled to one machine, and the demand on them.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;

use crate::caller::plan::Class;
use crate::caller::plan::Phase;
use crate::caller::plan::Plan;
use crate::place::Place;

/// Rules that the platform publishes at the start.
pub(super) const RULES: &str = "\
submission POST /expressions/** criticality=critical weight=10 non-idempotent retries=2 deadline=4s wait  # asked by Narantuya, review panel desk
matching POST /match/** criticality=critical weight=10 idempotent retries=2 deadline=4s wait  # asked by Narantuya, review panel desk
listings GET /** criticality=normal weight=2 retries=1 deadline=2s  # asked by Bat-Erdene, applicants' help line
archive GET /packs/** criticality=deferrable weight=1 retries=1 deadline=8s wait  # asked by Oyuna, field offices
";

/// Letters of the availability zones.
const ZONES: [char; 3] = ['a', 'b', 'c'];

/// Service time of matching, in milliseconds.
pub(super) const MATCHING_MS: f64 = 20.0;

/// Service time of matching while it is slowed, in milliseconds.
pub(super) const MATCHING_SLOW_MS: f64 = 100.0;

/// Requests a second while demand is calm.
const CALM_RATE: f64 = 420.0;

/// Requests a second in the surge: twice what the services can answer.
const SURGE_RATE: f64 = 1680.0;

/// Size of a guideline pack, in bytes.
const PACK_BYTES: u64 = 64 * 1024;

/// Rate of a rural link, in bytes a second.
const PACK_RATE: u64 = 256 * 1024;

/// Lengths of the phases.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timing {
    pub(super) before: Duration,
    pub(super) surge: Duration,
    pub(super) after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            before: Duration::from_secs(5),
            surge: Duration::from_secs(8),
            after: Duration::from_secs(10),
        }
    }
}

/// Returns the places of all instances.
pub(super) fn places() -> Vec<Place> {
    let services =
        [("listings", 8, 64), ("submission", 8, 64), ("archive", 8, 64), ("matching", 3, 36)];
    let instances = services.iter().flat_map(|service| ZONES.map(|zone| (service, zone)));
    instances.map(|(&(name, slots, open), zone)| Place::new(name, zone, slots, open)).collect()
}

/// Returns what the upstream of `place` does, as its program's option.
pub(super) fn behaviour(place: &Place) -> String {
    let behaviour = match place.service.as_str() {
        "matching" => json!({ "service_ms": MATCHING_MS, "answer_bytes": 512 }),
        "submission" => json!({
            "service_ms": 40.0,
            "daemon": place.outbound,
            "calls": [{
                "on": "/expressions",
                "service": "matching",
                "method": "POST",
                "path": "/match/calls",
                "required": true,
            }],
        }),
        "archive" => json!({ "service_ms": 5.0 }),
        _ => json!({ "service_ms": 40.0 }),
    };
    behaviour.to_string()
}

/// Returns what the callers send.
pub(super) fn plan(seed: u64, entries: Vec<SocketAddr>, timing: &Timing) -> Plan {
    let class = |name: &str, service: &str, method: &str, path: &str, weight| Class {
        name: name.to_owned(),
        service: service.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        weight,
        deadline_ms: 5_000,
        request_bytes: 0,
        answer_bytes: 2_048,
        answer_rate: None,
    };
    let phase = |rate, length: Duration| Phase { rate, for_ms: length.as_millis() as u64 };
    let submissions = class("submissions", "submission", "POST", "/expressions/17", 5);
    let downloads = class("downloads", "archive", "GET", "/packs/guidelines", 1);
    Plan {
        seed,
        entries,
        phases: vec![
            phase(CALM_RATE, timing.before),
            phase(SURGE_RATE, timing.surge),
            phase(CALM_RATE, timing.after),
        ],
        classes: vec![
            Class { request_bytes: 1_024, ..submissions },
            class("browsing", "listings", "GET", "/calls/open", 15),
            Class {
                deadline_ms: 10_000,
                answer_bytes: PACK_BYTES,
                answer_rate: Some(PACK_RATE),
                ..downloads
            },
        ],
        hard_retries: 0,
        cancel_per_mille: 0,
    }
}
