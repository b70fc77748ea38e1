//! Each protection of the gate, switched off, lets its fault through.

mod fixture;

use std::sync::Arc;

use fixture::{Backend, Host, TestPeers, backend::Act, code};
use gate::Checks;
use route::Event;
use store::MemPlatform;
use tokio::sync::Semaphore;

async fn start(backends: &[&Backend], peers: TestPeers, checks: Checks) -> Host {
    let host = Host::with_checks(peers, backends, MemPlatform::new(), checks).await;
    host.gate
        .dispatcher()
        .feed(Event::Config(fixture::in_force()));
    host
}

/// Guards against a guard on the second dispatch that does nothing.
#[tokio::test]
async fn a_booking_runs_twice_without_the_guard() {
    for single_dispatch in [true, false] {
        let backend = Backend::start([Act::Cut]).await;
        let checks = Checks {
            single_dispatch,
            ..Checks::default()
        };
        let host = start(&[&backend, &backend], TestPeers::default(), checks).await;

        host.book(None, "{}").send().await.unwrap();

        assert_eq!(backend.seen().len(), if single_dispatch { 1 } else { 2 });
    }
}

/// Guards against claims that do nothing.
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

        assert_eq!(backend.seen().len(), if claims { 1 } else { 2 });
    }
}

/// Guards against a caller that resends a crashing request through a host that has not heard yet.
#[tokio::test]
async fn a_refusal_overtakes_the_suspects_unless_it_waits() {
    for share_suspects_first in [true, false] {
        let backend = Backend::start([Act::Crash]).await;
        let gate = Arc::new(Semaphore::new(0));
        let peers = TestPeers {
            gate: Some(Arc::clone(&gate)),
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
            gate.add_permits(1);
        }

        // Without the check, the refusal comes although no peer has answered.
        assert_eq!(refused.await.unwrap(), 503);
    }
}
