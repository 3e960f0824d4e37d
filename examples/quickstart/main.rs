//! The whole product on loopback addresses in one process: flows and requests run while a backend
//! server drains, an entry daemon restarts and an availability zone goes out and comes back.
//!
//! Ends with counts made by the stand-ins for callers and backend servers; the exit status is
//! zero only when nothing was broken, doubled, lost, untruly refused or misrouted.

use std::{process::ExitCode, sync::Arc, time::Duration};

use galenatrail::init_logging;
use tokio::time::sleep;

mod fleet;
mod flows;
mod outcome;
mod requests;

use fleet::Fleet;
use outcome::Outcome;

const FLOWS: u16 = 120;
const REQUESTERS: u16 = 6;
const STEP: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    init_logging("quickstart")?;
    let folder = std::env::temp_dir().join(format!("galenatrail-{}", std::process::id()));
    let fleet = Fleet::start(&folder).await?;
    let outcome = run(fleet).await;
    std::fs::remove_dir_all(&folder)?;
    let outcome = outcome?;
    println!("{}", outcome.table());
    println!("{}", outcome.line());
    Ok(if outcome.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run(mut fleet: Fleet) -> eyre::Result<Outcome> {
    say("started: 4 availability zones, 8 entry VMs, 18 backend servers");
    let callers = Arc::new(fleet.callers().await?);
    fleet.ready(&callers).await?;
    let flows = flows::start(&callers, FLOWS);
    let requests = requests::start(&callers, REQUESTERS);
    say("flows and requests run");
    sleep(STEP).await;

    fleet.drain("hub-3", true);
    say("backend server hub-3 drains");
    sleep(STEP).await;

    callers.note_loss();
    fleet.restart(2).await?;
    say("entry VM plovdiv-1 restarted without notice");
    sleep(STEP).await;

    callers.give_up("varna");
    fleet.zone("varna", true).await?;
    say("availability zone varna taken out");
    sleep(STEP).await;

    fleet.zone("varna", false).await?;
    fleet.drain("hub-3", false);
    say("availability zone varna and backend server hub-3 back in");
    sleep(STEP).await;

    callers.stop();
    say("no new flows or requests; the running ones end");
    let flows = flows::join(flows).await?;
    let requests = requests::join(requests).await?;
    Ok(Outcome::new(&fleet, &flows, requests))
}

fn say(text: &str) {
    println!("{text}");
}
