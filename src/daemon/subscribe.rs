//! The two feeds of an entry VM, from different control VMs; the first prefers a control VM in the
//! VM's own availability zone, the second leaves for one with a quorum if neither has one.

use std::{
    future, io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    net::TcpStream,
    sync::{Notify, mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use super::{
    clock::now,
    feed_snapshot::fetch_confirmation,
    link::{self, Ack, Hello},
};
use crate::{
    cookie::{ControlLocation, FeedMessage, FeedSearch, FeedTargets, LoadReporter, PrimaryFeed},
    name::Name,
    time::Time,
};

/// Time without a message after which a control VM counts as unreachable: two and a half heartbeat
/// intervals.
const FEED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time-out for the first message, which a control VM sends as soon as it accepts a feed.
const FIRST_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the next round of connection attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay between the starts of two attempts of a round: longer than a round trip between
/// availability zones, so that most rounds take one attempt.
const STAGGER: Duration = Duration::from_millis(20);
/// Time-out for an attempt in the first rounds. TCP repeats an opening packet to a VM without power
/// after a second only, so that short attempts find the VM sooner once it is back.
const SHORT_TIMEOUT: Duration = Duration::from_millis(60);
/// Rounds with [`SHORT_TIMEOUT`]: some two seconds, in which most outages of all VMs end.
const SHORT_ROUNDS: u32 = 16;

/// Delay between the starts of two questions of a search: longer than most answers take.
const SEARCH_STAGGER: Duration = Duration::from_millis(50);

/// Time for which feed 1 waits for feed 0 to receive all records: a few hundred servers take 100 ms on
/// a link of 2 Mbit/s.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(600);

/// An event of a feed.
pub(super) enum FeedEvent {
    /// A message from a control VM.
    Message(SocketAddr, FeedMessage),
    /// The connection to a control VM was lost.
    Lost(SocketAddr),
}

/// Configuration and state shared by the feeds of a VM.
#[derive(Clone)]
pub(super) struct FeedClient {
    pub(super) name: Name,
    pub(super) zone: Name,
    /// Address at which the VM receives presence datagrams.
    pub(super) listen: SocketAddr,
    pub(super) seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Number of commands that the VM has applied.
    pub(super) index: watch::Receiver<u64>,
    pub(super) events: mpsc::Sender<FeedEvent>,
    pub(super) targets: Arc<Mutex<FeedTargets>>,
    pub(super) reporter: Arc<Mutex<LoadReporter>>,
    /// Notified when a control VM has told that it is up.
    pub(super) hint: Arc<Notify>,
    pub(super) started_at: Instant,
    /// State of feed 0, by which feed 1 decides whether it needs all records.
    pub(super) primary: watch::Sender<PrimaryFeed>,
    /// Decides when feed 1 looks for a control VM with a quorum.
    pub(super) search: watch::Sender<FeedSearch>,
}

/// A connection to the control VM of a feed.
struct Connection {
    target: SocketAddr,
    stream: TcpStream,
    /// Whether the feed requests the records of all servers.
    records: bool,
    /// What made the feed turn to the control VM, for the log.
    merit: &'static str,
}

impl FeedClient {
    /// Runs feed `slot` (0 or 1) for ever, reconnecting when it fails.
    pub(super) async fn run(self, slot: usize) {
        if slot != 0 {
            self.wait_for_primary().await;
        }
        loop {
            let mut connection = self.connect(slot).await;
            loop {
                let target = connection.target;
                let result = tokio::select! {
                    result = self.read_feed(slot, connection) => result,
                    found = self.find_confirmed(slot) => Ok(found),
                };
                let reason = match &result {
                    Ok(next) => format!("control VM {} {}", next.target, next.merit),
                    Err(err) => err.to_string(),
                };
                log::info!("event=feed_lost control={target} slot={slot} reason={reason:?}");
                if slot == 0 {
                    self.update_primary(|primary, now| primary.record_lost(now));
                }
                self.update_search(|search, now| search.record_lost(now, slot));
                _ = self.events.send(FeedEvent::Lost(target)).await;
                match result {
                    Ok(next) => connection = next,
                    Err(_) => break,
                }
            }
            self.targets().record_failure(self.now(), slot);
            sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until feed 0 has received all records, so that feed 1 need not request them.
    async fn wait_for_primary(&self) {
        let mut primary = self.primary.subscribe();
        // After the time-out, the feed requests all records.
        _ = timeout(PRIMARY_TIMEOUT, primary.wait_for(PrimaryFeed::is_complete)).await;
    }

    fn update_primary(&self, update: impl FnOnce(&mut PrimaryFeed, Time)) {
        let now = self.now();
        self.primary.send_modify(|primary| update(primary, now));
    }

    fn update_search(&self, update: impl FnOnce(&mut FeedSearch, Time)) {
        let now = self.now();
        self.search.send_if_modified(|search| {
            let due = search.due();
            update(search, now);
            search.due() != due
        });
    }

    /// Connects feed `slot` to a control VM, in rounds until one accepts.
    async fn connect(&self, slot: usize) -> Connection {
        let mut round = 0_u32;
        loop {
            let wait = if round < SHORT_ROUNDS { SHORT_TIMEOUT } else { link::CONNECT_TIMEOUT };
            let attempt = tokio::select! {
                attempt = self.connect_first(slot, wait) => attempt,
                () = self.hint.notified() => continue,
            };
            if let Some(connection) = attempt {
                return connection;
            }
            round = round.saturating_add(1);
            sleep(RETRY_DELAY).await;
        }
    }

    /// Tries each control VM, one [`STAGGER`] after the other, and returns the connection to the
    /// first that accepts.
    async fn connect_first(&self, slot: usize, wait: Duration) -> Option<Connection> {
        let seeds = self.seeds.borrow().clone();
        let candidates = self.targets().candidates(self.now(), slot, &seeds);
        let mut attempts = JoinSet::new();
        for (target, place) in candidates.into_iter().zip(0..) {
            attempts.spawn(async move {
                sleep(STAGGER * place).await;
                let stream = link::connect(target, wait).await?;
                io::Result::Ok((target, stream))
            });
        }
        while let Some(attempt) = attempts.join_next().await {
            let Ok(Ok((target, stream))) = attempt else { continue };
            if self.targets().claim(slot, target) {
                let records = slot == 0 || self.primary.borrow().is_behind(self.now());
                return Some(Connection { target, stream, records, merit: "is up" });
            }
        }
        None
    }

    /// Connects feed `slot` to a control VM that a quorum confirms, once neither feed comes from one.
    /// Feed 0 stays at the control VM of its availability zone.
    async fn find_confirmed(&self, slot: usize) -> Connection {
        if slot == 0 {
            return future::pending().await;
        }
        let mut search = self.search.subscribe();
        loop {
            let due = search.borrow_and_update().due();
            let wait = due.map(|due| due.since(self.now()));
            tokio::select! {
                // Does not fail: `self` holds the sender.
                _ = search.changed() => continue,
                () = sleep(wait.unwrap_or_default()), if wait.is_some() => {}
            }
            let round = search.borrow().rounds();
            let found = self.ask_for_quorum(round).await;
            // Also after a success: a feed that moves often does so ever less.
            self.update_search(FeedSearch::record_round);
            if let Some(target) = found
                && let Ok(stream) = link::connect(target, link::CONNECT_TIMEOUT).await
                && search.borrow().due().is_some()
                && self.targets().claim(slot, target)
            {
                // What changed during the cut was sent to others only.
                return Connection { target, stream, records: true, merit: "has a quorum" };
            }
        }
    }

    /// Asks control VMs that no feed uses, one [`SEARCH_STAGGER`] after the other; returns the first that
    /// a quorum confirms.
    async fn ask_for_quorum(&self, round: u32) -> Option<SocketAddr> {
        let seeds = self.seeds.borrow().clone();
        let candidates = self.targets().search_candidates(round, &seeds);
        let mut questions = JoinSet::new();
        for (target, place) in candidates.into_iter().zip(0..) {
            let (name, zone) = (self.name.clone(), self.zone.clone());
            questions.spawn(async move {
                sleep(SEARCH_STAGGER * place).await;
                let answer = timeout(FIRST_TIMEOUT, fetch_confirmation(target, name, zone)).await;
                matches!(answer, Ok(Ok(true))).then_some(target)
            });
        }
        let mut asked = 0;
        while let Some(answer) = questions.join_next().await {
            asked += 1;
            if let Ok(Some(target)) = answer {
                return Some(target);
            }
        }
        log::info!("event=no_quorum round={round} asked={asked}");
        None
    }

    /// Reads a feed until it fails, or until a connection to a nearer control VM stands.
    async fn read_feed(&self, slot: usize, connection: Connection) -> io::Result<Connection> {
        let Connection { target, mut stream, records, .. } = connection;
        let index = *self.index.borrow();
        if slot == 0 {
            self.update_primary(|primary, now| primary.record_connected(now));
        }
        let hello = Hello::Feed {
            name: self.name.clone(),
            index,
            push_plans: slot == 0,
            records,
            zone: self.zone.clone(),
            listen: Some(self.listen),
        };
        link::write_frame(&mut stream, &hello).await?;
        let mut wait = FIRST_TIMEOUT;
        loop {
            let message: FeedMessage = timeout(wait, link::read_frame(&mut stream)).await??;
            if wait != FEED_TIMEOUT {
                wait = FEED_TIMEOUT;
                log::info!("event=feed_reached control={target} slot={slot}");
            }
            let ack = self.choose_ack(slot, &message);
            let report = if ack == Ack::Received { self.take_report(slot, &message) } else { None };
            if let Some(nearer) = self.find_nearer(slot, &message).await {
                return Ok(nearer);
            }
            if let FeedMessage::Heartbeat { confirmed, .. } = message {
                self.update_search(|search, now| search.record_heartbeat(now, slot, confirmed));
                if slot == 0 {
                    self.update_primary(|primary, now| primary.record_heartbeat(now, confirmed));
                } else if confirmed && !records && self.primary.borrow().is_behind(self.now()) {
                    log::info!("event=records_requested control={target}");
                    let stream = link::connect(target, SHORT_TIMEOUT).await?;
                    let merit = "is asked for all records";
                    return Ok(Connection { target, stream, records: true, merit });
                }
            }
            self.events
                .send(FeedEvent::Message(target, message))
                .await
                .map_err(|_| io::Error::other("the event loop has ended"))?;
            match report {
                Some(report) => link::write_report(&mut stream, &report).await?,
                None => link::write_ack(&mut stream, ack).await?,
            }
        }
    }

    fn choose_ack(&self, slot: usize, message: &FeedMessage) -> Ack {
        match message {
            FeedMessage::Heartbeat { index, .. } if slot != 0 && *index > *self.index.borrow() => {
                Ack::NeedsPlan
            }
            _ => Ack::Received,
        }
    }

    /// Returns the load report to send with the acknowledgement of `message`, if any.
    ///
    /// Only messages that come at a steady rate are answered with one.
    fn take_report(&self, slot: usize, message: &FeedMessage) -> Option<Vec<u8>> {
        match message {
            FeedMessage::Heartbeat { .. } | FeedMessage::Load(_)
                if self.targets().carries_reports(slot) =>
            {
                let mut reporter = self.reporter.lock().unwrap_or_else(PoisonError::into_inner);
                reporter.take(now())
            }
            _ => None,
        }
    }

    /// Learns of the control VMs that `message` lists, and connects to one of the own availability
    /// zone if the feed should use it.
    async fn find_nearer(&self, slot: usize, message: &FeedMessage) -> Option<Connection> {
        let (FeedMessage::Heartbeat { control_vms, .. } | FeedMessage::ControlVms(control_vms)) =
            message
        else {
            return None;
        };
        let target = self.learn_targets(slot, control_vms)?;
        match link::connect(target, SHORT_TIMEOUT).await {
            Ok(stream) if self.targets().claim(slot, target) => {
                Some(Connection { target, stream, records: true, merit: "is nearer" })
            }
            Ok(_) => None,
            Err(err) => {
                log::info!("event=nearer_refused control={target} reason={:?}", err.to_string());
                self.targets().avoid(self.now(), target);
                None
            }
        }
    }

    fn learn_targets(&self, slot: usize, control_vms: &[ControlLocation]) -> Option<SocketAddr> {
        let now = self.now();
        let mut targets = self.targets();
        targets.set_known(now, control_vms);
        targets.better(now, slot)
    }

    fn targets(&self) -> MutexGuard<'_, FeedTargets> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }
}
