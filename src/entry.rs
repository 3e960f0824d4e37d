//! The entry node: handles packets, requests, backend servers and configuration of one entry VM,
//! without sockets or a clock.

use std::{collections::BTreeMap, net::SocketAddr};

use coap_lite::{Packet, ResponseType};
use serde::{Deserialize, Serialize};

use crate::{
    backend::{self, Admission, AdmissionRequest, Backends, Completion},
    coap,
    counter::{Counter, Counters},
    flow::{Flows, Handover},
    kernel::{Context, Kernel},
    member::{Member, Members, View},
    name::Name,
    packet::{FlowKey, Geneve},
    peer::PeerMessage,
    request::Requests,
    spread::{ConfigSync, Entries, Progress},
    state::{Announce, Command, State},
    time::Time,
};

mod router;

pub use router::{Router, Verdict};

/// Kernel name of the membership service.
pub(crate) const MEMBERS: &str = "members";
/// Kernel name of the configuration service.
pub(crate) const CONFIG: &str = "config";
/// Kernel name of the tracked flow service.
pub(crate) const FLOWS: &str = "flows";
/// Kernel name of the request service.
pub(crate) const REQUESTS: &str = "requests";
/// Kernel name of the backend server service.
pub(crate) const BACKENDS: &str = "backends";

const SERVICES: [&str; 5] = [MEMBERS, CONFIG, FLOWS, REQUESTS, BACKENDS];

/// Events handled by an entry node.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryEvent {
    /// A Geneve packet from the fabric.
    Packet(Vec<u8>),
    /// A CoAP message from a backend server.
    FromServer {
        /// The sender.
        from: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A message from another entry VM.
    Peer {
        /// Name of the sender.
        from: Name,
        /// The message.
        message: PeerMessage,
    },
    /// Log entries of the configuration from the event loop.
    Entries(Entries),
    /// The answer of a control VM to a report of this node.
    Reply {
        /// Report number.
        report: u64,
        /// The answer.
        entries: Entries,
    },
    /// The live entry VMs. After this event the node takes its view from the event loop only.
    View(View),
    /// The VM shuts down: it accepts no new requests and finishes the open ones.
    Drain {
        /// Time after which the remaining requests are cut off, in milliseconds.
        limit_ms: u64,
    },
    /// The VM is asked to leave gracefully.
    Leave,
    /// Time has passed; sent periodically.
    Tick,
}

