use insta::assert_snapshot;
use tempfile::TempDir;

use crate::command_line::endivescale;

/// Log of the daemon that received the request from its caller.
const ENTRY: &str = "\
time=2026-01-02T08:31:10.100 level=info event=started instance=vm-a incarnation=7
time=2026-01-02T08:31:12.300 level=info event=sent-elsewhere request=r1 chain=c1 service=board criticality=normal depth=0 hash=7 repeat=0 failed_at=i-1 reason=upstream-shed outcome=not-run origin=below
time=2026-01-02T08:31:12.301 level=info event=refused request=r2 chain=c2 service=board criticality=normal depth=0 hash=9 repeat=0 role=entry reason=overloaded outcome=not-run origin=here after_ms=0 retry_after_ms=400
time=2026-01-02T08:31:13.000 level=info event=lines-left-out of=refused left_out=12
";

/// Log of the daemon of the upstream that made a call for the request.
const OWNER: &str = "\
time=2026-01-02T08:31:12.500 level=warn event=catalog-lost topic=policy error=\"no \\\"answer\\\" came\"
time=2026-01-02T08:31:12.600 level=info event=refused request=r1.1 chain=c1 service=alerts criticality=normal depth=1 hash=7 repeat=1 role=owner reason=retries-spent outcome=not-run origin=here after_ms=3
time=2026-01-02T08:31:12.601 level=info event=refused request=r1.1 chain=c1 service=alerts criticality=normal depth=1 hash=7 repeat=1 role=entry reason=retries-spent outcome=not-run origin=below after_ms=4
this is no line of a daemon
";

fn trace(args: &[&str]) -> String {
    let dir = TempDir::new().unwrap();
    let write_file = |name: &str, text: &str| {
        std::fs::write(dir.path().join(name), text).unwrap();
        dir.path().join(name).display().to_string()
    };
    let (entry, owner) = (write_file("vm-a.log", ENTRY), write_file("vm-b.log", OWNER));
    endivescale(&[&["trace"], args, &[entry.as_str(), owner.as_str()]].concat()).text(&[])
}

#[test]
fn lines_of_a_request_and_its_calls_in_order() {
    assert_snapshot!(trace(&["r1"]));
}

#[test]
fn chain_id_selects_the_same_lines() {
    assert_eq!(trace(&["r1"]), trace(&["c1"]).replace("of c1", "of r1"));
}

#[test]
fn lines_as_json() {
    assert_snapshot!(trace(&["--json", "r2"]));
}

#[test]
fn request_without_matching_lines() {
    assert_snapshot!(trace(&["r9"]), @r#"
    exit code: 3
    endivescale: no line in 2 files names 'r9', and 12 lines were left out
    Hint: give the logs of all daemons that the request may have reached
    "#);
}

#[test]
fn no_files() {
    let output = endivescale(&["trace", "r1"]);
    assert_eq!(output.code, 2);
    assert!(output.stderr.contains("no file given"), "{}", output.stderr);
}
