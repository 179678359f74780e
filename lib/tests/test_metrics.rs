use std::net::UdpSocket;

use endivescale::process::DurationText;
use endivescale::process::config::TextHash;
use endivescale::process::config::VersionId;
use endivescale::process::log::StateChange;
use endivescale::process::metrics::Counter;
use endivescale::process::metrics::Metrics;
use endivescale::request::Reason;
use endivescale::version::rules::Rules;
use indexmap::IndexSet;

#[test]
fn every_counter_has_a_name_and_a_value_of_its_own() {
    let metrics = Metrics::new(None).unwrap();
    for (value, counter) in Counter::all().enumerate() {
        metrics.add(counter, value as u64 + 1);
    }
    let names: IndexSet<_> = Counter::all().map(|counter| counter.to_string()).collect();
    assert_eq!(names.len(), Counter::all().count());
    for (value, counter) in Counter::all().enumerate() {
        assert_eq!(metrics.get(counter), value as u64 + 1);
    }
}

#[test]
fn snapshot_leaves_out_what_never_counted() {
    let metrics = Metrics::new(None).unwrap();
    metrics.count(Counter::Refused(Reason::Overloaded));
    let snapshot = metrics.snapshot();
    assert_eq!(snapshot.into_iter().collect::<Vec<_>>(), [("refused.overloaded".to_owned(), 1)]);
}

#[test]
fn statsd_receives_differences() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    let metrics = Metrics::new(Some(server.local_addr().unwrap())).unwrap();
    let mut buf = [0; 512];
    for amount in [3, 4] {
        metrics.add(Counter::CompleteResponses, amount);
        metrics.flush();
        let length = server.recv(&mut buf).unwrap();
        let text = String::from_utf8_lossy(&buf[..length]);
        assert_eq!(text.trim(), format!("endivescale.answers.whole:{amount}|c"));
    }
}

#[test]
fn state_change_is_one_line() {
    let error = Rules::parse("rules", "a\nb\n").unwrap_err().to_string();
    let version = VersionId { number: 7, hash: TextHash::of("a") };
    let line = StateChange::VersionRefused { of: "rules", version, error }.to_string();
    assert!(line.starts_with("event=version-refused of=rules version=7"), "{line}");
    assert!(!line.contains('\n'));
}

macro_rules! durations {
    ($($name:ident: $text:literal => $millis:expr;)*) => {$(
        #[test]
        fn $name() {
            let parsed = $text.parse().map(|DurationText(duration)| duration.as_millis());
            assert_eq!(parsed.ok(), $millis);
        }
    )*};
}

durations! {
    milliseconds: "250ms" => Some(250);
    seconds: "2s" => Some(2_000);
    minutes: "10m" => Some(600_000);
    hours: "1h" => Some(3_600_000);
    no_unit: "5" => None;
    no_number: "s" => None;
    fraction: "1.5s" => None;
    sign: "-1s" => None;
    too_large: "99999999999999999h" => None;
}
