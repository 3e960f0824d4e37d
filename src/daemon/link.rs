//! Links between VMs of the system: length-prefixed frames over TCP, each acknowledged by its
//! receiver.
//!
//! TCP alone does not report a peer that has gone silent; a missing acknowledgement does.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    control::Envelope,
    cookie::{ForwardingPlan, Gossip, MAX_MESSAGE_LEN},
    name::Name,
};

/// Longest accepted frame, in bytes; a snapshot with the largest configuration needs a tenth of it.
const MAX_FRAME_LEN: usize = 8 << 20;
/// Time-out for the acknowledgement of a frame; a link between availability zones takes some 10 ms.
const ACK_TIMEOUT: Duration = Duration::from_millis(900);
/// Time-out for connecting. A live VM accepts in some 20 ms; one without power does not answer at
/// all.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay before the next connection attempt.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Capacity of the queue of a link; further messages are dropped, as the network may drop them.
const QUEUE_LEN: usize = 256;
/// Most messages in one frame.
const MAX_FRAME_MESSAGES: usize = 64;

/// Acknowledgement of a frame, sent as one byte; only [`Ack::Loaded`] is longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ack {
    /// The receiver has the frame.
    Received = 1,
    /// The receiver has the frame and requests the newest plan.
    NeedsPlan = 2,
    /// The receiver has the frame and reports its load: a little-endian length of 2 bytes and the
    /// report follow.
    Loaded = 3,
}

/// The answer to a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Answer {
    pub(super) ack: Ack,
    /// The report of an entry VM, set only with [`Ack::Loaded`].
    pub(super) report: Option<Vec<u8>>,
}

/// First frame of a connection; says what the connection is for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Hello {
    /// A control VM sends messages to another one.
    Peer,
    /// An entry VM subscribes to the feed.
    Feed {
        /// Name of the VM.
        name: Name,
        /// Number of commands that the VM has applied.
        index: u64,
        /// Whether new plans are pushed to the VM; otherwise it gets them on request only.
        push_plans: bool,
        /// Whether the VM gets the records of all servers first, not only changes.
        records: bool,
        /// Availability zone of the VM, whose servers it receives first.
        zone: Name,
        /// Address at which the VM receives presence datagrams, if it does.
        listen: Option<SocketAddr>,
    },
    /// An operator asks for the servers whose service no configuration names.
    Unnamed,
}

/// A message between control VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum PeerFrame {
    /// A message of the replicated log.
    Log(Envelope),
    /// Gossip about the server registry.
    Gossip(Gossip),
    /// The control VM at this address has no plan and requests one.
    PlanRequest(SocketAddr),
    /// The newest plan that the sender knows, which may not be in force any more.
    Plan(Arc<ForwardingPlan>),
    /// Addresses of the entry VMs that subscribe to the sender.
    EntryVms(Vec<SocketAddr>),
    /// What the entry VMs of the control VM at this address contribute to the load of services.
    Load(SocketAddr, Vec<u8>),
}

/// An outgoing message, with the channel to notify once its receiver has acknowledged it.
pub(super) struct Outbound<T> {
    pub(super) message: T,
    pub(super) delivered: Option<mpsc::Sender<()>>,
}

/// Connects to another VM within `wait`.
pub(super) async fn connect(to: SocketAddr, wait: Duration) -> io::Result<TcpStream> {
    let stream = timeout(wait, TcpStream::connect(to)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

pub(super) async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    message: &T,
) -> io::Result<()> {
    stream.write_all(&encode_frame(message)).await
}

/// Encodes a frame: a little-endian length of 4 bytes and the message in postcard form.
pub(super) fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(message).expect("frames are plain data");
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(body);
    bytes
}

pub(super) async fn read_frame<T: DeserializeOwned>(stream: &mut TcpStream) -> io::Result<T> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let len = u32::from_le_bytes(len) as usize;
    if len > MAX_FRAME_LEN {
        return Err(io::Error::other(format!(
            "frame of {len} bytes exceeds the limit of {MAX_FRAME_LEN}; the sender is not a VM of \
             the system"
        )));
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}

