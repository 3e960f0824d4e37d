//! The programs of the deploy file as processes of a small deployment on loopback addresses.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use crate::{http, record::Record};

pub const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv", "varna"];
pub const VESTLAND: [&str; 4] = ["vestland-a", "vestland-b", "vestland-c", "vestland-d"];
pub const DATAGRAM_PORT: u16 = 8172;
pub const READY_PORT: u16 = 8167;
pub const CONTROL_PORT: u16 = 8166;
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const CONTACT: Duration = Duration::from_millis(4_000);
pub const ACK_TIMEOUT: Duration = Duration::from_millis(5_000);
pub const CATCH_UP: Duration = Duration::from_secs(4);
pub const RECOVERY: Duration = Duration::from_secs(12);

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Class {
    Edge,
    Core,
}

/// One machine and its process.
pub struct Machine {
    pub name: String,
    pub class: Class,
    pub ip: Ipv4Addr,
    pub zone: &'static str,
    folder: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CONTROL_PORT)
    }

    pub fn datagrams(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), DATAGRAM_PORT)
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join("node.toml")
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log.txt")
    }

    fn data_path(&self) -> PathBuf {
        self.folder.join("data")
    }

    pub fn write_settings(&self, seeds: &[SocketAddr], bootstrap: bool) {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let (class, serves, bind) = match self.class {
            Class::Edge => (
                "edge",
                "edge",
                format!(
                    "datagramAddr = \"{0}:{DATAGRAM_PORT}\"\nready = \"{0}:{READY_PORT}\"\n",
                    self.ip
                ),
            ),
            Class::Core => {
                ("core", "control", format!("controlPlane = \"{}:{CONTROL_PORT}\"\n", self.ip))
            }
        };
        let data = match self.class {
            Class::Edge => String::new(),
            Class::Core => format!("dataDir = {:?}\n", self.data_path()),
        };
        let (region, zones) = match VESTLAND.contains(&self.zone) {
            true => ("vestland", VESTLAND),
            false => ("bg-south", ZONES),
        };
        let zones: String = zones.iter().map(|zone| format!("{zone} = \"{region}\"\n")).collect();
        let text = format!(
            "nodeName = \"{}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{}\"\nzone = \"{}\"\nregion = \"{region}\"\n\
             internalPortRange = [7720,7735]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             countsTowardTolerance = {}\n{data}discovery = \"registry\"\n\
             entry = \"announcement\"\nheartbeatMs = {}\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\"]\n\
             config_mode = \"highest\"\nhash = \"mod\"\nforwardingMode = \"echo\"\n\n\
             [zones]\n{zones}\n[bindAddrs]\n{bind}\n[limits]\ncpuFraction = 0.3\ncores = 1\n\
             memoryMb = 256\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = 128\n\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactMs = 4000\nackTimeoutMs = 5000\n\
             catchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 3000\n\
             rollbackSlackMs = 250\nouterMs = 12000\nwarmupFactor = 1.5\nwarmupSlack = 5\n\
             evacuateMs = 5000\nrecoveryS = 12\nflowSlackMs = 2000\nmaxFlowS = 60\n",
            self.name,
            self.ip,
            self.zone,
            seeds.join(","),
            self.class == Class::Core,
            HEARTBEAT.as_millis(),
        );
        fs::write(self.settings_path(), text).expect("the settings can be written");
    }

    pub fn start(&mut self) {
        let program = match self.class {
            Class::Edge => "target/release/platform-entry",
            Class::Core => "target/release/platform-control",
        };
        let log = File::options().create(true).append(true).open(self.log_path()).unwrap();
        let mut command = Command::new(program);
        command.env("GALENATRAIL_CONFIG", self.settings_path()).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        self.child = Some(command.spawn().expect("the program starts"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: sends a signal to a process that this one has started and not yet waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Returns how the process has ended by itself, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn delete_data(&self) {
        _ = fs::remove_dir_all(self.data_path());
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        let ready = SocketAddr::new(IpAddr::V4(self.ip), READY_PORT);
        let answer = http::call(ready, "GET", "/api/ready", "", Duration::from_millis(400));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.signal(SIGCONT);
        self.kill();
    }
}

/// A small deployment.
pub struct Cluster {
    pub machines: Vec<Machine>,
    net: [u8; 2],
    folder: PathBuf,
    pub record: Record,
}

impl Cluster {
    /// Prepares a deployment in a network and a temporary folder of this process.
    pub fn new(record: Record) -> Cluster {
        let pid = std::process::id();
        let net = [1 + (pid / 250 % 250) as u8, 1 + (pid % 250) as u8];
        let folder = std::env::temp_dir().join(format!("galenatrail-review-{pid}"));
        _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        Cluster { machines: Vec::new(), net, folder, record }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    /// Adds a machine that is not started; returns its place.
    pub fn add(&mut self, class: Class, zone: &'static str, host: u8) -> usize {
        let kind = if class == Class::Edge { "edge" } else { "core" };
        let name = format!("{kind}-{zone}-{host}");
        let folder = self.folder.join(&name);
        fs::create_dir_all(&folder).unwrap();
        let ip = self.ip(host);
        self.machines.push(Machine { name, class, ip, zone, folder, child: None });
        self.machines.len() - 1
    }

    pub fn say(&self, text: impl AsRef<str>) {
        self.record.line(text);
    }

    /// Waits until `condition` holds; returns whether it did within `wait`.
    pub fn wait(
        &mut self,
        wait: Duration,
        mut condition: impl FnMut(&mut Cluster) -> bool,
    ) -> bool {
        let until = Instant::now() + wait;
        loop {
            if condition(self) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Copies the logs of the processes next to the record, if asked to.
    pub fn keep_logs(&self) {
        if let Some(folder) = std::env::var_os("KEEP_LOGS") {
            let folder = Path::new(&folder);
            _ = fs::create_dir_all(folder);
            for machine in &self.machines {
                _ = fs::write(folder.join(format!("{}.txt", machine.name)), machine.log());
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.keep_logs();
        self.machines.clear();
        _ = fs::remove_dir_all(&self.folder);
    }
}
