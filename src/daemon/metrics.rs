//! Export of the counters in the text format of Prometheus, through OpenTelemetry.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http_body_util::Full;
use hyper::{Request, Response, body::Bytes, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

mod export;

use export::Exporter;

use crate::{
    counter::{Counter, Counters},
    error::{Error, Result},
    name::Name,
};

/// A time that is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Latency {
    /// From an operator's order to its fate.
    Order,
    /// From a read to its answer.
    Read,
    /// From the announcement of a server's end to its confirmation.
    Confirm,
    /// From a write of the log to its sync.
    Sync,
    /// The packets of one wake-up.
    Batch,
}

impl Latency {
    const ALL: [Latency; 5] =
        [Latency::Order, Latency::Read, Latency::Confirm, Latency::Sync, Latency::Batch];

    const fn name(self) -> &'static str {
        match self {
            Latency::Order => "order_seconds",
            Latency::Read => "read_seconds",
            Latency::Confirm => "confirm_seconds",
            Latency::Sync => "sync_seconds",
            Latency::Batch => "batch_seconds",
        }
    }
}

/// A value that goes up and down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Level {
    /// Commands applied in the plan in force.
    PlanIndex,
    /// Operator's number of the configuration in force.
    PlanNumber,
    /// Milliseconds since the plan in force arrived.
    PlanAge,
    /// Milliseconds for which announcements of backend servers were heard.
    RegistryAge,
    /// Backend servers that are known.
    Servers,
    /// Flows that were seen lately.
    Flows,
    /// Entry VMs that take the feed.
    Subscribers,
}

impl Level {
    const ALL: [Level; 7] = [
        Level::PlanIndex,
        Level::PlanNumber,
        Level::PlanAge,
        Level::RegistryAge,
        Level::Servers,
        Level::Flows,
        Level::Subscribers,
    ];

    const fn name(self) -> &'static str {
        match self {
            Level::PlanIndex => "plan_index",
            Level::PlanNumber => "plan_number",
            Level::PlanAge => "plan_age_ms",
            Level::RegistryAge => "registry_age_ms",
            Level::Servers => "servers_known",
            Level::Flows => "flows_seen",
            Level::Subscribers => "subscribers",
        }
    }
}

/// What a daemon publishes.
pub(super) struct Values {
    vm: Name,
    zone: Name,
    counts: Vec<AtomicU64>,
    levels: Vec<AtomicU64>,
}

/// Values that a daemon publishes and a scraper reads.
///
/// The exporter takes more memory than the rest of an entry VM, so that it is made for the first
/// scraper; latencies count from then on.
#[derive(Clone)]
pub(super) struct Metrics {
    values: Arc<Values>,
    exporter: Arc<OnceLock<Exporter>>,
}

impl Metrics {
    /// Returns the metrics of the VM `vm` in `zone`, all zero.
    pub(super) fn new(vm: &Name, zone: &Name) -> Metrics {
        let zeros = |len: usize| (0..len).map(|_| AtomicU64::new(0)).collect();
        let (counts, levels) = (zeros(Counter::ALL.len()), zeros(Level::ALL.len()));
        let values = Values { vm: vm.clone(), zone: zone.clone(), counts, levels };
        Metrics { values: Arc::new(values), exporter: Arc::default() }
    }

    /// Takes over the counts of a node.
    pub(super) fn publish(&self, counters: &Counters) {
        for (counter, count) in counters.iter() {
            self.values.counts[counter as usize].store(count, Ordering::Relaxed);
        }
    }

    /// Sets a value.
    pub(super) fn set(&self, level: Level, value: u64) {
        self.values.levels[level as usize].store(value, Ordering::Relaxed);
    }

    /// Adds a time to its histogram.
    pub(super) fn record(&self, latency: Latency, time: Duration) {
        if let Some(exporter) = self.exporter.get() {
            exporter.record(latency, time.as_secs_f64());
        }
    }

    fn text(&self) -> Vec<u8> {
        if let Some(exporter) = self.exporter.get() {
            return exporter.text();
        }
        match Exporter::new(&self.values) {
            Ok(exporter) => self.exporter.get_or_init(|| exporter).text(),
            Err(err) => {
                log::error!("{err}");
                Vec::new()
            }
        }
    }
}

/// Starts to answer scrapers on `addr`, where one is given.
///
/// # Errors
///
/// Fails when `addr` cannot be used.
pub(super) async fn start(
    addr: Option<SocketAddr>,
    vm: &Name,
    zone: &Name,
) -> Result<Option<Metrics>> {
    let Some(addr) = addr else { return Ok(None) };
    let metrics = Metrics::new(vm, zone);
    serve(addr, metrics.clone()).await?;
    Ok(Some(metrics))
}

/// Answers scrapers on `addr` until the task is dropped.
///
/// # Errors
///
/// Fails when `addr` cannot be used.
pub(super) async fn serve(addr: SocketAddr, metrics: Metrics) -> Result<()> {
    let listener = TcpListener::bind(addr).await.map_err(|err| {
        let message = format!("{addr}: {err}; free the address or choose another");
        Error::settings(message).with_path("metrics")
    })?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let metrics = metrics.clone();
            let answer = service_fn(move |_: Request<hyper::body::Incoming>| {
                let body = Full::new(Bytes::from(metrics.text()));
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
            tokio::spawn(connection);
        }
    });
    Ok(())
}
