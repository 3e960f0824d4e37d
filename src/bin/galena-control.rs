//! Control daemon: orders configuration changes and stores them durably.

use galenatrail::{ControlSettings, init_logging, run_control, settings_from_args};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Some(settings) = settings_from_args::<ControlSettings>()? else { return Ok(()) };
    init_logging(&settings.name)?;
    run_control(settings).await?.stopped().await;
    Ok(())
}
