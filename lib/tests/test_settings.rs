use std::time::Duration;

use endivescale::process::settings::Problem;
use endivescale::process::settings::Settings;
use endivescale::process::settings::SettingsChange;
use endivescale::process::settings::SettingsError;

const COMPLETE: &str = r#"
[daemon]
instance = "listings-a"
service = "listings"
zone = "central-a"
region = "central"
[listen]
caller = "127.0.0.1:7001"
upstream = "127.0.0.1:7002"
peer = "127.0.0.1:7003"
control = "127.0.0.1:7004"
operator = "127.0.0.1:7005"
[upstream]
address = "127.0.0.1:9001"
slots = 40
connections = 320
[platform]
address = "127.0.0.1:8500"
[stop]
patience = "90s"
"#;

fn problems(text: &str) -> Vec<Problem> {
    match Settings::parse("a.toml", text) {
        Err(SettingsError::Invalid { problems, .. }) => problems,
        other => panic!("expected problems, got {other:?}"),
    }
}

#[test]
fn complete_settings_are_read_with_defaults() {
    let settings = Settings::parse("a.toml", COMPLETE).unwrap();
    assert_eq!(settings.stop.patience, Duration::from_secs(90));
    assert_eq!(settings.upstream.slots, 40);
    assert_eq!(settings.limits.max_deadline, Duration::from_secs(60 * 60));
    assert_eq!(settings.metrics.statsd, None);
}

#[test]
fn printed_settings_parse_back() {
    let settings = Settings::parse("a.toml", COMPLETE).unwrap();
    assert_eq!(Settings::parse("b.toml", &settings.to_string()).unwrap(), settings);
}

#[test]
fn every_problem_is_listed_at_once() {
    let text = COMPLETE.replace("slots = 40", "slotz = 40").replace("control =", "# control =");
    let found: Vec<_> = problems(&text).iter().map(Problem::to_string).collect();
    insta::assert_snapshot!(found.join("\n"), @r#"
    listen.control: missing; expected an IP address and port, such as "127.0.0.1:7001"
    upstream.slots: missing; expected a whole number from 1 to 100000
    upstream.slotz: unknown key; expected one of address, slots, connections
    "#);
}

#[test]
fn broken_toml_is_refused_with_its_place() {
    let error = Settings::parse("a.toml", "[daemon\n").unwrap_err();
    assert!(matches!(error, SettingsError::Syntax { .. }));
    assert!(error.to_string().contains("line 1"), "{error}");
}

macro_rules! refused {
    ($($name:ident: $from:literal => $to:literal, $message:literal;)*) => {$(
        #[test]
        fn $name() {
            let text = COMPLETE.replace($from, $to);
            assert_ne!(text, COMPLETE);
            let found: Vec<_> = problems(&text).iter().map(Problem::to_string).collect();
            assert_eq!(found, [$message]);
        }
    )*};
}

refused! {
    unknown_section: "[stop]" => "[halt]\n[stop]",
        "halt: unknown key; expected one of daemon, listen, upstream, platform, stop, metrics, \
         log, admission, idempotency, limits, resources, objectives, repeats, customers, adapter";
    wrong_type: "slots = 40" => "slots = \"forty\"",
        "upstream.slots: \"forty\" cannot be used; expected a whole number from 1 to 100000";
    host_name_in_place_of_address: "127.0.0.1:8500" => "platform:8500",
        "platform.address: \"platform:8500\" cannot be used; expected an IP address and port, \
         such as \"127.0.0.1:7001\"";
    number_out_of_range: "slots = 40" => "slots = 0",
        "upstream.slots: 0 is out of range; accepted are 1 to 100000";
    duration_without_unit: "\"90s\"" => "\"90\"",
        "stop.patience: \"90\" cannot be used; expected a duration from \"1s\" to \"24h\"";
    duration_out_of_range: "\"90s\"" => "\"2ms\"",
        "stop.patience: 2ms is out of range; accepted are 1s to 24h";
    empty_name: "\"listings-a\"" => "\"\"",
        "daemon.instance: \"\" cannot be used; expected a name of letters, digits, '-', '_' and \
         '.'";
    listener_used_twice: "127.0.0.1:7002" => "127.0.0.1:7001",
        "listen.upstream: 127.0.0.1:7001 contradicts listen.caller = 127.0.0.1:7001; accepted is \
         an address of its own for each listener";
    daemon_as_its_own_upstream: "127.0.0.1:9001" => "127.0.0.1:7001",
        "upstream.address: 127.0.0.1:7001 contradicts listen.caller = 127.0.0.1:7001; accepted \
         is the address of the upstream's own process";
    fewer_connections_than_slots: "connections = 320" => "connections = 30",
        "upstream.connections: 30 contradicts upstream.slots = 40; accepted is 40 to 100000";
    looser_objective_for_critical: "[stop]" => "[objectives]\ncritical = 60\n[stop]",
        "objectives.critical: 60 contradicts objectives.high = 50; accepted is 1 to 50";
    withdrawal_that_nothing_can_keep: "[stop]" => "[customers]\nwithdrawal = \"5s\"\n[stop]",
        "customers.withdrawal: 5s contradicts adapter = none; accepted is no bound without a \
         section [adapter]";
    queue_without_a_place: "[stop]" => "[admission]\nqueue = 0\n[stop]",
        "admission.queue: 0 is out of range; accepted are 1 to 100000";
}

#[test]
fn reload_tells_what_takes_effect_when() {
    let repeats = "[repeats]\nratio = 0.2\nslack = 47\n";
    let old = Settings::parse("old", &format!("{COMPLETE}{repeats}")).unwrap();
    let text = format!("{COMPLETE}{}", repeats.replace("47", "92.5"));
    let new = Settings::parse("new", &text.replace("slots = 40", "slots = 41")).unwrap();
    let change = SettingsChange::between(&old, &new);
    assert_eq!(change.at_once, ["repeats.slack"]);
    assert_eq!(change.at_next_start, ["upstream.slots"]);
    assert!(SettingsChange::between(&new, &new).is_empty());
}
