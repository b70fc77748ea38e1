//! Questions of the gate for models that no backend server holds.

mod fixture;

use std::sync::Arc;

use fixture::{Host, TestPeers};
use gate::{Checks, StateMachine};
use route::{Action, Event};
use store::MemPlatform;
use tokio::{sync::Semaphore, task::yield_now};
use types::Instant;

/// Turns of the runtime within which spawned questions have begun.
const TURNS: usize = 50;

/// Router that asks for the same model at every tick.
struct Wanting;

impl StateMachine for Wanting {
    fn step(&mut self, _now: Instant, ev: Event, out: &mut Vec<Action>) {
        if matches!(ev, Event::Tick) {
            out.push(Action::RequestPlacement {
                model: "m1".parse().unwrap(),
                adapter: None,
            });
        }
    }
}

async fn turns() {
    for _ in 0..TURNS {
        yield_now().await;
    }
}

/// Replays a crash of many workers: every host asked the lease holder for every missing model
/// several times a second, until the holder was too busy to renew its lease.
#[tokio::test]
async fn a_model_is_not_asked_for_again_while_its_question_waits() {
    let answers = Arc::new(Semaphore::new(0));
    let peers = TestPeers {
        answers: Some(Arc::clone(&answers)),
        ..TestPeers::default()
    };
    let wants = Arc::clone(&peers.wants);
    let platform = MemPlatform::new();
    let host = Host::with_router(Wanting, peers, &[], platform, Checks::default()).await;
    let dispatcher = host.gate.dispatcher();

    for _ in 0..5 {
        dispatcher.feed(Event::Tick);
        turns().await;
    }
    let while_waiting = *wants.lock().unwrap();
    answers.add_permits(1);
    turns().await;
    dispatcher.feed(Event::Tick);
    turns().await;

    assert_eq!(while_waiting, 1);
    assert_eq!(*wants.lock().unwrap(), 2);
}
