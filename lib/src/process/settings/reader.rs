//! Reads the sections of a settings file, and defines the defaults and accepted ranges
//! of their keys.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use toml::Table;

use super::Adapter;
use super::AdapterKind;
use super::AdmissionSettings;
use super::Daemon;
use super::IdempotencySettings;
use super::Limits;
use super::Listen;
use super::Log;
use super::LogLevel;
use super::MetricsSettings;
use super::Platform;
use super::RepeatSettings;
use super::Settings;
use super::Stop;
use super::Upstream;
use super::error::Problem;
use super::section::Section;
use crate::process::Region;
use crate::process::burn::Objectives;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);

/// All sections, as listed in the report of an unknown one.
const SECTIONS: &str = "daemon, listen, upstream, platform, stop, metrics, log, admission, \
                        idempotency, limits, objectives, repeats, adapter";

/// Description of a valid name, for problem reports.
const NAME: &str = "a name of letters, digits, '-', '_' and '.'";
/// Description of a valid address, for problem reports.
const ADDRESS: &str = "an IP address and port, such as \"127.0.0.1:7001\"";

/// Default of `upstream.slots` with an adapter, in force until the platform's entry of
/// the upstream states the number.
const UNLISTED_SLOTS: u32 = 16;
/// Default of `upstream.connections` with an adapter. The limit on slots takes effect
/// first, so that this one need only be high enough.
const UNLISTED_CONNECTIONS: u32 = 4_096;

/// Placeholder for a missing or invalid address.
const NO_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Reads settings from a parsed file. The settings are valid only if no problems are
/// returned, since values with problems are replaced by placeholders.
pub(super) fn read(mut file: Table) -> (Settings, Vec<Problem>) {
    let mut problems = Vec::new();
    let adapted = file.contains_key("adapter");
    let settings = Settings {
        daemon: daemon(Section::take(&mut file, "daemon", &mut problems)),
        listen: listen(Section::take(&mut file, "listen", &mut problems), adapted),
        upstream: upstream(Section::take(&mut file, "upstream", &mut problems), adapted),
        platform: platform(Section::take(&mut file, "platform", &mut problems)),
        stop: stop(Section::take(&mut file, "stop", &mut problems)),
        metrics: metrics(Section::take(&mut file, "metrics", &mut problems)),
        log: log(Section::take(&mut file, "log", &mut problems)),
        admission: admission(Section::take(&mut file, "admission", &mut problems)),
        idempotency: idempotency(Section::take(&mut file, "idempotency", &mut problems)),
        limits: limits(Section::take(&mut file, "limits", &mut problems)),
        objectives: objectives(Section::take(&mut file, "objectives", &mut problems)),
        repeats: file
            .contains_key("repeats")
            .then(|| repeats(Section::take(&mut file, "repeats", &mut problems))),
        adapter: adapted.then(|| adapter(Section::take(&mut file, "adapter", &mut problems))),
    };
    for key in file.keys() {
        let expected = SECTIONS.to_owned();
        problems.push(Problem::UnknownKey { key: key.clone(), expected });
    }
    (settings, problems)
}

fn daemon(mut section: Section<'_>) -> Daemon {
    let daemon = Daemon {
        instance: section.required("instance", NAME, "".into()),
        service: section.required("service", NAME, "".into()),
        zone: section.required("zone", NAME, "".into()),
        region: section.required("region", NAME, Region::from("")),
    };
    section.finish();
    daemon
}

fn listen(mut section: Section<'_>, adapted: bool) -> Listen {
    let mut address = |key| section.required(key, ADDRESS, NO_ADDRESS);
    let caller = address("caller");
    let upstream = (!adapted).then(|| address("upstream"));
    let peer = address("peer");
    let control = (!adapted).then(|| address("control"));
    let listen = Listen { caller, upstream, peer, control, operator: address("operator") };
    section.finish();
    listen
}

fn upstream(mut section: Section<'_>, adapted: bool) -> Upstream {
    let address = section.required("address", ADDRESS, NO_ADDRESS);
    let mut number = |key, default| match adapted {
        true => section.number(key, 1..=100_000, default),
        false => section.required_number(key, 1..=100_000),
    };
    let upstream = Upstream {
        address,
        slots: number("slots", UNLISTED_SLOTS),
        connections: number("connections", UNLISTED_CONNECTIONS),
    };
    section.finish();
    upstream
}

fn repeats(mut section: Section<'_>) -> RepeatSettings {
    let repeats = RepeatSettings {
        ratio: section.fraction("ratio", 0.0..=10.0),
        slack: section.fraction("slack", 0.0..=1e6),
        window: section.duration("window", SECOND..=HOUR, 10 * SECOND),
        first_start: section.optional("first_start", "true or false").unwrap_or(false),
    };
    section.finish();
    repeats
}

fn adapter(mut section: Section<'_>) -> Adapter {
    let zones = section.optional("zones", "a table of availability zones and their regions");
    let adapter = Adapter {
        platform: section.required("platform", "the platform \"store\"", AdapterKind::Store),
        ready: section.required("ready", ADDRESS, NO_ADDRESS),
        zones: zones.unwrap_or_default(),
    };
    section.finish();
    adapter
}

fn platform(mut section: Section<'_>) -> Platform {
    let platform = Platform { address: section.required("address", ADDRESS, NO_ADDRESS) };
    section.finish();
    platform
}

fn stop(mut section: Section<'_>) -> Stop {
    let stop = Stop { patience: section.duration("patience", SECOND..=24 * HOUR, 10 * MINUTE) };
    section.finish();
    stop
}

fn metrics(mut section: Section<'_>) -> MetricsSettings {
    let metrics = MetricsSettings { statsd: section.optional("statsd", ADDRESS) };
    section.finish();
    metrics
}

fn log(mut section: Section<'_>) -> Log {
    let level = section.optional("level", "one of \"error\", \"warn\", \"info\", \"debug\"");
    section.finish();
    Log { level: level.unwrap_or(LogLevel::Info) }
}

fn admission(mut section: Section<'_>) -> AdmissionSettings {
    let admission = AdmissionSettings { queue: section.optional_number("queue", 1..=100_000) };
    section.finish();
    admission
}

fn idempotency(mut section: Section<'_>) -> IdempotencySettings {
    let idempotency = IdempotencySettings {
        window: section.number("window", 4_096..=16_777_216, 1_048_576),
        running: section.number("running", 1..=1_048_576, 16_384),
        answer_bytes: section.number("answer_bytes", 0..=1_024 * MIB, 16 * MIB),
    };
    section.finish();
    idempotency
}

fn limits(mut section: Section<'_>) -> Limits {
    let limits = Limits {
        head_bytes: section.number("head_bytes", KIB..=MIB, 64 * KIB),
        max_deadline: section.duration("max_deadline", SECOND..=24 * HOUR, HOUR),
    };
    section.finish();
    limits
}

/// Reads the allowed failures per 10,000 requests.
fn objectives(mut section: Section<'_>) -> Objectives {
    let usual = Objectives::default();
    let objectives = Objectives {
        critical: section.number("critical", 1..=5_000, usual.critical),
        high: section.number("high", 1..=5_000, usual.high),
        normal: section.number("normal", 1..=5_000, usual.normal),
        deferrable: section.number("deferrable", 1..=5_000, usual.deferrable),
    };
    section.finish();
    objectives
}
