//! Assignment of backend servers to their homes, and the handover from one home to the next.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    backend::{
        home::ManagedServer,
        message::HomeMessage,
        slots::{Holder, TAKEOVER_DELAY},
        standing::Standing,
    },
    counter::Counter,
    entry::{EntryAction, EntryContext, Shared},
    name::Name,
    peer::PeerMessage,
    state::{Announce, Command},
    time::Time,
};

/// Time between two servers that a VM hands over to their preferred home.
const REBALANCE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of handovers kept until this VM becomes the home.
const MAX_HANDOVERS: usize = 1_024;

/// Returns the home of a backend server: the VM named in the log while it is alive and ready, and
/// otherwise the VM that takes over from it.
pub(crate) fn home_of<'a>(shared: &'a Shared, announce: &Announce) -> Option<&'a Name> {
    let logged = shared.state.standings.get(&announce.server).map(|standing| &standing.home);
    let live =
        logged.filter(|home| shared.view.members.get(*home).is_some_and(|member| member.ready));
    let next = || shared.view.home(&announce.server, &announce.zone).map(|member| &member.name);
    live.or_else(next).or(logged)
}

struct PendingHandover {
    from: Name,
    at: Time,
    step: u8,
    holders: Vec<Holder>,
}

/// The servers whose home is this VM.
#[derive(Default)]
pub(crate) struct Roster {
    pub(crate) servers: BTreeMap<Name, ManagedServer>,
    version: (u64, u64),
    last_homes: BTreeMap<Name, Name>,
    handovers: BTreeMap<Name, PendingHandover>,
    rebalanced_at: Time,
    cursor: Option<Name>,
}

impl Roster {
    /// Applies a change of the configuration or of the view.
    pub(crate) fn sync(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        let version = (cx.shared.state.index, cx.shared.view.version);
        if version == self.version {
            return;
        }
        self.version = version;
        let me = cx.shared.me.name.clone();
        let state = &cx.shared.state;
        let mut left = Vec::new();
        let mut adopted = 0;
        for (name, announce) in &state.servers {
            let Some(home) = home_of(cx.shared, announce) else { continue };
            let last = self.last_homes.insert(name.clone(), home.clone());
            match (self.servers.contains_key(name), *home == me) {
                (false, true) => {
                    let predecessor = last.filter(|last| *last != me);
                    let standing = state.standings.get(name);
                    let managed = self.adopt(now, announce, standing, predecessor);
                    self.servers.insert(name.clone(), managed);
                    adopted += 1;
                }
                (true, false) => left.push((name.clone(), home.clone())),
                _ => {}
            }
        }
        self.last_homes.retain(|name, _| state.servers.contains_key(name));
        let is_home = |announce: &Announce| {
            state.servers.contains_key(&announce.server)
                || home_of(cx.shared, announce) == Some(&me)
        };
        self.servers.retain(|_, managed| {
            let known = state.servers.contains_key(&managed.announce().server);
            is_home(managed.announce()) && (known || managed.phase().is_some())
        });
        (0..adopted).for_each(|_| cx.count(Counter::HomesTaken));
        for (name, to) in left {
            self.hand_over(&name, &to, cx);
        }
    }

    /// Handles a handover from the former home.
    pub(crate) fn handle_handover(
        &mut self,
        now: Time,
        from: Name,
        server: Name,
        step: u8,
        holders: Vec<Holder>,
    ) {
        match self.servers.get_mut(&server) {
            Some(managed) if managed.expects_handover(now, &from) => {
                managed.take_over(now, usize::from(step), holders);
            }
            Some(_) => {}
            None => {
                self.handovers.retain(|_, handover| now.since(handover.at) < TAKEOVER_DELAY);
                if self.handovers.len() < MAX_HANDOVERS {
                    self.handovers.insert(server, PendingHandover { from, at: now, step, holders });
                }
            }
        }
    }

    /// Hands over one server per period to its preferred home.
    pub(crate) fn rebalance(&mut self, now: Time, cx: &mut EntryContext<'_>) {
        if now.since(self.rebalanced_at) < REBALANCE_PERIOD || cx.shared.careful {
            return;
        }
        self.rebalanced_at = now;
        let after = self.cursor.take();
        let is_after = |name: &&Name| after.as_ref().is_none_or(|after| *name > after);
        let Some(name) = self.servers.keys().find(is_after).cloned() else { return };
        let managed = self.servers.get_mut(&name).expect("the name is a key");
        self.cursor = Some(name.clone());
        let announce = managed.announce();
        let shared = &cx.shared;
        let best = shared.view.home(&name, &announce.zone);
        let best = best.filter(|best| best.name != shared.me.name && best.zone == announce.zone);
        let logged = shared.state.standings.get(&name);
        let Some((best, logged)) = best.zip(logged) else { return };
        if !managed.can_hand_over(now) || logged.home != shared.me.name {
            return;
        }
        let standing = Standing { home: best.name.clone(), ..logged.clone() };
        let announce = shared.state.servers[&name].clone();
        // Admits nothing until the log names the home.
        managed.close(now);
        cx.act(EntryAction::Submit(Command::Report { announce, standing }));
    }

    fn adopt(
        &mut self,
        now: Time,
        announce: &Announce,
        standing: Option<&Standing>,
        predecessor: Option<Name>,
    ) -> ManagedServer {
        let Some(standing) = standing else {
            let mut managed = ManagedServer::with_full_share(now, announce.clone());
            if predecessor.is_some() {
                managed.close(now);
            }
            return managed;
        };
        let mut managed =
            ManagedServer::with_standing(now, announce.clone(), standing, predecessor);
        if let Some(handover) = self.handovers.remove(&announce.server)
            && now.since(handover.at) < TAKEOVER_DELAY
            && managed.expects_handover(now, &handover.from)
        {
            managed.take_over(now, usize::from(handover.step), handover.holders);
        }
        managed
    }

    fn hand_over(&mut self, name: &Name, to: &Name, cx: &mut EntryContext<'_>) {
        let Some(managed) = self.servers.remove(name) else { return };
        if managed.is_unconfirmed() {
            return;
        }
        let (step, holders) = managed.handover_state();
        let message = HomeMessage::Handover { server: name.clone(), step: step as u8, holders };
        cx.act(EntryAction::ToPeer { to: to.clone(), message: PeerMessage::Home(message) });
    }
}
