//! Chunks, snapshots and deltas.

use std::sync::Arc;

use config::{Adapter, Delta, Deployment, Model, Priority, Snapshot};
use proptest::prelude::*;
use types::{AttemptId, Bytes};

/// Maximum object size of the platform in bytes.
const MAX_OBJECT_BYTES: usize = 1_000_000;

fn model(i: usize, bytes: u64) -> Model {
    Model {
        id: format!("model-with-a-long-name-{i:04}").parse().unwrap(),
        version: "2026-12-04.1".parse().unwrap(),
        service: "chat".parse().unwrap(),
        bytes: Bytes::new(bytes),
        priority: Priority::new(1),
    }
}

fn adapter(i: usize) -> Adapter {
    Adapter {
        id: format!("adapter-with-a-long-name-{i:04}").parse().unwrap(),
        version: "2026-12-04.1".parse().unwrap(),
        model: model(i % 1_300, 1).id,
        bytes: Bytes::new(300 << 20),
        priority: Priority::new(1),
    }
}

fn deployment(models: &[(usize, u64)], adapters: usize) -> Deployment {
    let mut models: Vec<Model> = models.iter().map(|(i, bytes)| model(*i, *bytes)).collect();
    models.sort_by(|a, b| a.id.cmp(&b.id));
    models.dedup_by(|a, b| a.id == b.id);
    Deployment {
        name: "d".to_owned(),
        models,
        adapters: (0..adapters).map(adapter).collect(),
        ..Deployment::default()
    }
}

fn next(previous: Option<&Snapshot>, d: &Deployment) -> Snapshot {
    let manifest = previous.map(|p| &*p.manifest);
    let id = AttemptId::new(manifest.map_or(1, |m| u128::from(m.version.get()) + 1));
    Snapshot::next(manifest, d, "ana", id)
}

/// Guards against chunks larger than the platform's limit and against small changes that rewrite
/// many chunks.
#[test]
fn one_changed_entry_changes_one_small_chunk() {
    let models: Vec<(usize, u64)> = (0..1_300).map(|i| (i, 40 << 30)).collect();
    let mut d = deployment(&models, 3_400);
    let first = next(None, &d);
    for chunk in &first.chunks {
        assert!(serde_json::to_vec(chunk).unwrap().len() < MAX_OBJECT_BYTES);
    }
    d.models[700].bytes = Bytes::new(41 << 30);
    let second = next(Some(&first), &d);
    let both = first.manifest.chunks.iter().zip(&second.manifest.chunks);
    assert_eq!(both.filter(|(a, b)| a != b).count(), 1);
    let delta = Delta::between(Some(&first.delta_base()), &second);
    assert_eq!((delta.changed.len(), delta.removed.len()), (1, 0));
}

/// Guards against accepting a delta that is altered or has another base version.
#[test]
fn a_delta_that_does_not_fit_is_refused() {
    let first = next(None, &deployment(&[(1, 1)], 0));
    let second = next(Some(&first), &deployment(&[(1, 2)], 0));
    let third = next(Some(&second), &deployment(&[(1, 3)], 0));
    let delta = Delta::between(Some(&second.delta_base()), &third);
    delta.apply(Some(&first)).unwrap_err();
    delta.apply(None).unwrap_err();
    let mut altered = delta.clone();
    altered.changed.clear();
    altered.apply(Some(&second)).unwrap_err();
    let mut altered = delta;
    altered.hashes[0].0 = 900;
    altered.apply(Some(&second)).unwrap_err();
}

fn contents() -> impl Strategy<Value = Vec<(usize, u64)>> {
    proptest::collection::vec((0_usize..40, 1_u64..4), 0..40)
}

proptest! {
    /// Guards against deltas that lose, keep or misplace an entry.
    #[test]
    fn deltas_lead_to_the_same_snapshot(a in contents(), b in contents(), adapters in 0_usize..5) {
        let first = next(None, &deployment(&a, adapters));
        let second = next(Some(&first), &deployment(&b, 4 - adapters));
        let delta = Delta::between(Some(&first.delta_base()), &second);
        let applied = delta.apply(Some(&first)).unwrap();
        prop_assert_eq!(&applied, &second);
        let full = Delta::between(None, &second).apply(None).unwrap();
        prop_assert_eq!(&full, &second);
        // The hashes must still match after the chunks were stored as JSON on the platform.
        let json = serde_json::to_string(&second.chunks).unwrap();
        let chunks: Vec<Arc<config::Chunk>> = serde_json::from_str(&json).unwrap();
        let manifest = config::Manifest::clone(&second.manifest);
        prop_assert_eq!(Snapshot::new(manifest, chunks).unwrap(), second);
    }
}
