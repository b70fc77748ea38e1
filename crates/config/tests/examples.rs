//! The example files are valid and have the sizes of the reference deployments.

use std::path::PathBuf;

use config::{Deployment, ServiceKind};
use types::Bytes;

fn example(name: &str) -> Deployment {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("../../examples").join(name);
    match config::from_path(&path) {
        Ok(deployment) => deployment,
        Err(e) => panic!("{e}: {:#?}", e.faults()),
    }
}

fn check_sizes(d: &Deployment, [dcs, models, adapters, workers, plain]: [usize; 5]) {
    let of_kind = |kind| {
        let matching = d.services.iter().filter(move |s| s.kind == kind);
        let names: Vec<_> = matching.map(|s| &s.name).collect();
        d.backends
            .iter()
            .filter(move |b| names.contains(&&b.service))
    };
    assert_eq!(d.data_centres.len(), dcs);
    assert_eq!(d.models.len(), models);
    assert_eq!(d.adapters.len(), adapters);
    assert_eq!(of_kind(ServiceKind::Model).count(), workers);
    assert_eq!(of_kind(ServiceKind::Plain).count(), plain);
}

/// Returns whether two copies of each model fit in different data centres. Places the largest
/// models first, each on the worker with the most free memory.
fn fits_twice(d: &Deployment) -> bool {
    let memory = |b: &config::BackendServer| b.memory.saturating_sub(b.adapter_pool);
    let mut workers: Vec<_> = d.backends.iter().map(|b| (&b.dc, memory(b))).collect();
    let mut sizes: Vec<Bytes> = d.models.iter().map(|m| m.bytes).collect();
    sizes.sort_by(|a, b| b.cmp(a));
    sizes.iter().all(|size| {
        let mut used_dc = None;
        (0..2).all(|_| {
            let candidates = workers
                .iter_mut()
                .filter(|(dc, free)| used_dc != Some(*dc) && free >= size);
            let Some((dc, free)) = candidates.max_by_key(|(_, free)| *free) else {
                return false;
            };
            *free = free.saturating_sub(*size);
            used_dc = Some(dc);
            true
        })
    })
}

/// Guards against an example in which placement is trivial or impossible.
#[test]
fn reference_deployments_are_tight_but_fit_twice() {
    for (name, sizes) in [
        ("te-awa.toml", [4, 25, 65, 12, 4]),
        ("nour.toml", [3, 20, 75, 12, 3]),
    ] {
        let d = example(name);
        check_sizes(&d, sizes);
        let needed: Bytes = d.models.iter().map(|m| m.bytes).sum();
        assert!(fits_twice(&d), "{name}: two copies fit");
        let largest = d.backends.iter().map(|b| b.memory).max();
        assert!(
            largest < Some(needed),
            "{name}: no worker holds every model"
        );
        let speeds = d
            .backends
            .iter()
            .filter(|b| b.accelerators > 0)
            .map(|b| b.speed);
        let fastest = speeds.clone().fold(0.0, f64::max);
        let slowest = speeds.fold(f64::INFINITY, f64::min);
        assert!(fastest / slowest >= 4.0, "{name}: speeds differ fourfold");
        let workers = || d.backends.iter().filter(|b| b.accelerators > 0);
        assert!(workers().any(|b| b.fences) && workers().any(|b| !b.fences));
        assert!(d.callers.iter().all(|c| c.token.as_str().len() == 64));
    }
}
