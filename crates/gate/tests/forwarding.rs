//! Requests to another data centre are forwarded at most once.

mod fixture;

use fixture::{Backend, Host, TestPeers, backend::Behaviour, code, json};
use reqwest::Method;
use route::Event;
use store::MemPlatform;
use types::Code;

/// Starts a host that forwards requests to a second host, which serves the backend server.
async fn start_pair(acts: impl IntoIterator<Item = Behaviour>) -> (Backend, Host, Host) {
    let backend = Backend::start(acts).await;
    let remote = Host::start(&[&backend]).await;
    let peers = TestPeers {
        remote: Some(remote.addr),
        ..TestPeers::default()
    };
    let local = Host::unconfigured(peers, &[], MemPlatform::new()).await;
    local
        .gate
        .dispatcher()
        .feed(Event::Config(fixture::active_config()));
    local.script.forward_to("dc2");
    (backend, remote, local)
}

/// Guards against a forwarded request that loses its caller, deadline or id, or is claimed twice.
#[tokio::test]
async fn a_request_is_forwarded_with_its_remaining_time() {
    let (backend, remote, local) = start_pair([]).await;

    let answer = local
        .book(Some("k"), "{}")
        .header("x-deadline-ms", "4000")
        .send()
        .await
        .unwrap();

    assert_eq!(json(answer).await["ok"], true);
    let seen = backend.received().remove(0);
    let remaining: u64 = seen.headers["x-deadline-ms"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(remaining <= 4000);
    assert_eq!(seen.headers["idempotency-key"], "k");
    assert!(!seen.headers.contains_key("x-celerytally-hop"));
    let forwarded = |ev: &Event| matches!(ev, Event::Arrive(t) if t.forwarded && !t.idempotent);
    assert_eq!(remote.script.count(forwarded), 1);
    assert_eq!(
        remote.platform.calls(),
        (0, 0, 0),
        "the first host has the claim"
    );
}

/// Guards against a forwarded stream that is modified or whose truncation is hidden.
#[tokio::test]
async fn a_forwarded_stream_passes_through_with_its_end() {
    let (_backend, _remote, local) =
        start_pair([Behaviour::Events(2), Behaviour::CloseAfter(1)]).await;

    let whole = local.chat(true).send().await.unwrap().text().await.unwrap();
    local.script.forward_to("dc2");
    let cut = local.chat(true).send().await.unwrap().text().await.unwrap();

    assert_eq!(whole, "data: 0\n\ndata: 1\n\ndata: [DONE]\n\n");
    assert!(cut.starts_with("data: 0\n\nevent: error"), "{cut}");
    assert_eq!(cut.matches("event: error").count(), 1);
    assert!(!cut.contains("[DONE]"));
}

/// Guards against forwarding a request twice.
#[tokio::test]
async fn a_forwarded_request_is_not_forwarded_again() {
    let (_backend, remote, local) = start_pair([]).await;
    remote.script.forward_to("dc3");
    remote.script.refuse_with(Code::HopLimit);

    let refused = code(local.chat(false)).await;

    // The remote refusal means "not run", so the local router tries again and has no server.
    assert_eq!(refused, u64::from(Code::NoBackend.number()));
    assert_eq!(
        local.script.count(|ev| matches!(ev, Event::Failed { .. })),
        1
    );
}

/// Guards against an unreachable remote host that is not reported as "not run".
#[tokio::test]
async fn an_unreachable_entry_host_means_not_run() {
    let (_backend, remote, local) = start_pair([]).await;
    remote.task.abort();
    while tokio::net::TcpStream::connect(remote.addr).await.is_ok() {
        tokio::task::yield_now().await;
    }

    let refused = code(local.book(None, "{}")).await;

    assert_eq!(refused, u64::from(Code::NoBackend.number()));
    let ready = remote.anonymous(Method::GET, "/readyz").send().await;
    ready.unwrap_err();
}

/// Guards against storing a remote failure as the answer of a claimed request.
#[tokio::test]
async fn a_remote_failure_leaves_the_outcome_unknown() {
    let (backend, _remote, local) = start_pair([Behaviour::Close]).await;

    let first = code(local.book(Some("k"), "{}")).await;
    let resent = code(local.book(Some("k"), "{}")).await;

    assert_eq!((first, resent), (502, 405));
    assert_eq!(backend.received().len(), 1);
}
