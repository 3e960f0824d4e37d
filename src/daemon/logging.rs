//! Loggers of the daemons.

use std::{
    io,
    time::{SystemTime, UNIX_EPOCH},
};

mod lossy_writer;

use lossy_writer::LossyWriter;

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

/// Sends log lines of level `info` and above to standard output, each with its time in
/// milliseconds since the Unix epoch. A line that would block on a slow reader is dropped and
/// counted.
///
/// # Errors
///
/// Fails when a logger is installed already.
pub fn init_stdout_logging() -> Result<()> {
    let writer = LossyWriter::new(io::stdout());
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            out.finish(format_args!("at={} level={} {message}", since.as_millis(), record.level()));
        })
        .level(log::LevelFilter::Warn)
        .level_for("galenatrail", log::LevelFilter::Info)
        .level_for("galenatrail_platform", log::LevelFilter::Info)
        .chain(fern::Output::call(move |record| writer.write(record.args())))
        .apply()
        .map_err(|err| Error::settings(format!("{err}; install one logger per process")))
}
