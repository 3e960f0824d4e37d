//! Names of teams, services, backend servers, VMs and availability zones.

use std::sync::Arc;

use crate::error::{Error, Result};

/// An immutable name that is cheap to clone.
pub type Name = Arc<str>;

/// Maximum length of a name, in bytes.
pub(crate) const MAX_NAME_LEN: usize = 63;

/// Validates `text` and returns it as a [`Name`].
///
/// A name is an RFC 1123 label: 1 to 63 lower-case letters, digits and inner hyphens.
///
/// # Errors
///
/// Fails when `text` is not a valid name.
///
/// ```
/// assert!(galenatrail::check_name("workshop-hub").is_ok());
/// assert!(galenatrail::check_name("Workshop Hub").is_err());
/// ```
pub fn check_name(text: &str) -> Result<Name> {
    let valid_chars =
        text.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
    let valid_ends = !text.starts_with('-') && !text.ends_with('-');
    if valid_chars && valid_ends && !text.is_empty() && text.len() <= MAX_NAME_LEN {
        Ok(Name::from(text))
    } else {
        Err(Error::invalid_name(text))
    }
}
