//! VMs of a small deployment as separate processes, and calls of its operators.

use std::{
    fs::{self, File},
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv", "varna"];
pub const INTERNAL_PORT: u16 = 7720;
pub const CONTROL_PORT: u16 = 8166;
pub const READY_PORT: u16 = 8167;
pub const PACKET_PORT: u16 = 8172;
const METRICS_PORT: u16 = 9464;
/// Operators move on to another daemon after a second without a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// `record.txt`: what was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: File,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record { file: File::create(path).expect("record.txt"), start: Instant::now() }
    }

    pub fn line(&mut self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        self.file.write_all(line.as_bytes()).expect("record.txt");
    }
}

/// A network of loopback addresses and a temporary folder, removed at the end.
pub struct Site {
    net: [u8; 2],
    folder: PathBuf,
}

impl Site {
    /// Picks a network in which the ports of all VMs are free.
    pub fn new(name: &str) -> Site {
        let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        let mut number = seed ^ (std::process::id() << 8);
        let net = loop {
            number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let net = [(number >> 24) as u8 % 200 + 10, (number >> 16) as u8];
            let free = |host: u8, port| {
                let addr = SocketAddrV4::new(Ipv4Addr::new(127, net[0], net[1], host), port);
                TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
            };
            let ports = [INTERNAL_PORT, CONTROL_PORT, READY_PORT, PACKET_PORT, METRICS_PORT];
            if (11..40).all(|host| ports.iter().all(|port| free(host, *port))) {
                break net;
            }
        };
        let folder = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a temporary folder");
        Site { net, folder }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(host), port))
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.folder);
    }
}

/// A VM of the system with one process.
pub struct Vm {
    pub host: u8,
    program: &'static str,
    settings: PathBuf,
    data: PathBuf,
    child: Option<Child>,
}

impl Vm {
    /// Starts the program of `role` with the settings of filtrex-hq.
    pub fn start(site: &Site, role: &str, host: u8, zone: &str, seeds: &[u8], first: bool) -> Vm {
        let program = match role {
            "control" => "target/release/platform-control",
            _ => "target/release/platform-entry",
        };
        let data = site.folder.join(format!("data-{host}"));
        let seeds: Vec<_> =
            seeds.iter().map(|seed| site.addr(*seed, CONTROL_PORT).to_string()).collect();
        let data_line = match role {
            "control" => format!("dataDir = {data:?}\n"),
            _ => String::new(),
        };
        let binds = match role {
            "control" => format!("controlPlane = \"{}\"\n", site.addr(host, CONTROL_PORT)),
            _ => format!(
                "datagramAddr = \"{}\"\nready = \"{}\"\n",
                site.addr(host, PACKET_PORT),
                site.addr(host, READY_PORT)
            ),
        };
        let text = format!(
            "nodeName = \"{role}-{host}\"\nrole = \"{role}\"\nip = \"{}\"\nzone = \"{zone}\"\n\
             region = \"bg-south\"\ninternalPortRange = [{INTERNAL_PORT},7735]\nseeds = {seeds:?}\n\
             bootstrap = {first}\ncountsTowardTolerance = {}\nheartbeatMs = 1200\nforwardingMode = \"echo\"\nhash = \"mod\"\n\
             config_mode = \"highest\"\n{data_line}[zones]\nsofia-a = \"bg-south\"\n\
             sofia-b = \"bg-south\"\nplovdiv = \"bg-south\"\nvarna = \"bg-south\"\n[bindAddrs]\n\
             {binds}[limits]\nlinkMbps = 1000.0\n[faultTolerance]\nmachines = 1\nzones = 1\n\
             regions = 0\n[bounds]\ncontactMs = 4000\nackTimeoutMs = 5000\ncatchUpS = 4\n\
             configApplyMs = 3000\ngraceS = 6\nrecoveryS = 12\n",
            site.ip(host),
            role == "control"
        );
        let settings = site.folder.join(format!("node-{host}.toml"));
        fs::write(&settings, text).expect("a settings file");
        let mut vm = Vm { host, program, settings, data, child: None };
        vm.launch();
        vm
    }

