//! Stateless forwarding by flow cookies: each packet of a flow carries the cookie of its backend
//! server, so that any entry VM can forward it without a shared flow table, a flow owner or a lease.
//!
//! Control VMs keep the backend servers as soft state ([`ServerRegistry`]) and publish them,
//! together with the routing configuration, to entry VMs, whose [`Forwarder`] decides on each
//! packet.

mod admission;
mod decayed_share;
mod directory;
mod entry_vms;
mod exchange;
mod explain;
mod fair_share;
mod feed;
mod feed_search;
mod feed_targets;
mod flow_table;
mod forwarder;
mod handshake_delay;
mod held_packets;
mod link_budget;
mod load_reporter;
mod load_summary;
mod load_table;
mod load_view;
mod passive_health;
mod primary_feed;
mod record;
mod record_batch;
mod refused_flows;
mod registry;
mod reset_delivery;
mod responses;
mod server_load;
mod server_pool;
mod server_results;
mod server_ring;
mod server_view;
mod service_room;
mod slot_use;
mod update_batcher;
mod verdict;
mod zone_share;

pub use admission::ShortageChange;
pub use directory::{Eligibility, ServerDirectory};
pub use entry_vms::EntryVms;
pub use explain::{Explanation, ServerAssessment};
pub use fair_share::FairShare;
pub use feed::{ControlLocation, FeedCache, FeedMessage, ForwardingPlan, Gossip, UnnamedServers};
pub use feed_search::FeedSearch;
pub use feed_targets::FeedTargets;
pub use forwarder::Forwarder;
pub use held_packets::{HeldPacket, HeldPackets};
pub use load_reporter::{LoadReporter, ReportedLoad};
pub(crate) use load_summary::MAX_MESSAGE_LEN;
pub use load_table::LoadTable;
pub use load_view::LoadView;
pub use primary_feed::PrimaryFeed;
pub use record::{Announcement, InvalidAnnouncement, ServerRecord, ServerState, server_cookie};
pub use registry::{LeaveOutcome, ServerRegistry, UpdateOutcome};
pub use server_load::{RequestOutcome, ServerLoad};
pub use server_pool::{OwnLoad, ServerPool, ServerView};
pub use service_room::{ServiceRoom, ServiceZone, ShortChange};
pub use slot_use::SlotUse;
pub use update_batcher::UpdateBatcher;
pub use verdict::{DropReason, FlowReset, FlowVerdict, PacketInfo, ResetReason, Resource};
pub use zone_share::ZoneShare;
