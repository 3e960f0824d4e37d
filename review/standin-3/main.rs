//! Cases of the third review: starts the programs of the deploy file with stand-ins for the
//! operator, servers and clients, and judges what these see.

mod case_removed;
mod case_seeds;
mod case_thawed;
mod case_unread;
mod cluster;
mod flows;
mod http;
mod operator;
mod record;
mod router;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::Path,
    process::ExitCode,
};

pub enum Outcome {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let trouble = !trouble;
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    record.line(format!("case {case}, trouble: {trouble}"));
    let run = || match case.as_str() {
        "seeds" => case_seeds::run(record.clone(), trouble),
        "unread" => case_unread::run(record.clone(), trouble),
        "thawed" => case_thawed::run(record.clone(), trouble),
        "removed" => case_removed::run(record.clone(), trouble),
        _ => Outcome::NotRun(format!("there is no case {case}")),
    };
    // An address in use, for example; the processes have ended by then.
    let outcome = catch_unwind(AssertUnwindSafe(run))
        .unwrap_or_else(|_| Outcome::NotRun("a stand-in failed".into()));
    match outcome {
        Outcome::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken(what) => {
            record.line(format!("the rule was broken: {what}"));
            ExitCode::from(1)
        }
        Outcome::NotRun(why) => {
            record.line(format!("the case could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
