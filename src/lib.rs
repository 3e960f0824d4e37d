//! A layer-4 load balancer that keeps flows and requests whole while things fail.
//!
//! The library holds every decision as a state machine without a socket, a clock or a random
//! number: events go in, actions come out. The daemons are thin shells over it.
//!
//! # An entry VM
//!
//! [`EntryNode`] takes packets, messages of backend servers and configuration entries:
//!
//! ```
//! use galenatrail::{Command, Entries, EntryEvent, EntryNode, Member, Time};
//!
//! let me = Member {
//!     name: "sofia-a-1".into(),
//!     zone: "sofia-a".into(),
//!     packets: "127.0.1.1:6081".parse().unwrap(),
//!     peers: "127.0.1.1:7946".parse().unwrap(),
//!     incarnation: 1,
//!     ready: true,
//! };
//! let mut node = EntryNode::new(me);
//! let commands = vec![Command::Zone { zone: "plovdiv".into(), out: true }];
//! let entries = Entries::new(1, commands);
//! node.handle(Time::ZERO, EntryEvent::Entries(entries), &mut Vec::new());
//! assert!(node.state().zones_out.contains_key("plovdiv"));
//! ```
//!
//! # A control VM
//!
//! [`ControlNode`] orders configuration changes; nothing is acknowledged before it is synced.
//!
//! # Modules
//!
//! - [`coap`]: CoAP messages towards callers and backend servers.
//! - [`packet`]: Geneve and inner packets.
//! - [`rpc`]: JSON-RPC between processes.
//! - [`standin`]: stand-ins for the platform, for tests and demonstrations.

pub mod coap;
pub mod packet;
pub mod rpc;
pub mod standin;

mod backend;
mod control;
mod cookie;
mod counter;
mod ctl;
mod daemon;
mod entry;
mod error;
mod flow;
mod kernel;
mod member;
mod name;
mod peer;
mod request;
mod routing_config;
mod settings;
mod spread;
mod state;
mod time;
mod tree;

pub use crate::{
    backend::{
        Admission, AdmissionRequest, Completion, FinishedExchange, FreeSlots, Holder, HomeMessage,
        Load, ServerPhase, Standing,
    },
    control::{
        Change, ControlAction, ControlEvent, ControlMessage, ControlNode, ControlStatus, Disk,
        Entry, Envelope, Fate, FolderDisk, HORIZON, Hard, Identity, Machine, Mark, Members, Opened,
        Past, Payload, Ready, Recovered, Replica, ReplicaAction, ReplicaMessage, ReplicaStatus,
        Request, Role, Seat, Signer, Snapshot, Storage, Submission, Write, accepted,
    },
    cookie::{
        Announcement, Candidate, ControlEndpoint, DropReason, Eligibility, Explanation, FeedCache,
        FeedMessage, FlowVerdict, Forwarder, ForwardingPlan, Gossip, PacketInfo, ResetReason,
        ServerAssessment, ServerDirectory, ServerRecord, ServerRegistry, ServerState,
        UpdateBatcher, UpdateOutcome, choose_server, server_cookie,
    },
    counter::{Counter, Counters},
    ctl::run_ctl,
    daemon::{
        ForwardHandle, ForwardSettings, PacketForm, Registrar, RegistrarSettings, init_logging,
        init_stdout_logging, run_control, run_entry, settings_from_args, start_forwarder,
        start_registrar, stop_signal,
    },
    entry::{EntryAction, EntryEvent, EntryNode, Router, Verdict},
    error::{Error, Result},
    flow::{
        FlowMessage, MovePhase, MoveScheduler, Placement, RECORD_LEN, RecordGroup, Step, Target,
    },
    kernel::{Context, Kernel, Service},
    member::{Member, MemberMessage, MemberRecord, MemberStatus, View, ZoneReach},
    name::{Name, check_name},
    packet::{FlowKey, Geneve, Protocol},
    peer::{Keys, PeerMessage, Refusal, Seal},
    request::{Epoch, RecordState, RequestId, RequestMessage},
    routing_config::{Route, RoutingConfig, Share, Warmup},
    settings::{Check, Checked, ControlSettings, EntrySettings, Raw, Settings},
    spread::{Acks, Applied, ConfigMessage, Entries, LEASE_DURATION, LeaseGrant, Progress},
    state::{Announce, Command, Given, Outcome, State},
    time::Time,
    tree::{Access, Branch, Mode, Revised, Rights, ServiceSpec, Tree, check_secret},
};
