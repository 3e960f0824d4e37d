//! One-off reads from a control VM: the feed that it sends to entry VMs, whether it reaches a quorum, and
//! the servers that are not part of the feed.

use std::{io, net::SocketAddr, time::Duration};

use tokio::time::timeout;

use super::link::{self, Ack, Hello};
use crate::{
    cookie::{FeedMessage, UnnamedServers},
    error::{Error, Result},
    name::Name,
};

/// Time-out for the whole exchange; 100 servers take 40 ms on a slow link.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the messages that the control VM at `control` sends to an entry VM that has just
/// started: the plan, if there is one, every server, and a heartbeat.
///
/// # Errors
///
/// Fails when the control VM does not answer within 5 s.
pub(crate) async fn fetch_feed_snapshot(control: SocketAddr) -> Result<Vec<FeedMessage>> {
    let hello = Hello::Feed {
        name: "galenactl".into(),
        index: 0,
        push_plans: true,
        records: true,
        zone: "".into(),
        listen: None,
    };
    within_timeout(control, read_messages(control, hello)).await
}

/// Returns whether a quorum has recently confirmed the state of the control VM at `control`, which the
/// entry VM `name` in `zone` asks.
///
/// # Errors
///
/// Fails when the control VM does not accept the connection or closes it.
pub(super) async fn fetch_confirmation(
    control: SocketAddr,
    name: Name,
    zone: Name,
) -> io::Result<bool> {
    // No plan is newer, and no records are sent to a feed of changes.
    let (index, push_plans, records) = (u64::MAX, false, false);
    let hello = Hello::Feed { name, index, push_plans, records, zone, listen: None };
    let messages = read_messages(control, hello).await?;
    Ok(matches!(messages.last(), Some(FeedMessage::Heartbeat { confirmed: true, .. })))
}

/// Returns the servers that announce themselves and are not part of the feed of the control VM at
/// `control`, as no configuration names their service.
///
/// # Errors
///
/// Fails when the control VM does not answer within 5 s or, being of an earlier build, does not know
/// the request.
pub(crate) async fn fetch_unnamed_servers(control: SocketAddr) -> Result<UnnamedServers> {
    let read = async {
        let mut stream = link::connect(control, link::CONNECT_TIMEOUT).await?;
        link::write_frame(&mut stream, &Hello::Unnamed).await?;
        link::read_frame(&mut stream).await
    };
    within_timeout(control, read).await
}

async fn within_timeout<T>(
    control: SocketAddr,
    exchange: impl Future<Output = io::Result<T>>,
) -> Result<T> {
    let result =
        timeout(FETCH_TIMEOUT, exchange).await.unwrap_or_else(|elapsed| Err(elapsed.into()));
    result.map_err(|err| {
        let message = format!("control VM {control}: {err}; name another one, or its link port");
        Error::unavailable(message)
    })
}

/// Opens a feed and reads it up to the first heartbeat.
///
/// Nothing after that is acknowledged: a control VM takes an acknowledgement for a proof that another VM
/// knows what it sent.
async fn read_messages(control: SocketAddr, hello: Hello) -> io::Result<Vec<FeedMessage>> {
    let mut stream = link::connect(control, link::CONNECT_TIMEOUT).await?;
    link::write_frame(&mut stream, &hello).await?;
    let mut messages = Vec::new();
    loop {
        let message: FeedMessage = link::read_frame(&mut stream).await?;
        link::write_ack(&mut stream, Ack::Received).await?;
        // The first heartbeat follows the plan and the servers.
        let last = matches!(message, FeedMessage::Heartbeat { .. });
        messages.push(message);
        if last {
            return Ok(messages);
        }
    }
}
