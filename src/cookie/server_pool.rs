//! Selection of a backend server among those of a service.
//!
//! An entry VM selects servers in turn, in an order of its own, so that its flows are spread evenly
//! and VMs are not synchronized. Of the next few servers in turn, the one with the least load
//! relative to its slots is selected. A selection does not depend on the number of servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    directory::Eligibility,
    record::Announcement,
    server_ring::{Entry, Ring},
    slot_use::SlotUse,
    zone_share::ZoneShare,
};
use crate::{name::Name, time::Time};

/// Age at which the load summary of other VMs no longer counts; until then its weight falls evenly.
const SUMMARY_AGE: Duration = Duration::from_secs(2);
/// Weight of a request in progress. An open flow without one weighs 1: its next request comes after
/// a pause of several times the service time.
const REQUEST_WEIGHT: u64 = 8;

/// Load of a server as the entry VM itself knows it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OwnLoad {
    /// Requests in progress.
    pub requests: u32,
    /// Open flows.
    pub flows: u32,
}

/// What a selection has to know of a server beyond the pool.
pub trait ServerView {
    /// Returns the load of the server that holds `cookie`.
    fn load(&self, cookie: u32) -> OwnLoad;
    /// Returns whether the server may be selected.
    fn accepts(&self, id: u64) -> bool;
    /// Returns whether the server is selected only if no other is left.
    fn is_last_resort(&self, id: u64) -> bool;
    /// Returns whether the servers of `zone` may be selected.
    fn is_zone_in(&self, zone: &Name) -> bool;
}

/// Where the pool keeps a server.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Place {
    service: Name,
    zone: Name,
    slots: u32,
    eligibility: Eligibility,
}

/// The servers of a service in one availability zone.
#[derive(Debug, Clone, Default)]
struct ZonePool {
    available: Ring,
    silent: Ring,
}

#[derive(Debug, Clone)]
struct ServicePool {
    zones: BTreeMap<Name, ZonePool>,
    /// Number of cold servers.
    cold: usize,
    shares: ZoneShare,
}

/// The backend servers that may receive new flows, by service and availability zone.
#[derive(Debug, Clone)]
pub struct ServerPool {
    own_zone: Name,
    /// Determines the order of the servers.
    seed: u64,
    choices: usize,
    places: BTreeMap<u64, Place>,
    services: BTreeMap<Name, ServicePool>,
    /// When the requests of the load summary were counted.
    summary_time: Option<Time>,
}

impl ServerPool {
    /// Creates an empty pool of a VM in `own_zone`; VMs with different seeds have different orders.
    pub fn new(own_zone: Name, seed: u64) -> ServerPool {
        ServerPool {
            own_zone,
            seed,
            choices: 2,
            places: BTreeMap::new(),
            services: BTreeMap::new(),
            summary_time: None,
        }
    }

    /// Sets the number of servers whose load is compared.
    #[must_use]
    pub fn with_choices(mut self, choices: usize) -> ServerPool {
        self.choices = choices;
        self
    }