/// Acknowledges a frame.
pub(super) async fn write_ack(stream: &mut TcpStream, ack: Ack) -> io::Result<()> {
    stream.write_all(&[ack as u8]).await
}

/// Acknowledges a frame and reports the load of this VM.
pub(super) async fn write_report(stream: &mut TcpStream, report: &[u8]) -> io::Result<()> {
    let len = u16::try_from(report.len()).map_err(io::Error::other)?;
    let mut bytes = vec![Ack::Loaded as u8];
    bytes.extend(len.to_le_bytes());
    bytes.extend(report);
    stream.write_all(&bytes).await
}

async fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let ack = match stream.read_u8().await? {
        ack if ack == Ack::NeedsPlan as u8 => Ack::NeedsPlan,
        ack if ack == Ack::Loaded as u8 => Ack::Loaded,
        _ => return Ok(Answer { ack: Ack::Received, report: None }),
    };
    if ack != Ack::Loaded {
        return Ok(Answer { ack, report: None });
    }
    let len = usize::from(stream.read_u16_le().await?);
    if len > MAX_MESSAGE_LEN {
        return Err(io::Error::other(format!(
            "report of {len} bytes exceeds the limit of {MAX_MESSAGE_LEN}; the sender is no entry VM"
        )));
    }
    let mut report = vec![0; len];
    stream.read_exact(&mut report).await?;
    Ok(Answer { ack, report: Some(report) })
}

/// Sends an encoded frame and waits for its acknowledgement.
pub(super) async fn send_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Answer> {
    let exchange = async {
        stream.write_all(bytes).await?;
        read_answer(stream).await
    };
    timeout(ACK_TIMEOUT, exchange).await?
}

/// Starts a link to the control VM at `to`; `connected` receives `to` after each connection.
pub(super) fn start(
    to: SocketAddr,
    connected: mpsc::UnboundedSender<SocketAddr>,
) -> mpsc::Sender<Outbound<PeerFrame>> {
    let (sender, mut queue) = mpsc::channel(QUEUE_LEN);
    tokio::spawn(async move {
        let mut batch = Vec::new();
        let mut failed = false;
        while queue.recv_many(&mut batch, MAX_FRAME_MESSAGES).await > 0 {
            let result = send_messages(to, &connected, &mut failed, &mut queue, &mut batch).await;
            if let Err(err) = result
                && !std::mem::replace(&mut failed, true)
            {
                log::warn!("event=peer_lost peer={to} reason={:?}", err.to_string());
            }
            // Messages queued for an unreachable VM are stale by the time it is back.
            batch.clear();
            while queue.try_recv().is_ok() {}
            sleep(RETRY_DELAY).await;
        }
    });
    sender
}

/// Sends messages over one connection until it fails or the queue is closed.
async fn send_messages(
    to: SocketAddr,
    connected: &mpsc::UnboundedSender<SocketAddr>,
    failed: &mut bool,
    queue: &mut mpsc::Receiver<Outbound<PeerFrame>>,
    batch: &mut Vec<Outbound<PeerFrame>>,
) -> io::Result<()> {
    let mut stream = connect(to, CONNECT_TIMEOUT).await?;
    write_frame(&mut stream, &Hello::Peer).await?;
    *failed = false;
    log::info!("event=peer_reached peer={to}");
    // Without a receiver, the event loop has ended.
    _ = connected.send(to);
    loop {
        let mut pending = Vec::new();
        let mut messages = Vec::new();
        for Outbound { message, delivered } in batch.drain(..) {
            messages.push(message);
            pending.extend(delivered);
        }
        send_frame(&mut stream, &encode_frame(&messages)).await?;
        for delivered in pending {
            // Only the first acknowledgement counts; the receiver may be gone.
            _ = delivered.try_send(());
        }
        if queue.recv_many(batch, MAX_FRAME_MESSAGES).await == 0 {
            return Ok(());
        }
    }
}
