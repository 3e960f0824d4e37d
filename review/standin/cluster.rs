//! The programs of the deploy file on loopback addresses, and the platform's routers.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{http, record::note};

/// Availability zones; each has one core machine and one edge machine.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Interval at which servers send heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const DRAIN: Duration = Duration::from_millis(3_000);
pub const ACK_TIMEOUT: Duration = Duration::from_millis(5_000);
pub const EVACUATE: Duration = Duration::from_millis(5_000);
pub const ADDR_REUSE: Duration = Duration::from_millis(2_000);
pub const MAX_FLOW: Duration = Duration::from_secs(60);
pub const IDLE: Duration = Duration::from_secs(15);

/// Port at which the programs serve their metrics (deploy file).
const METRICS_PORT: u16 = 9_464;
/// Time between SIGTERM and SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const START_TIMEOUT: Duration = Duration::from_secs(30);

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that were started, by id.
static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The temporary folder of the run.
static FOLDER: OnceLock<PathBuf> = OnceLock::new();

/// Log lines of the programs that the record repeats.
const RECORDED_EVENTS: [&str; 6] = [
    "event=order ",
    "event=left ",
    "event=superseded ",
    "event=judged ",
    "event=flows_reset ",
    "event=plan ",
];

/// Ends all processes that were started, copies their log lines on orders and servers that are gone
/// into the record, and removes the temporary folder.
pub fn end() {
    let mut started = STARTED.lock().unwrap_or_else(|err| err.into_inner());
    for child in started.iter_mut() {
        _ = child.kill();
        _ = child.wait();
    }
    started.clear();
    let Some(folder) = FOLDER.get() else { return };
    let mut logs: Vec<PathBuf> = fs::read_dir(folder)
        .into_iter()
        .flatten()
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "log"))
        .collect();
    logs.sort();
    for path in logs {
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        let log = fs::read_to_string(&path).unwrap_or_default();
        let recorded =
            log.lines().filter(|line| RECORDED_EVENTS.iter().any(|event| line.contains(event)));
        recorded.for_each(|line| note(&format!("log of {name}: {line}")));
    }
    _ = fs::remove_dir_all(folder);
}

/// Addresses and ports of a run.
#[derive(Debug, Clone, Copy)]
pub struct Net {
    base: [u8; 2],
    pub packets: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: u16,
}

impl Net {
    /// Finds a loopback network with free ports.
    fn find() -> Net {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
        let mut seed = time.subsec_nanos() ^ std::process::id();
        for _ in 0..100 {
            seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let [_, x, y, z] = seed.to_be_bytes();
            let port = 20_000 + u16::from(z) * 20;
            let net = Net {
                base: [64 + x % 128, y],
                packets: port,
                ready: port + 1,
                control: port + 2,
                internal: port + 3,
            };
            let ports = [net.packets, net.ready, net.control, net.internal, METRICS_PORT];
            let free = (10..160).all(|host| {
                ports.iter().all(|port| {
                    let addr = net.addr(host, *port);
                    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
                })
            });
            if free {
                return net;
            }
        }
        panic!("there are no free ports");
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base[0], self.base[1], host)
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(self.socket(host, port))
    }

    pub fn socket(&self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), port)
    }
}

/// One machine with one process.
pub struct Machine {
    pub name: String,
    pub host: u8,
    program: &'static str,
    pid: i32,
    settings: PathBuf,
    log: PathBuf,
}

