//! A deployment with control VMs, entry VMs and simulated backend servers.

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

use crate::flows::CallerContext;

/// Availability zones of the deployment.
pub(crate) const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv", "varna"];

const CONTROL_VMS: u8 = 3;
const ENTRY_VMS: u8 = 8;
const HUB_SERVERS: u8 = 14;
const DESK_SERVERS: u8 = 4;
// Loopback host numbers; the VM or server number is added to them.
const CONTROL_HOST: u8 = 10;
const ENTRY_HOST: u8 = 20;
const SERVER_HOST: u8 = 40;
const FABRIC_HOST: u8 = 2;
const PROCESSING_TIME: Duration = Duration::from_millis(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
const MAX_ATTEMPTS: usize = 100;

/// Address of the flow service.
pub(crate) fn flow_service_addr() -> SocketAddr {
    loopback(100, 80)
}

/// Address of the request service.
pub(crate) fn request_service_addr() -> SocketAddr {
    loopback(101, 5683)
}

/// Addresses of the entry VMs for Geneve packets.
pub(crate) fn entry_addrs() -> Vec<SocketAddr> {
    (0..ENTRY_VMS).map(|n| loopback(ENTRY_HOST + n, 6081)).collect()
}

/// A running deployment.
pub(crate) struct Fleet {
    /// Handles that keep the control VMs running.
    _control_vms: Vec<ServerHandle>,
    entries: Vec<JoinHandle<galenatrail::Result<()>>>,
    /// Backend servers with their availability zones.
    pub(crate) servers: Vec<(Announce, Server)>,
    keys: PathBuf,
}

impl Fleet {
    /// Starts every VM and server; the control VMs store their data below `folder`.
    pub(crate) async fn start(folder: &Path) -> eyre::Result<Fleet> {
        fs::create_dir_all(folder)?;
        let keys = folder.join("keys");
        fs::write(&keys, format!("{:064x}\n", std::process::id()))?;
        let mut control_vms = Vec::new();
        for n in 0..CONTROL_VMS {
            control_vms.push(start_control(folder, &keys, n).await?);
        }
        let entries =
            (0..ENTRY_VMS).map(|n| start_entry(&keys, n)).collect::<eyre::Result<Vec<_>>>()?;
        let mut servers = Vec::new();
        for n in 0..HUB_SERVERS {
            servers.push(
                start_server(format!("hub-{n}"), "workshop-hub", flow_service_addr(), n).await?,
            );
        }
        for n in 0..DESK_SERVERS {
            let host = HUB_SERVERS + n;
            servers.push(
                start_server(format!("desk-{n}"), "cert-desk", request_service_addr(), host)
                    .await?,
            );
        }
        let fleet = Fleet { _control_vms: control_vms, entries, servers, keys };
        fleet.submit(apply_command()?).await?;
        Ok(fleet)
    }

    /// Waits until every entry VM forwards flows to a server that answers.
    pub(crate) async fn wait_until_ready(&self, context: &CallerContext) -> eyre::Result<()> {
        for _ in 0..MAX_ATTEMPTS {
            if context.probe().await {
                return Ok(());
            }
            sleep(RETRY_INTERVAL).await;
        }
        eyre::bail!("the deployment did not answer; run with a free set of loopback ports")
    }

    /// Creates the state shared by the callers.
    pub(crate) async fn caller_context(&self) -> eyre::Result<CallerContext> {
        let fabric = Fabric::new(loopback(FABRIC_HOST, 6081)).await?;
        Ok(CallerContext::new(fabric, &self.servers))
    }

    /// Starts or ends the drain of a backend server.
    pub(crate) fn set_draining(&self, name: &str, draining: bool) {
        let servers = self.servers.iter().filter(|(announce, _)| &*announce.server == name);
        servers.for_each(|(_, server)| server.set_draining(draining));
    }

    /// Aborts entry VM `n` without a graceful shutdown and starts it again.
    pub(crate) async fn restart(&mut self, n: u8) -> eyre::Result<()> {
        let task = &mut self.entries[usize::from(n)];
        task.abort();
        _ = task.await;
        sleep(RETRY_INTERVAL).await;
        self.entries[usize::from(n)] = start_entry(&self.keys, n)?;
        Ok(())
    }

    /// Takes an availability zone out of service or puts it back.
    pub(crate) async fn set_zone_out(&self, zone: &str, out: bool) -> eyre::Result<()> {
        self.submit(Command::Zone { zone: zone.into(), out }).await
    }

    /// Sends `command` to the control VMs in turn until one answers. If an answer was lost, the
    /// repeat of a zone command changes nothing; that of [`Command::Apply`] is refused, because its
    /// base revision is outdated.
    async fn submit(&self, command: Command) -> eyre::Result<()> {
        for n in (0..CONTROL_VMS).cycle().take(MAX_ATTEMPTS) {
            let client = rpc::client(control_addr(n))?;
            if let Ok(outcome) = client.submit(command.clone()).await {
                accepted_revision(outcome)?;
                return Ok(());
            }
            sleep(RETRY_INTERVAL).await;
        }
        eyre::bail!("no control VM answered; run with a free set of loopback ports")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.iter().for_each(JoinHandle::abort);
    }
}

fn control_addr(n: u8) -> SocketAddr {
    loopback(CONTROL_HOST + n, 8500)
}

async fn start_control(folder: &Path, keys: &Path, n: u8) -> eyre::Result<ServerHandle> {
    let voters = (0..CONTROL_VMS).map(|n| format!("control-{n} = \"{}\"\n", control_addr(n)));
    let text = format!(
        "name = \"control-{n}\"\nzone = \"{}\"\nlisten = \"{}\"\ndata = {:?}\n\
         keys = {keys:?}\n[voters]\n{}",
        ZONES[usize::from(n)],
        control_addr(n),
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
        control_addr(n % CONTROL_VMS),
        control_addr((n + 1) % CONTROL_VMS),
        control_addr((n + 2) % CONTROL_VMS)
    );
    let settings = Settings::<EntrySettings>::parse(&text)?.check()?;
    Ok(tokio::spawn(run_entry(settings, std::future::pending())))
}

async fn start_server(
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
    let local_entries =
        [zone, zone + ZONES.len()].map(|host| loopback(ENTRY_HOST + host as u8, 5683));
    let server =
        Server::new(announce.clone(), addr, PROCESSING_TIME, local_entries.to_vec()).await?;
    Ok((announce, server))
}

fn apply_command() -> eyre::Result<Command> {
    let text = format!(
        "[services.workshop-hub]\naddress = \"{}\"\nport = {}\nprotocol = \"tcp\"\nidle_s = 2\n\
         [services.cert-desk]\naddress = \"{}\"\nport = {}\nprotocol = \"udp\"\n\
         mode = \"request\"\n",
        flow_service_addr().ip(),
        flow_service_addr().port(),
        request_service_addr().ip(),
        request_service_addr().port()
    );
    let branch: Branch = toml::from_str(&text)?;
    ensure!(branch.services.len() == 2, "two services");
    Ok(Command::Apply { team: "filtrex".into(), base: 0, branch })
}
