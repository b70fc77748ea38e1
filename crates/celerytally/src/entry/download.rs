//! Download of newer configurations from other hosts, part by part.

use std::{fmt, sync::Arc, time::Duration};

use futures::{StreamExt, stream};
use peer::RequestError;
use platform::ObjectClient;
use tokio::time::sleep;
use transfer::Download;
use types::{BootTime, Clock, DataCentreId, HostId, Micros};

use crate::entry::{
    configuration::HostOffer, fleet_state::FleetState, peers::Exchange, source, watch,
};

/// Number of parts requested at the same time.
const MAX_CONCURRENT_PARTS: usize = 4;

/// Maximum number of hosts asked for a newer configuration before the platform is read.
const MAX_ASKED: usize = 4;

/// Delay before the next attempt after a failed one, which doubles up to a bound.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Metrics of downloads: their number by outcome, and the duration and size of the complete ones.
const DOWNLOADS_METRIC: &str = "celerytally_downloads_total";
const SECONDS_METRIC: &str = "celerytally_download_seconds";
const BYTES_METRIC: &str = "celerytally_download_bytes_total";

/// Reason why a download ended before its last part.
#[derive(Debug)]
enum Failure {
    /// A part did not arrive.
    Request(RequestError),
    /// The host does not have the encoding any more.
    NotOffered,
    /// A part or the content is not the offered one.
    Invalid(transfer::Error),
}

impl Failure {
    fn label(&self) -> &'static str {
        match self {
            Self::Request(e) => e.reason().label(),
            Self::NotOffered => "not_offered",
            Self::Invalid(_) => "invalid",
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(e) => e.fmt(f),
            Self::NotOffered => f.write_str("the host does not have the encoding any more"),
            Self::Invalid(e) => e.fmt(f),
        }
    }
}

impl From<RequestError> for Failure {
    fn from(e: RequestError) -> Self {
        Self::Request(e)
    }
}

impl From<transfer::Error> for Failure {
    fn from(e: transfer::Error) -> Self {
        Self::Invalid(e)
    }
}

/// Downloads each configuration that is known to exist and newer than the one in force.
pub(crate) struct Downloader {
    dc: DataCentreId,
    exchange: Exchange,
    objects: ObjectClient,
    fleet: Arc<FleetState>,
    /// Parts received in an attempt that failed.
    partial: Option<Download>,
    /// Hosts that failed since the last success.
    failed: Vec<HostId>,
}

impl Downloader {
    /// Creates a downloader for a host in a data centre.
    pub(crate) fn new(
        dc: DataCentreId,
        exchange: Exchange,
        objects: ObjectClient,
        fleet: Arc<FleetState>,
    ) -> Self {
        Self {
            dc,
            exchange,
            objects,
            fleet,
            partial: None,
            failed: Vec::new(),
        }
    }

    /// Downloads configurations for as long as the process runs.
    pub(crate) async fn run(mut self) {
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            self.fleet.wait_until_behind().await;
            match self.next_offer().await {
                Some(offer) => self.download(&offer).await,
                None => watch::read_configuration(&self.objects, &self.fleet).await,
            }
            if self.fleet.is_behind() {
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            } else {
                self.failed.clear();
                retry_delay = MIN_RETRY_DELAY;
            }
        }
    }

    /// Returns the last offer in facts, or asks hosts that have not failed for one.
    async fn next_offer(&mut self) -> Option<HostOffer> {
        let offer = self.fleet.take_offer();
        if let Some(offer) = offer.filter(|offer| !self.failed.contains(&offer.host)) {
            return Some(offer);
        }
        let members = self.exchange.members().borrow().clone();
        let hosts = peer::hosts_by_distance(&members, self.exchange.host(), &self.dc);
        let hosts = hosts.into_iter().filter(|host| !self.failed.contains(host));
        let hosts: Vec<HostId> = hosts.take(MAX_ASKED).collect();
        for host in hosts {
            source::fetch_from(&host, false, &self.exchange, &self.fleet).await;
            if let Some(offer) = self.fleet.take_offer() {
                return Some(offer);
            }
            self.failed.push(host);
        }
        self.failed.clear();
        None
    }

    /// Downloads and applies an offered configuration.
    ///
    /// The parts of a failed download are kept for the next one.
    async fn download(&mut self, from: &HostOffer) {
        let started_at = BootTime.now();
        let partial = self.partial.take().filter(|d| *d.offer() == from.offer);
        let resumed_bytes = partial.as_ref().map_or(0, Download::received_size);
        let mut download = match partial.map_or_else(|| Download::new(from.offer), Ok) {
            Ok(download) => download,
            Err(error) => {
                tracing::error!(host = %from.host, %error, "invalid offer of a configuration");
                self.failed.push(from.host.clone());
                return;
            }
        };
        let result = self.fetch_parts(&from.host, &mut download).await;
        let result = result.and_then(|()| Ok(self.fleet.apply_download(&download, &from.host)?));
        let duration = BootTime.now().since(started_at);
        log_end(from, &download, resumed_bytes, duration, &result);
        let Err(failure) = result else {
            return;
        };
        self.failed.push(from.host.clone());
        if !matches!(failure, Failure::Invalid(_)) {
            self.partial = Some(download);
        }
    }

    async fn fetch_parts(&self, host: &HostId, download: &mut Download) -> Result<(), Failure> {
        // After a failure, the link or the host is taken to be slow.
        let concurrent = if download.received_size() == 0 {
            MAX_CONCURRENT_PARTS
        } else {
            1
        };
        let requests = download
            .missing_parts()
            .map(async |part| (part, self.exchange.part(host, part).await));
        let mut replies = stream::iter(requests).buffered(concurrent);
        while let Some((part, reply)) = replies.next().await {
            let bytes = reply?.ok_or(Failure::NotOffered)?;
            download.push(part, &bytes)?;
        }
        Ok(())
    }
}

/// Logs and counts the end of a download.
fn log_end(
    from: &HostOffer,
    download: &Download,
    resumed_bytes: usize,
    duration: Micros,
    result: &Result<(), Failure>,
) {
    let end = result.as_ref().map_or_else(Failure::label, |()| "complete");
    metrics::counter!(DOWNLOADS_METRIC, "end" => end).increment(1);
    let new_bytes = download.received_size() - resumed_bytes;
    metrics::counter!(BYTES_METRIC).increment(u64::try_from(new_bytes).unwrap_or_default());
    if result.is_ok() {
        metrics::histogram!(SECONDS_METRIC).record(duration.as_secs_f64());
    }
    tracing::info!(
        dependency = "configuration",
        version = %from.version,
        source = %from.host,
        end,
        error = result.as_ref().err().map(ToString::to_string),
        encoded_bytes = from.offer.encoded_size,
        content_bytes = from.offer.content_size,
        is_difference = from.offer.base.is_some(),
        received_bytes = download.received_size(),
        resumed_bytes,
        duration_ms = duration.get() / 1_000,
        "download ended"
    );
}
