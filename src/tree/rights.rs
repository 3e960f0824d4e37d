//! Who may change what: tokens of operators, stored as salted hashes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    error::{Error, Result},
    name::{Name, check_name},
    state::Command,
};

/// Shortest secret of a token, in bytes.
const MIN_SECRET_LEN: usize = 16;

/// What the holder of a token may do.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Access {
    /// Salt of the hash.
    pub salt: Name,
    /// SHA-256 of salt and secret, in hexadecimal digits.
    pub hash: Name,
    /// Teams whose branches the holder may change.
    #[serde(default)]
    pub teams: BTreeSet<Name>,
    /// Whether the holder may take availability zones out and drain backend servers.
    #[serde(default)]
    pub operations: bool,
    /// Whether the holder may change the rights.
    #[serde(default)]
    pub admin: bool,
}

impl Access {
    /// Returns a grant of nothing to the holder of `secret`.
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

/// The branch of rights. Without a token in it, everyone may change everything.
///
/// ```
/// use galenatrail::{Command, Access, Rights};
///
/// let mut rights = Rights::default();
/// let zone = Command::Zone { zone: "plovdiv".into(), out: true };
/// assert!(rights.permit(None, &zone).is_ok());
/// let grant = Access { operations: true, ..Access::new("salt", "sixteen letters!") };
/// rights.tokens.insert("ivan".into(), grant);
/// assert!(rights.permit(None, &zone).is_err());
/// assert!(rights.permit(Some("ivan:sixteen letters!"), &zone).is_ok());
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rights {
    /// Grants by operator.
    #[serde(default)]
    pub tokens: BTreeMap<Name, Access>,
}

impl Rights {
    /// Returns the operator whose `token` (`name:secret`) permits `command`, or `None` where no
    /// token is needed.
    ///
    /// # Errors
    ///
    /// Fails when the token is missing, unknown or does not permit the command.
    pub fn permit(&self, token: Option<&str>, command: &Command) -> Result<Option<Name>> {
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

    /// Checks names and hashes, and that someone can change the rights again.
    ///
    /// # Errors
    ///
    /// Fails with the path and the remedy of the first fault.
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

/// Checks that a secret is long enough to be hashed without a slow function.
///
/// # Errors
///
/// Fails when it is too short.
pub fn check_secret(secret: &str) -> Result<()> {
    if secret.len() >= MIN_SECRET_LEN {
        return Ok(());
    }
    let message = format!("the secret is too short; use at least {MIN_SECRET_LEN} random letters");
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
