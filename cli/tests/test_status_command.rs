use insta::assert_snapshot;

use crate::command_line::endivescale;
use crate::fake_daemon::ClosedPort;
use crate::fake_daemon::FakeDaemon;
use crate::fake_daemon::LIMITED_INSTANCE;

#[test]
fn one_daemon_with_its_peers() {
    let address = FakeDaemon::start("submission-a", 7);
    let output = endivescale(&["status", &address.to_string()]);
    assert_snapshot!(output.text(&[(address, "ADDRESS")]), @r#"
    exit code: 0
    INSTANCE      SERVICE     ZONE       STATE    UP    RULES  VMS  LIMIT  BUSY  WAITING     LEVEL       TOKENS  PEERS
    submission-a  submission  central-a  serving  116m  7      3    31/40  31    2 critical  normal 50%  57      2 (1 lost)

    Refused or failed in the last 5m:
    INSTANCE      ROLE   SERVICE     CRITICALITY  REASON      OUTCOME  ORIGIN  COUNT
    submission-a  owner  submission  normal       overloaded  not-run  here    812

    Peers:
    INSTANCE      PEER        SERVICE   STANDING  OUTSTANDING  LEVEL
    submission-a  matching-a  matching  working   4            all
    submission-a  matching-b  matching  lost      0            -
    "#);
}

#[test]
fn several_daemons_with_different_versions_and_one_down() {
    let closed_port = ClosedPort::new();
    let addresses = [
        FakeDaemon::start("submission-a", 7),
        FakeDaemon::start("submission-b", 6),
        closed_port.address(),
    ];
    let [a, b, c] = addresses.map(|address| address.to_string());
    let output = endivescale(&["status", &a, &b, &c]);
    assert_snapshot!(output.text(&[(addresses[2], "ADDRESS")]), @r#"
    exit code: 3
    INSTANCE      SERVICE     ZONE       STATE    UP    RULES  VMS  LIMIT  BUSY  WAITING     LEVEL       TOKENS  PEERS
    submission-a  submission  central-a  serving  116m  7      3    31/40  31    2 critical  normal 50%  57      2 (1 lost)
    submission-b  submission  central-a  serving  116m  6      3    31/40  31    2 critical  normal 50%  57      2 (1 lost)

    Rules of different versions are in force: 7, 6

    Refused or failed in the last 5m:
    INSTANCE      ROLE   SERVICE     CRITICALITY  REASON      OUTCOME  ORIGIN  COUNT
    submission-a  owner  submission  normal       overloaded  not-run  here    812
    submission-b  owner  submission  normal       overloaded  not-run  here    812
    ADDRESS: cannot connect: Connection refused (os error 111); is the daemon running, and is this the address of its operator listener?
    "#);
}

#[test]
fn daemon_whose_upstream_states_a_limit() {
    let address = FakeDaemon::start(LIMITED_INSTANCE, 7);
    let output = endivescale(&["status", &address.to_string()]).text(&[(address, "ADDRESS")]);
    let row = output.lines().find(|line| line.starts_with(LIMITED_INSTANCE)).unwrap();
    assert!(row.contains(" 31/40, 33.2/s "), "{row}");
}

#[test]
fn what_clients_hold_is_shown_against_its_bounds() {
    let address = FakeDaemon::start(LIMITED_INSTANCE, 7);
    let output = endivescale(&["status", &address.to_string()]).text(&[(address, "ADDRESS")]);
    let rows = output.lines().skip_while(|line| *line != "Held for clients:").skip(1);
    let rows: Vec<_> = rows.take(2).collect();
    assert_snapshot!(rows.join("\n"), @r"
    INSTANCE            CONNECTIONS  HELD MB    IDLE  INPUT  REQUESTS  RESPONSES  SOCKETS  OF DAEMONS MB
    submission-limited  120/1950     26.5/64.0  2.0   0.0    24.0      0.5        0.0      0.0/24.0
    ");
}

#[test]
fn status_as_json() {
    let address = FakeDaemon::start("submission-a", 7);
    let output = endivescale(&["status", "--json", &address.to_string()]);
    assert_snapshot!(output.text(&[(address, "ADDRESS")]), @r#"
    exit code: 0
    [
      {
        "address": "ADDRESS",
        "report": {
          "instance": "submission-a",
          "service": "submission",
          "zone": "central-a",
          "region": "central",
          "incarnation": "000000000000feed",
          "program": "0.1.0",
          "uptime_ms": 7000000,
          "state": "serving",
          "in_progress": 43,
          "rules": {
            "version": 7,
            "rules": 10
          },
          "vms": {
            "version": 3,
            "vms": 12
          },
          "admission": {
            "limit": 31,
            "slots": 40,
            "in_progress": 31,
            "queues": [
              {
                "criticality": "critical",
                "waiting": 2
              },
              {
                "criticality": "normal",
                "waiting": 0
              }
            ],
            "level": "normal 50%"
          },
          "tokens": {
            "used": 57,
            "kept_answers": 50,
            "bytes": 40000
          },
          "peers": [
            {
              "instance": "matching-a",
              "service": "matching",
              "standing": "working",
              "outstanding": 4,
              "level": "all"
            },
            {
              "instance": "matching-b",
              "service": "matching",
              "standing": "lost",
              "outstanding": 0,
              "level": null
            }
          ],
          "refusals": [
            {
              "role": "owner",
              "service": "submission",
              "criticality": "normal",
              "fault": "overloaded",
              "outcome": "not-run",
              "origin": "here",
              "count": 812
            }
          ]
        }
      }
    ]
    "#);
}

#[test]
fn invalid_address() {
    assert_snapshot!(endivescale(&["status", "submission-a"]).text(&[]), @r#"
    exit code: 2
    endivescale: 'submission-a' is not an address; expected an IP address and port
    Hint: 'endivescale status --help' describes the arguments
    "#);
}
