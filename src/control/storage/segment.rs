//! Log segments: frames with a checksummed header and a checksummed body.
//!
//! Each frame is synced before the next one is written, so only the last frame of the last segment
//! can be torn. An invalid frame that is followed by a valid one is corruption. An intact frame that
//! can't be decoded has been written by another build, and must not pass for a torn one.

use serde::{Deserialize, Serialize};

use crate::{
    control::replica::Entry,
    error::{Error, Result},
};

const PREFIX: &str = "log-";
const HEADER_LEN: usize = 12;

/// Content of one frame: replaces the log from `first` on with `entries`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// Index of the first entry.
    pub(crate) first: u64,
    /// The entries.
    pub(crate) entries: Vec<Entry>,
}

impl Record {
    /// Returns the last log index after this record.
    pub(crate) fn last(&self) -> u64 {
        (self.first + self.entries.len() as u64).saturating_sub(1)
    }
}

/// Returns the file name of segment `number`.
pub(crate) fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:016x}")
}

/// Returns the segment number of a file name, or `None` if the file is not a segment.
pub(crate) fn number(file: &str) -> Option<u64> {
    u64::from_str_radix(file.strip_prefix(PREFIX)?, 16).ok()
}

/// Encodes a frame.
///
/// # Errors
///
/// Fails when the record cannot be encoded.
pub(crate) fn encode_frame(record: &Record) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(record).map_err(|err| {
        Error::storage(format!("cannot encode log entry: {err}; please report this bug"))
    })?;
    let mut bytes = Vec::with_capacity(HEADER_LEN + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes[..8]).to_le_bytes());
    bytes.extend(body);
    Ok(bytes)
}

/// Decodes the records of a segment. Returns them with the length of the valid part.
///
/// # Errors
///
/// Fails when a frame is corrupt and is not a torn frame at the end of the last segment, or when an
/// intact frame can't be decoded.
pub(crate) fn read(bytes: &[u8], is_last: bool) -> Result<(Vec<Record>, usize)> {
    let mut records = Vec::new();
    let mut pos = 0;
    while pos < bytes.len() {
        let Some(body) = intact_body(&bytes[pos..]) else {
            let torn =
                is_last && !(pos + 1..bytes.len()).any(|at| intact_body(&bytes[at..]).is_some());
            return if torn { Ok((records, pos)) } else { Err(corrupt(pos)) };
        };
        records.push(postcard::from_bytes(body).map_err(|err| unreadable(pos, &err))?);
        pos += HEADER_LEN + body.len();
    }
    Ok((records, pos))
}

/// Returns the body of the frame that `bytes` begin with if it matches its checksums.
fn intact_body(bytes: &[u8]) -> Option<&[u8]> {
    let (head, rest) = bytes.split_first_chunk::<HEADER_LEN>()?;
    let word = |at: usize| head[at..at + 4].iter().rev().fold(0, |n, b| n << 8 | u32::from(*b));
    if crc32fast::hash(&head[..8]) != word(8) {
        return None;
    }
    let body = rest.get(..word(0) as usize)?;
    (crc32fast::hash(body) == word(4)).then_some(body)
}

#[cold]
fn unreadable(pos: usize, err: &postcard::Error) -> Error {
    Error::storage(format!(
        "cannot decode the intact frame at byte {pos} ({err}); start the version that wrote it, or \
         move the data folder away"
    ))
}

#[cold]
fn corrupt(pos: usize) -> Error {
    let message = format!(
        "corrupt frame at byte {pos}; move the data folder away and restart the VM, which then \
         receives the log from the other control VMs under a new replica id"
    );
    Error::storage(message)
}
