//! Stand-ins for clients, servers, routers and the operator, and the scripts that use them.
//!
//! `standin CASE FOLDER` starts the programs of the deploy file on loopback addresses, plays the case
//! and writes FOLDER/record.txt. It exits with 1 if the rule was broken, with 0 if it held, and with 2
//! if the case could not run. With `TROUBLE=0` the disruption is left out.

mod case_address;
mod case_leave;
mod case_order;
mod case_upgrade;
mod case_writer;
mod client;
mod cluster;
mod http;
mod packet;
mod proxy;
mod record;
mod server;
mod world;

use std::{env, panic, process, thread, time::Duration};

/// Longest time for which a case runs.
const LIMIT: Duration = Duration::from_secs(110);

/// The result of a case that could run.
pub enum Verdict {
    Held,
    Broken,
}

/// Returns whether the case is played with its disruption.
pub fn trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        process::exit(2);
    };
    record::open(folder);
    thread::spawn(|| {
        thread::sleep(LIMIT);
        record::note("the time limit has passed");
        end(2);
    });
    let play = match case.as_str() {
        "address" => case_address::play,
        "order" => case_order::play,
        "leave" => case_leave::play,
        "upgrade" => case_upgrade::play,
        "writer" => case_writer::play,
        _ => {
            eprintln!("there is no case {case}");
            process::exit(2);
        }
    };
    record::note(&format!("case {case}, trouble {}", trouble()));
    let code = match panic::catch_unwind(play) {
        Ok(Verdict::Held) => {
            record::note("result: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record::note("result: the rule was broken");
            1
        }
        Err(_) => {
            record::note("result: the case could not run");
            2
        }
    };
    end(code);
}

/// Ends all processes that were started, and this one.
fn end(code: i32) -> ! {
    cluster::end();
    process::exit(code);
}
