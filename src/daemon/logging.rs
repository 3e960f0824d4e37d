//! Log output of the daemons.

use std::{
    io,
    time::{SystemTime, UNIX_EPOCH},
};

mod lines;

use lines::Lines;

use crate::error::{Error, Result};

/// Sends log lines of level `info` and above to standard error.
///
/// # Errors
///
/// Fails when a logger is installed already.
pub fn init_logging(process: &str) -> Result<()> {
    let process = process.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {process} {message}", record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("galenatrail", log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()
        .map_err(|err| Error::settings(format!("{err}; install one logger per process")))
}

/// Sends log lines of level `info` and above to standard output, each with the time of day in
/// milliseconds since 1970. A line that would have to wait for the reader is counted as lost
/// instead.
///
/// # Errors
///
/// Fails when a logger is installed already.
pub fn init_stdout_logging() -> Result<()> {
    let lines = Lines::new(io::stdout());
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            out.finish(format_args!("at={} level={} {message}", since.as_millis(), record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("galenatrail", log::LevelFilter::Info)
        .level_for("galenatrail_platform", log::LevelFilter::Info)
        .chain(fern::Output::call(move |record| lines.write(record.args())))
        .apply()
        .map_err(|err| Error::settings(format!("{err}; install one logger per process")))
}
