//! Messages from other control VMs, and the search for a cluster.

use super::{
    ControlAction, ControlMessage, ControlNode, Envelope,
    formation::Formation,
    replica::{ControlEndpoint, ReplicaAction, ReplicaId},
};
use crate::{counter::Counter, time::Time};

impl ControlNode {
    /// Probes other control VMs for a cluster to join, and bootstraps one when possible.
    pub(super) fn find_cluster(
        &mut self,
        now: Time,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let me = self.replica.id();
        // A member that knows no leader keeps probing: it may have been removed while it was
        // unreachable.
        let followed = self.replica.leader().is_some();
        let member = self.replica.members().endpoint(me).is_some();
        if self.replica.is_halted() || (member && followed) {
            return;
        }
        let members = self.replica.members().iter().map(|(_, endpoint)| endpoint.addr);
        // Control VMs that reach this one may know the log, whatever the settings say.
        let others = members.chain(self.replica.heard_lately(now)).collect();
        for to in self.bootstrap.probe_targets(now, &self.endpoint, others) {
            let envelope = self.envelope(None, ControlMessage::Probe);
            out.push(ControlAction::Send { to, envelope });
        }
        let term = self.replica.term();
        if self.replica.last().index > 0 {
            return;
        }
        match self.bootstrap.next_formation(now, me, &self.endpoint, term) {
            Some(Formation::Direct(members)) => self.replica.bootstrap(members, actions),
            Some(Formation::ByVote(members)) => {
                let has_asked = self.replica.found(now, members, actions);
                if has_asked {
                    self.bootstrap.record_attempt(now);
                }
            }
            None => {}
        }
    }

    pub(super) fn handle_message(
        &mut self,
        now: Time,
        envelope: Envelope,
        actions: &mut Vec<ReplicaAction>,
        out: &mut Vec<ControlAction>,
    ) {
        let Envelope { from, endpoint, to, message } = envelope;
        if to.is_some_and(|to| to != self.replica.id()) || from == self.replica.id() {
            self.counters.add(Counter::ControlRefused, 1);
            return;
        }
        self.learn_addr(from, &endpoint);
        match message {
            ControlMessage::Replica(message) => {
                self.replica.handle_message(now, from, message, actions)
            }
            ControlMessage::Probe => {
                self.replica.join(now, from, endpoint, actions);
                let log_exists = self.replica.last().index > 0;
                let leader = self.leader().cloned();
                self.send(from, ControlMessage::ProbeReply { log_exists, leader }, out);
            }
            ControlMessage::ProbeReply { log_exists, leader } => {
                if let Some(leader) = leader.filter(|leader| leader.addr != endpoint.addr) {
                    let envelope = self.envelope(None, ControlMessage::Probe);
                    out.push(ControlAction::Send { to: leader.addr, envelope });
                }
                self.bootstrap.record_reply(now, from, endpoint, log_exists);
            }
            ControlMessage::Forward { ticket, submission } => {
                self.handle_forward(now, from, ticket, submission, actions, out);
            }
            ControlMessage::ForwardReply { ticket, result } => {
                self.complete_forward(ticket, result, out)
            }
            ControlMessage::Report { ticket, progress } => {
                self.handle_report(now, from, ticket, &progress, out);
            }
            ControlMessage::ReportAccepted { ticket, min_index } => {
                self.handle_report_accepted(ticket, min_index, out)
            }
            ControlMessage::ReadIndexRequest { ticket } => {
                self.start_read(now, ticket, Some(from), actions, out);
            }
            ControlMessage::ReadIndexReply { ticket, index } => {
                self.record_read_index(ticket, index, out)
            }
        }
    }

    fn learn_addr(&mut self, replica: ReplicaId, endpoint: &ControlEndpoint) {
        /// Maximum number of learned addresses.
        const MAX_LEARNED_ADDRS: usize = 64;
        if self.learned_addrs.len() >= MAX_LEARNED_ADDRS
            && !self.learned_addrs.contains_key(&replica)
        {
            self.learned_addrs.pop_first();
        }
        self.learned_addrs.insert(replica, endpoint.addr);
    }
}
