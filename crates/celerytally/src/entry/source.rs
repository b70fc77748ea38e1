//! Where this host learns of the configuration and the registry: the platform, or another host.

use std::{sync::Arc, time::Duration};

use peer::{NoFacts, ReadPlan, SourceSelector};
use tokio::time::sleep;
use types::{BootTime, Clock, DataCentreId, HostId, Micros};

use crate::entry::{beliefs::Beliefs, peers::Exchange};

/// Time after the very first start in which hosts find each other, so that a large fleet does not
/// read the platform on every host.
const FIND_PEERS: Micros = Micros::from_millis(2_500);

/// Pause between two looks at the members.
const LOOK: Duration = Duration::from_millis(250);

/// Pause before hosts are asked again that answered without facts.
const LOOK_AGAIN: Duration = Duration::from_millis(150);

/// Time within which a host that is in reach answers a question that does not wait for news.
const ANSWER_TIME: Micros = Micros::from_millis(250);

/// Follows the best source for as long as the process runs.
pub(crate) async fn follow(
    (own, dc): (HostId, DataCentreId),
    first_start: bool,
    exchange: Exchange,
    beliefs: Arc<Beliefs>,
) {
    if first_start {
        sleep(FIND_PEERS.into()).await;
    }
    let mut source = SourceSelector::new(own, dc);
    loop {
        let members = exchange.members().borrow().clone();
        match source.choose(BootTime.now(), &members) {
            ReadPlan::Direct(hosts) => {
                beliefs.set_direct(true);
                if beliefs.is_away() {
                    let told = ask(&hosts, false, &exchange, &beliefs).await;
                    tracing::debug!(dependency = "relays", told = told.is_ok(), "asked");
                }
                sleep(LOOK).await;
            }
            ReadPlan::Ask { hosts, wait } => {
                beliefs.set_direct(false);
                match ask(&hosts, wait, &exchange, &beliefs).await {
                    Ok(by) => source.record_facts(by),
                    Err(how) => {
                        tracing::warn!(dependency = "relays", asked = ?hosts, ?how, "no facts");
                        source.record_no_facts(BootTime.now(), how);
                        sleep(LOOK_AGAIN).await;
                    }
                }
            }
        }
    }
}

/// Asks hosts until one of them tells facts, and returns that one.
///
/// The first one may wait for news before it answers.
async fn ask(
    hosts: &[HostId],
    wait: bool,
    exchange: &Exchange,
    beliefs: &Beliefs,
) -> Result<HostId, NoFacts> {
    let mut how = NoFacts::Silent;
    for (at, host) in hosts.iter().enumerate() {
        let asked = BootTime.now();
        let known = beliefs.known(wait && at == 0);
        if let Some(facts) = exchange.facts(host, known).await {
            beliefs.told(facts);
            return Ok(host.clone());
        }
        if BootTime.now().since(asked) < ANSWER_TIME {
            how = NoFacts::Answered;
        }
    }
    Err(how)
}
