//! Shell of the entry node.

use std::{cell::Cell, io, net::SocketAddr, time::Duration};

use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{Instant, interval},
};

use crate::{
    counter::Counter,
    daemon::{
        metrics::{self, Metrics},
        packets,
        peers::{self, Peers},
        saved::Saved,
        uplink::Uplink,
    },
    entry::{EntryAction, EntryEvent, EntryNode},
    error::{Error, Result},
    member::Member,
    packet,
    settings::{Checked, EntrySettings, Settings},
    state::State,
    time::Time,
};

const QUEUE_LEN: usize = 1024;
const TICK: Duration = Duration::from_millis(50);

/// Time for which running requests may end after the process was asked to stop.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Time that a planned leave may take before the process ends all the same.
const LEAVE_LIMIT: Duration = Duration::from_secs(35);

/// Sockets and queues of an entry daemon.
struct Io {
    packets: UdpSocket,
    peers: Peers,
    requests: UdpSocket,
    fabric: SocketAddr,
    uplink: Uplink,
    saved: Option<Saved>,
    left: Cell<bool>,
    drained: Cell<bool>,
}

struct Shell {
    node: EntryNode,
    io: Io,
    out: Vec<EntryAction>,
    origin: Instant,
    metrics: Metrics,
}

/// Runs an entry node until `stop` completes or a socket fails.
///
/// # Errors
///
/// Fails when an address of the settings cannot be used.
pub async fn run_entry(
    settings: Settings<EntrySettings, Checked>,
    stop: impl Future<Output = ()>,
) -> Result<()> {
    let (replies, mut answers) = mpsc::channel(QUEUE_LEN);
    let me = Member {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        packets: settings.packets,
        peers: settings.peers,
        incarnation: peers::wall().as_millis() as u64,
        ready: false,
    };
    let (saved, state) = match &settings.data {
        Some(folder) => Saved::open(folder).map(|(saved, state)| (Some(saved), state))?,
        None => (None, State::new()),
    };
    let io = Io {
        packets: bind("packets", settings.packets).await?,
        peers: Peers::new(bind("peers", settings.peers).await?, &me, &settings)?,
        requests: bind("requests", settings.requests).await?,
        fabric: settings.fabric,
        uplink: Uplink::start(settings.control.clone(), replies),
        saved,
        left: Cell::new(false),
        drained: Cell::new(false),
    };
    let metrics = Metrics::new(&settings.name, &settings.zone);
    if let Some(addr) = settings.metrics {
        metrics::serve(addr, metrics.clone()).await?;
    }
    let node = EntryNode::with_leases(me, settings.seeds.clone(), state);
    let mut shell = Shell { node, io, out: Vec::new(), origin: Instant::now(), metrics };
    log::info!("serving packets on {}", settings.packets);
    let mut ticks = interval(TICK);
    let mut packet = vec![0; packets::MAX_LEN];
    let mut peer = vec![0; packets::MAX_LEN];
    let mut message = vec![0; packets::MAX_LEN];
    tokio::pin!(stop);
    let mut limit = None;
    loop {
        if shell.io.has_ended() || limit.is_some_and(|limit| Instant::now() >= limit) {
            return Ok(());
        }
        tokio::select! {
            () = &mut stop, if limit.is_none() => {
                limit = Some(Instant::now() + LEAVE_LIMIT);
                let limit_ms = DRAIN_LIMIT.as_millis() as u64;
                shell.event(EntryEvent::Drain { limit_ms });
                shell.event(EntryEvent::Leave);
            }
            ready = shell.io.packets.readable() => {
                if let Err(err) = ready.and_then(|()| shell.packets(&mut packet)) {
                    return Err(err.into());
                }
            }
            ready = shell.io.peers.readable() => {
                if let Err(err) = ready.and_then(|()| shell.peers(&mut peer)) {
                    return Err(err.into());
                }
            }
            received = shell.io.requests.recv_from(&mut message) => match received {
                Ok((len, from)) => {
                    let bytes = message[..len].to_vec();
                    shell.event(EntryEvent::FromServer { from, bytes });
                }
                Err(err) => return Err(err.into()),
            },
            Some((report, entries)) = answers.recv() => {
                shell.event(EntryEvent::Reply { report, entries });
            }
            _ = ticks.tick() => {
                shell.event(EntryEvent::Tick);
                shell.metrics.publish(shell.node.counters());
            }
        }
    }
}

impl Shell {
    fn packets(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let now = self.now();
        let Shell { node, io, out, .. } = self;
        packets::drain(&io.packets, buf, |bytes, _| {
            node.handle_packet(now, bytes, out);
            io.act(node, out, bytes);
        })
        .map(drop)
    }

    fn event(&mut self, event: EntryEvent) {
        let now = self.now();
        self.node.handle(now, event, &mut self.out);
        self.io.act(&mut self.node, &mut self.out, &[]);
    }

    fn peers(&mut self, buf: &mut [u8]) -> io::Result<()> {
        let mut received = Vec::new();
        self.io.peers.drain(buf, |outcome| received.push(outcome))?;
        for outcome in received {
            match outcome {
                Ok((from, message)) => self.event(EntryEvent::Peer { from, message }),
                Err(refused) => self.node.count(refused),
            }
        }
        Ok(())
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}

impl Io {
    fn act(&self, node: &mut EntryNode, actions: &mut Vec<EntryAction>, received: &[u8]) {
        for action in actions.drain(..) {
            let sent = match action {
                EntryAction::Forward { to } => packets::send(&self.packets, received, to),
                EntryAction::Send { to, bytes } => packets::send(&self.packets, &bytes, to),
                EntryAction::ToCaller { packet } => {
                    packets::send(&self.packets, &packet::encapsulate(&packet), self.fabric)
                }
                EntryAction::ToServer { to, bytes } => packets::send(&self.requests, &bytes, to),
                EntryAction::ToPeer { to, message } => self.peers.send(node, &to, &message),
                EntryAction::ToSeed { to, message } => self.peers.send_to(to, &message),
                EntryAction::Submit(command) => self.uplink.submit(command),
                EntryAction::Report { report, progress } => self.uplink.report(report, progress),
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

    /// Returns whether the VM has left and its requests have ended.
    fn has_ended(&self) -> bool {
        self.left.get() && self.drained.get()
    }

    /// Writes the configuration beside the work of this task.
    fn save(&self, state: &State) -> bool {
        let Some(saved) = self.saved.clone() else { return true };
        let state = state.clone();
        tokio::task::spawn_blocking(move || {
            if let Err(err) = saved.write(&state) {
                log::error!("the configuration was not saved: {err}; check the data folder's disk");
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
