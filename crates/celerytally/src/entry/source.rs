//! Where this host learns of the configuration and the registry: the platform, or a relay.
//!
//! A call of the platform costs as much as a good part of a request, so only a few hosts read it,
//! and the others ask them. A host whose relays are silent reads the platform itself, and one that
//! does not reach it either asks whichever peer does.

use std::{sync::Arc, time::Duration};

use peer::Member;
use tokio::time::sleep;
use types::{BootTime, Clock, Deadline, HostId, Instant, Micros};

use crate::entry::{beliefs::Beliefs, peers::Exchange};

/// Hosts that read the platform for the others in a large fleet.
const RELAYS: usize = 2;

/// Hosts up to which all read the platform themselves, which recovers faster.
const SMALL_FLEET: usize = 12;

/// Duty of reading the platform for others, under which hosts are ranked.
const RELAY_DUTY: &str = "relay";

/// Time after the very first start in which hosts find each other, so that a large fleet does not
/// read the platform on every host.
const FIND_PEERS: Micros = Micros::from_millis(2_500);

/// Time for which a host whose relays were silent reads the platform itself.
const FALL_BACK: Micros = Micros::from_secs(3);

/// Pause between two looks at the members.
const LOOK: Duration = Duration::from_millis(250);

/// Pause before relays are asked again that answered without facts, and how often that is done.
const LOOK_AGAIN: Micros = Micros::from_millis(150);
const MAX_REFUSED: u32 = 4;

/// Peers that a host asks that does not reach the platform.
const MAX_ASKED: usize = 3;

/// Returns the live hosts in the order in which they are relays.
fn relays(members: &[Member], own: &HostId) -> Vec<HostId> {
    let ranked = peer::ranked(members.iter(), own, RELAY_DUTY);
    ranked.into_iter().map(|m| m.id.clone()).collect()
}

/// Follows the best source for as long as the process runs.
pub(crate) async fn follow(
    own: HostId,
    first_start: bool,
    exchange: Exchange,
    beliefs: Arc<Beliefs>,
) {
    if first_start {
        sleep(FIND_PEERS.into()).await;
    }
    let mut direct_until = Deadline::at(Instant::ZERO);
    let mut refused = 0;
    loop {
        let ranked = relays(&exchange.members().borrow(), &own);
        let now = BootTime.now();
        let relays = &ranked[..ranked.len().min(RELAYS)];
        let reads = ranked.len() <= SMALL_FLEET || relays.contains(&own);
        if reads || !direct_until.is_past(now) {
            beliefs.set_direct(true);
            if beliefs.is_away() {
                ask_any(&ranked, &own, &exchange, &beliefs).await;
            }
            sleep(LOOK).await;
        } else if ask(relays, &exchange, &beliefs).await {
            beliefs.set_direct(false);
            refused = 0;
        } else if refused < MAX_REFUSED && BootTime.now().since(now) < LOOK_AGAIN {
            // A relay that answers at once may only just have become one.
            refused += 1;
            sleep(LOOK_AGAIN.into()).await;
        } else {
            refused = 0;
            tracing::warn!(
                dependency = "relays",
                "silent; reading the platform instead"
            );
            direct_until = Deadline::after(now, FALL_BACK);
        }
    }
}

/// Asks relays for news, and tells whether one of them reaches the platform.
async fn ask(relays: &[HostId], exchange: &Exchange, beliefs: &Beliefs) -> bool {
    for relay in relays {
        if let Some(facts) = exchange.facts(relay, beliefs.known(true)).await {
            beliefs.told(facts);
            return true;
        }
    }
    false
}

/// Asks peers until one of them reaches the platform.
async fn ask_any(ranked: &[HostId], own: &HostId, exchange: &Exchange, beliefs: &Beliefs) {
    let others = ranked.iter().filter(|h| *h != own);
    for peer in others.take(MAX_ASKED) {
        if let Some(facts) = exchange.facts(peer, beliefs.known(false)).await {
            beliefs.told(facts);
            return;
        }
    }
}
