//! A layer-4 load balancer that keeps flows and requests intact during failures.
//!
//! All decisions are made by state machines without sockets, clocks or random numbers, which turn
//! events into actions. The daemons connect them to sockets, timers and files.
//!
//! # Entry VM
//!
//! [`EntryNode`] handles packets, messages from backend servers and configuration entries:
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
//! # Control VM
//!
//! [`ControlNode`] orders configuration changes. A change is acknowledged only after it is synced
//! to disk.
//!
//! # Modules
//!
//! - [`coap`]: CoAP messages exchanged with callers and backend servers.
//! - [`packet`]: Geneve packets and the packets that they encapsulate.
//! - [`rpc`]: JSON-RPC API of the control VMs.
//! - [`standin`]: simulated platform for tests and demonstrations.

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
        Change, ControlAction, ControlEndpoint, ControlEvent, ControlMessage, ControlNode,
        ControlStatus, DEDUP_WINDOW, DirDisk, Disk, Entry, Envelope, HardState, HistoryEntry,
        LogId, Members, Opened, Payload, Ready, Recovered, Replica, ReplicaAction, ReplicaId,
        ReplicaMessage, ReplicaStatus, Request, Role, Signer, Snapshot, StateMachine, Storage,
        Submission, SubmitResult, Write, accepted_revision,
    },
    cookie::{
        Announcement, ControlLocation, DropReason, Eligibility, EntryVms, Explanation, FairShare,
        FeedCache, FeedMessage, FeedSearch, FeedTargets, FlowReset, FlowVerdict, Forwarder,
        ForwardingPlan, Gossip, HeldPacket, HeldPackets, InvalidAnnouncement, LeaveOutcome,
        LoadReporter, LoadTable, LoadView, OwnLoad, PacketInfo, PrimaryFeed, ReportedLoad,
        RequestOutcome, ResetReason, Resource, ServerAssessment, ServerDirectory, ServerLoad,
        ServerPool, ServerRecord, ServerRegistry, ServerState, ServerView, ServiceRoom,
        ServiceZone, ShortChange, ShortageChange, SlotUse, UnnamedServers, UpdateBatcher,
        UpdateOutcome, ZoneShare, server_cookie,
    },
    counter::{Counter, Counters},
    ctl::run_ctl,
    daemon::{
        ForwarderHandle, ForwarderSettings, PacketCodec, Registrar, RegistrarSettings,
        init_logging, init_stdout_logging, run_control, run_entry, settings_from_args,
        start_forwarder, start_registrar, stop_signal,
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
    state::{Announce, Command, Outcome, QuarantinedAddr, State},
    time::Time,
    tree::{Access, Branch, Mode, RevisedBranch, Rights, ServiceSpec, Tree, check_secret},
};
