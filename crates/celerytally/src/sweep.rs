//! Deletes the claims of finished requests after their retention.

use std::{sync::Arc, time::Duration};

use peer::MemberState;
use tokio::time::{MissedTickBehavior, interval};

use crate::host::Host;

/// Time between two sweeps; the second sweep after its retention deletes a claim at the latest.
const PERIOD: Duration = Duration::from_mins(10);

/// Rendezvous key that selects the host that sweeps.
const RENDEZVOUS_KEY: &str = "claims";

/// Sweeps in each period in which this host is the selected one, until the task is aborted.
pub(crate) async fn run(host: Arc<Host>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !is_selected(&host) {
            continue;
        }
        // The platform's client records that it does not answer; the next sweep tries again.
        if let Ok(deleted @ 1..) = host.gate.sweep_claims().await {
            tracing::info!(deleted, "old claims deleted");
        }
    }
}

fn is_selected(host: &Host) -> bool {
    let members = host.exchange.members().borrow().clone();
    let alive = members.iter().filter(|m| m.state == MemberState::Alive);
    let names: Vec<&str> = alive.map(|m| m.id.as_str()).collect();
    types::rank(RENDEZVOUS_KEY, &names).into_iter().next() == Some(host.id.as_str())
}
