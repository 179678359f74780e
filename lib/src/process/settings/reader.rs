//! Reads the sections of a settings file, and defines the defaults and accepted ranges
//! of their keys.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use toml::Table;

use super::Adapter;
use super::AdapterKind;
use super::AdmissionSettings;
use super::CustomerSettings;
use super::Daemon;
use super::IdempotencySettings;
use super::Limits;
use super::Listen;
use super::Log;
use super::LogLevel;
use super::MetricsSettings;
use super::Platform;
use super::RepeatSettings;
use super::ResourceSettings;
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
                        idempotency, limits, resources, objectives, repeats, customers, adapter";

/// Description of a valid name, for problem reports.
const EXPECTED_NAME: &str = "a name of letters, digits, '-', '_' and '.'";
/// Description of a valid address, for problem reports.
const EXPECTED_ADDRESS: &str = "an IP address and port, such as \"127.0.0.1:7001\"";

/// Default of `upstream.slots` with an adapter, in force until the platform's entry of
/// the upstream states the number.
const DEFAULT_ADAPTER_SLOTS: u32 = 16;
/// Default of `upstream.connections` with an adapter. The limit on slots takes effect
/// first, so that this one need only be high enough.
const DEFAULT_ADAPTER_CONNECTIONS: u32 = 4_096;

/// Default of `limits.stall_timeout`: longer than any deadline of the deployments.
const DEFAULT_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of `resources.memory_mb`: the smallest VM of the deployments.
const DEFAULT_MEMORY_MB: u64 = 160;
/// Default of `resources.descriptors`, as for [`DEFAULT_MEMORY_MB`].
const DEFAULT_DESCRIPTORS: u32 = 4_096;

/// Placeholder for a missing or invalid address.
const PLACEHOLDER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Reads settings from a parsed file. The settings are valid only if no problems are
/// returned, since values with problems are replaced by placeholders.
pub(super) fn read(mut file: Table) -> (Settings, Vec<Problem>) {
    let mut problems = Vec::new();
    let has_adapter = file.contains_key("adapter");
    let settings = Settings {
        daemon: daemon(Section::take(&mut file, "daemon", &mut problems)),
        listen: listen(Section::take(&mut file, "listen", &mut problems), has_adapter),
        upstream: upstream(Section::take(&mut file, "upstream", &mut problems), has_adapter),
        platform: platform(Section::take(&mut file, "platform", &mut problems)),
        stop: stop(Section::take(&mut file, "stop", &mut problems)),
        metrics: metrics(Section::take(&mut file, "metrics", &mut problems)),
        log: log(Section::take(&mut file, "log", &mut problems)),
        admission: admission(Section::take(&mut file, "admission", &mut problems)),
        idempotency: idempotency(Section::take(&mut file, "idempotency", &mut problems)),
        limits: limits(Section::take(&mut file, "limits", &mut problems)),
        resources: resources(Section::take(&mut file, "resources", &mut problems)),
        objectives: objectives(Section::take(&mut file, "objectives", &mut problems)),
        repeats: repeats(Section::take(&mut file, "repeats", &mut problems)),
        customers: customers(Section::take(&mut file, "customers", &mut problems)),
        adapter: has_adapter.then(|| adapter(Section::take(&mut file, "adapter", &mut problems))),
    };
    for key in file.keys() {
        let expected = SECTIONS.to_owned();
        problems.push(Problem::UnknownKey { key: key.clone(), expected });
    }
    (settings, problems)
}

fn daemon(mut section: Section<'_>) -> Daemon {
    let daemon = Daemon {
        instance: section.required("instance", EXPECTED_NAME, "".into()),
        service: section.required("service", EXPECTED_NAME, "".into()),
        zone: section.required("zone", EXPECTED_NAME, "".into()),
        region: section.required("region", EXPECTED_NAME, Region::from("")),
    };
    section.finish();
    daemon
}

fn listen(mut section: Section<'_>, has_adapter: bool) -> Listen {
    let mut address = |key| section.required(key, EXPECTED_ADDRESS, PLACEHOLDER_ADDRESS);
    let caller = address("caller");
    let upstream = (!has_adapter).then(|| address("upstream"));
    let peer = address("peer");
    let operator = address("operator");
    let control = match has_adapter {
        true => section.optional("control", EXPECTED_ADDRESS),
        false => Some(section.required("control", EXPECTED_ADDRESS, PLACEHOLDER_ADDRESS)),
    };
    let listen = Listen { caller, upstream, peer, control, operator };
    section.finish();
    listen
}

