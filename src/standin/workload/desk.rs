//! Message handling of the simulated backend servers.

use std::net::SocketAddr;

use coap_lite::{CoapOption, Packet, ResponseType, option_value::OptionValueU32};

use super::{BUNDLE_PATH, QueuedEvent, RunningRequest, Workload, peer_addr};
use crate::{coap, name::Name};

/// Number of blocks in a bundle.
const BUNDLE_BLOCKS: u32 = 3;
/// The M bit of a block option: more blocks follow (RFC 7959, section 2.2).
const MORE_BLOCKS_FLAG: u32 = 1 << 3;

impl Workload {
    pub(super) fn handle_message(&mut self, to: SocketAddr, vm: Name, bytes: &[u8]) {
        let Ok(message) = coap::decode(bytes) else { return };
        let Some(server) = self.servers.get_mut(&to).filter(|server| server.alive) else { return };
        let id = message.header.message_id;
        if coap::is_cancel(&message) {
            self.cancelled += u64::from(server.running.remove(&(vm, id)).is_some());
            return;
        }
        if !coap::is_request(&message) {
            return;
        }
        if let Some(answer) = probe_answer(&message, server.running.len()) {
            self.send_answer(vm, to, &answer);
            return;
        }
        let is_full = server.running.len() >= server.announce.slots as usize;
        if is_full || self.shedding.contains(&server.name) {
            self.send_answer(vm, to, &coap::refusal(&message, 1));
            return;
        }
        if let Some(number) = request_number(&message) {
            *self.executions.entry(number).or_default() += 1;
        }
        self.serial += 1;
        let serial = self.serial;
        server.running.insert((vm.clone(), id), RunningRequest { request: message, serial });
        self.schedule(self.service_time, QueuedEvent::Completed { to, vm, message: id, serial });
    }

    pub(super) fn complete_request(
        &mut self,
        to: SocketAddr,
        vm: &Name,
        message: u16,
        serial: u64,
    ) {
        let Some(server) = self.servers.get_mut(&to) else { return };
        let key = (vm.clone(), message);
        if server.running.get(&key).is_none_or(|running| running.serial != serial) {
            return;
        }
        let Some(running) = server.running.remove(&key) else { return };
        let name = server.name.clone();
        if self.silent.contains(&name) {
            return;
        }
        let mut answer = coap::response(&running.request, ResponseType::Content);
        answer.payload = running.request.payload.clone();
        if requests_bundle(&running.request) {
            let block = coap::read_block(&running.request, CoapOption::Block2);
            let block = block.map_or(0, |block| block.number);
            let more = if block + 1 < BUNDLE_BLOCKS { MORE_BLOCKS_FLAG } else { 0 };
            answer.add_option_as(CoapOption::Block2, OptionValueU32(block << 4 | more));
            answer.add_option(CoapOption::ETag, name.as_bytes().to_vec());
            answer.payload = format!("{name} block {block}").into_bytes();
        }
        if self.forge_answers {
            let mut forged = answer.clone();
            forged.payload = b"wrong".to_vec();
            self.send_answer(vm.clone(), peer_addr(1), &forged);
            self.send_answer(vm.clone(), to, &answer);
        }
        self.send_answer(vm.clone(), to, &answer);
    }
}

fn request_number(request: &Packet) -> Option<u32> {
    std::str::from_utf8(&request.payload).ok()?.parse().ok()
}

fn requests_bundle(request: &Packet) -> bool {
    request.get_first_option(CoapOption::UriPath).is_some_and(|path| path == BUNDLE_PATH)
}

/// Returns the answer to a health or load probe, or `None` if `message` is not a probe.
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
