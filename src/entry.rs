//! The entry node: packets, requests, backend servers and configuration of one entry VM, without
//! a socket or a clock.

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

/// Kernel name of the service for membership.
pub(crate) const MEMBERS: &str = "members";
/// Kernel name of the service for configuration.
pub(crate) const CONFIG: &str = "config";
/// Kernel name of the service for tracked flows.
pub(crate) const FLOWS: &str = "flows";
/// Kernel name of the service for requests.
pub(crate) const REQUESTS: &str = "requests";
/// Kernel name of the service for backend servers.
pub(crate) const BACKENDS: &str = "backends";

const SERVICES: [&str; 5] = [MEMBERS, CONFIG, FLOWS, REQUESTS, BACKENDS];

/// What reaches an entry node.
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
    /// Configuration entries from the shell.
    Entries(Entries),
    /// The answer of a control VM to a report of this node.
    Reply {
        /// Number of the report.
        report: u64,
        /// The answer.
        entries: Entries,
    },
    /// The entry VMs that are alive; from then on the node takes views from the shell only.
    View(View),
    /// The VM shuts down: it opens nothing and finishes what is open.
    Drain {
        /// Time after which the rest is cut off, in milliseconds.
        limit_ms: u64,
    },
    /// The VM is asked to leave as planned.
    Leave,
    /// Time has passed.
    Tick,
}

/// What an entry node asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryAction {
    /// Sends the received Geneve packet on, unchanged.
    Forward {
        /// The backend server's address for packets.
        to: SocketAddr,
    },
    /// Sends a Geneve packet that was held or relayed.
    Send {
        /// The backend server's address for packets.
        to: SocketAddr,
        /// The Geneve packet.
        bytes: Vec<u8>,
    },
    /// Sends an inner packet back through the fabric.
    ToCaller {
        /// The inner packet.
        packet: Vec<u8>,
    },
    /// Sends a CoAP message to a backend server.
    ToServer {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Sends a message to another entry VM.
    ToPeer {
        /// Name of the receiver.
        to: Name,
        /// The message.
        message: PeerMessage,
    },
    /// Sends a message to an entry VM whose name is not known yet.
    ToSeed {
        /// Where its peer datagrams arrive.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Hands a command to the control VMs.
    Submit(Command),
    /// Sends a report to a control VM; its answer comes back as [`EntryEvent::Reply`].
    Report {
        /// Number of the report.
        report: u64,
        /// The report.
        progress: Progress,
    },
    /// The configuration has changed and should be written where the VM has a disk.
    Save,
    /// The VM has finished its requests after [`EntryEvent::Drain`]; the process may end.
    Drained {
        /// Requests that the time limit cut off.
        cut: u64,
    },
    /// The VM has left as planned, so that its process may end.
    Left,
}

/// What the services of an entry node tell each other.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum EntryMessage {
    /// Time has passed.
    Tick,
    /// Another entry VM sent a message for this service.
    Peer { from: Name, message: PeerMessage },
    /// The entry VMs that are alive, from the shell.
    View(View),
    /// A service holds what its predecessors held, so that this VM may own its share.
    #[allow(dead_code, reason = "services without records of others need not report")]
    Ready(&'static str),
    /// The VM is asked to leave as planned.
    Leave,
    /// Configuration entries from the shell.
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
    /// A request asks for a backend server.
    Ask(AdmissionRequest),
    /// The answer to an ask.
    Admission { ticket: u64, admission: Admission },
    /// A backend server of this VM's homes has a free slot again.
    Freed { service: Name, server: Name },
    /// An admitted exchange ended.
    Finish { ticket: u64, server: Name, finish: Completion },
    /// A backend server announced itself.
    Announce(Announce),
    /// A backend server answered a probe of its health or load.
    Probe { from: SocketAddr, answer: Packet },
}

/// What the services of an entry node share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// This VM.
    pub(crate) me: Member,
    /// The entry VMs that this VM believes to be alive.
    pub(crate) view: View,
    /// The view before the last change, which names the previous owners.
    pub(crate) previous: View,
    /// Where peer datagrams of each known VM arrive, those outside the view included.
    pub(crate) book: BTreeMap<Name, SocketAddr>,
    /// The configuration in force on this VM.
    pub(crate) state: State,
    /// The packet path's tables, made from the configuration.
    pub(crate) router: Router,
    /// Until when this VM may rely on its configuration, or `None` where no lease is kept.
    pub(crate) lease: Option<Time>,
    /// Whether the lease on the configuration has lapsed, so that it may be out of date.
    pub(crate) careful: bool,
    /// Whether the configuration was whole at some time since the start: it came from the shell or
    /// the disk, carried a lease, or equalled the head's.
    pub(crate) whole: bool,
    /// Where the records of tracked flows are; written by the flow service.
    pub(crate) handover: Handover,
}