    /// Brings servers up to date; `None` stands for one that is no longer known.
    pub fn update<'a>(
        &mut self,
        servers: impl Iterator<Item = (u64, Option<(&'a Announcement, Eligibility)>)>,
    ) {
        let mut changed = BTreeSet::new();
        let mut added: BTreeMap<(Name, Name), Vec<u64>> = BTreeMap::new();
        for (id, server) in servers {
            let place = server.map(|(server, eligibility)| Place {
                service: server.service.clone(),
                zone: server.zone.clone(),
                slots: server.slots.max(1),
                eligibility,
            });
            if self.places.get(&id) == place.as_ref() {
                continue;
            }
            if let Some(before) = self.places.remove(&id) {
                self.pool_mut(&before.service).cold -= usize::from(before.is_cold());
                changed.insert((before.service, before.zone));
            }
            if let Some(place) = place {
                self.pool_mut(&place.service).cold += usize::from(place.is_cold());
                let key = (place.service.clone(), place.zone.clone());
                added.entry(key.clone()).or_default().push(id);
                changed.insert(key);
                self.places.insert(id, place);
            }
        }
        for key in changed {
            let ids = added.remove(&key).unwrap_or_default();
            self.rebuild(&key.0, &key.1, &ids);
        }
    }

    /// Removes the servers that have left a zone of a service and adds the servers `added`.
    fn rebuild(&mut self, service: &Name, zone: &Name, added: &[u64]) {
        let (places, seed) = (&self.places, self.seed);
        let Some(pool) = self.services.get_mut(service) else { return };
        let ZonePool { available, silent } = pool.zones.entry(zone.clone()).or_default();
        for (ring, eligibility) in
            [(available, Eligibility::Available), (silent, Eligibility::Silent)]
        {
            let belongs = |id: u64| {
                places.get(&id).filter(|place| {
                    place.eligibility == eligibility
                        && (&place.service, &place.zone) == (service, zone)
                })
            };
            let added = added.iter().filter_map(|id| Some((*id, belongs(*id)?.slots)));
            ring.update(
                |entry| belongs(entry.id).is_some_and(|place| place.slots == entry.slots),
                added,
                seed,
            );
        }
    }

    fn pool_mut(&mut self, service: &Name) -> &mut ServicePool {
        let own_zone = &self.own_zone;
        self.services.entry(service.clone()).or_insert_with(|| ServicePool {
            zones: BTreeMap::new(),
            cold: 0,
            shares: ZoneShare::new(own_zone.clone()),
        })
    }

    /// Selects the server of a new flow, where `point` is evenly distributed. Selects from silent
    /// servers with `silent` set, and otherwise from available ones.
    pub fn select(
        &mut self,
        now: Time,
        service: &Name,
        point: u32,
        silent: bool,
        view: &impl ServerView,
    ) -> Option<u64> {
        let summary = self.summary_weight(now);
        let load = |entry: &Entry| weighed_load(view, entry);
        let ServicePool { zones, shares, .. } = self.services.get_mut(service)?;
        let preferred = shares.select(point).unwrap_or(&self.own_zone);
        let take = |name: &Name, zone: &mut ZonePool, last_resort: bool| {
            let ring = if silent { &mut zone.silent } else { &mut zone.available };
            let allowed = |entry: &Entry| {
                view.is_last_resort(entry.id) == last_resort && view.accepts(entry.id)
            };
            view.is_zone_in(name).then(|| ring.take(self.choices, summary, allowed, load)).flatten()
        };
        let len = zones.len();
        [false, true].into_iter().find_map(|last_resort| {
            let mut first = [preferred, &self.own_zone].into_iter();
            let selected = first.find_map(|name| take(name, zones.get_mut(name)?, last_resort));
            // The flows of a zone that has just been lost spread over the others.
            selected.or_else(|| {
                let index = |step: usize| (point as usize + step) % len;
                (0..len).find_map(|step| {
                    let (name, zone) = zones.iter_mut().nth(index(step))?;
                    take(name, zone, last_resort)
                })
            })
        })
    }

    /// Selects an available server in a zone for which `has_room` is true, for a flow that the zone
    /// of [`ServerPool::select`] has no room for.
    pub fn select_elsewhere(
        &mut self,
        now: Time,
        service: &Name,
        point: u32,
        view: &impl ServerView,
        has_room: impl Fn(&Name, SlotUse) -> bool,
    ) -> Option<u64> {
        let summary = self.summary_weight(now);
        let choices = self.choices;
        let zones = &mut self.services.get_mut(service)?.zones;
        let len = zones.len();
        // Flows of several VMs spread over the zones.
        (0..len).find_map(|step| {
            let (name, zone) = zones.iter_mut().nth((point as usize + step) % len)?;
            if !view.is_zone_in(name) || !has_room(name, zone.slot_use(summary, view)) {
                return None;
            }
            let allowed = |entry: &Entry| !view.is_last_resort(entry.id) && view.accepts(entry.id);
            zone.available.take(choices, summary, allowed, |entry| weighed_load(view, entry))
        })
    }

    /// Returns whether a service has no server that is available or cold.
    ///
    /// Its silent servers then receive flows: it is unlikely that all servers of a service fail at
    /// once, and more likely that their announcements do not arrive.
    pub fn has_only_silent(&self, service: &Name) -> bool {
        let Some(pool) = self.services.get(service) else { return true };
        pool.cold == 0 && pool.zones.values().all(|zone| zone.available.is_empty())
    }

    /// Returns whether a service has an available server.
    pub fn has_available(&self, service: &Name) -> bool {
        let pool = self.services.get(service);
        pool.is_some_and(|pool| pool.zones.values().any(|zone| !zone.available.is_empty()))
    }

    /// Returns whether a service has an available server in the own availability zone.
    pub fn has_local(&self, service: &Name) -> bool {
        let zone = self.services.get(service).and_then(|pool| pool.zones.get(&self.own_zone));
        zone.is_some_and(|zone| !zone.available.is_empty())
    }

    /// Returns the requests in progress at the available servers of a service in a zone, those of
    /// other VMs according to the load summary; `None` if the zone has no available server.
    pub fn slot_use(
        &self,
        now: Time,
        service: &Name,
        zone: &Name,
        view: &impl ServerView,
    ) -> Option<SlotUse> {
        let zone = self.services.get(service)?.zones.get(zone)?;
        let available = !zone.available.is_empty();
        available.then(|| zone.slot_use(self.summary_weight(now), view))
    }

    /// Adjusts the distribution of a service over zones if it is due.
    pub fn tick(&mut self, now: Time, service: &Name, view: &impl ServerView) {
        let summary = self.summary_weight(now);
        let Some(pool) = self.services.get_mut(service) else { return };
        if !pool.shares.is_due(now) {
            return;
        }
        let zones = pool.zones.iter().filter(|(zone, _)| view.is_zone_in(zone));
        pool.shares.set_rooms(zones.map(|(name, zone)| {
            let others = zone.available.other_requests() as f32 * summary;
            (name.clone(), zone.available.slots(), others as u32)
        }));
        pool.shares.tick(now);
    }

    /// Returns the weight of the load summary, from 1 for a new one to 0.
    fn summary_weight(&self, now: Time) -> f32 {
        let Some(time) = self.summary_time else { return 0.0 };
        let left = SUMMARY_AGE.saturating_sub(now.since(time));
        left.div_duration_f32(SUMMARY_AGE)
    }

    /// Replaces the load summary: the requests that other VMs had in progress at `time`, by cookie.
    pub fn set_summary(&mut self, time: Time, requests: &BTreeMap<u32, u32>) {
        self.summary_time = Some(time);
        for zone in self.services.values_mut().flat_map(|pool| pool.zones.values_mut()) {
            zone.available.set_other_requests(requests);
        }
    }

    /// Records how long a server took to answer a request.
    pub fn answered(&mut self, id: u64, time: Duration) {
        self.record(id, Some(time));
    }

    /// Records that a server refused a request.
    pub fn refused(&mut self, id: u64) {
        self.record(id, None);
    }

    fn record(&mut self, id: u64, time: Option<Duration>) {
        let Some(Place { service, zone, slots, .. }) = self.places.get(&id) else { return };
        let Some(pool) = self.services.get_mut(service) else { return };
        match time {
            Some(time) => pool.shares.answered(zone, time),
            None => pool.shares.refused(zone),
        }
        if let Some(zone) = pool.zones.get_mut(zone) {
            zone.available.answered(id, *slots, self.seed, time);
        }
    }

    /// Returns the share of new flows that is sent to other zones because the own one is short, of
    /// the service that sends most.
    pub fn sent_away(&self) -> f64 {
        self.services.values().map(|pool| pool.shares.sent_away()).fold(0.0, f64::max)
    }
}

impl ZonePool {
    /// Returns the use of the available servers' slots, where the load summary has the weight
    /// `summary`.
    fn slot_use(&self, summary: f32, view: &impl ServerView) -> SlotUse {
        let ring = &self.available;
        let own: u32 = ring.cookies().map(|cookie| view.load(cookie).requests).sum();
        let others = ring.other_requests() as f32 * summary;
        SlotUse { requests: own as f32 + others, slots: ring.slots() as f32 }
    }
}

/// Returns the load of a server as the VM itself knows it.
fn weighed_load(view: &impl ServerView, entry: &Entry) -> u64 {
    let OwnLoad { requests, flows } = view.load(entry.cookie);
    REQUEST_WEIGHT * u64::from(requests) + u64::from(flows)
}

impl Place {
    fn is_cold(&self) -> bool {
        self.eligibility == Eligibility::Cold
    }
}
