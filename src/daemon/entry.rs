//! Event loop of the entry daemon.

use std::{cell::Cell, io, net::SocketAddr, time::Duration};

use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, interval},
};

use crate::{
    counter::Counter,
    daemon::{
        config_file::ConfigFile,
        control_client::ControlClient,
        metrics::{self, Metrics},
        peers::{self, PeerSocket},
        udp,
    },
    entry::{EntryAction, EntryEvent, EntryNode},
    error::{Error, Result},
    member::Member,
    packet,
    settings::{Checked, EntrySettings, Settings},
    state::State,
    time::Time,
};

const REPLY_QUEUE_LEN: usize = 1024;
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time that running requests have to finish after a stop signal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after a stop signal at which the process exits even if it has not left the membership.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(35);

/// Sockets, control VM client and configuration file of an entry daemon.
struct Io {
    packets: UdpSocket,
    peers: PeerSocket,
    requests: UdpSocket,
    fabric: SocketAddr,
    control: ControlClient,
    config_file: Option<ConfigFile>,
    left: Cell<bool>,
    drained: Cell<bool>,
}

struct EventLoop {
    node: EntryNode,
    io: Io,
    actions: Vec<EntryAction>,
    started_at: Instant,
    metrics: Metrics,
}

/// Runs an entry node until `stop` completes or a socket fails.
///
/// # Errors
///
/// Fails when an address, the key file or the data folder of the settings cannot be used, or when
/// a socket fails.
pub async fn run_entry(
    settings: Settings<EntrySettings, Checked>,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let (replies, mut reply_queue) = mpsc::channel(REPLY_QUEUE_LEN);
    let me = Member {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        packets: settings.packets,
        peers: settings.peers,
        incarnation: peers::unix_time().as_millis() as u64,
        ready: false,
    };
    let (config_file, state) = match &settings.data {
        Some(folder) => {
            ConfigFile::open(folder).map(|(config_file, state)| (Some(config_file), state))?
        }
        None => (None, State::new()),
    };
    let io = Io {
        packets: bind("packets", settings.packets).await?,
        peers: PeerSocket::new(bind("peers", settings.peers).await?, &me, &settings)?,
        requests: bind("requests", settings.requests).await?,
        fabric: settings.fabric,
        control: ControlClient::start(settings.control.clone(), replies),
        config_file,
        left: Cell::new(false),
        drained: Cell::new(false),
    };
    let metrics = Metrics::new(&settings.name, &settings.zone);
    if let Some(addr) = settings.metrics {
        metrics::serve(addr, metrics.clone()).await?;
    }
    let node = EntryNode::with_leases(me, settings.seeds.clone(), state);
    let mut event_loop =
        EventLoop { node, io, actions: Vec::new(), started_at: Instant::now(), metrics };
    log::info!("serving packets on {}", settings.packets);
    let mut ticks = interval(TICK_INTERVAL);
    let mut packet_buf = vec![0; udp::MAX_DATAGRAM_LEN];
    let mut peer_buf = vec![0; udp::MAX_DATAGRAM_LEN];
    let mut message_buf = vec![0; udp::MAX_DATAGRAM_LEN];
    tokio::pin!(stop);
    let mut deadline = None;
    loop {
        if event_loop.io.has_ended() || deadline.is_some_and(|deadline| Instant::now() >= deadline)
        {
            return Ok(());
        }
        tokio::select! {
            () = &mut stop, if deadline.is_none() => {
                deadline = Some(Instant::now() + LEAVE_TIMEOUT);
                let limit_ms = DRAIN_TIMEOUT.as_millis() as u64;
                event_loop.handle_event(EntryEvent::Drain { limit_ms });
                event_loop.handle_event(EntryEvent::Leave);
            }
            ready = event_loop.io.packets.readable() => {
                if let Err(err) = ready.and_then(|()| event_loop.receive_packets(&mut packet_buf)) {
                    return Err(err.into());
                }
            }
            ready = event_loop.io.peers.readable() => {
                if let Err(err) = ready.and_then(|()| event_loop.receive_peers(&mut peer_buf)) {
                    return Err(err.into());
                }
            }
            received = event_loop.io.requests.recv_from(&mut message_buf) => match received {
                Ok((len, from)) => {
                    let bytes = message_buf[..len].to_vec();
                    event_loop.handle_event(EntryEvent::FromServer { from, bytes });
                }
                Err(err) => return Err(err.into()),
            },
            Some((report, entries)) = reply_queue.recv() => {
                event_loop.handle_event(EntryEvent::Reply { report, entries });
            }
            _ = ticks.tick() => {
                event_loop.handle_event(EntryEvent::Tick);
                event_loop.metrics.publish(event_loop.node.counters());
            }
        }
    }
}

impl EventLoop {
    fn receive_packets(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let now = self.now();
        let EventLoop { node, io, actions, .. } = self;
        udp::receive_batch(&io.packets, buf, |bytes, _| {
            node.handle_packet(now, bytes, actions);
            io.execute(node, actions, bytes);
        })
        .map(drop)
    }

    fn handle_event(&mut self, event: EntryEvent) {
        let now = self.now();
        self.node.handle(now, event, &mut self.actions);
        self.io.execute(&mut self.node, &mut self.actions, &[]);
    }

    fn receive_peers(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let mut received = Vec::new();
        self.io.peers.receive(buf, |result| received.push(result))?;
        for result in received {
            match result {
                Ok((from, message)) => self.handle_event(EntryEvent::Peer { from, message }),
                Err(counter) => self.node.count(counter),
            }
        }
        Ok(())
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }
}

impl Io {
    fn execute(&self, node: &mut EntryNode, actions: &mut Vec<EntryAction>, received: &[u8]) {
        for action in actions.drain(..) {
            let sent = match action {
                EntryAction::Forward { to } => udp::send(&self.packets, received, to),
                EntryAction::Send { to, bytes } => udp::send(&self.packets, &bytes, to),
                EntryAction::ToCaller { packet } => {
                    udp::send(&self.packets, &packet::encapsulate(&packet), self.fabric)
                }
                EntryAction::ToServer { to, bytes } => udp::send(&self.requests, &bytes, to),
                EntryAction::ToPeer { to, message } => self.peers.send(node, &to, &message),
                EntryAction::ToSeed { to, message } => self.peers.send_to(to, &message),
                EntryAction::Submit(command) => self.control.submit(command),
                EntryAction::Report { report, progress } => self.control.report(report, progress),
                EntryAction::Save => self.save(node.state()),
                EntryAction::Left => {
                    self.left.set(true);
                    true
                }
                EntryAction::Drained { .. } => {
                    self.drained.set(true);
                    true
                }
            };
            if !sent {
                node.count(Counter::DatagramsUnsent);
            }
        }
    }

    /// Returns whether the VM has left the membership and finished its requests.
    fn has_ended(&self) -> bool {
        self.left.get() && self.drained.get()
    }

    /// Writes the configuration to disk on a blocking thread.
    fn save(&self, state: &State) -> bool {
        let Some(config_file) = self.config_file.clone() else { return true };
        let state = state.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(err) = config_file.write(&state) {
                log::error!("cannot save the configuration: {err}; check the data folder's disk");
            }
        });
        true
    }
}

async fn bind(key: &str, addr: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(addr).await.map_err(|err| {
        let message = format!("{addr}: {err}; free the address or choose another");
        Error::settings(message).with_path(key)
    })
}
