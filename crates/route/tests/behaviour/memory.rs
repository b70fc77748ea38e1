//! Memory use of the router at several sizes, printed for the capacity page.

use route::{Event, Router, Settings};
use types::{BackendId, Bytes};

use crate::fixture::{deployment, in_force, load_report, server};

/// Number of workers, data centres and models.
const SIZES: [(usize, usize, usize); 3] = [(12, 4, 25), (108, 1, 130), (1_400, 13, 1_300)];
/// Cached prefixes reported by each worker of the local data centre.
const HINTS: u64 = 256;

/// Returns a router with a report from every local worker; each worker holds eight models.
fn router(workers: usize, dcs: usize, models: usize) -> Router {
    let dc = |at: usize| format!("dc{:02}", at % dcs);
    let worker = |at: usize| format!("w{at:04}");
    let model = |at: usize| format!("m{:04}", at % models);
    let mut file = deployment();
    let (dc_of, model_of) = (file.data_centres[0].clone(), file.models[0].clone());
    file.data_centres = (0..dcs).map(|_| dc_of.clone()).collect();
    for (at, entry) in file.data_centres.iter_mut().enumerate() {
        entry.id = dc(at).parse().expect("a name");
    }
    file.models = (0..models).map(|_| model_of.clone()).collect();
    for (at, entry) in file.models.iter_mut().enumerate() {
        entry.id = model(at).parse().expect("a name");
        entry.bytes = Bytes::new(1 << 30);
    }
    file.backends = (0..workers)
        .map(|at| server(&worker(at), &dc(at), "chat"))
        .collect();
    let cfg = Settings {
        dc: Some(dc(0).parse().expect("a name")),
        ..Settings::default()
    };
    let mut router = Router::new(cfg, 1);
    let (now, mut out) = (types::Instant::from_micros(1), Vec::new());
    router.step(now, Event::Config(in_force(1, file)), &mut out);
    for at in (0..workers).step_by(dcs) {
        let backend: BackendId = worker(at).parse().expect("a name");
        let names: Vec<String> = (0..8).map(|m| model(at + 7 * m)).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let report = load_report(1, 4, &names, 0);
        let event = Event::Report {
            backend: backend.clone(),
            report,
        };
        router.step(now, event, &mut out);
        for prefix in 0..HINTS {
            let backend = backend.clone();
            router.step(now, Event::PrefixCached { backend, prefix }, &mut out);
        }
    }
    router
}

/// The state of the router must not use up the budget of an entry host, 64 MB in all.
#[test]
fn the_state_stays_small_at_design_size() {
    const BOUND: usize = 4 << 20;
    for (workers, dcs, models) in SIZES {
        let bytes = router(workers, dcs, models).memory_bytes();
        println!("{workers} workers in {dcs} data centres, {models} models: {bytes} B");
        assert!(bytes < BOUND);
    }
}
