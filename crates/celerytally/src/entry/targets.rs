//! Hosts to which this one sends its loads.

use std::net::SocketAddr;

use peer::{Member, MemberState, rank_hosts};
use types::{DataCentreId, HostId};

/// Largest number of hosts at which each host sends its loads to all others.
const MAX_DIRECT_HOSTS: usize = 12;

/// Aggregators per data centre, which add up the loads of its hosts; the second one takes over at
/// once if the first one fails.
const AGGREGATORS_PER_DATA_CENTRE: usize = 2;

/// Duty by which hosts are ranked as aggregators; it is hashed.
const AGGREGATION_DUTY: &str = "load sums";

/// Addresses to which this host sends datagrams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Targets {
    /// All other hosts.
    pub(crate) all: Vec<SocketAddr>,
    /// Whether hosts exchange sums through aggregators, instead of sending loads to all others.
    pub(crate) aggregated: bool,
    /// Rank of this host among the aggregators of its data centre.
    pub(crate) aggregator_rank: Option<usize>,
    /// Other aggregators of this data centre.
    pub(crate) local_aggregators: Vec<SocketAddr>,
    /// Other hosts of this data centre, sorted.
    pub(crate) local_hosts: Vec<HostId>,
    /// Addresses of the other hosts of this data centre.
    pub(crate) local_host_addrs: Vec<SocketAddr>,
    /// Aggregators of the other data centres.
    pub(crate) remote_aggregators: Vec<SocketAddr>,
}

impl Targets {
    /// Chooses the targets among the members.
    pub(crate) fn new(members: &[Member], own: &HostId, dc: &DataCentreId, port: u16) -> Self {
        let addr = |m: &Member| SocketAddr::new(m.peer_addr.ip(), port);
        let is_other = |m: &&Member| m.id != *own && m.state != MemberState::Gone;
        let others = || members.iter().filter(is_other);
        let local = || others().filter(|m| m.dc == *dc);
        let aggregators = |dc: &DataCentreId| {
            let mut hosts = rank_hosts(
                members.iter().filter(|m| m.dc == *dc),
                own,
                AGGREGATION_DUTY,
            );
            hosts.truncate(AGGREGATORS_PER_DATA_CENTRE);
            hosts
        };
        let own_aggregators = aggregators(dc);
        let mut data_centres: Vec<&DataCentreId> = others().map(|m| &m.dc).collect();
        data_centres.sort();
        data_centres.dedup();
        let remote = data_centres.into_iter().filter(|other| *other != dc);
        let mut local_hosts: Vec<HostId> = local().map(|m| m.id.clone()).collect();
        local_hosts.sort();
        Self {
            all: others().map(addr).collect(),
            aggregated: members.len() > MAX_DIRECT_HOSTS,
            aggregator_rank: own_aggregators.iter().position(|m| m.id == *own),
            local_aggregators: own_aggregators
                .iter()
                .filter(|m| m.id != *own)
                .map(|m| addr(m))
                .collect(),
            local_hosts,
            local_host_addrs: local().map(addr).collect(),
            remote_aggregators: remote.flat_map(aggregators).map(addr).collect(),
        }
    }
}
