use std::path::Path;

use insta::assert_snapshot;

use crate::command_line::endivescale;

const BAD_RULES: &str = "\
submission POST /expressions/** criticality=urgent
listings GET /calls/** criticality=normal # asked by Bat
listings GET /calls/open criticality=high # asked by Bat
";

const BAD_SETTINGS: &str = "\
[daemon]
instance = \"listings-a\"
service = \"listings\"
zone = \"central-a\"
region = \"central\"
[listen]
caller = \"127.0.0.1:7001\"
upstream = \"127.0.0.1:7002\"
peer = \"127.0.0.1:7003\"
operator = \"127.0.0.1:7005\"
[upstream]
address = \"127.0.0.1:9001\"
slots = 0
conections = 10
[platform]
address = \"127.0.0.1:8500\"
";

fn write_file(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

#[test]
fn examples_have_no_problems() {
    let output = endivescale(&[
        "check",
        "examples/tsagaan.rules",
        "examples/co-operative.rules",
        "examples/listings-a.toml",
        "examples/balance-a.toml",
    ]);
    assert_snapshot!(output.text(&[]), @r#"
    exit code: 0
    examples/tsagaan.rules: ok, 10 rules
    examples/co-operative.rules: ok, 10 rules
    examples/listings-a.toml: ok, settings of listings-a for service listings
    examples/balance-a.toml: ok, settings of balance-a for service balance
    "#);
}

#[test]
fn lists_every_problem() {
    let dir = tempfile::tempdir().unwrap();
    let rules = write_file(dir.path(), "bad.rules", BAD_RULES);
    let settings = write_file(dir.path(), "bad.toml", BAD_SETTINGS);
    let output = endivescale(&["check", "--rules", &rules, "--settings", &settings]);
    let prefix = format!("{}/", dir.path().display());
    assert_snapshot!(output.text(&[]).replace(&prefix, ""), @r#"
    exit code: 1
    bad.rules:1:33: criticality cannot be urgent: 'criticality=urgent'
      hint: accepted values are critical, high, normal, deferrable
    bad.rules:1:51: the line does not say who asked for the rule
      hint: end the line with '# asked by NAME, why'
    bad.rules:3:1: the rule can never apply: line 2 already matches all its requests: 'listings GET /calls/open'
      hint: move this line above the other one, or delete it
    bad.rules: 3 problems
    bad.toml: listen.control: missing; expected an IP address and port, such as "127.0.0.1:7001"
    bad.toml: upstream.slots: 0 is out of range; accepted are 1 to 100000
    bad.toml: upstream.connections: missing; expected a whole number from 1 to 100000
    bad.toml: upstream.conections: unknown key; expected one of address, slots, connections
    bad.toml: 4 problems
    "#);
}

#[test]
fn problems_as_json() {
    let dir = tempfile::tempdir().unwrap();
    let rules = write_file(dir.path(), "bad.rules", BAD_RULES);
    let output = endivescale(&["check", "--json", &rules]);
    let prefix = format!("{}/", dir.path().display());
    assert_snapshot!(output.text(&[]).replace(&prefix, ""), @r#"
    exit code: 1
    {
      "files": [
        {
          "file": "bad.rules",
          "kind": "rules",
          "readable": true,
          "holds": null,
          "problems": [
            {
              "line": 1,
              "column": 33,
              "words": "criticality=urgent",
              "message": "criticality cannot be urgent",
              "hint": "accepted values are critical, high, normal, deferrable"
            },
            {
              "line": 1,
              "column": 51,
              "words": "",
              "message": "the line does not say who asked for the rule",
              "hint": "end the line with '# asked by NAME, why'"
            },
            {
              "line": 3,
              "column": 1,
              "words": "listings GET /calls/open",
              "message": "the rule can never apply: line 2 already matches all its requests",
              "hint": "move this line above the other one, or delete it"
            }
          ]
        }
      ]
    }
    "#);
}

#[test]
fn missing_file_exits_with_code_3() {
    let output = endivescale(&["check", "examples/absent.rules"]);
    assert_snapshot!(output.text(&[]), @r#"
    exit code: 3
    examples/absent.rules: cannot be read: No such file or directory (os error 2)
    examples/absent.rules: 1 problem
    "#);
}

#[test]
fn toml_syntax_error_shows_line_and_column() {
    let dir = tempfile::tempdir().unwrap();
    let settings = write_file(dir.path(), "broken.toml", "[daemon]\ninstance = \n");
    let output = endivescale(&["check", &settings]);
    let prefix = format!("{}/", dir.path().display());
    assert_snapshot!(output.text(&[]).replace(&prefix, ""), @r#"
    exit code: 1
    broken.toml: TOML parse error at line 2, column 12
      |
    2 | instance = 
      |            ^
    string values must be quoted, expected literal string
    broken.toml: 1 problem
    "#);
}

#[test]
fn check_without_files_is_wrong_usage() {
    assert_snapshot!(endivescale(&["check"]).text(&[]), @r#"
    exit code: 2
    endivescale: no file given
    Hint: 'endivescale check --help' describes the arguments
    "#);
}
