//! Three control daemons on loopback addresses. No acknowledged change is lost when the leader, a
//! follower or all daemons are killed between the acknowledgement and the next read.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

use galenatrail::standin::loopback;
use serde_json::Value;

/// Maximum number of galenactl calls. Each call itself retries for some seconds.
const TRIES: usize = 20;

struct Cluster {
    /// Loopback host number of the first daemon. Each test has its own, because tests run in
    /// parallel.
    first: u8,
    folder: PathBuf,
    daemons: [Option<Child>; 3],
}

impl Cluster {
    fn new(name: &str, first: u8) -> Cluster {
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let key = "8a1f0c5d2b7e4936a1c0ffee00112233445566778899aabbccddeeff01234567\n";
        fs::write(folder.join("keys"), key).unwrap();
        let mut cluster = Cluster { first, folder, daemons: [None, None, None] };
        (0..3).for_each(|vm| cluster.start(vm));
        cluster
    }

    fn addr(&self, vm: usize) -> SocketAddr {
        loopback(self.first + vm as u8, 8500)
    }

    fn data(&self, vm: usize) -> PathBuf {
        self.folder.join(format!("data-{vm}"))
    }

    fn start(&mut self, vm: usize) {
        let listen = self.addr(vm);
        let mut text = format!(
            "name = \"control-{vm}\"\nzone = \"sofia-a\"\nlisten = \"{listen}\"\ndata = {:?}\n\
             keys = {:?}\n[voters]\n",
            self.data(vm),
            self.folder.join("keys")
        );
        for vm in 0..3 {
            text += &format!("control-{vm} = \"{}\"\n", self.addr(vm));
        }
        let path = self.folder.join(format!("control-{vm}.toml"));
        fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_galena-control"));
        let child = command.arg(path).stderr(Stdio::null()).spawn().expect("the daemon starts");
        self.daemons[vm] = Some(child);
    }

    /// Kills a daemon with SIGKILL.
    fn kill(&mut self, vm: usize) {
        if let Some(mut child) = self.daemons[vm].take() {
            _ = child.kill();
            _ = child.wait();
        }
    }

    fn try_ctl(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_galenactl"));
        for vm in 0..3 {
            command.args(["--control", &self.addr(vm).to_string()]);
        }
        command.arg("--json").args(args).output().expect("galenactl runs")
    }

    fn ctl(&self, args: &[&str]) -> Value {
        for _ in 0..TRIES {
            let output = self.try_ctl(args);
            match output.status.code() {
                Some(0) => return serde_json::from_slice(&output.stdout).unwrap(),
                Some(3) => continue,
                code => panic!("{args:?}: {code:?} {}", String::from_utf8_lossy(&output.stderr)),
            }
        }
        panic!("{args:?}: nobody answered");
    }

    /// Returns the index of the leader.
    fn leader(&self) -> usize {
        for _ in 0..TRIES {
            self.ctl(&["get"]);
            let status = self.ctl(&["status"]);
            let Some(leader) = status["leader"].as_str() else { continue };
            return leader.strip_prefix("control-").unwrap().parse().unwrap();
        }
        panic!("there is no leader");
    }

    fn zones_out(&self) -> Vec<String> {
        let history = self.ctl(&["history", "--last", "1000"]);
        let past = history.as_array().unwrap().iter();
        past.map(|past| past["subject"].as_str().unwrap().to_owned()).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..3).for_each(|vm| self.kill(vm));
        _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the replica id of each voter by the name of its VM.
fn replicas(status: &Value) -> BTreeMap<String, String> {
    let members = status["members"].as_array().unwrap().iter();
    let voters = members.filter(|member| member["voter"] == true);
    let text = |value: &Value| value.as_str().unwrap().to_owned();
    let voters: Vec<_> =
        voters.map(|voter| (text(&voter["name"]), text(&voter["replica"]))).collect();
    assert!((3..=4).contains(&voters.len()), "{status}");
    // During a replacement, both replicas of the VM are voters.
    if voters.len() == 3 { voters.into_iter().collect() } else { BTreeMap::new() }
}

#[test]
fn killed_daemons() {
    let mut cluster = Cluster::new("killed-daemons", 11);
    let mut accepted = Vec::new();
    for round in 0..6 {
        let zone = format!("zone-{round}");
        cluster.ctl(&["zone", "out", &zone]);
        accepted.push(format!("zone out {zone}"));
        // Kill the leader, a follower, or all daemons between the acknowledgement and the next
        // read.
        match round % 3 {
            0 => {
                let leader = cluster.leader();
                cluster.kill(leader);
                assert_eq!(cluster.zones_out(), accepted, "round {round}");
                cluster.start(leader);
            }
            1 => {
                let follower = (cluster.leader() + 1) % 3;
                cluster.kill(follower);
                assert_eq!(cluster.zones_out(), accepted, "round {round}");
                cluster.start(follower);
            }
            _ => {
                (0..3).for_each(|vm| cluster.kill(vm));
                (0..3).for_each(|vm| cluster.start(vm));
            }
        }
        assert_eq!(cluster.zones_out(), accepted, "round {round}");
    }
}

#[test]
fn replaced_daemon() {
    let mut cluster = Cluster::new("replaced-daemon", 21);
    cluster.ctl(&["zone", "out", "varna"]);
    let lost = (cluster.leader() + 1) % 3;
    let before = replicas(&cluster.ctl(&["status"]));
    cluster.kill(lost);
    fs::remove_dir_all(cluster.data(lost)).unwrap();
    cluster.start(lost);
    let name = format!("control-{lost}");
    let is_back = |cluster: &Cluster| {
        std::thread::sleep(Duration::from_millis(100));
        let leader = cluster.leader();
        let output = Command::new(env!("CARGO_BIN_EXE_galenactl"))
            .args(["--control", &cluster.addr(leader).to_string(), "--json", "status"])
            .output()
            .unwrap();
        let Ok(status) = serde_json::from_slice::<Value>(&output.stdout) else { return false };
        let now = replicas(&status);
        now.len() == 3 && now.contains_key(&name) && now[&name] != before[&name]
    };
    assert!((0..TRIES * 10).any(|_| is_back(&cluster)), "the replaced VM did not become a voter");
    // A second disk is lost right after the repair, on a VM that had the change from the start.
    let second = cluster.leader();
    cluster.kill(second);
    fs::remove_dir_all(cluster.data(second)).unwrap();
    assert_eq!(cluster.zones_out(), ["zone out varna"]);
}

#[test]
fn lost_quorum() {
    let mut cluster = Cluster::new("lost-quorum", 31);
    cluster.ctl(&["zone", "out", "varna"]);
    let leader = cluster.leader();
    (0..3).filter(|vm| *vm != leader).for_each(|vm| cluster.kill(vm));
    let output = cluster.try_ctl(&["zone", "out", "plovdiv"]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    let output = cluster.try_ctl(&["get"]);
    assert_eq!(output.status.code(), Some(3), "{output:?}");
    (0..3).filter(|vm| *vm != leader).for_each(|vm| cluster.start(vm));
    assert_eq!(cluster.zones_out()[0], "zone out varna");
}