impl Shared {
    /// Works out whether the lease has lapsed at `now`; returns whether it has just done so.
    pub(crate) fn lapse(&mut self, now: Time) -> bool {
        let Some(until) = self.lease else { return false };
        let before = std::mem::replace(&mut self.careful, now >= until);
        self.careful && !before
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
    /// Returns the node of the VM `me`, which has no configuration and knows no other VM; its view
    /// and its configuration come from the shell.
    pub fn new(me: Member) -> EntryNode {
        let members = Members::with_external_views(me.clone());
        EntryNode::with_spread(me, members, ConfigSync::with_external_entries())
    }

    /// Returns the node of the VM `me`, which finds the other entry VMs itself; its configuration
    /// comes from the shell.
    ///
    /// It tries the peer addresses `seeds` first. Where `me` is not ready, it becomes so once it
    /// holds what its predecessors held; the first VM is ready at once.
    pub fn with_seeds(me: Member, seeds: Vec<SocketAddr>) -> EntryNode {
        let members = Members::new(me.clone(), seeds);
        EntryNode::with_spread(me, members, ConfigSync::with_external_entries())
    }

    /// Returns a node as [`EntryNode::with_seeds`] does, which also fetches the configuration itself
    /// and starts from the configuration `state`; it is careful until it holds a lease, and takes no packets
    /// before its configuration is whole.
    pub fn with_leases(me: Member, seeds: Vec<SocketAddr>, state: State) -> EntryNode {
        let members = Members::new(me.clone(), seeds);
        let config = ConfigSync::new(me.incarnation, state.index);
        let mut node = EntryNode::with_spread(me, members, config);
        let shared = node.kernel.shared_mut();
        shared.router.load(&state);
        shared.state = state;
        shared.lease = Some(Time::ZERO);
        shared.careful = true;
        shared.whole = shared.state.index > 0;
        node
    }

    fn with_spread(me: Member, members: Members, config: ConfigSync) -> EntryNode {
        let view = View::new([me.clone()]);
        let shared = Shared {
            previous: view.clone(),
            book: BTreeMap::new(),
            view,
            me,
            state: State::new(),
            router: Router::new(),
            lease: None,
            careful: false,
            whole: true,
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

    /// Returns the configuration in force on this VM.
    pub fn state(&self) -> &State {
        &self.kernel.shared().state
    }

    /// Returns the entry VMs that this VM believes to be alive.
    pub fn view(&self) -> &View {
        &self.kernel.shared().view
    }

    /// Returns whether this VM holds the records of the flows that it would own, so that it may
    /// be announced as ready.
    pub fn holds_records(&self) -> bool {
        self.kernel.shared().handover.records_received
    }

    /// Returns whether other VMs hold all records that this VM had to hand over, so that it may
    /// stop once it was announced as not ready.
    pub fn has_handed(&self) -> bool {
        self.kernel.shared().handover.records_sent
    }

    /// Returns the view before the last change.
    pub fn previous(&self) -> &View {
        &self.kernel.shared().previous
    }

    /// Returns where peer datagrams of `vm` arrive, also where it is not in the view.
    pub fn peer_addr(&self, vm: &str) -> Option<SocketAddr> {
        let shared = self.kernel.shared();
        let viewed = shared.view.members.get(vm).map(|member| member.peers);
        viewed.or_else(|| shared.book.get(vm).copied())
    }

    /// Returns whether the lease on the configuration has lapsed at `now`, so that every bucket is
    /// treated as moving.
    pub fn is_careful(&self, now: Time) -> bool {
        let shared = self.kernel.shared();
        shared.lease.map_or(shared.careful, |until| now >= until)
    }

    /// Returns the counts of this VM.
    pub fn counters(&self) -> &Counters {
        self.kernel.counters()
    }

    /// Adds one to `counter`, for what happens outside the node.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.kernel.count(counter);
    }

    /// Handles one event and appends what the shell has to do to `out`.
    pub fn handle(&mut self, now: Time, event: EntryEvent, out: &mut Vec<EntryAction>) {
        self.lapse(now);
        match event {
            EntryEvent::Packet(bytes) => self.packet(now, &bytes, out),
            EntryEvent::FromServer { from, bytes } => self.server_message(now, from, &bytes, out),
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

    /// Handles one Geneve packet; allocates nothing for the packet of a flow that is not tracked.
    pub fn packet(&mut self, now: Time, bytes: &[u8], out: &mut Vec<EntryAction>) {
        self.lapse(now);
        let Ok(geneve) = Geneve::decode(bytes) else {
            self.kernel.count(Counter::PacketsMalformed);
            return;
        };
        let shared = self.kernel.shared();
        if !shared.whole {
            self.kernel.count(Counter::PacketsEarly);
            return;
        }
        let msg = match shared.router.route(&shared.state, shared.careful, geneve.inner) {
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

    /// Notices a lapsed lease before the event is handled, also after the process was paused.
    fn lapse(&mut self, now: Time) {
        if self.kernel.shared_mut().lapse(now) {
            self.kernel.count(Counter::LeasesLapsed);
        }
    }

    fn server_message(
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
