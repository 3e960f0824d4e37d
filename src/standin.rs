//! Simulated fabric, callers, backend servers, network and disk.
//!
//! For tests, benchmarks and examples only; not used in a deployment.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

mod backend;
mod caller;
mod disk;
mod fabric;
mod mesh;
mod replicas;
mod server;
mod site;
mod workload;

pub use backend::{Backend, BackendStats};
pub use caller::{Caller, tcp_packet, udp_packet};
pub use disk::MemoryDisk;
pub use fabric::Fabric;
pub use mesh::{Mesh, NodeOutput};
pub use replicas::Replicas;
pub use server::{RESET, Server, ServerStats};
pub use site::{RequestStats, Site};
pub use workload::{Reply, Workload};

/// Returns port `port` of host `host` in a loopback network derived from the process id, so that
/// processes that run in parallel do not use the same addresses.
pub fn loopback(host: u8, port: u16) -> SocketAddr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host)), port)
}
