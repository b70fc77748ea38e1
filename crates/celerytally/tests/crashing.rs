//! Guards against a request that, retried and resent, crashes one backend server after another.

use std::time::Duration;

use serde_json::json;
use standin::harness::Cluster;

const ENGINES: [&str; 3] = ["w-north-1", "w-north-2", "w-south-1"];

/// Result code of a request that has crashed backend servers.
const CRASHING_REQUEST: u64 = 601;

/// Returns the name of the crashed engine for each crash.
fn crashes(cluster: &Cluster) -> Vec<&'static str> {
    let crashed = |name: &&str| {
        let runs = cluster.backends[cluster.backend(name)].runs();
        runs.iter().filter(|run| run.event == "crash").count()
    };
    let engines = ENGINES.iter();
    engines
        .flat_map(|name| vec![*name; crashed(name)])
        .collect()
}

async fn set_poison(cluster: &Cluster) {
    for name in ENGINES {
        let knobs = json!({"poison": "boom"});
        cluster.backends[cluster.backend(name)].set(&knobs).await;
    }
}

/// Restarts crashed engines, as their supervisor would.
async fn restart_crashed(cluster: &mut Cluster) {
    for name in ENGINES {
        let at = cluster.backend(name);
        if !cluster.backends[at].is_running() {
            cluster.backends[at].restart().await;
        }
    }
}

/// Sends the same request through every host, and again after each recovery.
async fn assert_resends_crash_two_servers_at_most(stream: bool) {
    let mut cluster = Cluster::small().await;
    set_poison(&cluster).await;

    let mut replies = Vec::new();
    for _ in 0..3 {
        for host in &cluster.hosts {
            let reply = if stream {
                host.stream("alpha", "boom", 4).await
            } else {
                host.chat("alpha", "boom", 4).await
            };
            replies.push((reply.status, reply.code(), crashes(&cluster).len()));
        }
        restart_crashed(&mut cluster).await;
        set_poison(&cluster).await;
        cluster.wait_ok().await;
    }

    let crashes = crashes(&cluster);
    assert!([1, 2].contains(&crashes.len()), "{crashes:?} {replies:?}");
    assert!(
        replies.iter().all(|(status, ..)| *status >= 400),
        "{replies:?}"
    );
    let last = replies.last().unwrap();
    assert!(
        crashes.len() < 2 || last.1 == CRASHING_REQUEST,
        "{replies:?}"
    );
}

#[tokio::test]
async fn a_request_crashes_two_servers_at_most() {
    assert_resends_crash_two_servers_at_most(false).await;
}

#[tokio::test]
async fn a_stream_crashes_two_servers_at_most() {
    assert_resends_crash_two_servers_at_most(true).await;
}

#[tokio::test]
async fn other_requests_go_on_after_a_crash() {
    let mut cluster = Cluster::small().await;
    set_poison(&cluster).await;

    let refused = cluster.hosts[0].chat("alpha", "boom", 4).await;
    assert!(refused.status >= 400, "{refused:?}");
    restart_crashed(&mut cluster).await;

    for host in &cluster.hosts {
        host.wait_report(Duration::from_mins(1), "OK").await;
        for n in 0..5 {
            let prompt = format!("ordinary {n}");
            let reply = host.chat("alpha", &prompt, 4).await;
            assert_eq!(reply.status, 200, "{reply:?}");
        }
    }
    cluster.assert_memory().await;
}
