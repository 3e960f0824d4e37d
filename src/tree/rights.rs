//! Access rights: operators' tokens, stored as salted hashes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    error::{Error, Result},
    name::{Name, check_name},
    state::Command,
};

/// Minimum length of a token's secret in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Rights of a token.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// Salt of the hash.
    pub salt: Name,
    /// SHA-256 of salt, a zero byte and secret, in hexadecimal.
    pub hash: Name,
    /// Teams whose branches the token may change.
    #[serde(default)]
    pub teams: BTreeSet<Name>,
    /// Whether the token may take availability zones out of service, drain backend servers and
    /// replace the whole configuration.
    #[serde(default)]
    pub operations: bool,
    /// Whether the token may change the access rights.
    #[serde(default)]
    pub admin: bool,
}

impl Access {
    /// Creates an access entry for `secret` without any rights.
    pub fn new(salt: &str, secret: &str) -> Access {
        Access { salt: salt.into(), hash: digest(salt, secret).into(), ..Access::default() }
    }

    fn allows(&self, command: &Command) -> bool {
        match command {
            Command::Apply { team, .. } => self.teams.contains(team),
            Command::Zone { .. } | Command::Drain { .. } | Command::Whole(_) => self.operations,
            Command::Rights { .. } => self.admin,
            _ => false,
        }
    }
}

/// Access rights by operator. Without any token, everyone may change everything.
///
/// ```
/// use galenatrail::{Access, Command, Rights};
///
/// let mut rights = Rights::default();
/// let zone = Command::Zone { zone: "plovdiv".into(), out: true };
/// assert!(rights.authorize(None, &zone).is_ok());
/// let grant = Access { operations: true, ..Access::new("salt", "sixteen letters!") };
/// rights.tokens.insert("ivan".into(), grant);
/// assert!(rights.authorize(None, &zone).is_err());
/// assert!(rights.authorize(Some("ivan:sixteen letters!"), &zone).is_ok());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rights {
    /// Tokens by operator.
    #[serde(default)]
    pub tokens: BTreeMap<Name, Access>,
}

impl Rights {
    /// Returns the operator whose `token` (`name:secret`) authorizes `command`, or `None` if no
    /// token is required.
    ///
    /// # Errors
    ///
    /// Fails when the token is missing, unknown or does not authorize the command.
    pub fn authorize(&self, token: Option<&str>, command: &Command) -> Result<Option<Name>> {
        if self.tokens.is_empty() || command.subject().is_none() {
            return Ok(None);
        }
        let token = token.ok_or_else(|| denied("a token is needed; name its file (--token)"))?;
        let (name, secret) = token.trim().split_once(':').unwrap_or(("", ""));
        let Some((name, grant)) = self.tokens.get_key_value(name) else {
            return Err(denied("the token is unknown; ask an operator with admin rights for one"));
        };
        if digest(&grant.salt, secret) != *grant.hash {
            return Err(denied("the token is unknown; ask an operator with admin rights for one"));
        }
        if !grant.allows(command) {
            let message = format!("{name} has no right to this; ask an operator with admin rights");
            return Err(denied(&message));
        }
        Ok(Some(name.clone()))
    }

    /// Checks names and hashes, and that at least one token may change the rights.
    ///
    /// # Errors
    ///
    /// Fails on the first violation. The error has its path and a remedy.
    pub(crate) fn check(&self) -> Result<()> {
        for (name, grant) in &self.tokens {
            let path = format!("rights.tokens.{name}");
            check_name(name).map_err(|err| err.with_path(path.clone()))?;
            let digits = grant.hash.bytes().all(|b| b.is_ascii_hexdigit());
            if grant.hash.len() != 2 * Sha256::output_size() || !digits || grant.salt.is_empty() {
                let message = "salt or hash is none; make them with `galenactl token`";
                return Err(Error::config(message).with_path(path));
            }
        }
        if !self.tokens.is_empty() && !self.tokens.values().any(|grant| grant.admin) {
            let message = "nobody could change the rights again; give one token `admin = true`";
            return Err(Error::config(message).with_path("rights.tokens"));
        }
        Ok(())
    }
}

/// Checks that a secret is long enough that a fast hash is safe.
///
/// # Errors
///
/// Fails when the secret is too short.
pub fn check_secret(secret: &str) -> Result<()> {
    if secret.len() >= MIN_SECRET_BYTES {
        return Ok(());
    }
    let message =
        format!("the secret is too short; use at least {MIN_SECRET_BYTES} random letters");
    Err(Error::config(message))
}

fn digest(salt: &str, secret: &str) -> String {
    let bytes = Sha256::new().chain_update(salt).chain_update([0]).chain_update(secret).finalize();
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[cold]
fn denied(message: &str) -> Error {
    Error::config(message).with_path("rights")
}
