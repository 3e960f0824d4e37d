//! The operators' client.
//!
//! Exit status: 0 done, 1 refused, 2 wrong usage, 3 unavailable or outcome unknown.

use std::{env, net::SocketAddr, path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::error::{Error, Result};

mod apply;
mod call;
mod cookies;
mod operate;
mod read;
mod show;
mod status;
mod token;

use call::Caller;

/// Exit status of a call that was refused.
const REFUSED: u8 = 1;
/// Exit status of wrong arguments.
const USAGE: u8 = 2;
/// Exit status of a call that nobody answered, or whose outcome is unknown.
const UNAVAILABLE: u8 = 3;

/// Reads and changes the configuration of a load balancer.
#[derive(FromArgs)]
struct Args {
    /// address of a control VM; may be given several times
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// file that holds the operator's token
    #[argh(option)]
    token: Option<PathBuf>,
    /// print JSON, for scripts
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Get(read::Get),
    Plan(apply::Plan),
    Apply(apply::Apply),
    History(read::History),
    Zone(operate::Zone),
    Drain(operate::Drain),
    Status(status::Status),
    Cookies(cookies::Cookies),
    Token(token::Token),
}

/// Runs the operators' client on the arguments of this process.
pub async fn run_ctl() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let strs: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    let args = match Args::from_args(&["galenactl"], &strs) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            return ExitCode::from(USAGE);
        }
    };
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("galenactl: {err}");
            ExitCode::from(status_of(&err))
        }
    }
}

fn status_of(err: &Error) -> u8 {
    if err.is_unavailable() {
        UNAVAILABLE
    } else if err.is_settings() {
        USAGE
    } else {
        REFUSED
    }
}

async fn run(args: Args) -> Result<()> {
    let Args { control, token, json, action } = args;
    let caller = || Caller::new(control.clone(), token.clone());
    match action {
        Action::Get(get) => get.run(&caller()?, json).await,
        Action::Plan(plan) => plan.run(&caller()?, json).await,
        Action::Apply(apply) => apply.run(&caller()?, json).await,
        Action::History(history) => history.run(&caller()?, json).await,
        Action::Zone(zone) => zone.run(&caller()?, json).await,
        Action::Drain(drain) => drain.run(&caller()?, json).await,
        Action::Status(status) => status.run(&caller()?, json).await,
        Action::Cookies(cookies) => cookies.run(&control, json).await,
        Action::Token(token) => token.run(json),
    }
}
