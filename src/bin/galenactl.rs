//! Command-line client for operators.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    galenatrail::run_ctl().await
}
