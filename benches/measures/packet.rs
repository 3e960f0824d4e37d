//! Allocations of the forwarding decision for one packet.

use std::net::SocketAddr;

use galenatrail::{Time, packet, standin::tcp_packet};

use crate::{fixture, table::Table};

const PACKETS: u64 = 1_000;

/// Measures the allocations per packet of an untracked flow.
pub(crate) fn measure(table: &mut Table) {
    let mut node = fixture::node("127.0.2.1:6081".parse().expect("valid address"));
    let caller: SocketAddr = "127.0.3.1:40000".parse().expect("valid address");
    let service = fixture::SERVICE.parse().expect("valid address");
    let bytes = packet::encapsulate(&tcp_packet(caller, service, false, b"x"));
    let mut out = Vec::with_capacity(PACKETS as usize);
    let info = allocation_counter::measure(|| {
        for _ in 0..PACKETS {
            node.handle_packet(Time::ZERO, &bytes, &mut out);
        }
    });
    assert_eq!(out.len() as u64, PACKETS, "every packet is forwarded");
    table.check("packet.allocations", info.count_total as f64 / PACKETS as f64);
}
