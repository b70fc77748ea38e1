//! Model requests of the gate when no backend server holds the model.

mod fixture;

use std::sync::Arc;

use fixture::{Host, TestPeers};
use gate::{Checks, StateMachine};
use route::{Action, Event};
use store::MemPlatform;
use tokio::{sync::Semaphore, task::yield_now};
use types::Instant;

/// Number of runtime yields after which spawned model requests have started.
const YIELDS: usize = 50;

/// Router that requests the same model at every tick.
struct ModelRequester;

impl StateMachine for ModelRequester {
    fn step(&mut self, _now: Instant, ev: Event, out: &mut Vec<Action>) {
        if matches!(ev, Event::Tick) {
            out.push(Action::RequestPlacement {
                model: "m1".parse().unwrap(),
                adapter: None,
            });
        }
    }
}

async fn yield_repeatedly() {
    for _ in 0..YIELDS {
        yield_now().await;
    }
}

/// Replays an overload after many workers crashed: every host requested every missing model from
/// the lease holder several times a second, until the holder could not renew its lease in time.
#[tokio::test]
async fn a_model_is_not_requested_again_while_a_request_is_pending() {
    let permits = Arc::new(Semaphore::new(0));
    let peers = TestPeers {
        model_permits: Some(Arc::clone(&permits)),
        ..TestPeers::default()
    };
    let model_requests = Arc::clone(&peers.model_requests);
    let platform = MemPlatform::new();
    let host = Host::with_router(ModelRequester, peers, &[], platform, Checks::default()).await;
    let dispatcher = host.gate.dispatcher();

    for _ in 0..5 {
        dispatcher.feed(Event::Tick);
        yield_repeatedly().await;
    }
    let while_pending = *model_requests.lock().unwrap();
    permits.add_permits(1);
    yield_repeatedly().await;
    dispatcher.feed(Event::Tick);
    yield_repeatedly().await;

    assert_eq!(while_pending, 1);
    assert_eq!(*model_requests.lock().unwrap(), 2);
}