    fn launch(&mut self) {
        let log = self.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new(self.program);
        command.env("GALENATRAIL_CONFIG", &self.settings).stdout(log).stderr(Stdio::null());
        self.child = Some(command.spawn().expect("the programs of the deploy file are built"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Sends SIGTERM and waits until the process has ended, `graceS` at most.
    pub fn terminate(&mut self) {
        let Some(child) = &mut self.child else { return };
        let pid = child.id().to_string();
        _ = Command::new("kill").args(["-TERM", &pid]).status();
        let since = Instant::now();
        while child.try_wait().is_ok_and(|status| status.is_none())
            && since.elapsed() < Duration::from_secs(6)
        {
            sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Kills the process, deletes its disk, and starts it at its old address after `down`, with
    /// `bootstrap` set to false.
    pub fn lose_disk(&mut self, down: Duration) {
        self.kill();
        _ = fs::remove_dir_all(&self.data);
        let text = fs::read_to_string(&self.settings).expect("the settings file");
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text).expect("the settings file");
        sleep(down);
        self.launch();
    }

    /// Prints what the process has logged, if the variable LOGS is set.
    fn print_log(&self) {
        if std::env::var("LOGS").is_ok() {
            let log = fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
            println!("--- log of host {}\n{log}", self.host);
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
        self.print_log();
    }
}

/// Sends one HTTP request; returns the status and the body, or `None` without an answer in a second.
pub fn http(addr: SocketAddr, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    http_bytes(addr, method, path, body.as_bytes())
}

/// Sends one HTTP request with a body of any bytes.
pub fn http_bytes(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    let len = body.len();
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {len}\r\n\r\n"
    )
    .into_bytes();
    request.extend(body);
    stream.write_all(&request).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
}

/// An operator, who knows the addresses of the control VMs and asks them in turn.
pub struct Operator {
    pub hosts: Vec<u8>,
}

impl Operator {
    /// Sends the same call to one control VM after the other until one answers with 200 or `limit`
    /// is over. Returns the control VM that answered, with the body.
    pub fn call(
        &self,
        site: &Site,
        record: &mut Record,
        (method, path, body): (&str, &str, &str),
        limit: Duration,
    ) -> Option<(u8, String)> {
        let since = Instant::now();
        let (mut last, mut tries) = (String::new(), 0);
        let mut pause = Duration::from_millis(100);
        while since.elapsed() < limit {
            let host = self.hosts[tries % self.hosts.len()];
            tries += 1;
            match http(site.addr(host, CONTROL_PORT), method, path, body) {
                Some((200, body)) => {
                    record.line(&format!("{method} {path}: 200 by {host}, try {tries}"));
                    return Some((host, body));
                }
                Some((status, text)) => last = format!("{host}: {status} {text}"),
                None => last = format!("{host}: no answer"),
            }
            sleep(pause);
            pause = (pause * 3 / 2).min(Duration::from_secs(1));
        }
        record.line(&format!(
            "{method} {path}: no 200 in {} s and {tries} tries; the last: {last}",
            limit.as_secs()
        ));
        None
    }

    /// Sends a configuration.
    pub fn replace(
        &self,
        site: &Site,
        record: &mut Record,
        version: u64,
        limit: Duration,
    ) -> Option<u8> {
        record.line(&format!("configuration {version} is sent"));
        let body = config(version);
        let call = ("POST", "/api/config/replace", body.as_str());
        self.call(site, record, call, limit).map(|(host, _)| host)
    }
}

/// A configuration with one route.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"198.18.0.1\",\
         \"pathPrefix\":\"/8080/\",\"type\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":150,\
         \"priority\":1,\"service\":\"hub\",\"maxAttempts\":2}}],\"services\":[{{\"name\":\"hub\",\
         \"healthPath\":\"/health\",\"maxConns\":2000,\"protocol\":\"h1\",\"tls\":false,\
         \"warmupS\":2.0,\"warmupPerS\":0.0}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}
