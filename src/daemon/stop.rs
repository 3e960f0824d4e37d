//! Termination signals.

use tokio::signal::{
    ctrl_c,
    unix::{SignalKind, signal},
};

use crate::error::Result;

/// Returns a future that completes when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when no signal handler can be installed.
pub fn stop_signal() -> Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = ctrl_c() => {}
        }
        log::info!("received a termination signal");
    })
}
