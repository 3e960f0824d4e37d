//! Command-line arguments of the daemons.

use std::path::PathBuf;

use argh::FromArgs;
use serde::de::DeserializeOwned;

use crate::{
    error::Result,
    settings::{Check, Checked, Settings},
};

/// A daemon of the load balancer.
#[derive(FromArgs)]
struct Args {
    /// settings file (TOML)
    #[argh(positional)]
    settings: PathBuf,
    /// validate the settings file and exit
    #[argh(switch)]
    check: bool,
}

/// Loads the settings file named on the command line. Returns `None` under `--check`, and exits the
/// process on invalid arguments.
///
/// # Errors
///
/// Fails when the file cannot be read or parsed, or holds invalid settings.
pub fn settings_from_args<T: DeserializeOwned + Check>() -> Result<Option<Settings<T, Checked>>> {
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.settings)?;
    Ok((!args.check).then_some(settings))
}
