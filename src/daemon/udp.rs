//! Non-blocking UDP I/O; datagrams are received in batches.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    os::fd::AsRawFd,
    time::Duration,
};

use nix::{
    sys::{
        socket::{ControlMessageOwned, MsgFlags, getsockopt, recvmsg, setsockopt, sockopt},
        time::TimeSpec,
    },
    time::{ClockId, clock_gettime},
};
use tokio::{io::Interest, net::UdpSocket};

/// Datagrams received per wake-up before other events are handled.
const MAX_BATCH: usize = 64;

/// Buffer size, in bytes, that holds any UDP payload.
pub(super) const MAX_DATAGRAM_LEN: usize = 65_536;

/// Receives up to [`MAX_BATCH`] waiting datagrams from `socket` and passes each to `handle`.
///
/// Never waits; returns whether the socket is empty. The calling code waits for the socket to be
/// readable.
///
/// # Errors
///
/// Fails when the socket fails.
pub(super) fn receive_batch(
    socket: &UdpSocket,
    buf: &mut [u8],
    mut handle: impl FnMut(&[u8], SocketAddr),
) -> io::Result<bool> {
    for _ in 0..MAX_BATCH {
        match socket.try_recv_from(buf) {
            Ok((len, from)) => handle(&buf[..len], from),
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(true),
            // Reports an ICMP error for a datagram sent earlier; the socket still works.
            Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {}
            Err(err) => return Err(err),
        }
    }
    Ok(false)
}

/// Size of a receive buffer, in bytes, if the system does not tell it: the default of Linux.
const DEFAULT_BUFFER: usize = 212_992;
/// Difference of the offset between two clocks, from one batch to the next, from which on the time of
/// day was set.
const CLOCK_STEP: Duration = Duration::from_millis(50);

/// Receives datagrams with the time for which they have waited in the socket.
#[derive(Default)]
pub(super) struct TimedReceiver {
    /// Space for the receive time.
    control: Vec<u8>,
    /// Time of day less the time since boot at the last batch.
    offset: Option<i128>,
}

impl TimedReceiver {
    /// Creates a receiver for `socket`, whose datagrams get receive times if the system has them.
    pub(super) fn new(socket: &UdpSocket) -> TimedReceiver {
        if let Err(err) = setsockopt(socket, sockopt::ReceiveTimestampns, &true) {
            log::warn!("event=no_receive_times reason={:?}", err.to_string());
        }
        let mut receiver = TimedReceiver { control: nix::cmsg_space!(TimeSpec), offset: None };
        receiver.time_of_day();
        receiver
    }

    /// Receives up to [`MAX_BATCH`] waiting datagrams and passes each to `handle`, with the time for
    /// which it has waited. The time is `None` if the system does not tell, or if the time of day was
    /// set meanwhile.
    ///
    /// Never waits; returns whether the socket is empty, which is found out by a look at it and not by
    /// what the runtime knows of it.
    ///
    /// # Errors
    ///
    /// Fails when the socket fails.
    pub(super) fn receive_batch(
        &mut self,
        socket: &UdpSocket,
        buf: &mut [u8],
        mut handle: impl FnMut(&[u8], Option<Duration>),
    ) -> io::Result<bool> {
        let now = self.time_of_day();
        for _ in 0..MAX_BATCH {
            match self.receive(socket, buf) {
                Ok((len, received)) => {
                    let age = now.zip(received).map(|(now, received)| age(now, received));
                    handle(&buf[..len], age);
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => return Ok(true),
                // Reports an ICMP error for a datagram sent earlier; the socket still works.
                Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(err) => return Err(err),
            }
        }
        Ok(false)
    }

    /// Returns the time of day, in nanoseconds, unless it was set since the last batch.
    fn time_of_day(&mut self) -> Option<i128> {
        let [day, boot] = [ClockId::CLOCK_REALTIME, ClockId::CLOCK_BOOTTIME]
            .map(|clock| clock_gettime(clock).map(nanos).unwrap_or_default());
        let offset = day - boot;
        let before = self.offset.replace(offset)?;
        (offset.abs_diff(before) < CLOCK_STEP.as_nanos()).then_some(day)
    }

    fn receive(&mut self, socket: &UdpSocket, buf: &mut [u8]) -> io::Result<(usize, Option<i128>)> {
        let mut asked = false;
        let result = socket.try_io(Interest::READABLE, || {
            asked = true;
            self.receive_now(socket, buf)
        });
        // The runtime does not look at a socket that it believes to be empty. After a pause of the
        // process its view is as old as the pause.
        if asked { result } else { self.receive_now(socket, buf) }
    }

    fn receive_now(
        &mut self,
        socket: &UdpSocket,
        buf: &mut [u8],
    ) -> io::Result<(usize, Option<i128>)> {
        let mut parts = [IoSliceMut::new(buf)];
        let flags = MsgFlags::MSG_DONTWAIT;
        let control = Some(&mut self.control[..]);
        let message = recvmsg::<()>(socket.as_raw_fd(), &mut parts, control, flags)?;
        let received = message.cmsgs()?.find_map(|control| match control {
            ControlMessageOwned::ScmTimestampns(time) => Some(nanos(time)),
            _ => None,
        });
        Ok((message.bytes, received))
    }
}

/// Returns the size of the receive buffer of `socket` in bytes.
pub(super) fn buffer_size(socket: &UdpSocket) -> usize {
    getsockopt(socket, sockopt::RcvBuf).unwrap_or(DEFAULT_BUFFER)
}

fn nanos(time: TimeSpec) -> i128 {
    i128::from(time.tv_sec()) * 1_000_000_000 + i128::from(time.tv_nsec())
}

/// Returns the age of a datagram; one that arrived after the batch was begun is new.
fn age(now: i128, received: i128) -> Duration {
    Duration::from_nanos(u64::try_from(now - received).unwrap_or_default())
}

/// Sends `bytes` without waiting; returns whether the socket accepted them.
///
/// A full socket buffer drops the datagram, as a full queue on the network would.
pub(super) fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) -> bool {
    socket.try_send_to(bytes, to).is_ok()
}
