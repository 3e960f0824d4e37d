//! Settings files of the daemons, in TOML: parsed, then validated.

use std::{
    collections::BTreeMap,
    fs,
    marker::PhantomData,
    net::SocketAddr,
    ops::Deref,
    path::{Path, PathBuf},
};

use serde::{Deserialize, de::DeserializeOwned};

use crate::{
    error::{Error, Result},
    name::{Name, check_name},
};

/// Type state of settings that are parsed but not yet validated.
#[derive(Debug, Clone, Copy)]
pub struct Raw;

/// Type state of validated settings, with which a daemon may start.
#[derive(Debug, Clone, Copy)]
pub struct Checked;

/// Settings of type `T` in type state `S`.
///
/// ```
/// use galenatrail::{EntrySettings, Settings};
///
/// let text = r#"
///     name = "sofia-a-1"
///     zone = "sofia-a"
///     packets = "127.0.1.1:6081"
///     peers = "127.0.1.1:7946"
///     requests = "127.0.1.1:5683"
///     fabric = "127.0.0.2:6081"
///     control = ["127.0.0.10:8500"]
/// "#;
/// let settings = Settings::<EntrySettings>::parse(text).unwrap().check().unwrap();
/// assert_eq!(&*settings.name, "sofia-a-1");
/// ```
#[derive(Debug, Clone)]
pub struct Settings<T, S = Raw> {
    value: T,
    state: PhantomData<S>,
}

/// Validation of settings.
pub trait Check {
    /// Checks ranges, duplicates and combinations of keys.
    ///
    /// # Errors
    ///
    /// Fails with the key path and the remedy of the first error found.
    fn check(&self) -> Result<()>;
}

impl<T: DeserializeOwned + Check> Settings<T> {
    /// Parses settings from TOML text.
    ///
    /// # Errors
    ///
    /// Fails when the text is not valid TOML, has an unknown key or lacks a key.
    pub fn parse(text: &str) -> Result<Settings<T>> {
        let value = toml::from_str(text).map_err(|err| Error::settings(err.to_string()))?;
        Ok(Settings { value, state: PhantomData })
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or parsed, or is invalid; the error names the file.
    pub fn load(path: &Path) -> Result<Settings<T, Checked>> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|err| {
            let message = format!("cannot be read ({err}); pass a readable settings file");
            Error::settings(message).with_path(name.clone())
        })?;
        let raw = Settings::parse(&text).map_err(|err| err.with_path(name.clone()))?;
        raw.check().map_err(|err| {
            let path = format!("{name}: {}", err.path().unwrap_or_default());
            err.with_path(path)
        })
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Fails with the key path and the remedy of the first error found.
    pub fn check(self) -> Result<Settings<T, Checked>> {
        self.value.check()?;
        Ok(Settings { value: self.value, state: PhantomData })
    }
}

impl<T> Deref for Settings<T, Checked> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

/// Settings of an entry daemon.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Address on which Geneve packets arrive (UDP).
    pub packets: SocketAddr,
    /// Address on which messages from other entry VMs arrive (UDP).
    pub peers: SocketAddr,
    /// `peers` addresses of the entry VMs to contact first (UDP).
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address on which announcements and answers from backend servers arrive (UDP).
    pub requests: SocketAddr,
    /// Address to which packets for callers are sent (UDP).
    pub fabric: SocketAddr,
    /// Address on which metrics are served (TCP); not served if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// File with the root keys of peer datagrams, one per line in 64 hexadecimal digits.
    #[serde(default)]
    pub keys: Option<PathBuf>,
    /// Whether peer datagrams are sealed with a publicly known key, instead of `keys`.
    #[serde(default)]
    pub insecure: bool,
    /// Data folder for the last known configuration; absent for a VM without a disk.
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// Addresses of the control VMs, nearest first (TCP).
    pub control: Vec<SocketAddr>,
}

impl Check for EntrySettings {
    fn check(&self) -> Result<()> {
        check_name(&self.name).map_err(|err| err.with_path("name"))?;
        check_name(&self.zone).map_err(|err| err.with_path("zone"))?;
        check_keys(self.seeds.is_empty(), self.keys.is_some(), self.insecure)?;
        let own = [self.packets, self.peers, self.requests];
        check_addrs("packets, peers, requests", &own)?;
        check_addrs("control", &self.control)
    }
}

/// Settings of a control daemon.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Address on which operators and other VMs call (TCP).
    pub listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Voting control VMs with their `listen` addresses; empty if this VM runs alone. Control VMs
    /// that are not listed are observers.
    #[serde(default)]
    pub voters: BTreeMap<Name, SocketAddr>,
    /// File with the root keys of messages between control VMs; the same as `keys` of the entry
    /// VMs.
    #[serde(default)]
    pub keys: Option<PathBuf>,
    /// Whether these messages are sealed with a publicly known key, instead of `keys`.
    #[serde(default)]
    pub insecure: bool,
}

impl Check for ControlSettings {
    fn check(&self) -> Result<()> {
        check_name(&self.name).map_err(|err| err.with_path("name"))?;
        check_name(&self.zone).map_err(|err| err.with_path("zone"))?;
        check_voters(&self.voters)?;
        check_keys(self.voters.len() < 2, self.keys.is_some(), self.insecure)?;
        match self.voters.get(&self.name) {
            Some(addr) if *addr != self.listen => {
                let message =
                    format!("is {addr}, but this VM listens on {}; make them equal", self.listen);
                Err(Error::settings(message).with_path(format!("voters.{}", self.name)))
            }
            _ => Ok(()),
        }
    }
}

fn check_keys(alone: bool, has_keys: bool, insecure: bool) -> Result<()> {
    if !alone && !has_keys && !insecure {
        let message = "is missing, so that messages from other VMs cannot be authenticated; set it \
                       to a file with a root key, or set `insecure = true` for a trial";
        return Err(Error::settings(message).with_path("keys"));
    }
    if insecure && has_keys {
        let message = "conflicts with `keys`; remove one of them";
        return Err(Error::settings(message).with_path("insecure"));
    }
    Ok(())
}

fn check_voters(voters: &BTreeMap<Name, SocketAddr>) -> Result<()> {
    if !matches!(voters.len(), 0 | 1 | 3 | 5) {
        let message = format!("{} voters; list 1, 3 or 5", voters.len());
        return Err(Error::settings(message).with_path("voters"));
    }
    for name in voters.keys() {
        check_name(name).map_err(|err| err.with_path(format!("voters.{name}")))?;
    }
    let addrs: Vec<_> = voters.values().copied().collect();
    if addrs.is_empty() { Ok(()) } else { check_addrs("voters", &addrs) }
}

fn check_addrs(key: &str, addrs: &[SocketAddr]) -> Result<()> {
    if addrs.is_empty() {
        return Err(Error::settings("is empty; list at least one address").with_path(key));
    }
    for (index, addr) in addrs.iter().enumerate() {
        if addrs[..index].contains(addr) {
            let message = format!("{addr} is listed twice; remove one");
            return Err(Error::settings(message).with_path(format!("{key}[{index}]")));
        }
    }
    Ok(())
}
