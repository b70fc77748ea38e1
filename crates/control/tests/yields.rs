//! Answer of a host to the question whether it gave up an epoch.
//!
//! Guards against a yes while an order of the epoch can still leave the process: the asker would
//! free the memory of an order that arrives later.

mod support;

use std::time::Duration;

use support::{Running, Site};
use types::Epoch;

const FIRST: Epoch = Epoch::new(1);

/// Returns a holder that is sending an order which takes four seconds to arrive.
async fn sending(site: &Site) -> Running {
    let mut running = site.start("h1").await;
    running
        .until("authority", Duration::from_mins(1), |s| s.authority)
        .await;
    for backend in &site.deployment.backends {
        site.fleet.slow(&backend.id, Duration::from_secs(4));
    }
    running
        .until("an order", Duration::from_mins(1), |s| s.pending_orders > 0)
        .await;
    running
}

#[tokio::test(start_paused = true)]
async fn a_holder_gave_nothing_up() {
    let site = Site::new(2);
    let running = sending(&site).await;
    assert!(!running.handle.try_retire_epoch(FIRST));
}

#[tokio::test(start_paused = true)]
async fn an_epoch_is_given_up_once_its_orders_have_left() {
    let site = Site::new(2);
    let mut running = sending(&site).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    running.stop.cancel();
    running
        .until("the end of authority", Duration::from_secs(1), |s| {
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
