//! The arguments of the daemons.

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
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Returns the settings that the arguments of this process name, or `None` where they were only
/// to be checked; ends the process where the arguments are wrong.
///
/// # Errors
///
/// Fails when the file cannot be read, parsed or used.
pub fn settings_from_args<T: DeserializeOwned + Check>() -> Result<Option<Settings<T, Checked>>> {
    let args: Args = argh::from_env();
    let settings = Settings::load(&args.settings)?;
    Ok((!args.check).then_some(settings))
}
