//! Block-wise transfers (RFC 7959): all blocks of a transfer go to the same backend server.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use coap_lite::{CoapOption, Packet};

use crate::{coap, member::hash, name::Name, packet::FlowKey, time::Time};

/// Time after its last block for which a transfer is kept.
const TRANSFER_LIFETIME: Duration = Duration::from_secs(247);

/// Maximum number of transfers that a VM keeps.
const MAX_TRANSFERS: usize = 16_384;

/// Identifies a transfer: caller, service, and hash of method, path and query.
pub(crate) type TransferKey = (FlowKey, u64);

/// A transfer in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Transfer {
    /// The backend server that has the earlier blocks.
    pub(crate) server: Name,
    /// Entity tag of the answer.
    pub(crate) tag: Option<Vec<u8>>,
    expires: Time,
}

/// The transfers of this VM's callers.
pub(crate) struct Transfers {
    transfers: BTreeMap<TransferKey, Transfer>,
    expiry: BTreeSet<(Time, TransferKey)>,
}

impl Transfers {
    pub(crate) fn new() -> Transfers {
        Transfers { transfers: BTreeMap::new(), expiry: BTreeSet::new() }
    }

    pub(crate) fn get(&self, key: &TransferKey) -> Option<&Transfer> {
        self.transfers.get(key)
    }

    /// Records that `server` has the earlier blocks. Evicts the oldest transfer if the table is
    /// full, and returns whether it did.
    pub(crate) fn insert(
        &mut self,
        now: Time,
        key: TransferKey,
        server: Name,
        tag: Option<Vec<u8>>,
    ) -> bool {
        self.remove(&key);
        let expires = now + TRANSFER_LIFETIME;
        self.expiry.insert((expires, key));
        self.transfers.insert(key, Transfer { server, tag, expires });
        if self.transfers.len() <= MAX_TRANSFERS {
            return false;
        }
        if let Some((_, key)) = self.expiry.pop_first() {
            self.transfers.remove(&key);
        }
        true
    }

    pub(crate) fn remove(&mut self, key: &TransferKey) {
        if let Some(transfer) = self.transfers.remove(key) {
            self.expiry.remove(&(transfer.expires, *key));
        }
    }

    pub(crate) fn expire(&mut self, now: Time) {
        while self.expiry.first().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, key)) = self.expiry.pop_first() {
                self.transfers.remove(&key);
            }
        }
    }
}

/// Returns the key of the transfer that `request` may belong to.
pub(crate) fn transfer_key(key: &FlowKey, request: &Packet) -> TransferKey {
    let mut text = request.header.get_code().into_bytes();
    for option in [CoapOption::UriPath, CoapOption::UriQuery] {
        for part in request.get_option(option).into_iter().flatten() {
            text.push(0);
            text.extend(part);
        }
        text.push(1);
    }
    (*key, hash(&text))
}

/// Returns whether `request` needs the backend server that has the earlier blocks.
pub(crate) fn is_continued(request: &Packet) -> bool {
    let block = |option| coap::block(request, option).is_some_and(|block| block.number > 0);
    block(CoapOption::Block1) || block(CoapOption::Block2)
}

/// Returns whether more blocks follow, of the answer or of the request.
pub(crate) fn has_more(request: &Packet, answer: &Packet) -> bool {
    let more = |message, option| coap::block(message, option).is_some_and(|block| block.more);
    more(answer, CoapOption::Block2) || more(request, CoapOption::Block1)
}

/// Returns the entity tag of `answer`.
pub(crate) fn entity_tag(answer: &Packet) -> Option<Vec<u8>> {
    answer.get_first_option(CoapOption::ETag).cloned()
}
