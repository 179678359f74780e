//! `endivescale check`: checks rules and settings files.

use std::path::Path;

use endivescale::operators::CheckReport;
use endivescale::operators::FileReport;
use endivescale::operators::check_rules;
use endivescale::operators::check_settings;
use getopts::Options;

use super::Arguments;
use super::CommandError;
use super::ExitStatus;
use super::Help;
use super::Output;
use super::error::ArgumentProblem;

const HELP: Help = Help {
    command: "check",
    usage: "[--rules FILE]... [--settings FILE]... [FILE]...",
    about: "Checks rules and settings files and lists every fault.",
    notes: "\
A FILE without an option is a settings file if its name ends in '.toml', and a
rules file otherwise. No file is changed and no daemon is contacted.

Exit codes: 0 no file has faults, 1 a file has faults, 2 wrong usage, 3 a file
cannot be read.
",
};

pub(super) fn run(args: &[String]) -> Result<Output, CommandError> {
    let mut opts = Options::new();
    opts.optmulti("", "rules", "check a rules file", "FILE");
    opts.optmulti("", "settings", "check the settings file of a daemon", "FILE");
    let args = match Arguments::parse(HELP, opts, args)? {
        Ok(args) => args,
        Err(help) => return Ok(help),
    };
    let mut files: Vec<_> = args.values("rules").iter().map(rules_report).collect();
    files.extend(args.values("settings").iter().map(settings_report));
    files.extend(args.positional().iter().map(|file| match file.ends_with(".toml") {
        true => settings_report(file),
        false => rules_report(file),
    }));
    if files.is_empty() {
        return Err(args.usage_error(ArgumentProblem::MissingFile));
    }
    let report = CheckReport { files };
    let exit_status = match (report.is_readable(), report.is_valid()) {
        (false, _) => ExitStatus::Incomplete,
        (true, false) => ExitStatus::Fault,
        (true, true) => ExitStatus::Success,
    };
    Ok(args.output(&report, exit_status))
}

fn rules_report(file: &String) -> FileReport {
    check_rules(Path::new(file))
}

fn settings_report(file: &String) -> FileReport {
    check_settings(Path::new(file))
}
