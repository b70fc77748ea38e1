//! To which hosts this one tells its loads.

use std::net::SocketAddr;

use peer::{Member, MemberState, rank_hosts};
use types::{DataCentreId, HostId};

/// Hosts up to which each tells all others.
const SMALL_FLEET: usize = 12;

/// Hosts of a data centre that add up the loads of the others; the second takes over at once.
const SUMMING: usize = 2;

/// Duty under which hosts are ranked.
const DUTY: &str = "load sums";

/// Addresses to which this host sends datagrams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Targets {
    /// All other hosts.
    pub(crate) all: Vec<SocketAddr>,
    /// Whether hosts tell sums instead of each telling all others.
    pub(crate) sums: bool,
    /// Rank of this host among those that add up the loads of its data centre.
    pub(crate) rank: Option<usize>,
    /// Other hosts that add up the loads of this data centre.
    pub(crate) summing: Vec<SocketAddr>,
    /// Other hosts of this data centre, sorted.
    pub(crate) neighbours: Vec<HostId>,
    /// Their addresses.
    pub(crate) neighbour_addrs: Vec<SocketAddr>,
    /// Hosts that add up the loads of other data centres.
    pub(crate) other_sums: Vec<SocketAddr>,
}

impl Targets {
    /// Chooses the targets among the members.
    pub(crate) fn new(members: &[Member], own: &HostId, dc: &DataCentreId, port: u16) -> Self {
        let addr = |m: &Member| SocketAddr::new(m.peer_addr.ip(), port);
        let reached = |m: &&Member| m.id != *own && m.state != MemberState::Gone;
        let others = || members.iter().filter(reached);
        let here = || others().filter(|m| m.dc == *dc);
        let summing = |dc: &DataCentreId| {
            let mut hosts = rank_hosts(members.iter().filter(|m| m.dc == *dc), own, DUTY);
            hosts.truncate(SUMMING);
            hosts
        };
        let own_summing = summing(dc);
        let mut data_centres: Vec<&DataCentreId> = others().map(|m| &m.dc).collect();
        data_centres.sort();
        data_centres.dedup();
        let elsewhere = data_centres.into_iter().filter(|other| *other != dc);
        let mut neighbours: Vec<HostId> = here().map(|m| m.id.clone()).collect();
        neighbours.sort();
        Self {
            all: others().map(addr).collect(),
            sums: members.len() > SMALL_FLEET,
            rank: own_summing.iter().position(|m| m.id == *own),
            summing: own_summing
                .iter()
                .filter(|m| m.id != *own)
                .map(|m| addr(m))
                .collect(),
            neighbours,
            neighbour_addrs: here().map(addr).collect(),
            other_sums: elsewhere.flat_map(summing).map(addr).collect(),
        }
    }
}
