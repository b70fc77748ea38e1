//! Guards against a data centre that stops serving when a network partition isolates it.

use std::time::Duration;

use reqwest::Method;
use standin::harness::{CALLER_TOKEN, Cluster, EntryHost, Layout, small};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Index of the entry host in the south.
const SOUTH: usize = 1;

/// Starts the small deployment with one entry host in each data centre.
async fn start() -> Cluster {
    let cluster = Cluster::start(Layout::of(&small(), 2, CALLER_TOKEN)).await;
    cluster.serve(&small()).await;
    cluster
}

fn south(cluster: &Cluster) -> &EntryHost {
    &cluster.hosts[SOUTH]
}

async fn assert_serves_during_partition(mode: &str) {
    let cluster = start().await;

    cluster.partition(SOUTH, mode).await;
    let isolated = south(&cluster);
    isolated.wait_report(TIMEOUT, "NOT OK").await;
    isolated.wait_report(TIMEOUT, "cut off: north").await;

    let at = cluster.backend("w-south-1");
    let residents = cluster.backends[at].state().await["residents"].clone();
    for resident in residents.as_array().unwrap() {
        let model = resident["name"].as_str().unwrap();
        let reply = isolated.chat(model, "in the cut off south", 4).await;
        assert_eq!(reply.status, 200, "{model}: {reply:?}");
    }
    let keyed = isolated
        .plain(Method::POST, "bookings/slots", "key", "slot")
        .await;
    assert_eq!(keyed.ran(), "no", "{keyed:?}");
    assert!(cluster.started("slot").is_empty());
    let north = &cluster.hosts[0];
    assert_eq!(north.chat("alpha", "in the north", 4).await.status, 200);

    cluster.partition(SOUTH, "pass").await;
    cluster.wait_ok().await;
    cluster.assert_memory().await;
}

#[tokio::test]
async fn a_data_centre_whose_links_are_silent_goes_on_serving() {
    assert_serves_during_partition("freeze").await;
}

#[tokio::test]
async fn a_data_centre_whose_links_are_cut_goes_on_serving() {
    assert_serves_during_partition("cut").await;
}

#[tokio::test]
async fn a_configuration_applied_during_the_partition_arrives_after_it() {
    let cluster = start().await;
    cluster.partition(SOUTH, "freeze").await;
    south(&cluster).wait_report(TIMEOUT, "cut off: north").await;

    let second = small().replace(r#""small""#, r#""second""#);
    cluster.apply(&second).await;
    cluster.hosts[0].wait_report(TIMEOUT, "second v2").await;
    assert!(south(&cluster).report().await.contains("small v1"));

    cluster.partition(SOUTH, "pass").await;
    south(&cluster).wait_report(TIMEOUT, "second v2").await;
    cluster.wait_ok().await;
}
