//! Guards against a request with an idempotency key that runs twice, and against "not run" for one
//! that ran.
//!
//! Hosts are killed, the platform is down or loses answers, and connections are cut meanwhile.

use std::time::Duration;

use reqwest::Method;
use serde_json::json;
use standin::harness::{Cluster, EntryHost, Reply, eventually};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Result code of a request that another host may be running.
const STILL_RUNNING: u64 = 404;

/// Result code of a request whose outcome is unknown.
const OUTCOME_UNKNOWN: u64 = 405;

/// Result codes if the platform can't record the claim, before and after a first attempt.
const CLAIM_NOT_RECORDED: [u64; 2] = [401, 406];

async fn book(host: &EntryHost, key: &str, body: &str) -> Reply {
    host.plain(Method::POST, "bookings/slots", key, body).await
}

async fn set_bookings(cluster: &Cluster, knobs: serde_json::Value) {
    for name in ["bookings-1", "bookings-2"] {
        cluster.backends[cluster.backend(name)].set(&knobs).await;
    }
}

/// Asserts that a request ran at most once, and not at all if every reply says that it did not run.
fn assert_at_most_once(cluster: &Cluster, part: &str, replies: &[Reply]) {
    let runs = cluster.started(part).len();
    assert!(runs <= 1, "{part} ran {runs} times: {replies:?}");
    if replies.iter().all(|reply| reply.ran() == "no") {
        assert_eq!(runs, 0, "{part} ran: {replies:?}");
    }
}

#[tokio::test]
async fn resends_through_all_hosts_run_once() {
    let cluster = Cluster::small().await;
    set_bookings(&cluster, json!({"delay_ms": 300})).await;

    let sends = (0..9).map(|n| book(&cluster.hosts[n % 3], "key-1", "slot A"));
    let replies = futures::future::join_all(sends).await;
    assert_eq!(cluster.started("slot A").len(), 1, "{replies:?}");
    assert!(
        replies.iter().any(|reply| reply.status == 201),
        "{replies:?}"
    );

    for host in &cluster.hosts {
        let again = book(host, "key-1", "slot A").await;
        assert_eq!((again.status, &again.body["echo"]), (201, &"slot A".into()));
        let other = book(host, "key-1", "slot B").await;
        assert_eq!((other.status, other.ran()), (422, "no"));
    }
    assert_eq!(cluster.started("slot").len(), 1);
}

#[tokio::test]
async fn a_host_killed_in_mid_request_leaves_the_outcome_unknown() {
    let mut cluster = Cluster::small().await;
    set_bookings(&cluster, json!({"delay_ms": 1_500})).await;
    let req = cluster.hosts[0].request(Method::POST, "/services/bookings/slots");
    let req = req.header("idempotency-key", "key-2").body("slot C");
    let caller = tokio::spawn(req.send());
    let running = || async { cluster.started("slot C").len() == 1 };
    eventually(TIMEOUT, "the booking runs", running).await;

    cluster.hosts[0].kill().await;

    caller.await.unwrap().unwrap_err();
    for host in &cluster.hosts[1..] {
        // Until its deadline has passed, the booking may still run for the killed host.
        let unknown = || async {
            let again = book(host, "key-2", "slot C").await;
            let known = [STILL_RUNNING, OUTCOME_UNKNOWN].contains(&again.code());
            assert!(known, "{again:?}");
            again.code() == OUTCOME_UNKNOWN
        };
        eventually(TIMEOUT, "the outcome is unknown", unknown).await;
    }
    assert_eq!(cluster.started("slot C").len(), 1);
}

#[tokio::test]
async fn an_outage_refuses_keyed_and_serves_other_requests() {
    let cluster = Cluster::small().await;
    cluster.platform.set(&json!({"down": true})).await;

    let req = cluster.hosts[0].request(Method::POST, "/services/bookings/slots");
    let res = req
        .header("idempotency-key", "key-3")
        .body("slot D")
        .send()
        .await
        .unwrap();
    assert!(res.headers().contains_key("retry-after"), "{res:?}");
    let refused = book(&cluster.hosts[1], "key-3", "slot D").await;
    assert!(CLAIM_NOT_RECORDED.contains(&refused.code()), "{refused:?}");
    assert_eq!((refused.status, refused.ran()), (503, "no"));
    let without_key = book(&cluster.hosts[0], "", "slot E").await;
    assert_eq!(without_key.status, 201, "{without_key:?}");
    assert!(cluster.started("slot D").is_empty());

    cluster.platform.set(&json!({"down": false})).await;
    let done = || async { book(&cluster.hosts[2], "key-3", "slot D").await.status == 201 };
    eventually(TIMEOUT, "the booking is made after the outage", done).await;
    assert_eq!(cluster.started("slot D").len(), 1);
}

#[tokio::test]
async fn lost_answers_to_claims_run_nothing_twice() {
    let cluster = Cluster::small().await;

    for (n, method) in ["POST", "PUT", "GET", "POST", "PUT"].iter().enumerate() {
        let lose = json!({"effect": "lose_answer", "kind": "claims", "method": method, "count": 1});
        let cut = json!({"effect": "cut", "kind": "claims", "method": "GET", "count": n % 2});
        cluster.platform.set(&json!({"faults": [lose, cut]})).await;
        let (key, body) = (format!("key-4-{n}"), format!("slot F{n}"));
        let mut replies = Vec::new();
        for host in &cluster.hosts {
            replies.push(book(host, &key, &body).await);
            assert_at_most_once(&cluster, &body, &replies);
        }
        let settled = || async {
            let reply = book(&cluster.hosts[0], &key, &body).await;
            reply.status == 201 || reply.ran() == "yes" || reply.ran() == "unknown"
        };
        eventually(TIMEOUT, "the claim is resolved", settled).await;
        assert_eq!(cluster.started(&body).len(), 1, "{replies:?}");
    }
}

#[tokio::test]
async fn a_cut_connection_is_not_sent_again() {
    let cluster = Cluster::small().await;

    set_bookings(&cluster, json!({"cuts": 1})).await;
    let keyed = book(&cluster.hosts[0], "key-5", "slot G").await;
    assert_eq!(keyed.ran(), "unknown", "{keyed:?}");
    let again = book(&cluster.hosts[1], "key-5", "slot G").await;
    assert_eq!(again.code(), OUTCOME_UNKNOWN, "{again:?}");
    assert_eq!(cluster.started("slot G").len(), 1);

    set_bookings(&cluster, json!({"cuts": 1})).await;
    let without_key = book(&cluster.hosts[0], "", "slot H").await;
    assert_eq!(without_key.ran(), "unknown", "{without_key:?}");
    assert_eq!(cluster.started("slot H").len(), 1);
}
