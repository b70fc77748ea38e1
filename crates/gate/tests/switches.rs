//! Disabling a safety check of the gate exposes the fault that it prevents.

mod fixture;

use std::sync::Arc;

use fixture::{Backend, Host, TestPeers, backend::Behaviour, code};
use gate::Checks;
use route::Event;
use store::MemPlatform;
use tokio::sync::Semaphore;

async fn start(backends: &[&Backend], peers: TestPeers, checks: Checks) -> Host {
    let host = Host::with_checks(peers, backends, MemPlatform::new(), checks).await;
    host.gate
        .dispatcher()
        .feed(Event::Config(fixture::active_config()));
    host
}

/// Guards against a single-dispatch check that has no effect.
#[tokio::test]
async fn a_booking_runs_twice_without_the_check() {
    for single_dispatch in [true, false] {
        let backend = Backend::start([Behaviour::Close]).await;
        let checks = Checks {
            single_dispatch,
            ..Checks::default()
        };
        let host = start(&[&backend, &backend], TestPeers::default(), checks).await;

        host.book(None, "{}").send().await.unwrap();

        assert_eq!(
            backend.received().len(),
            if single_dispatch { 1 } else { 2 }
        );
    }
}

/// Guards against claims that have no effect.
#[tokio::test]
async fn a_resend_runs_again_without_claims() {
    for claims in [true, false] {
        let backend = Backend::start([]).await;
        let checks = Checks {
            claims,
            ..Checks::default()
        };
        let host = start(&[&backend], TestPeers::default(), checks).await;

        host.book(Some("k"), "{}").send().await.unwrap();
        host.book(Some("k"), "{}").send().await.unwrap();

        assert_eq!(backend.received().len(), if claims { 1 } else { 2 });
    }
}

/// Guards against a caller that resends a crashing request through a host that has not received the
/// suspects yet.
#[tokio::test]
async fn a_refusal_waits_until_suspects_are_shared() {
    for share_suspects_first in [true, false] {
        let backend = Backend::start([Behaviour::Crash]).await;
        let permits = Arc::new(Semaphore::new(0));
        let peers = TestPeers {
            share_permits: Some(Arc::clone(&permits)),
            ..TestPeers::default()
        };
        let checks = Checks {
            share_suspects_first,
            ..Checks::default()
        };
        let host = start(&[&backend], peers, checks).await;

        let refused = tokio::spawn(code(host.chat(false)));
        while *host.peers.shared.lock().unwrap() == 0 {
            tokio::task::yield_now().await;
        }
        if share_suspects_first {
            for _ in 0..100 {
                tokio::task::yield_now().await;
            }
            assert!(!refused.is_finished(), "the refusal waits for the peers");
            permits.add_permits(1);
        }

        // Without the check, the refusal is sent although no peer has acknowledged the suspects.
        assert_eq!(refused.await.unwrap(), 503);
    }
}
