//! Platform that is unavailable, loses answers or stores objects that cannot be decoded.
//!
//! Guards against orders without authority, and against a controller that panics or stops working
//! because of one malformed object.

mod support;

use std::time::Duration;

use control::Settings;
use serde::{Deserialize, Serialize};
use store::{Fault, Kind, Platform};
use support::TestSite;

const SETTLE_BOUND: Duration = Duration::from_mins(2);

macro_rules! undecodable_kind {
    ($name:ident $plural:literal) => {
        #[derive(Clone, Debug, Deserialize, Serialize)]
        struct $name {
            undecodable: bool,
        }

        impl Kind for $name {
            const PLURAL: &'static str = $plural;
        }
    };
}

undecodable_kind!(UndecodableRecord "records");
undecodable_kind!(UndecodableLease "leases");

#[tokio::test(start_paused = true)]
async fn without_the_platform_authority_ends_and_no_order_is_sent() {
    let site = TestSite::new(4);
    let mut running = site.start("h1").await;
    running
        .wait_until("authority", SETTLE_BOUND, |s| s.authority)
        .await;
    site.platform.set_down(true);
    let lease = Duration::from(Settings::DEFAULT_LEASE_DURATION);
    running
        .wait_until("the end of authority", lease, |s| !s.authority)
        .await;
    let sent = site.backends.sent_orders();
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert_eq!(site.backends.sent_orders(), sent);
    site.platform.set_down(false);
    running
        .wait_until("the floor", SETTLE_BOUND, |s| s.authority && s.loads >= 4)
        .await;
}

#[tokio::test(start_paused = true)]
async fn lost_answers_are_read_back() {
    let site = TestSite::new(4);
    let lost = (0..400).map(|i| (i % 3 == 0).then_some(Fault::ResponseLost));
    site.platform.push_faults(lost);
    let mut running = site.start("h1").await;
    running
        .wait_until("the floor", SETTLE_BOUND, |s| s.authority && s.loads >= 4)
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_undecodable_record_stops_only_its_backend_server() {
    let site = TestSite::new(4);
    let undecodable = UndecodableRecord { undecodable: true };
    site.platform.create("w001", &undecodable).await.unwrap();
    let mut running = site.start("h1").await;
    let unready = ["w001".parse().unwrap()];
    running
        .wait_until("orders to the others", SETTLE_BOUND, |s| {
            s.authority && s.unready_records == unready && s.loads >= 2
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_undecodable_lease_gives_no_authority() {
    let site = TestSite::new(4);
    let undecodable = UndecodableLease { undecodable: true };
    let revision = site.platform.create("a", &undecodable).await.unwrap();
    let mut running = site.start("h1").await;
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert!(!running.status().authority);
    site.platform
        .delete::<UndecodableLease>("a", &revision)
        .await
        .unwrap();
    running
        .wait_until("authority", SETTLE_BOUND, |s| s.authority)
        .await;
}
