//! Guards against new requests on a leaving backend server and against streams cut by a shutdown.

use std::{sync::Arc, time::Duration};

use standin::{
    answer,
    harness::{Cluster, eventually},
};

/// Time after which a leaving backend server must get no new requests.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Tokens of a stream that lasts for three seconds at [`TOKEN_US`].
const LONG_STREAM_TOKENS: usize = 200;

/// Time between tokens of a slow engine, in microseconds.
const TOKEN_US: u64 = 15_000;

#[tokio::test]
async fn a_server_that_the_platform_lists_as_leaving_gets_no_new_work() {
    let cluster = Cluster::small().await;
    let leaving = cluster.backend("w-north-1");

    cluster.list_backend(leaving, "leaving").await;
    for host in &cluster.hosts {
        host.wait_report(TIMEOUT, "leaving: w-north-1").await;
    }

    let before = cluster.backends[leaving].started("").len();
    for n in 0..30 {
        let host = &cluster.hosts[n % cluster.hosts.len()];
        let reply = host.chat("alpha", "while it leaves", 4).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(cluster.backends[leaving].started("").len(), before);
}

#[tokio::test]
async fn a_server_that_refuses_as_leaving_costs_no_request() {
    let cluster = Cluster::small().await;
    let leaving = cluster.backend("w-north-2");
    let knobs = serde_json::json!({"leaving": true});

    cluster.backends[leaving].set(&knobs).await;

    for n in 0..30 {
        let host = &cluster.hosts[n % cluster.hosts.len()];
        let reply = host.chat("alpha", "while it leaves", 4).await;
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert!(
        cluster.backends[leaving]
            .started("while it leaves")
            .is_empty()
    );
}

#[tokio::test]
async fn a_shutdown_interrupts_no_stream() {
    let mut cluster = Cluster::small().await;
    for name in ["w-north-1", "w-north-2", "w-south-1"] {
        let knobs = serde_json::json!({"token_us": TOKEN_US});
        cluster.backends[cluster.backend(name)].set(&knobs).await;
    }
    let host = cluster.hosts.swap_remove(0);
    let host = Arc::new(tokio::sync::RwLock::new(host));
    let streams: Vec<_> = (0..6)
        .map(|n| {
            let host = Arc::clone(&host);
            let prompt = format!("long {n}");
            tokio::spawn(async move {
                let reply = host
                    .read()
                    .await
                    .stream("alpha", &prompt, LONG_STREAM_TOKENS)
                    .await;
                (prompt, reply)
            })
        })
        .collect();
    let running = || async { cluster.started("long").len() == 6 };
    eventually(TIMEOUT, "the streams run", running).await;

    host.read().await.signal("-TERM");

    for stream in streams {
        let (prompt, reply) = stream.await.unwrap();
        assert!(
            reply.done && answer::is_whole(&prompt, LONG_STREAM_TOKENS, &reply.text),
            "{prompt}"
        );
    }
    assert!(host.write().await.wait_exit().await, "exit code 0");
    let other = &cluster.hosts[0];
    other.wait_report(TIMEOUT, "hosts 2/").await;
    assert_eq!(other.chat("alpha", "afterwards", 4).await.status, 200);
}
