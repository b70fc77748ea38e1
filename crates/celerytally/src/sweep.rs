//! Deletes the claims of finished requests after their retention.

use std::{sync::Arc, time::Duration};

use peer::MemberState;
use tokio::time::{MissedTickBehavior, interval};

use crate::host::Host;

/// Time between two sweeps; a claim goes at the second sweep after its retention at the latest.
const PERIOD: Duration = Duration::from_mins(10);

/// Key by which the live hosts agree on the one that sweeps.
const KEY: &str = "claims";

/// Sweeps whenever this host is the one of the deployment to do so, until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !is_first(&host) {
            continue;
        }
        // A platform that does not answer is noted by its client; the next sweep tries again.
        if let Ok(deleted @ 1..) = host.gate.sweep_claims().await {
            tracing::info!(deleted, "old claims deleted");
        }
    }
}

fn is_first(host: &Host) -> bool {
    let members = host.exchange.members().borrow().clone();
    let alive = members.iter().filter(|m| m.state == MemberState::Alive);
    let names: Vec<&str> = alive.map(|m| m.id.as_str()).collect();
    types::rendezvous_rank(KEY, &names).into_iter().next() == Some(host.id.as_str())
}
