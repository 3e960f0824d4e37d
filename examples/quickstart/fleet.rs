//! Control VMs, entry VMs and stand-ins of one deployment.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use eyre::ensure;
use galenatrail::{
    Announce, Branch, Command, ControlSettings, EntrySettings, Settings, accepted_revision,
    rpc::{self, ControlApiClient},
    run_control, run_entry,
    standin::{Fabric, Server, loopback},
};
use jsonrpsee::server::ServerHandle;
use tokio::{task::JoinHandle, time::sleep};

use crate::flows::Callers;

/// Availability zones of the deployment.
pub(crate) const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv", "varna"];

const CONTROLS: u8 = 3;
const ENTRIES: u8 = 8;
const HUB_SERVERS: u8 = 14;
const DESK_SERVERS: u8 = 4;
const CONTROL_HOST: u8 = 10;
const ENTRY_HOST: u8 = 20;
const SERVER_HOST: u8 = 40;
const FABRIC_HOST: u8 = 2;
const WORK: Duration = Duration::from_millis(20);
const PAUSE: Duration = Duration::from_millis(200);
const TRIES: usize = 100;

/// Address of the flow service.
pub(crate) fn hub() -> SocketAddr {
    loopback(100, 80)
}

/// Address of the request service.
pub(crate) fn desk() -> SocketAddr {
    loopback(101, 5683)
}

/// Packet addresses of the entry VMs.
pub(crate) fn entries() -> Vec<SocketAddr> {
    (0..ENTRIES).map(|n| loopback(ENTRY_HOST + n, 6081)).collect()
}

/// A running deployment.
pub(crate) struct Fleet {
    /// Keep the control VMs running.
    _control: Vec<ServerHandle>,
    entries: Vec<JoinHandle<galenatrail::Result<()>>>,
    /// Backend servers with their availability zones.
    pub(crate) servers: Vec<(Announce, Server)>,
    keys: PathBuf,
}

impl Fleet {
    /// Starts every process; control keeps its data below `folder`.
    pub(crate) async fn start(folder: &Path) -> eyre::Result<Fleet> {
        fs::create_dir_all(folder)?;
        let keys = folder.join("keys");
        fs::write(&keys, format!("{:064x}\n", std::process::id()))?;
        let mut control = Vec::new();
        for n in 0..CONTROLS {
            control.push(start_control(folder, &keys, n).await?);
        }
        let start = |n| start_entry(&keys, n);
        let entries = (0..ENTRIES).map(start).collect::<eyre::Result<Vec<_>>>()?;
        let mut servers = Vec::new();
        for n in 0..HUB_SERVERS {
            servers.push(server(format!("hub-{n}"), "workshop-hub", hub(), n).await?);
        }
        for n in 0..DESK_SERVERS {
            let host = HUB_SERVERS + n;
            servers.push(server(format!("desk-{n}"), "cert-desk", desk(), host).await?);
        }
        let fleet = Fleet { _control: control, entries, servers, keys };
        fleet.submit(apply()?).await?;
        Ok(fleet)
    }

    /// Waits until flows and requests are answered.
    pub(crate) async fn ready(&self, callers: &Callers) -> eyre::Result<()> {
        for _ in 0..TRIES {
            if callers.probe().await {
                return Ok(());
            }
            sleep(PAUSE).await;
        }
        eyre::bail!("the deployment did not answer; run with a free set of loopback ports")
    }

    /// Returns the callers' side.
    pub(crate) async fn callers(&self) -> eyre::Result<Callers> {
        let fabric = Fabric::new(loopback(FABRIC_HOST, 6081)).await?;
        Ok(Callers::new(fabric, &self.servers))
    }

    /// Starts or ends the drain of a backend server.
    pub(crate) fn drain(&self, name: &str, draining: bool) {
        let servers = self.servers.iter().filter(|(announce, _)| &*announce.server == name);
        servers.for_each(|(_, server)| server.set_draining(draining));
    }

    /// Ends entry VM `n` without notice and starts it anew.
    pub(crate) async fn restart(&mut self, n: u8) -> eyre::Result<()> {
        let old = &mut self.entries[usize::from(n)];
        old.abort();
        _ = old.await;
        sleep(PAUSE).await;
        self.entries[usize::from(n)] = start_entry(&self.keys, n)?;
        Ok(())
    }