fn upstream(mut section: Section<'_>, has_adapter: bool) -> Upstream {
    let address = section.required("address", EXPECTED_ADDRESS, PLACEHOLDER_ADDRESS);
    let mut number = |key, default| match has_adapter {
        true => section.number_or_default(key, 1..=100_000, default),
        false => section.required_number(key, 1..=100_000),
    };
    let upstream = Upstream {
        address,
        slots: number("slots", DEFAULT_ADAPTER_SLOTS),
        connections: number("connections", DEFAULT_ADAPTER_CONNECTIONS),
    };
    section.finish();
    upstream
}

/// Reads the bound on repeats; a part that is not set allows none. Without either part there is
/// no bound.
fn repeats(mut section: Section<'_>) -> Option<RepeatSettings> {
    let ratio = section.optional_float("ratio", 0.0..=10.0);
    let slack = section.optional_float("slack", 0.0..=1e6);
    let window = section.duration("window", SECOND..=HOUR, 10 * SECOND);
    let first_start = section.optional("first_start", "true or false").unwrap_or(false);
    section.finish();
    let is_bounded = ratio.is_some() || slack.is_some();
    is_bounded.then(|| RepeatSettings {
        ratio: ratio.unwrap_or_default(),
        slack: slack.unwrap_or_default(),
        window,
        first_start,
    })
}

fn customers(mut section: Section<'_>) -> CustomerSettings {
    let withdrawal = section.optional_duration("withdrawal", SECOND..=HOUR);
    section.finish();
    CustomerSettings { withdrawal }
}

fn adapter(mut section: Section<'_>) -> Adapter {
    let zones = section.optional("zones", "a table of availability zones and their regions");
    let adapter = Adapter {
        platform: section.required("platform", "the platform \"store\"", AdapterKind::Store),
        ready: section.required("ready", EXPECTED_ADDRESS, PLACEHOLDER_ADDRESS),
        zones: zones.unwrap_or_default(),
    };
    section.finish();
    adapter
}

fn platform(mut section: Section<'_>) -> Platform {
    let platform =
        Platform { address: section.required("address", EXPECTED_ADDRESS, PLACEHOLDER_ADDRESS) };
    section.finish();
    platform
}

fn stop(mut section: Section<'_>) -> Stop {
    let stop = Stop { patience: section.duration("patience", SECOND..=24 * HOUR, 10 * MINUTE) };
    section.finish();
    stop
}

fn metrics(mut section: Section<'_>) -> MetricsSettings {
    let metrics = MetricsSettings { statsd: section.optional("statsd", EXPECTED_ADDRESS) };
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
        window: section.number_or_default("window", 4_096..=16_777_216, 1_048_576),
        running: section.number_or_default("running", 1..=1_048_576, 16_384),
        answer_bytes: section.number_or_default("answer_bytes", 0..=1_024 * MIB, 16 * MIB),
    };
    section.finish();
    idempotency
}

fn limits(mut section: Section<'_>) -> Limits {
    let limits = Limits {
        head_bytes: section.number_or_default("head_bytes", KIB..=MIB, 64 * KIB),
        max_deadline: section.duration("max_deadline", SECOND..=24 * HOUR, HOUR),
        stall_timeout: section.duration("stall_timeout", SECOND..=HOUR, DEFAULT_STALL_TIMEOUT),
    };
    section.finish();
    limits
}

fn resources(mut section: Section<'_>) -> ResourceSettings {
    let resources = ResourceSettings {
        memory_mb: section.number_or_default("memory_mb", 64..=1_048_576, DEFAULT_MEMORY_MB),
        descriptors: section.number_or_default("descriptors", 300..=1_048_576, DEFAULT_DESCRIPTORS),
    };
    section.finish();
    resources
}

/// Reads the allowed failures per 10,000 requests.
fn objectives(mut section: Section<'_>) -> Objectives {
    let defaults = Objectives::default();
    let objectives = Objectives {
        critical: section.number_or_default("critical", 1..=5_000, defaults.critical),
        high: section.number_or_default("high", 1..=5_000, defaults.high),
        normal: section.number_or_default("normal", 1..=5_000, defaults.normal),
        deferrable: section.number_or_default("deferrable", 1..=5_000, defaults.deferrable),
    };
    section.finish();
    objectives
}
