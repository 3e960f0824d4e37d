//! Runs a complete deployment on loopback addresses in one process: callers open flows and send
//! requests while a backend server drains, an entry VM restarts, and an availability zone is taken
//! out and put back.
//!
//! Prints the counts of the simulated callers and backend servers at the end. The exit status is
//! zero only if flows and requests were served, no flow broke, no request ran twice, was lost or
//! was refused although it ran, no packet was misrouted, and no server exceeded its limit on
//! concurrent requests.

use std::{process::ExitCode, sync::Arc, time::Duration};

use galenatrail::init_logging;
use tokio::time::sleep;

mod fleet;
mod flows;
mod outcome;
mod requests;

use fleet::Fleet;
use outcome::Outcome;

const FLOW_CALLERS: u16 = 120;
const REQUEST_CALLERS: u16 = 6;
const STEP_DURATION: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    init_logging("quickstart")?;
    let folder = std::env::temp_dir().join(format!("galenatrail-{}", std::process::id()));
    let fleet = Fleet::start(&folder).await?;
    let outcome = run(fleet).await;
    std::fs::remove_dir_all(&folder)?;
    let outcome = outcome?;
    println!("{}", outcome.table());
    println!("{}", outcome.summary());
    Ok(if outcome.is_clean() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run(mut fleet: Fleet) -> eyre::Result<Outcome> {
    report_step("started: 4 availability zones, 8 entry VMs, 18 backend servers");
    let context = Arc::new(fleet.caller_context().await?);
    fleet.wait_until_ready(&context).await?;
    let flows = flows::start(&context, FLOW_CALLERS);
    let requests = requests::start(&context, REQUEST_CALLERS);
    report_step("flows and requests run");
    sleep(STEP_DURATION).await;

    fleet.set_draining("hub-3", true);
    report_step("backend server hub-3 drains");
    sleep(STEP_DURATION).await;

    context.record_entry_abort();
    fleet.restart(2).await?;
    report_step("entry VM plovdiv-1 restarted without notice");
    sleep(STEP_DURATION).await;

    context.record_zone_out("varna");
    fleet.set_zone_out("varna", true).await?;
    report_step("availability zone varna taken out");
    sleep(STEP_DURATION).await;

    fleet.set_zone_out("varna", false).await?;
    fleet.set_draining("hub-3", false);
    report_step("availability zone varna and backend server hub-3 back in");
    sleep(STEP_DURATION).await;

    context.stop();
    report_step("no new flows or requests; the running ones end");
    let flows = flows::join(flows).await?;
    let requests = requests::join(requests).await?;
    Ok(Outcome::new(&fleet, &flows, requests))
}

fn report_step(text: &str) {
    println!("{text}");
}
