//! One look at what a control VM tells entry VMs.

use std::{io, net::SocketAddr, time::Duration};

use tokio::time::timeout;

use super::link::{self, Answer, Opening};
use crate::{
    cookie::FeedMessage,
    error::{Error, Result},
};

/// Longest wait for everything: a feed sends 100 servers in 40 ms on a small link.
const WAIT: Duration = Duration::from_secs(5);

/// Returns what the control VM at `control` tells an entry VM that has just started: every server,
/// a sign of life, and the plan where there is one.
///
/// # Errors
///
/// Fails where the control VM does not answer within 5 s.
pub(crate) async fn listen(control: SocketAddr) -> Result<Vec<FeedMessage>> {
    let told = timeout(WAIT, take(control)).await.unwrap_or_else(|late| Err(late.into()));
    told.map_err(|err| {
        let message = format!("control VM {control}: {err}; name another one, or its link port");
        Error::unavailable(message)
    })
}

async fn take(control: SocketAddr) -> io::Result<Vec<FeedMessage>> {
    let opening = Opening::Feed { name: "galenactl".into(), index: 0, plans: true };
    let mut stream = link::connect(control, &opening).await?;
    let mut messages = Vec::new();
    loop {
        let message: FeedMessage = link::read_frame(&mut stream).await?;
        link::answer(&mut stream, Answer::Has).await?;
        // The first sign of life comes after the plan and the servers.
        let last = matches!(message, FeedMessage::Heartbeat { .. });
        messages.push(message);
        if last {
            return Ok(messages);
        }
    }
}
