//! galenactl, the command-line client for operators.
//!
//! Exit status: 0 success, 1 refused, 2 usage error, 3 unavailable or outcome unknown.

use std::{env, net::SocketAddr, path::PathBuf, process::ExitCode};

use argh::FromArgs;

use crate::error::{Error, Result};

mod apply;
mod client;
mod cookies;
mod operate;
mod output;
mod read;
mod status;
mod token;

use client::ControlClient;

/// Exit status if the request was refused.
const EXIT_REFUSED: u8 = 1;
/// Exit status of a usage error.
const EXIT_USAGE: u8 = 2;
/// Exit status if no control VM answered or the outcome is unknown.
const EXIT_UNAVAILABLE: u8 = 3;

/// Read and change the configuration of a load balancer.
#[derive(FromArgs)]
struct Args {
    /// address of a control VM; may be repeated
    #[argh(option)]
    control: Vec<SocketAddr>,
    /// file with the operator's token
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

/// Runs galenactl with the arguments of this process.
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
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("galenactl: {err}");
            ExitCode::from(exit_status(&err))
        }
    }
}

fn exit_status(err: &Error) -> u8 {
    if err.is_unavailable() {
        EXIT_UNAVAILABLE
    } else if err.is_settings() {
        EXIT_USAGE
    } else {
        EXIT_REFUSED
    }
}

async fn run(args: Args) -> Result<()> {
    let Args { control, token, json, action } = args;
    let client = || ControlClient::new(control.clone(), token.clone());
    match action {
        Action::Get(get) => get.run(&client()?, json).await,
        Action::Plan(plan) => plan.run(&client()?, json).await,
        Action::Apply(apply) => apply.run(&client()?, json).await,
        Action::History(history) => history.run(&client()?, json).await,
        Action::Zone(zone) => zone.run(&client()?, json).await,
        Action::Drain(drain) => drain.run(&client()?, json).await,
        Action::Status(status) => status.run(&client()?, json).await,
        Action::Cookies(cookies) => cookies.run(&control, json).await,
        Action::Token(token) => token.run(json),
    }
}
