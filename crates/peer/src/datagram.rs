//! UDP datagrams in which entry hosts report load and demand several times a second.
//!
//! The next datagram supersedes a lost one, so none is acknowledged or retransmitted.

use std::{cmp::Reverse, io, net::SocketAddr};

use quota::AccountUsage;
use route::{CrashReport, CrashUpdate};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use types::{DataCentreId, HostId, Incarnation};

use crate::sums::Summable;

/// Maximum size of a datagram in bytes, which fits an Ethernet frame.
const MAX_DATAGRAM: usize = 1_400;

/// Maximum number of entries of each list in one datagram.
const MAX_LOADS: usize = 118;
const MAX_SLOWDOWNS: usize = 160;
const MAX_MODELS: usize = 120;
const MAX_ADAPTERS: usize = 120;
const MAX_LEAVING: usize = 100;
const MAX_ACCOUNTS: usize = 50;
/// Suspects, responses and blocked suspects take up to 20, 28 and 32 bytes.
const MAX_SUSPECTS: usize = 48;
pub(crate) const MAX_RESPONSES: usize = 36;
const MAX_BLOCKED: usize = 32;

/// Bytes of a report of a crash without its suspects and the name of the server.
const CRASH_REPORT_BYTES: usize = 32;

/// Bytes of a suspect in a report.
const SUSPECT_BYTES: usize = 20;

/// Bytes of reports of crashes in one datagram; the rest is for the name of the host.
const MAX_CRASHES_BYTES: usize = 1_250;

/// Load that a host has sent to one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// Hash of the backend server's name.
    pub backend: u32,
    /// Requests that are queued or running there.
    pub requests: u16,
    /// Milliseconds that the server needs for the prefill of their prompts.
    pub prefill_ms: u16,
    /// Number of hosts that consider the server unreachable.
    pub unreachable_reports: u8,
    /// Number of hosts that lost the last response of the server.
    pub lost_reports: u8,
    /// Number of hosts to which the server has responded a short time ago.
    pub response_reports: u8,
}

/// Demand of the callers of a host for one model.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ModelDemand {
    /// Hash of the model's name.
    pub model: u32,
    /// Worker time needed, in milliseconds per second.
    pub work_ms: u16,
}

/// Observed slowdown of one backend server, in integer units.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Slowdown {
    /// Hash of the backend server's name.
    pub backend: u32,
    /// Weighted sum of the natural logarithms of the slowdowns, in hundredths.
    pub log_sum: i16,
    /// Sum of the weights of the observed requests, in tenths.
    pub samples: u16,
}

/// Process of a backend server that announced that it leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct LeavingServer {
    /// Hash of the backend server's name.
    pub backend: u32,
    /// Incarnation that leaves.
    pub incarnation: Incarnation,
}

/// Report about backend servers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum BackendReport {
    /// Load of the servers.
    Loads(Vec<Load>),
    /// Observed slowdowns of the servers.
    Slowdowns(Vec<Slowdown>),
}

/// Message to peers in one datagram.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Datagram {
    /// Report of one host.
    Host(HostId, BackendReport),
    /// Sum of the reports of all hosts of a data centre.
    DataCentre(DataCentreId, BackendReport),
    /// Sum of the reports of all hosts, including the receiver, and the host that computed it.
    Fleet(HostId, BackendReport),
    /// Demand of the callers of one host.
    Demand {
        /// The host.
        host: HostId,
        /// Demand by model.
        models: Vec<ModelDemand>,
        /// Name hashes of the adapters that its callers used since its last message.
        adapters: Vec<u32>,
    },
    /// What a host knows of crashes of backend servers.
    Crashes {
        /// The host.
        host: HostId,
        /// What it knows.
        update: CrashUpdate,
    },
    /// What accounts used of their quotas.
    AccountUsage {
        /// Hosts whose usage it is.
        of: UsageSource,
        /// Usage by account.
        usages: Vec<AccountUsage>,
    },
    /// Backend servers that announced to one host that they leave.
    Leaving {
        /// The host.
        host: HostId,
        /// The servers.
        servers: Vec<LeavingServer>,
    },
}

/// Hosts whose usage of quotas a datagram contains.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum UsageSource {
    /// One host.
    Host(HostId),
    /// All hosts of a data centre.
    DataCentre(DataCentreId),
    /// All hosts, including the receiver; the host computed the sum.
    Fleet(HostId),
}

