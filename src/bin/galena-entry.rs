//! Entry daemon: forwards packets and requests from callers to backend servers.

use galenatrail::{EntrySettings, init_logging, run_entry, settings_from_args, stop_signal};

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Some(settings) = settings_from_args::<EntrySettings>()? else { return Ok(()) };
    init_logging(&settings.name)?;
    run_entry(settings, stop_signal()?).await?;
    Ok(())
}
