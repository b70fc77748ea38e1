//! Guards against delivering another request's answer, or a truncated answer as a complete one.
//!
//! Engines answer with wrong request ids, truncate answers, or answer after the deadline.

use serde_json::json;
use standin::{
    answer,
    harness::{Cluster, Reply},
};

const ENGINES: [&str; 3] = ["w-north-1", "w-north-2", "w-south-1"];

async fn set_engines(cluster: &Cluster, knobs: serde_json::Value) {
    for name in ENGINES {
        cluster.backends[cluster.backend(name)].set(&knobs).await;
    }
}

/// Asserts that a caller got its complete answer or an explicit error.
fn assert_complete_or_error(prompt: &str, reply: &Reply) {
    let complete = reply.status == 200 && answer::is_whole(prompt, 8, &reply.text);
    let failed = reply.status >= 400 && reply.code() > 0;
    let interrupted = reply.status == 200 && !reply.done && reply.code() > 0;
    assert!(complete || failed || interrupted, "{prompt}: {reply:?}");
}

async fn send_requests(cluster: &Cluster, label: &str) -> Vec<Reply> {
    let mut replies = Vec::new();
    for n in 0..12 {
        let host = &cluster.hosts[n % 3];
        let prompt = format!("{label} {n}");
        let reply = if n % 2 == 0 {
            host.chat("alpha", &prompt, 8).await
        } else {
            host.stream("alpha", &prompt, 8).await
        };
        assert_complete_or_error(&prompt, &reply);
        replies.push(reply);
    }
    replies
}

fn count_successes(replies: &[Reply]) -> usize {
    replies.iter().filter(|reply| reply.status == 200).count()
}

#[tokio::test]
async fn crossed_answers_reach_no_caller() {
    let cluster = Cluster::small().await;
    set_engines(&cluster, json!({"wrong_ids": 2})).await;
    let replies = send_requests(&cluster, "crossed").await;
    assert!(count_successes(&replies) >= 6, "{replies:?}");
}

#[tokio::test]
async fn truncated_answers_do_not_pass_for_whole() {
    let cluster = Cluster::small().await;
    set_engines(&cluster, json!({"truncated": 2})).await;
    let replies = send_requests(&cluster, "truncated").await;
    assert!(count_successes(&replies) >= 6, "{replies:?}");
}

#[tokio::test]
async fn streams_that_can_not_be_resumed_end_with_an_error() {
    let cluster = Cluster::small().await;
    set_engines(&cluster, json!({"truncated": 2, "resume": false})).await;
    let replies = send_requests(&cluster, "not resumed").await;
    assert!(count_successes(&replies) >= 6, "{replies:?}");
}

#[tokio::test]
async fn late_answers_end_at_the_deadline_and_reach_no_other_caller() {
    let cluster = Cluster::small().await;
    set_engines(&cluster, json!({"late": 4, "late_ms": 3_000})).await;

    let body = |prompt: &str| {
        json!({"model": "alpha", "max_tokens": 8,
            "messages": [{"role": "user", "content": prompt}]})
    };
    let late = (0..6).map(|n| {
        let req = cluster.hosts[n % 3].request(reqwest::Method::POST, "/v1/chat/completions");
        let req = req.header("x-deadline-ms", "1000");
        req.json(&body(&format!("late {n}"))).send()
    });
    for res in futures::future::join_all(late).await {
        let res = res.unwrap();
        let (status, body) = (res.status().as_u16(), res.text().await.unwrap());
        assert!([200, 503, 504].contains(&status), "{status} {body}");
    }

    send_requests(&cluster, "after the late ones").await;
}
