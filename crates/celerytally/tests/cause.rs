//! Guards against a report that shows a problem without naming its cause.

use std::time::Duration;

use standin::harness::Cluster;

const TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test]
async fn the_report_names_a_killed_backend_server() {
    let mut cluster = Cluster::small().await;
    let at = cluster.backend("w-south-1");

    cluster.backends[at].kill().await;

    for host in &cluster.hosts {
        host.wait_report(TIMEOUT, "dead: w-south-1").await;
        let report = host.report().await;
        assert!(report.starts_with("NOT OK"), "{report}");
        assert!(!report.contains("cut off"), "every host answers: {report}");
    }
    cluster.backends[at].restart().await;
    cluster.wait_ok().await;
}

#[tokio::test]
async fn the_report_names_a_frozen_host() {
    let cluster = Cluster::small().await;
    let (frozen, others) = cluster.hosts.split_first().unwrap();

    frozen.freeze();

    for host in others {
        host.wait_report(TIMEOUT, &format!("silent: {}", frozen.name))
            .await;
        assert_eq!(host.chat("alpha", "meanwhile", 4).await.status, 200);
    }
    frozen.thaw();
    cluster.wait_ok().await;
}

/// The report must fit the screen of a phone.
#[tokio::test]
async fn the_report_has_few_and_short_lines() {
    let mut cluster = Cluster::small().await;
    for at in 0..cluster.backends.len() {
        cluster.backends[at].kill().await;
    }
    cluster.hosts[0].wait_report(TIMEOUT, "dead:").await;

    let report = cluster.hosts[0].report().await;

    assert!(report.lines().count() <= 12, "{report}");
    assert!(
        report.lines().all(|line| line.chars().count() <= 40),
        "{report}"
    );
}
