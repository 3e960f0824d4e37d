//! Links between VMs of the system: frames over TCP, each answered by its receiver.
//!
//! A connection that has gone silent shows no error; a frame without an answer in time does.

use std::{io, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{control::Envelope, cookie::Gossip, name::Name};

/// Longest frame, in bytes: a snapshot with the largest configuration takes a tenth of it.
const FRAME_LEN: usize = 8 << 20;
/// Time in which a frame has to be answered; links across availability zones take some 10 ms.
const ANSWER: Duration = Duration::from_millis(900);
/// Time in which a connection has to be made: some 20 ms where both ends are there; a VM that
/// has no power does not answer at all.
const CONNECT: Duration = Duration::from_millis(250);
/// Time between two tries to connect.
const RETRY: Duration = Duration::from_millis(100);
/// Messages that wait for a link at most; more are lost as on the way.
const QUEUE_LEN: usize = 256;
/// Messages of one frame at most.
const BATCH: usize = 64;

/// The answer to a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    /// The receiver has it.
    Has = 1,
    /// The receiver has it and asks for the newest plan.
    Wants = 2,
}

/// The first frame of a connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Opening {
    /// A control VM sends messages.
    Peer,
    /// An entry VM asks for the feed.
    Feed {
        /// Name of the VM.
        name: Name,
        /// Number of commands that it has applied.
        index: u64,
        /// Whether it takes plans as they come, or only when it asks for them.
        plans: bool,
    },
}

/// A message between control VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum PeerFrame {
    /// Of the log.
    Log(Envelope),
    /// Of the registry.
    Gossip(Gossip),
}

/// A message and who waits until its receiver has it.
pub(super) struct Parcel<T> {
    pub(super) message: T,
    pub(super) arrived: Option<mpsc::Sender<()>>,
}

/// Connects within [`CONNECT`] and sends the first frame.
pub(super) async fn connect(to: SocketAddr, opening: &Opening) -> io::Result<TcpStream> {
    let mut stream = timeout(CONNECT, TcpStream::connect(to)).await??;
    stream.set_nodelay(true)?;
    write_frame(&mut stream, opening).await?;
    Ok(stream)
}

pub(super) async fn write_frame<T: Serialize>(
    stream: &mut TcpStream,
    message: &T,
) -> io::Result<()> {
    stream.write_all(&encode(message)).await
}

/// Returns the bytes of a frame.
pub(super) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
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
    if len > FRAME_LEN {
        return Err(io::Error::other("frame too long; the sender is no VM of the system"));
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}

/// Answers a frame.
pub(super) async fn answer(stream: &mut TcpStream, answer: Answer) -> io::Result<()> {
    stream.write_all(&[answer as u8]).await
}

/// Writes the bytes of a frame and waits until its receiver has it.
pub(super) async fn send_encoded(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Answer> {
    let exchange = async {
        stream.write_all(bytes).await?;
        stream.read_u8().await
    };
    let answer = timeout(ANSWER, exchange).await??;
    Ok(if answer == Answer::Wants as u8 { Answer::Wants } else { Answer::Has })
}

/// Starts a link that carries messages to a control VM; `reached` hears of each connection.
pub(super) fn start(
    to: SocketAddr,
    reached: mpsc::UnboundedSender<SocketAddr>,
) -> mpsc::Sender<Parcel<PeerFrame>> {
    let (sender, mut parcels) = mpsc::channel(QUEUE_LEN);
    tokio::spawn(async move {
        let mut batch = Vec::new();
        let mut lost = false;
        while parcels.recv_many(&mut batch, BATCH).await > 0 {
            let result = carry(to, &reached, &mut lost, &mut parcels, &mut batch).await;
            if let Err(err) = result
                && !std::mem::replace(&mut lost, true)
            {
                log::warn!("event=peer_lost peer={to} reason={:?}", err.to_string());
            }
            // What waits for a VM out of reach is out of date by the time it is back.
            batch.clear();
            while parcels.try_recv().is_ok() {}
            sleep(RETRY).await;
        }
    });
    sender
}

/// Carries messages over one connection until it fails.
async fn carry(
    to: SocketAddr,
    reached: &mpsc::UnboundedSender<SocketAddr>,
    lost: &mut bool,
    parcels: &mut mpsc::Receiver<Parcel<PeerFrame>>,
    batch: &mut Vec<Parcel<PeerFrame>>,
) -> io::Result<()> {
    let mut stream = connect(to, &Opening::Peer).await?;
    *lost = false;
    log::info!("event=peer_reached peer={to}");
    // The shell has ended where nobody listens.
    _ = reached.send(to);
    loop {
        let mut waiting = Vec::new();
        let mut messages = Vec::new();
        for Parcel { message, arrived } in batch.drain(..) {
            messages.push(message);
            waiting.extend(arrived);
        }
        send_encoded(&mut stream, &encode(&messages)).await?;
        for arrived in waiting {
            // Only the first arrival counts; the receiver may have gone on.
            _ = arrived.try_send(());
        }
        if parcels.recv_many(batch, BATCH).await == 0 {
            return Ok(());
        }
    }
}
