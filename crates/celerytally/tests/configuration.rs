//! Guards against a configuration that is applied in part or on some hosts only, or that reverts.

use std::time::Duration;

use serde_json::json;
use standin::harness::{Cluster, Layout, eventually, small};

/// Time within which a configuration must be in force on all hosts.
const APPLY_TIMEOUT: Duration = Duration::from_secs(18);

/// Exit code for a conflict.
const EXIT_CONFLICT: i32 = 4;

/// Exit code for a platform that does not answer.
const EXIT_UNAVAILABLE: i32 = 5;

/// Returns the small deployment with another name, which reports show when it is in force.
fn named(name: &str) -> String {
    small().replace(r#"name = "small""#, &format!("name = \"{name}\""))
}

async fn wait_in_force(cluster: &Cluster, name: &str) {
    for host in &cluster.hosts {
        host.wait_report(APPLY_TIMEOUT, &format!("{name} v")).await;
    }
}

#[tokio::test]
async fn of_two_racing_applies_one_is_in_force_everywhere() {
    let cluster = Cluster::small().await;
    let one = cluster.write("one.toml", &named("one"));
    let two = cluster.write("two.toml", &named("two"));

    let args = |file| ["apply", file, "--if-version", "1"];
    let (first, second) = (args(&one), args(&two));
    let (first, second) = tokio::join!(cluster.run(&first), cluster.run(&second));

    let (winner, loser) = if first.status.success() {
        ("one", second)
    } else {
        assert!(second.status.success(), "{first:?} {second:?}");
        ("two", first)
    };
    assert_eq!(loser.status.code(), Some(EXIT_CONFLICT), "{loser:?}");
    let message = String::from_utf8_lossy(&loser.stderr);
    assert!(message.contains('2'), "the winning version: {message}");
    wait_in_force(&cluster, winner).await;
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_reading_back() {
    let cluster = Cluster::small().await;
    let fault = json!({"effect": "lose_answer", "kind": "manifests", "method": "PUT", "count": 1});
    cluster.platform.set(&json!({"faults": [fault]})).await;

    cluster.apply(&named("second")).await;

    assert_eq!(cluster.platform.state().await["counts"]["lost_answers"], 1);
    wait_in_force(&cluster, "second").await;
}

#[tokio::test]
async fn an_outage_stops_applies_and_not_serving() {
    let cluster = Cluster::small().await;
    cluster.platform.set(&json!({"down": true})).await;

    let file = cluster.write("second.toml", &named("second"));
    let output = cluster.run(&["apply", &file]).await;
    assert_eq!(output.status.code(), Some(EXIT_UNAVAILABLE), "{output:?}");
    for host in &cluster.hosts {
        assert_eq!(host.chat("alpha", "during the outage", 4).await.status, 200);
        host.wait_report(APPLY_TIMEOUT, "platform unavailable")
            .await;
    }

    cluster.platform.set(&json!({"down": false})).await;
    cluster.apply(&named("third")).await;
    wait_in_force(&cluster, "third").await;
    cluster.wait_ok().await;
}

#[tokio::test]
async fn a_host_started_during_an_outage_learns_from_its_peers() {
    let mut cluster = Cluster::small().await;
    cluster.platform.set(&json!({"down": true})).await;

    cluster.hosts[0].kill().await;
    cluster.start_host(0).await;

    cluster.hosts[0].wait_ready().await;
    cluster.hosts[0]
        .wait_report(APPLY_TIMEOUT, "small v1")
        .await;
    let serves = || async {
        let reply = cluster.hosts[0].chat("alpha", "after the restart", 4).await;
        reply.status == 200
    };
    eventually(APPLY_TIMEOUT, "the host serves", serves).await;
}

#[tokio::test]
async fn an_older_manifest_does_not_revert_a_newer_one() {
    let cluster = Cluster::small().await;
    let (_, old) = cluster.platform.api("GET", "manifests/current", None).await;
    cluster.apply(&named("second")).await;
    wait_in_force(&cluster, "second").await;

    // A platform restored from a backup returns the older manifest.
    cluster
        .platform
        .put_object("manifests", "current", &old["spec"])
        .await;
    cluster.hosts[0].freeze();
    cluster.hosts[0].thaw();

    // After 20 more reads every host has read the manifest several times.
    let reads = cluster.platform.state().await["counts"]["reads"].as_u64();
    let more = || async {
        let now = cluster.platform.state().await["counts"]["reads"].as_u64();
        now > reads.map(|n| n + 20)
    };
    eventually(Duration::from_mins(1), "the hosts read the platform", more).await;
    wait_in_force(&cluster, "second").await;
}

#[tokio::test]
async fn a_host_without_platform_and_peers_is_not_ready() {
    let mut layout = Layout::small();
    layout.hosts.truncate(1);
    let cluster = Cluster::start(layout).await;

    let limit = Duration::from_secs(10);
    cluster.hosts[0]
        .wait_report(limit, "no configuration")
        .await;

    assert!(!cluster.hosts[0].is_ready().await);
    let reply = cluster.hosts[0].chat("alpha", "too early", 4).await;
    assert!(reply.status >= 400 && reply.ran() == "no", "{reply:?}");
}

#[tokio::test]
async fn a_file_whose_models_do_not_fit_is_refused() {
    let cluster = Cluster::small().await;
    let large = named("large").replace(r#"bytes = "30 GiB""#, r#"bytes = "300 GiB""#);
    let file = cluster.write("large.toml", &large);

    let output = cluster.run(&["apply", &file]).await;

    assert!(!output.status.success());
    let message = String::from_utf8_lossy(&output.stderr);
    assert!(
        message.contains("gamma"),
        "the message names the model: {message}"
    );
    wait_in_force(&cluster, "small").await;
}
