//! Keys for peer datagrams, derived from a root key for each time interval.
//!
//! Keys are never transmitted: each VM derives the key of an interval from the root key, so that
//! VMs can communicate at once after a separation of any length. The scheme follows the Group Key
//! Distribution Protocol ([MS-GKDI] section 3.1.4.1.2), reduced from three levels to one. The
//! derivation is the counter mode of NIST SP 800-108r1 with HMAC-SHA256.

use std::{fmt, fs, path::Path, time::Duration};

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

use crate::error::{Error, Result};

/// Length of a key in bytes.
const KEY_LEN: usize = 32;

/// Time interval covered by one derived key.
pub(crate) const KEY_INTERVAL: Duration = Duration::from_secs(300);

/// Maximum number of root keys in a file.
const MAX_ROOT_KEYS: usize = 4;

const LABEL: &[u8] = b"galenatrail peer datagram";
const KEY_BITS: u32 = 256;

/// A MAC that has been initialized with a key.
pub(crate) type KeyedMac = Hmac<Sha256>;

/// A root key.
#[derive(Clone, PartialEq, Eq)]
struct RootKey([u8; KEY_LEN]);

/// The root keys of a deployment. The first one signs; all of them verify.
///
/// ```
/// use galenatrail::Keys;
///
/// let text = "# from `openssl rand -hex 32`\n\
///     8a1f0c5d2b7e4936a1c0ffee00112233445566778899aabbccddeeff01234567\n";
/// assert!(Keys::parse(text).is_ok());
/// assert!(Keys::parse("8a1f").is_err());
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Keys {
    roots: Vec<RootKey>,
}

impl Keys {
    /// Parses root keys, one per line in 64 hexadecimal digits. Empty lines and lines that start
    /// with `#` are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is not a valid key, or if there are no keys or more than 4.
    pub fn parse(text: &str) -> Result<Keys> {
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let roots = lines.map(parse_root_key).collect::<Result<Vec<_>>>()?;
        if roots.is_empty() || roots.len() > MAX_ROOT_KEYS {
            let message = format!(
                "expected 1 to {MAX_ROOT_KEYS} root keys of 64 hexadecimal digits, one per line; \
                 found {}",
                roots.len()
            );
            return Err(Error::settings(message));
        }
        Ok(Keys { roots })
    }

    /// Reads root keys from the file `path` in the format of [`Keys::parse`].
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or does not contain valid keys.
    pub fn load(path: &Path) -> Result<Keys> {
        let name = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|err| {
            let message =
                format!("cannot read root keys: {err}; check that the file exists and is readable");
            Error::settings(message).with_path(name.clone())
        })?;
        Keys::parse(&text).map_err(|err| err.with_path(name))
    }

    /// Returns a publicly known root key, which protects against accidents only.
    pub fn insecure() -> Keys {
        Keys { roots: vec![RootKey([0; KEY_LEN])] }
    }

    pub(crate) fn len(&self) -> usize {
        self.roots.len()
    }

    /// Returns the MAC keyed with the key derived from root key `root` for `interval`.
    pub(crate) fn derive(&self, root: usize, interval: u64) -> KeyedMac {
        let mut kdf = new_mac(&self.roots[root].0);
        kdf.update(&1u32.to_be_bytes());
        kdf.update(LABEL);
        kdf.update(&[0]);
        kdf.update(&interval.to_be_bytes());
        kdf.update(&KEY_BITS.to_be_bytes());
        new_mac(&kdf.finalize().into_bytes())
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keys({})", self.roots.len())
    }
}

/// Returns the number of the key interval that contains `wall`, the time since the Unix epoch.
pub(crate) fn interval(wall: Duration) -> u64 {
    wall.as_secs() / KEY_INTERVAL.as_secs()
}

fn new_mac(key: &[u8]) -> KeyedMac {
    KeyedMac::new_from_slice(key).expect("HMAC takes keys of any length")
}

fn parse_root_key(line: &str) -> Result<RootKey> {
    let digits = line.as_bytes();
    let hex = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).ok()?;
        let is_valid = pair.len() == 2 && pair.iter().all(u8::is_ascii_hexdigit);
        is_valid.then(|| u8::from_str_radix(text, 16).ok())?
    };
    let bytes: Option<Vec<u8>> = digits.chunks(2).map(hex).collect();
    let key = bytes.and_then(|bytes| bytes.try_into().ok());
    key.map(RootKey).ok_or_else(invalid_key)
}

#[cold]
fn invalid_key() -> Error {
    let message = format!("invalid root key: expected {} hexadecimal digits per line", 2 * KEY_LEN);
    Error::settings(message)
}
