//! Datagrams in which entry hosts tell each other several times a second what they have sent.
//!
//! A lost datagram is replaced by the next one, so nothing is acknowledged or repeated.

use std::{cmp::Reverse, io, net::SocketAddr};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use types::{DataCentreId, HostId};

use crate::sums::Summable;

/// Largest datagram, which fits an Ethernet frame.
const MAX_DATAGRAM: usize = 1_400;

/// Entries of each list in one datagram.
const MAX_LOADS: usize = 130;
const MAX_SLOWDOWNS: usize = 160;
const MAX_MODELS: usize = 120;
const MAX_ADAPTERS: usize = 120;

/// Requests of a host at one backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// Key of the backend server's name.
    pub backend: u32,
    /// Requests that wait or run there.
    pub requests: u16,
    /// Milliseconds that the server needs to read their prompts.
    pub prefill_ms: u16,
    /// Hosts that take the server to be out of reach.
    pub unreachable_reports: u16,
}

/// Demand of a host's callers for one model.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ModelDemand {
    /// Key of the model's name.
    pub model: u32,
    /// Milliseconds of a worker a second.
    pub work_ms: u16,
}

/// Observed slowdown of one backend server, in integer units.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Slowdown {
    /// Key of the backend server's name.
    pub backend: u32,
    /// Sum of the logarithms of relative times, in hundredths.
    pub log_sum: i16,
    /// Weight of the requests that it was learned from, in tenths.
    pub samples: u16,
}

/// What a host tells of backend servers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum BackendReport {
    /// Requests there.
    Loads(Vec<Load>),
    /// Slowdowns observed there.
    Slowdowns(Vec<Slowdown>),
}

/// What a host tells its peers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Datagram {
    /// What one host knows by itself.
    Host(HostId, BackendReport),
    /// Sum over all hosts of a data centre.
    DataCentre(DataCentreId, BackendReport),
    /// Sum over all hosts, the receiver included, and the host that added them up.
    Fleet(HostId, BackendReport),
    /// Demand of one host's callers.
    Demand {
        /// The host.
        host: HostId,
        /// Demand by model.
        models: Vec<ModelDemand>,
        /// Keys of the adapters that its callers used since the last time.
        adapters: Vec<u32>,
    },
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
    /// Leaves out what does not fit a datagram; the largest entries stay.
    fn shorten(&mut self) {
        match self {
            Self::Loads(loads) => {
                loads.sort_by_key(|l| Reverse((l.unreachable_reports, l.prefill_ms)));
                loads.truncate(MAX_LOADS);
            }
            Self::Slowdowns(slowdowns) => {
                slowdowns.sort_by_key(|p| Reverse(p.samples));
                slowdowns.truncate(MAX_SLOWDOWNS);
            }
        }
    }
}

impl Datagram {
    /// Leaves out what does not fit a datagram; the largest entries stay.
    fn shorten(&mut self) {
        match self {
            Self::Host(_, told) | Self::DataCentre(_, told) | Self::Fleet(_, told) => {
                told.shorten();
            }
            Self::Demand {
                models, adapters, ..
            } => {
                models.sort_by_key(|n| Reverse(n.work_ms));
                models.truncate(MAX_MODELS);
                adapters.truncate(MAX_ADAPTERS);
            }
        }
    }
}

/// Returns the key of a name, which all hosts compute alike.
#[must_use]
pub fn name_hash(name: &str) -> u32 {
    crate::short_hash(&[name.as_bytes()])
}

/// Socket for beacons.
#[derive(Debug)]
pub struct DatagramSocket {
    socket: UdpSocket,
}

impl DatagramSocket {
    /// Binds the socket.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        Ok(Self { socket })
    }

    /// Sends a datagram to peers, as far as it fits one.
    ///
    /// # Errors
    /// When the datagram can't be encoded.
    pub async fn send(&self, mut datagram: Datagram, peers: &[SocketAddr]) -> io::Result<()> {
        datagram.shorten();
        let bytes = bincode::serialize(&datagram).map_err(io::Error::other)?;
        for peer in peers {
            if let Err(e) = self.socket.send_to(&bytes, peer).await {
                tracing::debug!(%peer, error = %e, "datagram not sent");
            }
        }
        Ok(())
    }

    /// Receives the next datagram.
    ///
    /// # Errors
    /// When the socket fails or a datagram is not of the expected form.
    pub async fn receive(&self) -> io::Result<Datagram> {
        let mut buf = [0; MAX_DATAGRAM + 1];
        let (len, _) = self.socket.recv_from(&mut buf).await?;
        bincode::deserialize(&buf[..len]).map_err(io::Error::other)
    }
}
