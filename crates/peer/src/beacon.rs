//! Datagrams in which entry hosts tell each other several times a second what they have sent.
//!
//! A lost datagram is replaced by the next one, so nothing is acknowledged or repeated.

use std::{io, net::SocketAddr};

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use types::HostId;

/// Largest datagram, which fits an Ethernet frame.
const MAX_DATAGRAM: usize = 1_400;

/// Entries of each list in one datagram; the largest loads and needs come first.
const MAX_ENTRIES: usize = 60;

/// Requests of a host at one backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// Key of the backend server's name.
    pub backend: u32,
    /// Requests that wait or run there.
    pub requests: u16,
    /// Milliseconds that the server needs to read their prompts.
    pub work_ms: u16,
}

/// Demand of a host's callers for one model.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Need {
    /// Key of the model's name.
    pub model: u32,
    /// Milliseconds of a worker a second.
    pub work_ms: u16,
}

/// What a host tells its peers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Beacon {
    /// The host.
    pub host: HostId,
    /// Its requests, by backend server.
    pub loads: Vec<Load>,
    /// Demand of its callers; only now and then.
    pub needs: Vec<Need>,
    /// Keys of the adapters that its callers used since the last needs.
    pub adapters: Vec<u32>,
}

/// Returns the key of a name, which all hosts compute alike.
#[must_use]
pub fn key(name: &str) -> u32 {
    crate::short_hash(&[name.as_bytes()])
}

/// Socket for beacons.
#[derive(Debug)]
pub struct Beacons {
    socket: UdpSocket,
}

impl Beacons {
    /// Binds the socket.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind(addr: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        Ok(Self { socket })
    }

    /// Sends a beacon to peers, as far as it fits a datagram.
    ///
    /// # Errors
    /// When the beacon can't be encoded.
    pub async fn send(&self, mut beacon: Beacon, peers: &[SocketAddr]) -> io::Result<()> {
        beacon.loads.sort_by_key(|l| std::cmp::Reverse(l.work_ms));
        beacon.loads.truncate(MAX_ENTRIES);
        beacon.needs.sort_by_key(|n| std::cmp::Reverse(n.work_ms));
        beacon.needs.truncate(MAX_ENTRIES);
        beacon.adapters.truncate(MAX_ENTRIES);
        let bytes = bincode::serialize(&beacon).map_err(io::Error::other)?;
        for peer in peers {
            if let Err(e) = self.socket.send_to(&bytes, peer).await {
                tracing::debug!(%peer, error = %e, "beacon not sent");
            }
        }
        Ok(())
    }

    /// Receives the next beacon.
    ///
    /// # Errors
    /// When the socket fails or a datagram is no beacon.
    pub async fn receive(&self) -> io::Result<Beacon> {
        let mut buf = [0; MAX_DATAGRAM + 1];
        let (len, _) = self.socket.recv_from(&mut buf).await?;
        bincode::deserialize(&buf[..len]).map_err(io::Error::other)
    }
}
