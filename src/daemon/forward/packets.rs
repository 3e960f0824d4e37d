//! The packets of an entry VM: from the socket through the forwarder to backend servers or callers.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use super::{EventLoop, MAX_PACKET_LINES, PacketCodec, now};
use crate::{
    cookie::{DropReason, FlowReset, FlowVerdict, HeldPacket, PacketInfo, ResetReason, Resource},
    counter::Counter,
    daemon::{
        metrics::Latency,
        udp::{self, TimedReceiver},
    },
    time::Time,
};

/// Age from which on a packet counts as stale: its caller has sent it again, and the fabric may have
/// taken this VM out of rotation.
pub(super) const STALE_AGE: Duration = Duration::from_millis(500);
/// Gap between wake-ups after which packets of unknown age count as stale: two ticks.
const STALE_GAP: Duration = Duration::from_millis(500);
/// Least memory, in bytes, that a datagram takes in the receive buffer.
const MIN_FOOTPRINT: usize = 512;
/// One flow in this many is logged, the same one on every VM; at 300 new flows a second, this is
/// about one line a second.
const FLOW_SAMPLING: u64 = 256;

impl<F: PacketCodec> EventLoop<F> {
    pub(super) fn receive_packets(
        &mut self,
        receiver: &mut TimedReceiver,
        buf: &mut [u8],
    ) -> std::io::Result<()> {
        let now = now();
        if now.since(self.last_wake) >= STALE_GAP {
            // All that may have waited is gone after as many packets as the buffer holds.
            self.waiting = udp::buffer_size(&self.socket) / MIN_FOOTPRINT;
        }
        self.last_wake = now;
        let socket = self.socket.clone();
        let result = receiver.receive_batch(&socket, buf, |packet, age| {
            let stale = match age {
                Some(age) => age >= STALE_AGE,
                None => self.waiting > 0,
            };
            self.waiting = self.waiting.saturating_sub(1);
            if age.is_none() {
                self.count(Counter::PacketsUntimed);
            }
            self.handle_packet(now, packet, stale);
        });
        if result? {
            self.waiting = 0;
        }
        if let Some(metrics) = &self.metrics {
            metrics.record(Latency::Batch, self::now().since(now));
        }
        Ok(())
    }

    fn handle_packet(&mut self, now: Time, packet: &[u8], stale: bool) {
        let Some(info) = self.codec.decode(packet) else {
            self.count(Counter::PacketsMalformed);
            return;
        };
        if !stale && self.forwarder.awaits_feed(now, &info) {
            self.count(Counter::PacketsHeld);
            if let Some(oldest) = self.held.push(now, info, packet) {
                self.forward_packet(now, &oldest.info, &oldest.bytes, false);
            }
            return;
        }
        self.forward_packet(now, &info, packet, stale);
    }

    /// Forwards the held packets that the VM now knows enough for or whose callers send them again.
    pub(super) fn release_held(&mut self) {
        if self.held.is_empty() {
            return;
        }
        let now = now();
        let forwarder = &self.forwarder;
        let released = self.held.take(now, |info| !forwarder.awaits_feed(now, info));
        if released.is_empty() {
            return;
        }
        self.log_released(now, &released);
        for held in released {
            self.forward_packet(now, &held.info, &held.bytes, false);
        }
    }

    fn log_released(&mut self, now: Time, released: &[HeldPacket]) {
        if self.packet_lines >= MAX_PACKET_LINES {
            self.count(Counter::LinesSuppressed);
            return;
        }
        self.packet_lines += 1;
        let expired = released.iter().filter(|held| held.expiry <= now).count();
        log::info!(
            "event=released packets={} expired={expired} left={} plan={} servers={}",
            released.len(),
            self.held.len(),
            self.forwarder.plan().index,
            self.forwarder.directory().len()
        );
    }

    fn forward_packet(&mut self, now: Time, info: &PacketInfo, packet: &[u8], stale: bool) {
        self.out.clear();
        match self.forwarder.decide(now, info, stale) {
            FlowVerdict::Forward { to, id, cookie } => {
                self.codec.write_forward(packet, id, cookie, &mut self.out);
                self.count(Counter::PacketsForwarded);
                if info.opens {
                    let retransmitted = info.retransmits > 0;
                    self.count(if retransmitted {
                        Counter::FlowsRepeated
                    } else {
                        Counter::FlowsOpened
                    });
                    if info.flow_hash().is_multiple_of(FLOW_SAMPLING) {
                        self.log_packet(info, format_args!("event=placed server={id:x}"));
                    }
                }
                self.send(SocketAddr::V4(to));
            }
            FlowVerdict::Reset(reason) => {
                self.count(reset_counter(reason));
                // A shortage has its own log lines.
                if !matches!(reason, ResetReason::Overload(_)) {
                    self.log_packet(info, format_args!("event=reset reason={reason:?}"));
                }
                self.send_reset(&info.reset());
            }
            FlowVerdict::Drop(reason) => {
                self.count(drop_counter(reason));
                if reason != DropReason::Overload {
                    self.log_packet(info, format_args!("event=drop reason={reason:?}"));
                }
            }
        }
    }

    /// Sends the resets of flows of superseded servers.
    pub(super) fn send_resets(&mut self) {
        let resets = self.forwarder.take_resets();
        if resets.is_empty() {
            return;
        }
        log::info!("event=flows_reset reason=superseded flows={}", resets.len());
        for reset in resets {
            self.count(Counter::FlowsResetSuperseded);
            self.send_reset(&reset);
        }
    }

    fn send_reset(&mut self, reset: &FlowReset) {
        self.out.clear();
        self.codec.write_reset(reset, &mut self.out);
        self.send(SocketAddr::V4(SocketAddrV4::new(*reset.caller.ip(), self.port)));
    }

    fn send(&mut self, to: SocketAddr) {
        if !udp::send(&self.socket, &self.out, to) {
            self.count(Counter::DatagramsUnsent);
        }
    }

    /// Logs `event` with the fields of a packet, at most [`MAX_PACKET_LINES`] times per tick.
    fn log_packet(&mut self, info: &PacketInfo, event: std::fmt::Arguments<'_>) {
        if self.packet_lines >= MAX_PACKET_LINES {
            self.count(Counter::LinesSuppressed);
            return;
        }
        self.packet_lines += 1;
        let PacketInfo { caller, route, opens, retransmits, cookie, .. } = info;
        let index = self.forwarder.plan().index;
        log::info!(
            "{event} caller={caller} route={route} opens={opens} repeats={retransmits} \
             cookie={cookie:08x} plan={index}"
        );
    }
}

fn reset_counter(reason: ResetReason) -> Counter {
    match reason {
        ResetReason::NoRoute => Counter::FlowsResetUnrouted,
        ResetReason::NoServer => Counter::FlowsResetUnserved,
        ResetReason::ServerGone => Counter::FlowsResetGone,
        ResetReason::Overload(Resource::Link) => Counter::FlowsRefusedLink,
        ResetReason::Overload(Resource::Service) => Counter::FlowsRefusedService,
        ResetReason::Overload(Resource::Share) => Counter::FlowsRefusedShare,
    }
}

fn drop_counter(reason: DropReason) -> Counter {
    match reason {
        DropReason::Unknown => Counter::PacketsUntagged,
        DropReason::NoCookie => Counter::PacketsUncookied,
        DropReason::Stale => Counter::PacketsStale,
        DropReason::Early => Counter::PacketsEarly,
        DropReason::Overload => Counter::FlowsUnanswered,
    }
}
