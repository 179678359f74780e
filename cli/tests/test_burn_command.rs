use insta::assert_snapshot;

use crate::command_line::endivescale;
use crate::fake_daemon::ClosedPort;
use crate::fake_daemon::FakeDaemon;

#[test]
fn sums_over_several_daemons() {
    let daemons = ["submission-a", "submission-b"].map(|name| FakeDaemon::start(name, 7));
    let [a, b] = daemons.map(|address| address.to_string());
    let output = endivescale(&["burn", &a, &b]);
    assert_snapshot!(output.text(&[]), @r#"
    exit code: 0
    ROLE   SERVICE     CRITICALITY  REQUESTS  FAILED  CANCELLED  BURN 5s  BURN 1m  BURN 5m  BURN 1h  P50     P99
    entry  submission  critical     200       0       0          0.00     0.00     0.00     0.00     80.4ms  109.1ms
    entry  listings    normal       200       20      0          0.00     10.00    10.00    10.00    80.4ms  109.1ms
    owner  submission  normal       2         2       2          100.00   100.00   100.00   100.00   -       -

    Refused or failed in the last 5m:
    ROLE   SERVICE     CRITICALITY  REASON      OUTCOME  ORIGIN  COUNT
    entry  listings    normal       overloaded  not-run  below   20
    owner  submission  normal       overloaded  not-run  here    2
    "#);
}

#[test]
fn burn_of_one_role_as_json() {
    let address = FakeDaemon::start("submission-a", 7).to_string();
    let output = endivescale(&["burn", "--role", "owner", "--json", &address]);
    assert_snapshot!(output.text(&[]), @r#"
    exit code: 0
    {
      "instances": [
        "submission-a"
      ],
      "classes": [
        {
          "role": "owner",
          "service": "submission",
          "criticality": "normal",
          "allowed_per_10k": 100,
          "windows": [
            {
              "window": "5s",
              "requests": 1,
              "failed": 1,
              "cancelled": 1,
              "weight": 1,
              "weight_failed": 1,
              "burn_rate": 100.0
            },
            {
              "window": "1m",
              "requests": 1,
              "failed": 1,
              "cancelled": 1,
              "weight": 1,
              "weight_failed": 1,
              "burn_rate": 100.0
            },
            {
              "window": "5m",
              "requests": 1,
              "failed": 1,
              "cancelled": 1,
              "weight": 1,
              "weight_failed": 1,
              "burn_rate": 100.0
            },
            {
              "window": "1h",
              "requests": 1,
              "failed": 1,
              "cancelled": 1,
              "weight": 1,
              "weight_failed": 1,
              "burn_rate": 100.0
            }
          ],
          "p50_us": null,
          "p99_us": null
        }
      ],
      "causes": [
        {
          "role": "owner",
          "service": "submission",
          "criticality": "normal",
          "fault": "overloaded",
          "outcome": "not-run",
          "origin": "here",
          "count": 1
        }
      ],
      "unanswered": []
    }
    "#);
}

#[test]
fn unreachable_daemon() {
    let closed_port = ClosedPort::new();
    let address = closed_port.address();
    let output = endivescale(&["burn", &address.to_string()]);
    assert_snapshot!(output.text(&[(address, "ADDRESS")]), @r#"
    exit code: 3
    ADDRESS: cannot connect: Connection refused (os error 111); is the daemon running, and is this the address of its operator listener?
    "#);
}

#[test]
fn unknown_role() {
    let output = endivescale(&["burn", "--role", "everyone", "127.0.0.1:1"]);
    assert_snapshot!(output.text(&[]), @r#"
    exit code: 2
    endivescale: 'everyone' is not a role; expected entry, outbound or owner
    Hint: 'endivescale burn --help' describes the arguments
    "#);
}
