//! Runs a complete deployment on loopback addresses in one process: callers open flows and send
//! requests while a backend server drains, an entry VM restarts, and an availability zone is taken
//! out and put back.
//!
//! Prints one line with counts for each phase, and the counts of the simulated callers and backend
//! servers at the end. The exit status is
//! zero only if flows and requests were served, no flow broke, no request ran twice, was lost or
//! was refused although it ran, no packet was misrouted, and no server exceeded its limit on
//! concurrent requests.

use std::{process::ExitCode, sync::Arc, time::Duration};

use galenatrail::init_logging;
use tokio::time::sleep;

mod fleet;
mod flows;
mod outcome;
mod progress;
mod requests;

use fleet::Fleet;
use flows::CallerContext;
use outcome::Outcome;

const FLOW_CALLERS: u16 = 120;
const REQUEST_CALLERS: u16 = 6;
const STEP_DURATION: Duration = Duration::from_secs(4);

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
    let context = Arc::new(fleet.caller_context().await?);
    fleet.wait_until_ready(&context).await?;
    println!("started: 4 availability zones, 8 entry VMs, 18 backend servers");
    let flows = flows::start(&context, FLOW_CALLERS);
    let requests = requests::start(&context, REQUEST_CALLERS);
    run_phase(&context, "flows and requests run").await;

    fleet.set_draining("hub-3", true);
    run_phase(&context, "backend server hub-3 drains").await;

    context.record_entry_abort();
    fleet.restart(2).await?;
    run_phase(&context, "entry VM plovdiv-1 restarted without notice").await;

    context.record_zone_out("varna");
    fleet.set_zone_out("varna", true).await?;
    run_phase(&context, "availability zone varna taken out").await;

    fleet.set_zone_out("varna", false).await?;
    fleet.set_draining("hub-3", false);
    run_phase(&context, "availability zone varna and backend server hub-3 back in").await;

    context.stop();
    let flows = flows::join(flows).await?;
    let requests = requests::join(requests).await?;
    report_phase(&context, "no new flows or requests; the running ones end");
    Ok(Outcome::new(&fleet, &flows, requests))
}

/// Lets a phase run and prints its counts.
async fn run_phase(context: &CallerContext, name: &str) {
    sleep(STEP_DURATION).await;
    report_phase(context, name);
}

fn report_phase(context: &CallerContext, name: &str) {
    println!("{name}: {}", context.progress.end_phase());
}
