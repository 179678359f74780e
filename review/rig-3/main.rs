//! Stand-ins for the cases of this review: the platform's store, instances, clients and a proxy,
//! written from the users' pages with the standard library alone.
//!
//! `rig CASE FOLDER` plays one case: 0 if the rule held, 1 if it was broken, 2 if it could not run.

mod cases;
mod client;
mod daemons;
mod dark;
mod http;
mod instance;
mod record;
mod store;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("rig CASE FOLDER");
        return ExitCode::from(2);
    };
    daemons::watch_time();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = std::sync::Arc::new(record::Record::new());
    let result = cases::play(case, has_trouble, &record);
    let verdict = match &result {
        Ok(true) => "held".to_owned(),
        Ok(false) => "BROKEN".to_owned(),
        Err(problem) => format!("could not run: {problem}"),
    };
    record.add(&format!("verdict: {verdict}"));
    println!("{case}: trouble={has_trouble} {verdict}");
    if let Err(err) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("cannot write the record: {err}");
        return ExitCode::from(2);
    }
    ExitCode::from(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(_) => 2,
    })
}