/// Actions that an entry node requests from the event loop.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryAction {
    /// Forward the received Geneve packet unchanged.
    Forward {
        /// The backend server's address for packets.
        to: SocketAddr,
    },
    /// Send a Geneve packet that was buffered or relayed.
    Send {
        /// The backend server's address for packets.
        to: SocketAddr,
        /// The Geneve packet.
        bytes: Vec<u8>,
    },
    /// Send an inner packet back through the fabric.
    ToCaller {
        /// The inner packet.
        packet: Vec<u8>,
    },
    /// Send a CoAP message to a backend server.
    ToServer {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Send a message to another entry VM.
    ToPeer {
        /// Name of the receiver.
        to: Name,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message to an entry VM whose name is not known yet.
    ToSeed {
        /// Its address for peer datagrams.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Submit a command to the control VMs.
    Submit(Command),
    /// Send a report to a control VM, which answers with [`EntryEvent::Reply`].
    Report {
        /// Report number.
        report: u64,
        /// The report.
        progress: Progress,
    },
    /// The configuration has changed; write it to disk if the VM has one.
    Save,
    /// The VM has finished its requests after [`EntryEvent::Drain`]; the process may end.
    Drained {
        /// Number of requests cut off by the time limit.
        cut: u64,
    },
    /// The VM has left gracefully; the process may end.
    Left,
}

/// Messages between the services of an entry node.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum EntryMessage {
    /// Time has passed.
    Tick,
    /// A message from another entry VM for this service.
    Peer { from: Name, message: PeerMessage },
    /// The live entry VMs, from the event loop.
    View(View),
    /// A service has received the records of its predecessors, so that this VM may own its share.
    #[allow(dead_code, reason = "services without records of others need not report")]
    Ready(&'static str),
    /// The VM is asked to leave gracefully.
    Leave,
    /// Log entries of the configuration from the event loop.
    Entries(Entries),
    /// The answer of a control VM to a report.
    Reply { report: u64, entries: Entries },
    /// A packet of a bucket that is moving; `bytes` is the Geneve packet.
    Tracked { service: Name, bytes: Vec<u8> },
    /// A caller sent a request.
    Request { service: Name, key: FlowKey, payload: Vec<u8> },
    /// A backend server answered a request.
    Answer { from: SocketAddr, message: Packet },
    /// The VM shuts down.
    Drain { limit_ms: u64 },
    /// Requests a slot of a backend server.
    Admit(AdmissionRequest),
    /// The answer to an admission request.
    Admission { ticket: u64, admission: Admission },
    /// A slot of a backend server whose home is this VM was released.
    SlotFreed { service: Name, server: Name },
    /// An admitted exchange ended.
    Finished { ticket: u64, server: Name, completion: Completion },
    /// A backend server announced itself.
    Announce(Announce),
    /// A backend server answered a health or load probe.
    Probe { from: SocketAddr, answer: Packet },
}

/// State shared by the services of an entry node.
#[derive(Debug)]
pub(crate) struct Shared {
    /// This VM.
    pub(crate) me: Member,
    /// The entry VMs that this VM considers alive.
    pub(crate) view: View,
    /// The view before the last change, which determines the previous owners.
    pub(crate) previous_view: View,
    /// Address for peer datagrams of each known VM, including those outside the view.
    pub(crate) peer_addrs: BTreeMap<Name, SocketAddr>,
    /// The configuration applied on this VM.
    pub(crate) state: State,
    /// Lookup tables of the packet path, derived from the configuration.
    pub(crate) router: Router,
    /// Expiry of the lease on the configuration, or `None` if this VM uses no lease.
    pub(crate) lease: Option<Time>,
    /// Whether the lease on the configuration has lapsed, so that it may be outdated.
    pub(crate) lease_lapsed: bool,
    /// Whether the configuration has been complete at some time since the start: it came from the
    /// event loop or the disk, a lease covered it, or it equalled that of the head.
    pub(crate) config_complete: bool,
    /// State of the handover of tracked flow records; written by the flow service.
    pub(crate) handover: Handover,
}

impl Shared {
    /// Updates `lease_lapsed`; returns whether the lease has just lapsed.
    pub(crate) fn update_lease(&mut self, now: Time) -> bool {
        let Some(until) = self.lease else { return false };
        let before = std::mem::replace(&mut self.lease_lapsed, now >= until);
        self.lease_lapsed && !before
    }
}

pub(crate) type EntryContext<'a> = Context<'a, Shared, EntryMessage, EntryAction>;

/// One entry VM.
///
/// ```
/// use galenatrail::{EntryEvent, EntryNode, Member, Time};
///
/// let me = Member {
///     name: "sofia-a-1".into(),
///     zone: "sofia-a".into(),
///     packets: "127.0.1.1:6081".parse().unwrap(),
///     peers: "127.0.1.1:7946".parse().unwrap(),
///     incarnation: 1,
///     ready: true,
/// };
/// let mut node = EntryNode::new(me);
/// let mut out = Vec::new();
/// node.handle(Time::ZERO, EntryEvent::Packet(vec![1, 2, 3]), &mut out);
/// assert!(out.is_empty());
/// ```
pub struct EntryNode {
    kernel: Kernel<Shared, EntryMessage, EntryAction>,
}

impl EntryNode {
    /// Creates the node of the VM `me` without a configuration and without other VMs. Its view and
    /// its configuration come from the event loop.
    pub fn new(me: Member) -> EntryNode {
        let members = Members::with_external_views(me.clone());
        EntryNode::with_spread(me, members, ConfigSync::with_external_entries())
    }

    /// Creates the node of the VM `me`, which discovers the other entry VMs itself. Its
    /// configuration comes from the event loop.
    ///
    /// Discovery starts with the peer addresses `seeds`. If `me` is not ready, it becomes ready
    /// once it has received the records of its predecessors; the first VM is ready at once.
    pub fn with_seeds(me: Member, seeds: Vec<SocketAddr>) -> EntryNode {
        let members = Members::new(me.clone(), seeds);
        EntryNode::with_spread(me, members, ConfigSync::with_external_entries())
    }

    /// Creates a node like [`EntryNode::with_seeds`] that also fetches the configuration itself,
    /// starting from `state`. It treats its lease as lapsed until it is granted one, and drops
    /// packets until its configuration is complete.
    pub fn with_leases(me: Member, seeds: Vec<SocketAddr>, state: State) -> EntryNode {
        let members = Members::new(me.clone(), seeds);
        let config = ConfigSync::new(me.incarnation, state.index);
        let mut node = EntryNode::with_spread(me, members, config);
        let shared = node.kernel.shared_mut();
        shared.router.update(&state);
        shared.state = state;
        shared.lease = Some(Time::ZERO);
        shared.lease_lapsed = true;
        shared.config_complete = shared.state.index > 0;
        node
    }

    fn with_spread(me: Member, members: Members, config: ConfigSync) -> EntryNode {
        let view = View::new([me.clone()]);
        let shared = Shared {
            previous_view: view.clone(),
            peer_addrs: BTreeMap::new(),
            view,
            me,
            state: State::new(),
            router: Router::new(),
            lease: None,
            lease_lapsed: false,
            config_complete: true,
            handover: Handover::default(),
        };
        let flows = Flows::new(&shared);
        let kernel = Kernel::new(shared)
            .with_service(MEMBERS, Box::new(members))
            .with_service(CONFIG, Box::new(config))
            .with_service(FLOWS, Box::new(flows))
            .with_service(REQUESTS, Box::new(Requests::new()))
            .with_service(BACKENDS, Box::new(Backends::new()));
        EntryNode { kernel }
    }

    /// Returns this VM.
    pub fn me(&self) -> &Member {
        &self.kernel.shared().me
    }

    /// Returns the configuration applied on this VM.
    pub fn state(&self) -> &State {
        &self.kernel.shared().state
    }

    /// Returns the entry VMs that this VM considers alive.
    pub fn view(&self) -> &View {
        &self.kernel.shared().view
    }

    /// Returns whether this VM holds the records of the flows that it would own, so that it may be
    /// announced as ready.
    pub fn holds_records(&self) -> bool {
        self.kernel.shared().handover.records_received
    }

    /// Returns whether other VMs hold all records that this VM had to hand over, so that it may
    /// stop after it was announced as not ready.
    pub fn has_handed_over(&self) -> bool {
        self.kernel.shared().handover.records_sent
    }

    /// Returns the view before the last change.
    pub fn previous_view(&self) -> &View {
        &self.kernel.shared().previous_view
    }

    /// Returns the address for peer datagrams of `vm`, which need not be in the view.
    pub fn peer_addr(&self, vm: &str) -> Option<SocketAddr> {
        let shared = self.kernel.shared();
        let viewed = shared.view.members.get(vm).map(|member| member.peers);
        viewed.or_else(|| shared.peer_addrs.get(vm).copied())
    }

    /// Returns whether the lease on the configuration has lapsed at `now`, in which case every
    /// bucket is treated as moving.
    pub fn is_lease_lapsed(&self, now: Time) -> bool {
        let shared = self.kernel.shared();
        shared.lease.map_or(shared.lease_lapsed, |until| now >= until)
    }

    /// Returns the counters of this VM.
    pub fn counters(&self) -> &Counters {
        self.kernel.counters()
    }

    /// Increments `counter` for an event outside the node.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.kernel.count(counter);
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: EntryEvent, out: &mut Vec<EntryAction>) {
        self.update_lease(now);
        match event {
            EntryEvent::Packet(bytes) => self.handle_packet(now, &bytes, out),
            EntryEvent::FromServer { from, bytes } => {
                self.handle_server_message(now, from, &bytes, out)
            }
            EntryEvent::Peer { from, message } => {
                let service = message.service();
                self.send(now, service, EntryMessage::Peer { from, message }, out);
            }
            EntryEvent::Entries(entries) => {
                self.send(now, CONFIG, EntryMessage::Entries(entries), out);
            }
            EntryEvent::Reply { report, entries } => {
                self.send(now, CONFIG, EntryMessage::Reply { report, entries }, out);
            }
            EntryEvent::View(view) => self.send(now, MEMBERS, EntryMessage::View(view), out),
            EntryEvent::Drain { limit_ms } => {
                self.send(now, REQUESTS, EntryMessage::Drain { limit_ms }, out);
            }
            EntryEvent::Leave => self.send(now, MEMBERS, EntryMessage::Leave, out),
            EntryEvent::Tick => {
                for service in SERVICES {
                    self.send(now, service, EntryMessage::Tick, out);
                }
            }
        }
    }

    /// Handles one Geneve packet. Does not allocate for packets of flows that are not tracked.
    pub fn handle_packet(&mut self, now: Time, bytes: &[u8], out: &mut Vec<EntryAction>) {
        self.update_lease(now);
        let Ok(geneve) = Geneve::decode(bytes) else {
            self.kernel.count(Counter::PacketsMalformed);
            return;
        };
        let shared = self.kernel.shared();
        if !shared.config_complete {
            self.kernel.count(Counter::PacketsEarly);
            return;
        }
        let msg = match shared.router.route(&shared.state, shared.lease_lapsed, geneve.inner) {
            Verdict::Forward(to) => {
                self.kernel.count(Counter::PacketsForwarded);
                out.push(EntryAction::Forward { to });
                return;
            }
            Verdict::Drop(reason) => {
                self.kernel.count(reason);
                return;
            }
            Verdict::Track { service } => {
                (FLOWS, EntryMessage::Tracked { service, bytes: bytes.to_vec() })
            }
            Verdict::Request { service, key, payload } => {
                let payload = payload.to_vec();
                (REQUESTS, EntryMessage::Request { service, key, payload })
            }
        };
        self.send(now, msg.0, msg.1, out);
    }

    /// Updates the lease state before each event, as the process may have been paused.
    fn update_lease(&mut self, now: Time) {
        if self.kernel.shared_mut().update_lease(now) {
            self.kernel.count(Counter::LeasesLapsed);
        }
    }

    fn handle_server_message(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        out: &mut Vec<EntryAction>,
    ) {
        let Ok(message) = coap::decode(bytes) else {
            self.kernel.count(Counter::PacketsMalformed);
            return;
        };
        if backend::is_probe(&message) && !coap::is_request(&message) {
            self.send(now, BACKENDS, EntryMessage::Probe { from, answer: message }, out);
            return;
        }
        if !coap::is_request(&message) {
            self.send(now, REQUESTS, EntryMessage::Answer { from, message }, out);
            return;
        }
        let code = match coap::read_announce(&message) {
            Ok(Some(announce)) => {
                self.send(now, BACKENDS, EntryMessage::Announce(announce), out);
                ResponseType::Changed
            }
            Ok(None) => ResponseType::NotFound,
            Err(_) => ResponseType::BadRequest,
        };
        if let Ok(bytes) = coap::encode(&coap::response(&message, code)) {
            out.push(EntryAction::ToServer { to: from, bytes });
        }
    }

    fn send(&mut self, now: Time, to: &str, msg: EntryMessage, out: &mut Vec<EntryAction>) {
        let sent = self.kernel.send(now, to, msg, out);
        debug_assert!(sent.is_ok(), "the services are registered in EntryNode::new");
    }
}
