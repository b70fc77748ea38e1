//! Guards against overcommitted memory when two controllers send orders at the same time.
//!
//! A controller that was frozen while it sent orders continues after another has taken its lease.

use std::time::Duration;

use serde_json::{Value, json};
use standin::harness::{Cluster, EntryHost, eventually, small};

const TIMEOUT: Duration = Duration::from_mins(1);

/// Returns the small deployment with new versions of all models, so that every copy is reloaded.
fn with_model_version(version: u32) -> String {
    let version = format!("version = \"{version}\", service");
    small().replace("version = \"1\", service", &version)
}

async fn lease(cluster: &Cluster, dc: &str) -> Value {
    let path = format!("leases/{dc}");
    cluster.platform.api("GET", &path, None).await.1["spec"].take()
}

fn holder<'a>(cluster: &'a Cluster, lease: &Value) -> &'a EntryHost {
    let name = lease["holder"].as_str().expect("the lease has a holder");
    let found = cluster.hosts.iter().find(|host| host.name == name);
    found.expect("the holder is an entry host")
}

async fn count_loads(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for backend in &cluster.backends {
        let counts = &backend.state().await["counts"];
        sum += counts["loads"].as_u64().unwrap_or_default();
    }
    sum
}

/// Freezes the controller of the north while it sends orders, until another has taken over.
async fn freeze_during_orders(engine_knobs: Value) {
    let cluster = Cluster::small().await;
    for name in ["w-north-1", "w-north-2"] {
        let at = cluster.backend(name);
        cluster.backends[at].set(&engine_knobs).await;
    }
    let before = lease(&cluster, "north").await;
    let frozen = holder(&cluster, &before);
    let loads = count_loads(&cluster).await;

    cluster.apply(&with_model_version(2)).await;
    let moving = || async { count_loads(&cluster).await > loads };
    eventually(TIMEOUT, "the controllers move models", moving).await;
    frozen.freeze();
    let taken = || async { lease(&cluster, "north").await["epoch"] != before["epoch"] };
    eventually(TIMEOUT, "another host takes the lease", taken).await;
    frozen.thaw();

    cluster.wait_ok().await;
    cluster.assert_memory().await;
    for host in &cluster.hosts {
        assert_eq!(host.chat("alpha", "after the freeze", 4).await.status, 200);
    }
}

#[tokio::test]
async fn a_frozen_controller_overcommits_no_memory() {
    freeze_during_orders(json!({"load_ms": 300})).await;
}

#[tokio::test]
async fn orders_that_arrive_late_overcommit_no_memory() {
    freeze_during_orders(json!({"load_ms": 100, "late_orders": 2, "order_late_ms": 4_000})).await;
}

#[tokio::test]
async fn engines_that_all_ignore_the_fence_are_not_overcommitted() {
    let knobs = json!({"load_ms": 200, "enforce": false, "late_orders": 1, "order_late_ms": 5_000});
    freeze_during_orders(knobs).await;
}

#[tokio::test]
async fn lost_orders_are_sent_again() {
    let cluster = Cluster::small().await;
    for name in ["w-north-1", "w-north-2", "w-south-1"] {
        let knobs = json!({"lost_orders": 2, "lost_order_answers": 2});
        cluster.backends[cluster.backend(name)].set(&knobs).await;
    }

    cluster.apply(&with_model_version(2)).await;

    for host in &cluster.hosts {
        host.wait_report(TIMEOUT, "small v2").await;
    }
    cluster.wait_ok().await;
    cluster.assert_memory().await;
}

#[tokio::test]
async fn a_restarted_engine_is_filled_again() {
    let mut cluster = Cluster::small().await;
    let at = cluster.backend("w-south-1");

    cluster.backends[at].restart().await;

    let filled = || async {
        let engine = cluster.backends[at].state().await;
        engine["residents"]
            .as_array()
            .is_some_and(|r| !r.is_empty())
    };
    eventually(TIMEOUT, "the engine has models again", filled).await;
    cluster.wait_ok().await;
    cluster.assert_memory().await;
}
