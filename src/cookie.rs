//! Forwarding by flow cookies: each packet of a flow carries the tag of its backend server, so
//! that any entry VM sends it on without a table, an owner or a lease.
//!
//! Control VMs keep the backend servers as soft state ([`Registry`]) and feed it, with the
//! configuration, to entry VMs, whose [`Forwarder`] decides on each packet.

mod balance;
mod directory;
mod evidence;
mod explain;
mod feed;
mod forwarder;
mod news;
mod notes;
mod record;
mod registry;

pub use balance::{Candidate, choose};
pub use directory::{Directory, Usable};
pub use explain::{Explanation, Weighed};
pub use feed::{ControlSeat, FeedMessage, Gossip, Kept, Plan};
pub use forwarder::{DropReason, FlowVerdict, Forwarder, Head, ResetReason};
pub use news::News;
pub use record::{Announcement, ServerRecord, ServerState, tag};
pub use registry::{Heard, Registry};
