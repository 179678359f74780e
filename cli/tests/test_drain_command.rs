use insta::assert_snapshot;

use crate::command_line::endivescale;
use crate::fake_daemon::ClosedPort;
use crate::fake_daemon::FakeDaemon;

#[test]
fn drain_requested_twice() {
    let address = FakeDaemon::start("submission-a", 7).to_string();
    assert_snapshot!(endivescale(&["drain", &address]).text(&[]), @r#"
    exit code: 0
    INSTANCE      STATE     BEGAN NOW  IN PROGRESS
    submission-a  draining  yes        43
    "#);
    assert_snapshot!(endivescale(&["drain", &address]).text(&[]), @r#"
    exit code: 0
    INSTANCE      STATE     BEGAN NOW  IN PROGRESS
    submission-a  draining  no         43
    "#);
}

#[test]
fn drain_as_json() {
    let address = FakeDaemon::start("submission-a", 7);
    let output = endivescale(&["drain", "--json", &address.to_string()]);
    assert_snapshot!(output.text(&[(address, "ADDRESS")]), @r#"
    exit code: 0
    [
      {
        "address": "ADDRESS",
        "report": {
          "instance": "submission-a",
          "state": "draining",
          "began": true,
          "in_progress": 43
        }
      }
    ]
    "#);
}

#[test]
fn drain_of_unreachable_daemon() {
    let closed_port = ClosedPort::new();
    let address = closed_port.address();
    let output = endivescale(&["drain", &address.to_string()]);
    assert_snapshot!(output.text(&[(address, "ADDRESS")]), @r#"
    exit code: 3
    ADDRESS: cannot connect: Connection refused (os error 111); is the daemon running, and is this the address of its operator listener?
    "#);
}
