//! A platform that is away, loses answers or holds objects that can't be decoded.
//!
//! Guards against orders without authority, and against a controller that crashes or stops at one
//! bad object.

mod support;

use std::time::Duration;

use control::Settings;
use serde::{Deserialize, Serialize};
use store::{Fault, Kind, Platform};
use support::Site;

const SETTLED: Duration = Duration::from_mins(2);

macro_rules! junk {
    ($name:ident $plural:literal) => {
        #[derive(Clone, Debug, Deserialize, Serialize)]
        struct $name {
            junk: bool,
        }

        impl Kind for $name {
            const PLURAL: &'static str = $plural;
        }
    };
}

junk!(JunkRecord "records");
junk!(JunkLease "leases");

#[tokio::test(start_paused = true)]
async fn without_the_platform_authority_ends_and_no_order_is_sent() {
    let site = Site::new(4);
    let mut running = site.start("h1").await;
    running.until("authority", SETTLED, |s| s.authority).await;
    site.platform.set_down(true);
    let lease = Duration::from(Settings::DEFAULT_LEASE_DURATION);
    running
        .until("the end of authority", lease, |s| !s.authority)
        .await;
    let sent = site.fleet.posts();
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert_eq!(site.fleet.posts(), sent);
    site.platform.set_down(false);
    running
        .until("the floor", SETTLED, |s| s.authority && s.loads >= 4)
        .await;
}

#[tokio::test(start_paused = true)]
async fn lost_answers_are_read_back() {
    let site = Site::new(4);
    let lost = (0..400).map(|i| (i % 3 == 0).then_some(Fault::AnswerLost));
    site.platform.push_faults(lost);
    let mut running = site.start("h1").await;
    running
        .until("the floor", SETTLED, |s| s.authority && s.loads >= 4)
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_undecodable_record_stops_only_its_backend_server() {
    let site = Site::new(4);
    let junk = JunkRecord { junk: true };
    site.platform.create("w001", &junk).await.unwrap();
    let mut running = site.start("h1").await;
    let bad = ["w001".parse().unwrap()];
    running
        .until("orders to the others", SETTLED, |s| {
            s.authority && s.unready_records == bad && s.loads >= 2
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_undecodable_lease_gives_no_authority() {
    let site = Site::new(4);
    let junk = JunkLease { junk: true };
    let revision = site.platform.create("a", &junk).await.unwrap();
    let mut running = site.start("h1").await;
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert!(!running.status().authority);
    site.platform
        .delete::<JunkLease>("a", &revision)
        .await
        .unwrap();
    running.until("authority", SETTLED, |s| s.authority).await;
}
