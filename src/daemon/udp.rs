//! Non-blocking UDP I/O; datagrams are received in batches.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
    os::fd::AsRawFd,
    time::Duration,
};

use nix::{
    sys::{
        socket::{ControlMessageOwned, MsgFlags, getsockopt, recv, recvmsg, setsockopt, sockopt},
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
///
/// What arrives after a look at the empty socket is younger than the look. Only if that is not enough
/// to call it new, the system is asked for its receive time, which takes longer.
pub(super) struct TimedReceiver {
    /// Age from which on a datagram is not new any more.
    stale_age: Duration,
    /// Time since boot at which the socket was last seen empty, in nanoseconds.
    emptied_at: i128,
    /// Time of day less the time since boot, in nanoseconds, when it was last asked for.
    offset: Option<i128>,
    /// Space for the receive time.
    control: Vec<u8>,
}

impl TimedReceiver {
    /// Creates a receiver for `socket`, whose datagrams get receive times if the system has them. It
    /// tells datagrams that have waited for `stale_age` from others.
    pub(super) fn new(socket: &UdpSocket, stale_age: Duration) -> TimedReceiver {
        if let Err(err) = setsockopt(socket, sockopt::ReceiveTimestampns, &true) {
            log::warn!("event=no_receive_times reason={:?}", err.to_string());
        }
        let control = nix::cmsg_space!(TimeSpec);
        let mut receiver =
            TimedReceiver { stale_age, emptied_at: boot_time(), offset: None, control };
        receiver.time_of_day();
        receiver
    }

    /// Receives up to [`MAX_BATCH`] waiting datagrams and passes each to `handle`, with the longest
    /// time for which it can have waited. The time is `None` if the system does not tell, or if the
    /// time of day was set meanwhile.
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
        let mut now = boot_time();
        for _ in 0..MAX_BATCH {
            let looked_at = now;
            let is_timed = nanos_between(self.emptied_at, looked_at) >= self.stale_age;
            let result = if is_timed {
                look(socket, || receive_timed(socket, buf, &mut self.control))
            } else {
                look(socket, || Ok((recv(socket.as_raw_fd(), buf, MsgFlags::MSG_DONTWAIT)?, None)))
            };
            // The process may have been paused since the look.
            now = boot_time();
            match result {
                Ok((len, received)) => {
                    let age = if is_timed {
                        self.time_of_day().zip(received).map(|(day, at)| nanos_between(at, day))
                    } else {
                        Some(nanos_between(self.emptied_at, now))
                    };
                    handle(&buf[..len], age);
                }
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {
                    self.emptied_at = looked_at;
                    self.time_of_day();
                    return Ok(true);
                }
                // Reports an ICMP error for a datagram sent earlier; the socket still works.
                Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(err) => return Err(err),
            }
        }
        Ok(false)
    }

    /// Returns the time of day, in nanoseconds, unless it was set since the last call.
    fn time_of_day(&mut self) -> Option<i128> {
        let day = clock_gettime(ClockId::CLOCK_REALTIME).map(nanos).unwrap_or_default();
        let offset = day - boot_time();
        let before = self.offset.replace(offset)?;
        (offset.abs_diff(before) < CLOCK_STEP.as_nanos()).then_some(day)
    }
}

/// Calls `receive` even if the runtime believes the socket to be empty. After a pause of the process
/// its view is as old as the pause.
fn look<T>(socket: &UdpSocket, mut receive: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut has_looked = false;
    let result = socket.try_io(Interest::READABLE, || {
        has_looked = true;
        receive()
    });
    if has_looked { result } else { receive() }
}

/// Receives a datagram with its receive time, in nanoseconds of the time of day.
fn receive_timed(
    socket: &UdpSocket,
    buf: &mut [u8],
    control: &mut [u8],
) -> io::Result<(usize, Option<i128>)> {
    let mut parts = [IoSliceMut::new(buf)];
    let flags = MsgFlags::MSG_DONTWAIT;
    let message = recvmsg::<()>(socket.as_raw_fd(), &mut parts, Some(control), flags)?;
    let received = message.cmsgs()?.find_map(|control| match control {
        ControlMessageOwned::ScmTimestampns(time) => Some(nanos(time)),
        _ => None,
    });
    Ok((message.bytes, received))
}

/// Returns the size of the receive buffer of `socket` in bytes.
pub(super) fn buffer_size(socket: &UdpSocket) -> usize {
    getsockopt(socket, sockopt::RcvBuf).unwrap_or(DEFAULT_BUFFER)
}

/// Returns the time since boot, in nanoseconds, which counts while the VM is suspended.
fn boot_time() -> i128 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(nanos).unwrap_or_default()
}

fn nanos(time: TimeSpec) -> i128 {
    i128::from(time.tv_sec()) * 1_000_000_000 + i128::from(time.tv_nsec())
}

/// Returns the time from `start` to `end`, or zero if `end` is earlier.
fn nanos_between(start: i128, end: i128) -> Duration {
    Duration::from_nanos(u64::try_from(end - start).unwrap_or_default())
}

/// Sends `bytes` without waiting; returns whether the socket accepted them.
///
/// A full socket buffer drops the datagram, as a full queue on the network would.
pub(super) fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) -> bool {
    socket.try_send_to(bytes, to).is_ok()
}
