//! The control daemon: orders configuration changes and keeps them on disk.

use galenatrail::{ControlSettings, init_logging, run_control, settings_from_args};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Some(settings) = settings_from_args::<ControlSettings>()? else { return Ok(()) };
    init_logging(&settings.name)?;
    run_control(settings).await?.stopped().await;
    Ok(())
}
