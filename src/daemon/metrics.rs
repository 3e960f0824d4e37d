//! Export of the counters in the text format of Prometheus, through OpenTelemetry.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http_body_util::Full;
use hyper::{Request, Response, body::Bytes, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use opentelemetry::{
    KeyValue,
    metrics::{Histogram, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::net::TcpListener;

use crate::{
    counter::{Counter, Counters},
    error::{Error, Result},
    name::Name,
};

/// Name of the instrumentation scope.
const SCOPE: &str = "galenatrail";

/// Bounds of the latency histograms, in seconds: from a tenth of a millisecond to the time after
/// which operators and servers go on to another VM.
const BOUNDS: [f64; 12] = [0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

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

/// Counters that a daemon publishes and a scraper reads.
#[derive(Clone)]
pub(super) struct Metrics {
    counts: Arc<Vec<AtomicU64>>,
    levels: Arc<Vec<AtomicU64>>,
    latencies: Arc<Vec<Histogram<f64>>>,
    labels: Arc<[KeyValue; 2]>,
    registry: Registry,
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Returns the metrics of the VM `vm` in `zone`, all zero.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be built.
    pub(super) fn new(vm: &Name, zone: &Name) -> Result<Metrics> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|err| Error::settings(format!("no metrics exporter: {err}")))?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let counts: Arc<Vec<_>> =
            Arc::new(Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect());
        let labels = [KeyValue::new("vm", vm.clone()), KeyValue::new("zone", zone.clone())];
        let meter = provider.meter(SCOPE);
        for &counter in Counter::ALL {
            let (counts, labels) = (counts.clone(), labels.clone());
            meter
                .u64_observable_counter(counter.name())
                .with_callback(move |observer| {
                    let count = counts[counter as usize].load(Ordering::Relaxed);
                    observer.observe(count, &labels);
                })
                .build();
        }
        let levels: Arc<Vec<_>> = Arc::new(Level::ALL.iter().map(|_| AtomicU64::new(0)).collect());
        for level in Level::ALL {
            let (levels, labels) = (levels.clone(), labels.clone());
            meter
                .u64_observable_gauge(level.name())
                .with_callback(move |observer| {
                    observer.observe(levels[level as usize].load(Ordering::Relaxed), &labels);
                })
                .build();
        }
        let histogram = |latency: &Latency| {
            meter.f64_histogram(latency.name()).with_boundaries(BOUNDS.to_vec()).build()
        };
        let latencies = Arc::new(Latency::ALL.iter().map(histogram).collect());
        let labels = Arc::new(labels);
        Ok(Metrics { counts, levels, latencies, labels, registry, _provider: provider })
    }

    /// Takes over the counts of a node.
    pub(super) fn publish(&self, counters: &Counters) {
        for (counter, count) in counters.iter() {
            self.counts[counter as usize].store(count, Ordering::Relaxed);
        }
    }

    /// Sets a value.
    pub(super) fn set(&self, level: Level, value: u64) {
        self.levels[level as usize].store(value, Ordering::Relaxed);
    }

    /// Adds a time to its histogram.
    pub(super) fn record(&self, latency: Latency, time: Duration) {
        self.latencies[latency as usize].record(time.as_secs_f64(), &*self.labels);
    }

    fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // A failure leaves the text short, which the scraper reports.
        _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

/// Starts to answer scrapers on `addr`, where one is given.
///
/// # Errors
///
/// Fails when the exporter cannot be built or `addr` cannot be used.
pub(super) async fn start(
    addr: Option<SocketAddr>,
    vm: &Name,
    zone: &Name,
) -> Result<Option<Metrics>> {
    let Some(addr) = addr else { return Ok(None) };
    let metrics = Metrics::new(vm, zone)?;
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