impl Machine {
    fn start(
        net: &Net,
        folder: &Path,
        class: &str,
        zone: &str,
        host: u8,
        build: Option<&str>,
    ) -> Machine {
        let (program, serves) = match class {
            "core" => ("target/release/platform-control", "control"),
            _ => ("target/release/platform-entry", "edge"),
        };
        let name = format!("{class}-{zone}-1");
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, settings_text(net, folder, class, serves, zone, &name, host))
            .expect("the settings can be written");
        let log = settings.with_extension("log");
        let mut machine = Machine { name, host, program, pid: 0, settings, log };
        machine.spawn(build);
        machine
    }

    /// Starts the program of the machine, from the repository in the folder `build` if there is one.
    fn spawn(&mut self, build: Option<&str>) {
        let program =
            build.map_or(self.program.into(), |build| format!("{build}/{}", self.program));
        let output = |extension: &str| {
            let path = self.log.with_extension(extension);
            let file = File::options().create(true).append(true).open(path);
            file.expect("the log can be opened")
        };
        let child = Command::new(&program)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&&**name)))
            .env("GALENATRAIL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(output("log"))
            .stderr(output("err"))
            .spawn()
            .unwrap_or_else(|err| panic!("{program}: {err}"));
        self.pid = child.id() as i32;
        STARTED.lock().unwrap_or_else(|err| err.into_inner()).push(child);
        note(&format!("started {program} on {} as process {}", self.name, self.pid));
    }

    /// Stops the program in order and starts it again with its disk, from the repository in the folder
    /// `build` if there is one.
    pub fn upgrade(&mut self, build: Option<&str>) {
        self.signal(SIGTERM);
        let until = Instant::now() + GRACE;
        while !self.has_ended() {
            if Instant::now() >= until {
                self.signal(SIGKILL);
            }
            thread::sleep(Duration::from_millis(20));
        }
        let text = fs::read_to_string(&self.settings).expect("the settings can be read");
        fs::write(&self.settings, text.replace("bootstrap = true", "bootstrap = false"))
            .expect("the settings can be written");
        self.spawn(build);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut started = STARTED.lock().unwrap_or_else(|err| err.into_inner());
        let child = started.iter_mut().find(|child| child.id() as i32 == self.pid);
        child.is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Starts the program again if it has ended by itself; returns whether it had.
    pub fn restart_ended(&mut self, build: Option<&str>) -> bool {
        let ended = self.has_ended();
        if ended {
            note(&format!("{} has ended by itself", self.name));
            self.spawn(build);
        }
        ended
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        note(&format!("signal {signal} to {}", self.name));
        // SAFETY: the process was started here and has not been waited for.
        let result = unsafe { kill(self.pid, signal) };
        assert_eq!(result, 0, "{} has ended", self.name);
    }

    /// Returns what the program wrote to standard error.
    pub fn errors(&self) -> Vec<String> {
        let errors = fs::read_to_string(self.log.with_extension("err")).unwrap_or_default();
        errors.lines().map(str::to_owned).collect()
    }

    /// Returns the log lines that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

fn settings_text(
    net: &Net,
    folder: &Path,
    class: &str,
    serves: &str,
    zone: &str,
    name: &str,
    host: u8,
) -> String {
    let seeds: Vec<String> = (10..13).map(|seed| net.addr(seed, net.control).to_string()).collect();
    let (core, cpu) = (class == "core", if class == "core" { "0.3" } else { "0.055" });
    let data = folder.join(format!("data-{name}"));
    let data = if core { format!("dataDir = {data:?}\n") } else { String::new() };
    let zones: String = ZONES.iter().map(|zone| format!("{zone} = \"region\"\n")).collect();
    let bind = match core {
        true => format!("controlPlane = \"{}\"\n", net.addr(host, net.control)),
        false => format!(
            "datagramAddr = \"{}\"\nready = \"{}\"\n",
            net.addr(host, net.packets),
            net.addr(host, net.ready)
        ),
    };
    format!(
        "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\n\
         serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
         internalPortRange = [{first},{last}]\nseeds = {seeds:?}\nbootstrap = true\n\
         countsTowardTolerance = {core}\n{data}discovery = \"registry\"\nentry = \"announcement\"\n\
         heartbeatMs = {heartbeat}\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\"]\n\
         config_mode = \"highest\"\nhash = \"mod\"\nforwardingMode = \"echo\"\n[zones]\n{zones}\
         [bindAddrs]\n{bind}[limits]\ncpuFraction = {cpu}\ncores = 1\nmemoryMb = 256\n\
         maxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n\
         [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseedLagS = 3\n\
         addrReuseS = 2\ncontactMs = 4000\nackTimeoutMs = 5000\ncatchUpS = 4\ndrainMs = 3000\n\
         graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\n\
         outerMs = 12000\nwarmupFactor = 1.5\nwarmupSlack = 5\nevacuateMs = 5000\n\
         recoveryS = 12\nflowSlackMs = 2000\nmaxFlowS = 60\n",
        role = if core { "control" } else { "entry" },
        ip = net.ip(host),
        first = net.internal,
        last = net.internal + 15,
        heartbeat = HEARTBEAT.as_millis(),
    )
}

/// The routers: each client's packets go to an edge machine of its zone that is in rotation, or to
/// those of the other zones if there is none.
#[derive(Clone, Default)]
pub struct Routers {
    rotation: Arc<Mutex<BTreeMap<&'static str, Vec<SocketAddr>>>>,
}

impl Routers {
    pub fn select(&self, zone: &str, from: SocketAddrV4, to: SocketAddrV4) -> Option<SocketAddr> {
        let rotation = self.rotation.lock().unwrap_or_else(|err| err.into_inner());
        let own = rotation.get(zone).filter(|daemons| !daemons.is_empty());
        let all: Vec<SocketAddr> = match own {
            Some(daemons) => daemons.clone(),
            None => rotation.values().flatten().copied().collect(),
        };
        let hash = format!("{from}{to}")
            .bytes()
            .fold(7_usize, |hash, byte| hash.wrapping_mul(31).wrapping_add(usize::from(byte)));
        all.get(hash % all.len().max(1)).copied()
    }
}

/// A deployment of three zones.
pub struct Cluster {
    pub net: Net,
    pub cores: Vec<Machine>,
    pub edges: Vec<Machine>,
    pub routers: Routers,
}

impl Cluster {
    /// Starts the deployment, with the programs of the repository in the folder `build` if there is
    /// one.
    pub fn start(build: Option<&str>) -> Cluster {
        let net = Net::find();
        let folder = std::env::temp_dir().join(format!("galenatrail-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        _ = FOLDER.set(folder.clone());
        let machines = |class: &str, first: u8| {
            let zones = ZONES.iter().zip(first..);
            zones
                .map(|(zone, host)| Machine::start(&net, &folder, class, zone, host, build))
                .collect()
        };
        let (cores, edges) = (machines("core", 10), machines("edge", 20));
        Cluster { net, cores, edges, routers: Routers::default() }
    }

    /// Returns the addresses of the daemons that serve control, beginning with core machine `first`.
    pub fn daemons(&self, first: usize) -> Vec<SocketAddr> {
        let count = self.cores.len();
        let hosts = (0..count).map(|step| self.cores[(first + step) % count].host);
        hosts.map(|host| self.net.addr(host, self.net.control)).collect()
    }

    /// Sends the first configuration until it is accepted.
    pub fn configure(&self, body: &str) {
        let sent = http::order(&self.daemons(0), "/api/config/replace", body, START_TIMEOUT);
        assert!(sent, "the first configuration was not acknowledged");
    }

    /// Starts the routers' probes and waits until all edge machines are in rotation.
    pub fn wait_ready(&self) {
        for (edge, zone) in self.edges.iter().zip(ZONES) {
            let (routers, net, host) = (self.routers.clone(), self.net, edge.host);
            thread::spawn(move || probe(&routers, &net, zone, host));
        }
        let until = Instant::now() + START_TIMEOUT;
        while self.routers.rotation.lock().unwrap().len() < self.edges.len() {
            assert!(Instant::now() < until, "the edge machines did not become ready");
            thread::sleep(Duration::from_millis(50));
        }
        note("all edge machines are in rotation");
    }

    /// Returns the place of a core machine that doesn't seem to lead.
    pub fn follower(&self) -> usize {
        let log = |core: &Machine| core.log_lines("event=log state=").pop().unwrap_or_default();
        let follower = self.cores.iter().rposition(|core| !log(core).contains("Leader"));
        follower.expect("there is a follower")
    }
}

/// Probes a daemon twice a second; two misses take it out of rotation.
fn probe(routers: &Routers, net: &Net, zone: &'static str, host: u8) {
    let mut misses = 0;
    loop {
        let answer = http::request(net.addr(host, net.ready), "GET", "/api/ready", "");
        misses = if answer.is_some_and(|(status, _)| status == 200) { 0 } else { misses + 1 };
        let mut rotation = routers.rotation.lock().unwrap_or_else(|err| err.into_inner());
        match misses {
            0 => _ = rotation.insert(zone, vec![net.addr(host, net.packets)]),
            1 => {}
            _ => _ = rotation.remove(zone),
        }
        drop(rotation);
        thread::sleep(PROBE_INTERVAL);
    }
}
