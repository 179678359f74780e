use insta::assert_snapshot;

use crate::command_line::endivescale;

#[test]
fn overview() {
    assert_snapshot!(endivescale(&["help"]).text(&[]), @r#"
    exit code: 0
    The operators' client of endivescale.

    Usage: endivescale COMMAND [OPTIONS] [ARGUMENTS]

    Commands:
      check    check rules and settings files
      explain  show the rule that a request matches, and who requested it
      status   show what daemons are doing, and why they refuse requests
      burn     show how fast each class uses up its error budget
      trace    show what happened to one request, from the logs of daemons
      drain    tell daemons to finish the requests in progress and stop

    'endivescale COMMAND --help' describes the options of a command.

    Exit codes:
      0  done, and nothing is wrong
      1  done, and something is wrong: a fault in a file, no rule that matches
      2  wrong usage
      3  not done: a file cannot be read, a daemon does not answer
    "#);
}

#[test]
fn unknown_command() {
    assert_snapshot!(endivescale(&["restart"]).text(&[]), @r#"
    exit code: 2
    endivescale: 'restart' is not a command
    Hint: 'endivescale help' lists the commands
    "#);
}

#[test]
fn no_command() {
    assert_snapshot!(endivescale(&[]).text(&[]), @r#"
    exit code: 2
    endivescale: no command given
    Hint: 'endivescale help' lists the commands
    "#);
}

macro_rules! help {
    ($($name:ident: $command:literal;)*) => {$(
        #[test]
        fn $name() {
            let ran = endivescale(&[$command, "--help"]);
            assert_eq!(ran.code, 0);
            assert_snapshot!(stringify!($name), ran.stdout);
        }
    )*};
}

help! {
    help_of_check: "check";
    help_of_explain: "explain";
    help_of_status: "status";
    help_of_burn: "burn";
    help_of_drain: "drain";
    help_of_trace: "trace";
}
