//! Guards against invariants that hold under each failure alone but break under two at a time.

use std::time::Duration;

use reqwest::Method;
use serde_json::{Value, json};
use standin::harness::{Cluster, eventually, small};

const TIMEOUT: Duration = Duration::from_mins(1);

/// Line of the report while the platform is unavailable; more severe problems may precede it.
const PLATFORM_UNAVAILABLE: &str = "no apply, keyed calls or moves now";

/// Returns the small deployment with new versions of all models, so that every copy is reloaded.
fn with_new_versions() -> String {
    small().replace("version = \"1\", service", "version = \"2\", service")
}

fn lost_answers(kind: &str, method: &str, count: u32) -> Value {
    json!({"effect": "lose_answer", "kind": kind, "method": method, "count": count})
}

async fn epoch(cluster: &Cluster) -> Value {
    let lease = cluster.platform.api("GET", "leases/north", None).await.1;
    lease["spec"]["epoch"].clone()
}

/// Returns the index of the host that controls the north.
async fn controller(cluster: &Cluster) -> usize {
    let lease = cluster.platform.api("GET", "leases/north", None).await.1;
    let holder = lease["spec"]["holder"]
        .as_str()
        .expect("a holder")
        .to_owned();
    let found = cluster.hosts.iter().position(|host| host.name == holder);
    found.expect("the holder is an entry host")
}

/// Applies new versions and freezes the controller of the north while it sends orders.
async fn freeze_during_orders(cluster: &Cluster) -> usize {
    let frozen = controller(cluster).await;
    let at = cluster.backend("w-north-2");
    let loads = || async { cluster.backends[at].state().await["counts"]["loads"].as_u64() };
    let before = loads().await;
    cluster.apply(&with_new_versions()).await;
    eventually(TIMEOUT, "models move", || async { loads().await > before }).await;
    cluster.hosts[frozen].freeze();
    frozen
}

#[tokio::test]
async fn an_outage_during_a_takeover_overcommits_no_memory() {
    let cluster = Cluster::small().await;
    let before = epoch(&cluster).await;

    let frozen = freeze_during_orders(&cluster).await;
    let taken = || async { epoch(&cluster).await != before };
    eventually(TIMEOUT, "another host takes the lease", taken).await;
    cluster.platform.set(&json!({"down": true})).await;
    let others = cluster
        .hosts
        .iter()
        .enumerate()
        .filter(|(i, _)| *i != frozen);
    for (_, host) in others {
        host.wait_report(TIMEOUT, PLATFORM_UNAVAILABLE).await;
    }
    cluster.hosts[frozen].thaw();
    cluster.hosts[frozen]
        .wait_report(TIMEOUT, PLATFORM_UNAVAILABLE)
        .await;
    cluster.platform.set(&json!({"down": false})).await;

    cluster.wait_ok().await;
    cluster.assert_memory().await;
    assert!(epoch(&cluster).await.as_u64() > before.as_u64());
}

#[tokio::test]
async fn lost_write_answers_while_the_holder_is_frozen_overcommit_no_memory() {
    let cluster = Cluster::small().await;
    let before = epoch(&cluster).await;

    let frozen = freeze_during_orders(&cluster).await;
    let faults = json!([
        lost_answers("records", "PUT", 3),
        lost_answers("leases", "PUT", 1)
    ]);
    cluster.platform.set(&json!({"faults": faults})).await;
    let taken = || async { epoch(&cluster).await != before };
    eventually(TIMEOUT, "another host takes the lease", taken).await;
    cluster.hosts[frozen].thaw();

    cluster.wait_ok().await;
    cluster.assert_memory().await;
}

#[tokio::test]
async fn a_host_killed_after_a_lost_claim_answer_runs_nothing_twice() {
    let mut cluster = Cluster::small().await;
    for name in ["bookings-1", "bookings-2"] {
        let at = cluster.backend(name);
        cluster.backends[at].set(&json!({"delay_ms": 1_000})).await;
    }
    let faults = json!([lost_answers("claims", "POST", 1)]);
    cluster.platform.set(&json!({"faults": faults})).await;

    let host = &cluster.hosts[0];
    let first = host.plain(Method::POST, "bookings/slots", "key", "slot A");
    let started = async {
        eventually(TIMEOUT, "the booking starts", || async {
            !cluster.started("slot A").is_empty()
        })
        .await;
    };
    tokio::select! {
        _ = first => panic!("the booking ends before its host is killed"),
        () = started => {}
    }
    cluster.hosts[0].kill().await;

    for host in &cluster.hosts[1..] {
        let again = host
            .plain(Method::POST, "bookings/slots", "key", "slot A")
            .await;
        assert_ne!(again.ran(), "no", "{again:?}");
    }
    assert_eq!(cluster.started("slot A").len(), 1);
}

#[tokio::test]
async fn racing_applies_with_a_lost_answer_leave_one_file_in_force() {
    let cluster = Cluster::small().await;
    let named = |name: &str| small().replace(r#"name = "small""#, &format!("name = \"{name}\""));
    let (one, two) = (
        cluster.write("one.toml", &named("one")),
        cluster.write("two.toml", &named("two")),
    );
    let faults = json!([lost_answers("manifests", "PUT", 1)]);
    cluster.platform.set(&json!({"faults": faults})).await;

    let args = |file| ["apply", file, "--if-version", "1"];
    let (first, second) = (args(&one), args(&two));
    let (first, second) = tokio::join!(cluster.run(&first), cluster.run(&second));

    let winner = match (first.status.success(), second.status.success()) {
        (true, false) => "one",
        (false, true) => "two",
        _ => panic!("one apply wins: {first:?} {second:?}"),
    };
    for host in &cluster.hosts {
        host.wait_report(TIMEOUT, &format!("{winner} v2")).await;
    }
}
