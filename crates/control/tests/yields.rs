//! Retirement of an epoch at the request of another host.
//!
//! Guards against an epoch that is retired while an order of it can still leave the process: the
//! requester would free the memory that an order arriving later uses.

mod support;

use std::time::Duration;

use support::{RunningController, TestSite};
use types::Epoch;

const FIRST: Epoch = Epoch::new(1);

/// Starts a holder and waits until it is sending an order, which takes four seconds to arrive.
async fn start_with_order_in_flight(site: &TestSite) -> RunningController {
    let mut running = site.start("h1").await;
    running
        .wait_until("authority", Duration::from_mins(1), |s| s.authority)
        .await;
    for backend in &site.deployment.backends {
        site.backends
            .set_send_delay(&backend.id, Duration::from_secs(4));
    }
    running
        .wait_until("an order", Duration::from_mins(1), |s| s.pending_orders > 0)
        .await;
    running
}

#[tokio::test(start_paused = true)]
async fn a_holder_does_not_retire_its_epoch() {
    let site = TestSite::new(2);
    let running = start_with_order_in_flight(&site).await;
    assert!(!running.handle.try_retire_epoch(FIRST));
}

#[tokio::test(start_paused = true)]
async fn an_epoch_is_retired_once_its_orders_have_left() {
    let site = TestSite::new(2);
    let mut running = start_with_order_in_flight(&site).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    running.stop.cancel();
    running
        .wait_until("the end of authority", Duration::from_secs(1), |s| {
            !s.authority
        })
        .await;
    assert!(
        !running.handle.try_retire_epoch(FIRST),
        "an order is still being sent"
    );

    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(running.handle.try_retire_epoch(FIRST));
    running.task.await.unwrap();
}