    /// Takes an availability zone out or back in.
    pub(crate) async fn zone(&self, zone: &str, out: bool) -> eyre::Result<()> {
        self.submit(Command::Zone { zone: zone.into(), out }).await
    }

    /// Sends `command` to the control VMs in turn until one answers; the control VMs see to it that
    /// a repeat does nothing.
    async fn submit(&self, command: Command) -> eyre::Result<()> {
        for n in (0..CONTROLS).cycle().take(TRIES) {
            let client = rpc::client(control(n))?;
            if let Ok(outcome) = client.submit(command.clone()).await {
                accepted_revision(outcome)?;
                return Ok(());
            }
            sleep(PAUSE).await;
        }
        eyre::bail!("no control VM answered; run with a free set of loopback ports")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.iter().for_each(JoinHandle::abort);
    }
}

fn control(n: u8) -> SocketAddr {
    loopback(CONTROL_HOST + n, 8500)
}

async fn start_control(folder: &Path, keys: &Path, n: u8) -> eyre::Result<ServerHandle> {
    let voters = (0..CONTROLS).map(|n| format!("control-{n} = \"{}\"\n", control(n)));
    let text = format!(
        "name = \"control-{n}\"\nzone = \"{}\"\nlisten = \"{}\"\ndata = {:?}\n\
         keys = {keys:?}\n[voters]\n{}",
        ZONES[usize::from(n)],
        control(n),
        folder.join(n.to_string()),
        voters.collect::<String>()
    );
    let settings = Settings::<ControlSettings>::parse(&text)?.check()?;
    Ok(run_control(settings).await?)
}

fn start_entry(keys: &Path, n: u8) -> eyre::Result<JoinHandle<galenatrail::Result<()>>> {
    let zone = ZONES[usize::from(n) % ZONES.len()];
    let host = ENTRY_HOST + n;
    let text = format!(
        "name = \"{zone}-{}\"\nzone = \"{zone}\"\npackets = \"{}\"\npeers = \"{}\"\n\
         seeds = [\"{}\", \"{}\"]\nrequests = \"{}\"\nfabric = \"{}\"\nkeys = {keys:?}\n\
         control = [\"{}\", \"{}\", \"{}\"]\n",
        usize::from(n) / ZONES.len() + 1,
        loopback(host, 6081),
        loopback(host, 7946),
        loopback(ENTRY_HOST, 7946),
        loopback(ENTRY_HOST + 1, 7946),
        loopback(host, 5683),
        loopback(FABRIC_HOST, 6081),
        control(n % CONTROLS),
        control((n + 1) % CONTROLS),
        control((n + 2) % CONTROLS)
    );
    let settings = Settings::<EntrySettings>::parse(&text)?.check()?;
    Ok(tokio::spawn(run_entry(settings, std::future::pending())))
}

async fn server(
    name: String,
    service: &str,
    addr: SocketAddr,
    n: u8,
) -> eyre::Result<(Announce, Server)> {
    let zone = usize::from(n) % ZONES.len();
    let announce = Announce {
        server: name.into(),
        service: service.into(),
        zone: ZONES[zone].into(),
        packets: loopback(SERVER_HOST + n, 6081),
        requests: loopback(SERVER_HOST + n, 5683),
        boot: 1,
        slots: 2,
        connections: 2_000,
        draining: false,
    };
    // The two entry VMs of the server's own availability zone.
    let own = [zone, zone + ZONES.len()].map(|host| loopback(ENTRY_HOST + host as u8, 5683));
    let server = Server::new(announce.clone(), addr, WORK, own.to_vec()).await?;
    Ok((announce, server))
}

fn apply() -> eyre::Result<Command> {
    let text = format!(
        "[services.workshop-hub]\naddress = \"{}\"\nport = {}\nprotocol = \"tcp\"\nidle_s = 2\n\
         [services.cert-desk]\naddress = \"{}\"\nport = {}\nprotocol = \"udp\"\n\
         mode = \"request\"\n",
        hub().ip(),
        hub().port(),
        desk().ip(),
        desk().port()
    );
    let branch: Branch = toml::from_str(&text)?;
    ensure!(branch.services.len() == 2, "two services");
    Ok(Command::Apply { team: "filtrex".into(), base: 0, branch })
}