impl Summable for Load {
    fn backend(&self) -> u32 {
        self.backend
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            backend: self.backend,
            requests: self.requests.saturating_add(other.requests),
            prefill_ms: self.prefill_ms.saturating_add(other.prefill_ms),
            unreachable_reports: self
                .unreachable_reports
                .saturating_add(other.unreachable_reports),
            lost_reports: self.lost_reports.saturating_add(other.lost_reports),
            response_reports: self.response_reports.saturating_add(other.response_reports),
        }
    }

    fn minus(self, part: &Self) -> Self {
        Self {
            backend: self.backend,
            requests: self.requests.saturating_sub(part.requests),
            prefill_ms: self.prefill_ms.saturating_sub(part.prefill_ms),
            unreachable_reports: self
                .unreachable_reports
                .saturating_sub(part.unreachable_reports),
            lost_reports: self.lost_reports.saturating_sub(part.lost_reports),
            response_reports: self.response_reports.saturating_sub(part.response_reports),
        }
    }
}

impl Summable for Slowdown {
    fn backend(&self) -> u32 {
        self.backend
    }

    fn plus(self, other: &Self) -> Self {
        Self {
            backend: self.backend,
            log_sum: self.log_sum.saturating_add(other.log_sum),
            samples: self.samples.saturating_add(other.samples),
        }
    }

    fn minus(self, part: &Self) -> Self {
        Self {
            backend: self.backend,
            log_sum: self.log_sum.saturating_sub(part.log_sum),
            samples: self.samples.saturating_sub(part.samples),
        }
    }
}

impl BackendReport {
    /// Truncates the lists to what fits in a datagram, keeping the largest entries.
    fn shorten(&mut self) {
        match self {
            Self::Loads(loads) => {
                loads.sort_by_key(|l| {
                    Reverse((l.unreachable_reports.max(l.lost_reports), l.prefill_ms))
                });
                loads.truncate(MAX_LOADS);
            }
            Self::Slowdowns(slowdowns) => {
                slowdowns.sort_by_key(|p| Reverse(p.samples));
                slowdowns.truncate(MAX_SLOWDOWNS);
            }
        }
    }
}

/// Splits the report of a crash into ones that fit in a datagram.
fn split_report(report: &CrashReport) -> impl Iterator<Item = CrashReport> {
    report
        .suspects
        .chunks(MAX_SUSPECTS)
        .map(|suspects| CrashReport {
            suspects: suspects.to_vec(),
            ..report.clone()
        })
}

/// Returns the number of bytes of a report of a crash.
pub(crate) fn crash_report_bytes(report: &CrashReport) -> usize {
    let suspects = SUSPECT_BYTES.saturating_mul(report.suspects.len());
    CRASH_REPORT_BYTES + report.backend.as_str().len() + suspects
}

/// Distributes reports of crashes over datagrams, in their order.
fn pack_reports(reports: impl Iterator<Item = CrashReport>) -> Vec<Vec<CrashReport>> {
    let mut datagrams: Vec<Vec<CrashReport>> = Vec::new();
    let mut bytes = 0;
    for report in reports {
        let more = crash_report_bytes(&report);
        match datagrams.last_mut() {
            Some(last) if bytes + more <= MAX_CRASHES_BYTES => {
                bytes += more;
                last.push(report);
            }
            _ => {
                bytes = more;
                datagrams.push(vec![report]);
            }
        }
    }
    datagrams
}

/// Truncates a crash update to what fits in a datagram.
///
/// [`Datagram::crash_updates`] has split it before, so that only one of its lists has entries.
fn truncate_update(update: &mut CrashUpdate) {
    for report in &mut update.crashes {
        report.suspects.truncate(MAX_SUSPECTS);
    }
    let mut bytes = 0;
    update.crashes.retain(|report| {
        bytes += crash_report_bytes(report);
        bytes <= MAX_CRASHES_BYTES
    });
    update.responses.truncate(MAX_RESPONSES);
    update.blocked.truncate(MAX_BLOCKED);
}

