use insta::assert_snapshot;

use crate::command_line::endivescale;
use crate::fake_daemon::FakeDaemon;

fn explain(args: &[&str]) -> String {
    endivescale(&[&["explain"], args].concat()).text(&[])
}

#[test]
fn rule_of_a_submission() {
    let rules = "examples/tsagaan.rules";
    let text = explain(&["--rules", rules, "submission", "POST", "/expressions/17?draft=no"]);
    assert_snapshot!(text, @r#"
    exit code: 0
    FIELD        VALUE
    request      submission POST /expressions/17?draft=no
    served by    examples/tsagaan.rules, line 5
    asked by     Narantuya
    why          review panel desk
    criticality  critical
    weight       10
    idempotent   no
    retries      2 over the whole chain
    deadline     4s
    may wait     no
    "#);
}

#[test]
fn rule_of_a_gauge_reading_as_json() {
    let rules = "examples/co-operative.rules";
    let text = explain(&["--rules", rules, "--json", "gauging", "GET", "/gauges/t4"]);
    assert_snapshot!(text, @r#"
    exit code: 0
    {
      "source": "examples/co-operative.rules",
      "version": null,
      "service": "gauging",
      "method": "GET",
      "path": "/gauges/t4",
      "matched": true,
      "rule": {
        "line": 11,
        "text": "gauging GET,HEAD /gauges/** criticality=high weight=8 idempotent retries=1 deadline=800ms no-wait  # asked by Jo Burgess, gate office",
        "requested_by": "Jo Burgess",
        "reason": "gate office",
        "criticality": "high",
        "weight": 8,
        "idempotent": true,
        "retries": 1,
        "deadline": "800ms",
        "may_wait": false
      }
    }
    "#);
}

#[test]
fn request_that_no_rule_matches() {
    let text = explain(&["--rules", "examples/tsagaan.rules", "archive", "PATCH", "/packs/1"]);
    assert_snapshot!(text, @r#"
    exit code: 1
    FIELD        VALUE
    request      archive PATCH /packs/1
    served by    no line of examples/tsagaan.rules
    asked by     endivescale
    why          no line of the rules file matches
    criticality  deferrable
    weight       1
    idempotent   no
    retries      0 over the whole chain
    deadline     10s
    may wait     no
    "#);
}

#[test]
fn rule_in_force_at_a_daemon() {
    let address = FakeDaemon::start("submission-a", 7);
    let daemon = address.to_string();
    let output =
        endivescale(&["explain", "--daemon", &daemon, "submission", "POST", "/expressions/1"]);
    assert_snapshot!(output.text(&[(address, "ADDRESS")]), @r#"
    exit code: 0
    FIELD        VALUE
    request      submission POST /expressions/1
    served by    rules of ADDRESS version 7, line 1
    asked by     Narantuya
    why          (no reason given)
    criticality  critical
    weight       1
    idempotent   no
    retries      0 over the whole chain
    deadline     10s
    may wait     no
    "#);
}

macro_rules! wrong_usage {
    ($($name:ident: [$($arg:literal),*] => $message:literal;)*) => {$(
        #[test]
        fn $name() {
            let output = endivescale(&["explain", $($arg),*]);
            assert_eq!(output.code, 2);
            assert!(output.stderr.contains($message), "{}", output.stderr);
        }
    )*};
}

wrong_usage! {
    too_few_arguments: ["--rules", "examples/tsagaan.rules", "archive"] => "expected SERVICE METHOD PATH, found 1 arguments";
    neither_rules_nor_daemon: ["archive", "GET", "/packs"] => "expected either --rules or --daemon";
    path_without_leading_slash: ["--rules", "examples/tsagaan.rules", "archive", "GET", "packs"] => "'packs' is not a path";
    bad_method: ["--rules", "examples/tsagaan.rules", "archive", "G T", "/packs"] => "'G T' is not an HTTP method";
    unknown_option: ["--speed"] => "Unrecognized option: 'speed'";
}
