//! Two controllers under seeded random faults: restarts, lost orders and platform failures.
//!
//! Guards against overcommitted memory and against a data centre that does not recover.

mod support;

use std::time::Duration;

use store::Fault;
use support::{RunningController, TestSite};

const SEEDS: u64 = 40;
const STEPS: u64 = 30;

/// Memory of each worker in the deployment of the test.
const WORKER_MEMORY: u64 = 30;

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }

    fn index(&mut self, n: u64) -> usize {
        usize::try_from(self.below(n)).unwrap()
    }
}

async fn inject_fault(site: &TestSite, rng: &mut Random, controllers: &mut [RunningController; 2]) {
    let names = ["h1", "h2"];
    let host = usize::from(rng.below(2) == 1);
    match rng.below(6) {
        0 => {
            controllers[host].task.abort();
            controllers[host] = site.start(names[host]).await;
        }
        1 => {
            controllers[host].stop.cancel();
            tokio::time::sleep(Duration::from_secs(12)).await;
            controllers[host] = site.start(names[host]).await;
        }
        2 => {
            site.platform.set_down(true);
            tokio::time::sleep(Duration::from_secs(rng.below(15))).await;
            site.platform.set_down(false);
        }
        3 => {
            let faults =
                (0..20).map(|_| [None, Some(Fault::ResponseLost), Some(Fault::Unavailable)]);
            let faults: Vec<_> = faults.map(|f| f[rng.index(3)]).collect();
            site.platform.push_faults(faults);
        }
        4 => {
            for (_, engine) in site.backends.lock().iter_mut() {
                engine.lose_every = rng.index(4);
            }
        }
        _ => {
            // A model is unloaded by something other than the controllers.
            for (_, engine) in site.backends.lock().iter_mut() {
                engine.residents.pop();
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn memory_is_never_overcommitted_and_the_floor_returns() {
    for seed in 0..SEEDS {
        let mut rng = Random(seed);
        let site = TestSite::new(3);
        let mut controllers = [site.start("h1").await, site.start("h2").await];
        for _ in 0..STEPS {
            tokio::time::sleep(Duration::from_secs(1 + rng.below(8))).await;
            inject_fault(&site, &mut rng, &mut controllers).await;
        }
        for (_, engine) in site.backends.lock().iter_mut() {
            engine.lose_every = 0;
        }
        tokio::time::sleep(Duration::from_mins(3)).await;
        let holder = controllers
            .iter()
            .map(RunningController::status)
            .find(|s| s.authority);
        let status = holder.expect("no controller holds the lease");
        for controller in &controllers {
            controller.task.abort();
        }
        assert_eq!(status.below_floor, [], "seed {seed}");
        assert_eq!(status.pending_orders, 0, "seed {seed}");
        for (id, engine) in site.backends.lock().iter() {
            assert!(
                engine.peak_memory.get() <= WORKER_MEMORY,
                "{id}, seed {seed}: {}",
                engine.peak_memory
            );
        }
    }
}