impl Datagram {
    /// Splits a crash update of a host into datagrams.
    #[must_use]
    pub fn crash_updates(host: &HostId, update: &CrashUpdate) -> Vec<Self> {
        let datagram = |update| Self::Crashes {
            host: host.clone(),
            update,
        };
        let reports = update.crashes.iter().flat_map(split_report);
        let crashes = pack_reports(reports)
            .into_iter()
            .map(|crashes| CrashUpdate {
                crashes,
                ..CrashUpdate::default()
            });
        let responses = update.responses.chunks(MAX_RESPONSES).map(|r| CrashUpdate {
            responses: r.to_vec(),
            ..CrashUpdate::default()
        });
        let blocked = update.blocked.chunks(MAX_BLOCKED).map(|b| CrashUpdate {
            blocked: b.to_vec(),
            ..CrashUpdate::default()
        });
        crashes
            .chain(responses)
            .chain(blocked)
            .map(datagram)
            .collect()
    }

    /// Splits the usage of accounts into datagrams; there is at least one, as it shows that its sender lives.
    #[must_use]
    pub fn account_usages(of: &UsageSource, usages: &[AccountUsage]) -> Vec<Self> {
        let datagram = |usages: &[AccountUsage]| Self::AccountUsage {
            of: of.clone(),
            usages: usages.to_vec(),
        };
        if usages.is_empty() {
            return vec![datagram(usages)];
        }
        usages.chunks(MAX_ACCOUNTS).map(datagram).collect()
    }

    /// Returns the value in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Host(..) => "host",
            Self::DataCentre(..) => "data_centre",
            Self::Fleet(..) => "fleet",
            Self::Demand { .. } => "demand",
            Self::Crashes { .. } => "crashes",
            Self::AccountUsage { .. } => "account_usage",
            Self::Leaving { .. } => "leaving",
        }
    }

    /// Truncates the lists to what fits in a datagram, keeping the largest entries.
    fn shorten(&mut self) {
        match self {
            Self::Host(_, report) | Self::DataCentre(_, report) | Self::Fleet(_, report) => {
                report.shorten();
            }
            Self::Demand {
                models, adapters, ..
            } => {
                models.sort_by_key(|n| Reverse(n.work_ms));
                models.truncate(MAX_MODELS);
                adapters.truncate(MAX_ADAPTERS);
            }
            Self::AccountUsage { usages, .. } => usages.truncate(MAX_ACCOUNTS),
            Self::Leaving { servers, .. } => servers.truncate(MAX_LEAVING),
            Self::Crashes { update, .. } => truncate_update(update),
        }
    }
}

/// Returns the hash that identifies a name in datagrams; it is the same on all hosts.
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    crate::short_hash(&[name.as_bytes()])
}

/// Counter of the bytes of datagrams, without the headers of UDP and IP.
const DATAGRAM_BYTES: &str = "celerytally_datagram_bytes_total";

fn count_bytes(direction: &'static str, datagram: &Datagram, bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    let kind = datagram.label();
    metrics::counter!(DATAGRAM_BYTES, "direction" => direction, "kind" => kind).increment(bytes);
}

/// UDP socket for [`Datagram`]s.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        Ok(Self { socket })
    }

    /// Sends a datagram to peers, shortened to the maximum size. Returns the number of bytes sent.
    ///
    /// # Errors
    /// Fails when the datagram cannot be encoded; send errors of single peers are logged.
    pub async fn send(&self, mut datagram: Datagram, peers: &[SocketAddr]) -> io::Result<usize> {
        datagram.shorten();
        let bytes = bincode::serialize(&datagram).map_err(io::Error::other)?;
        let sent = bytes.len().saturating_mul(peers.len());
        count_bytes("sent", &datagram, sent);
        for peer in peers {
            if let Err(e) = self.socket.send_to(&bytes, peer).await {
                tracing::debug!(%peer, error = %e, "datagram not sent");
            }
        }
        Ok(sent)
    }

    /// Receives the next datagram.
    ///
    /// # Errors
    /// Fails when the socket fails or the datagram cannot be decoded.
    pub async fn receive(&self) -> io::Result<Datagram> {
        let mut buf = [0; MAX_DATAGRAM + 1];
        let (len, _) = self.socket.recv_from(&mut buf).await?;
        let datagram = bincode::deserialize(&buf[..len]).map_err(io::Error::other)?;
        count_bytes("received", &datagram, len);
        Ok(datagram)
    }
}
