//! Stand-ins of the second review: starts the programs of the deploy file on loopback addresses and
//! plays operators, servers and callers. `main CASE FOLDER` writes `record.txt` into FOLDER and exits
//! with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

use std::{
    env,
    panic::{self, AssertUnwindSafe},
    path::PathBuf,
    process::ExitCode,
};

mod case_bytes;
mod case_first;
mod case_invalid;
mod case_replaced;
mod cluster;
mod flow;

use cluster::Record;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

fn main() -> ExitCode {
    let args: Vec<_> = env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: main CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record::create(&PathBuf::from(folder).join("record.txt"));
    // A panic, as without the programs, ends the processes that were started.
    let verdict = panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "bytes" => case_bytes::run(&mut record, trouble),
        "invalid" => case_invalid::run(&mut record, trouble),
        "first" => case_first::run(&mut record, trouble),
        "replaced" => case_replaced::run(&mut record, trouble),
        _ => Verdict::NotRun,
    }));
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    let (code, text) = match verdict {
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::Held => (0, "the rule held"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.line(text);
    ExitCode::from(code)
}
