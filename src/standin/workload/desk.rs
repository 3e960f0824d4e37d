//! What backend servers do with messages.

use std::net::SocketAddr;

use coap_lite::{CoapOption, Packet, ResponseType, option_value::OptionValueU32};

use super::{BUNDLE, Event, Running, Workload, peer_addr};
use crate::{coap, name::Name};

/// Blocks of the answer to a bundle.
const BUNDLE_BLOCKS: u32 = 3;
/// Flag of a block that others follow (RFC 7959, section 2.2).
const MORE: u32 = 1 << 3;

impl Workload {
    pub(super) fn arrive(&mut self, to: SocketAddr, vm: Name, bytes: &[u8]) {
        let Ok(message) = coap::decode(bytes) else { return };
        let Some(desk) = self.desks.get_mut(&to).filter(|desk| desk.alive) else { return };
        let id = message.header.message_id;
        if coap::is_cancel(&message) {
            self.cancelled += u64::from(desk.running.remove(&(vm, id)).is_some());
            return;
        }
        if !coap::is_request(&message) {
            return;
        }
        if let Some(answer) = probe_answer(&message, desk.running.len()) {
            self.back(vm, to, &answer);
            return;
        }
        let is_full = desk.running.len() >= desk.announce.slots as usize;
        if is_full || self.shedding.contains(&desk.name) {
            self.back(vm, to, &coap::refusal(&message, 1));
            return;
        }
        if let Some(number) = number(&message) {
            *self.runs.entry(number).or_default() += 1;
        }
        self.serial += 1;
        let serial = self.serial;
        desk.running.insert((vm.clone(), id), Running { request: message, serial });
        self.push(self.service_time, Event::Done { to, vm, message: id, serial });
    }

    pub(super) fn done(&mut self, to: SocketAddr, vm: &Name, message: u16, serial: u64) {
        let Some(desk) = self.desks.get_mut(&to) else { return };
        let key = (vm.clone(), message);
        if desk.running.get(&key).is_none_or(|running| running.serial != serial) {
            return;
        }
        let Some(running) = desk.running.remove(&key) else { return };
        let name = desk.name.clone();
        if self.silent.contains(&name) {
            return;
        }
        let mut answer = coap::response(&running.request, ResponseType::Content);
        answer.payload = running.request.payload.clone();
        if is_bundle(&running.request) {
            let block = coap::read_block(&running.request, CoapOption::Block2);
            let block = block.map_or(0, |block| block.number);
            let more = if block + 1 < BUNDLE_BLOCKS { MORE } else { 0 };
            answer.add_option_as(CoapOption::Block2, OptionValueU32(block << 4 | more));
            answer.add_option(CoapOption::ETag, name.as_bytes().to_vec());
            answer.payload = format!("{name} block {block}").into_bytes();
        }
        if self.crossed {
            let mut wrong = answer.clone();
            wrong.payload = b"wrong".to_vec();
            self.back(vm.clone(), peer_addr(1), &wrong);
            self.back(vm.clone(), to, &answer);
        }
        self.back(vm.clone(), to, &answer);
    }
}

fn number(request: &Packet) -> Option<u32> {
    std::str::from_utf8(&request.payload).ok()?.parse().ok()
}

fn is_bundle(request: &Packet) -> bool {
    request.get_first_option(CoapOption::UriPath).is_some_and(|path| path == BUNDLE)
}

/// Answers a probe of health or load, or returns `None` where it is none.
fn probe_answer(message: &Packet, running: usize) -> Option<Packet> {
    let path = message.get_first_option(CoapOption::UriPath)?;
    let mut answer = coap::response(message, ResponseType::Content);
    match path.as_slice() {
        b"health" => {}
        b"load" => answer.payload = format!("{{\"running\": {running}}}").into_bytes(),
        _ => return None,
    }
    Some(answer)
}
