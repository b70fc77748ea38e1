//! Minimum copies computed from the deployment file.

use std::collections::{BTreeMap, BTreeSet};

use config::Deployment;
use place::{Placement, can_rely_on_remote_copy, floor};
use types::Bytes;

use crate::fixture::{GIB, deployment, model};

fn dcs_by_model(
    deployment: &Deployment,
    copies: &[Placement],
) -> BTreeMap<String, BTreeSet<String>> {
    let mut dcs: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for copy in copies {
        let backend = deployment.backends.iter().find(|b| b.id == copy.worker);
        let dc = backend.expect("a worker of the deployment").dc.to_string();
        assert!(dcs.entry(copy.model.to_string()).or_default().insert(dc));
    }
    dcs
}

/// Guards against a model with copies in one data centre only although memory allows a second one.
#[test]
fn every_model_is_resident_in_two_data_centres_where_memory_allows() {
    let deployment = deployment(4, 12, &[16; 25]);
    let copies = floor(&deployment, Bytes::ZERO).expect("the models fit");
    let dcs = dcs_by_model(&deployment, &copies);
    assert_eq!(dcs.len(), 25);
    assert!(dcs.values().all(|dcs| dcs.len() == 2));
}

/// Guards against second copies that leave no memory for replicas and new versions.
#[test]
fn the_headroom_limits_second_copies_only() {
    let deployment = deployment(4, 4, &[40; 7]);
    let copies = floor(&deployment, Bytes::new(60 * GIB)).expect("the models fit");
    assert_eq!(copies.len(), 7);
}

/// Guards against rejecting a deployment that fits, because assignment by rank fragments memory.
#[test]
fn a_deployment_that_fits_exactly_is_packed() {
    let sizes = [48, 48, 48, 48, 32, 32, 32, 32];
    let deployment = deployment(2, 4, &sizes);
    let copies = floor(&deployment, Bytes::ZERO).expect("the models fit exactly");
    assert_eq!(copies.len(), 8);
}

/// Guards against an error message without the sizes that the operator needs.
#[test]
fn models_that_do_not_fit_are_reported_with_sizes() {
    let err =
        floor(&deployment(2, 2, &[60, 60, 60]), Bytes::ZERO).expect_err("the models do not fit");
    assert_eq!(err.category(), place::Category::InsufficientMemory);
    assert_eq!(
        err.to_string(),
        "model m0002 of 60 GiB does not fit: the models need 180 GiB of 160 GiB, \
         and the most that is free on one worker is 20 GiB"
    );
}

/// Guards against a change of the file that moves unrelated models.
#[test]
fn a_small_change_of_the_file_moves_few_copies() {
    let sizes: Vec<u64> = (0..130).map(|m| 8 + m % 3 * 4).collect();
    let old = deployment(3, 108, &sizes);
    let mut new = old.clone();
    new.models.remove(60);
    new.backends.remove(50);
    let before: BTreeSet<Placement> = floor(&old, Bytes::ZERO)
        .expect("the models fit")
        .into_iter()
        .collect();
    let after: BTreeSet<Placement> = floor(&new, Bytes::ZERO)
        .expect("the models fit")
        .into_iter()
        .collect();
    let lost = before
        .iter()
        .filter(|c| c.worker.as_str() == "w0050")
        .count();
    let moved = before
        .difference(&after)
        .filter(|c| c.model != model(60) && c.worker.as_str() != "w0050");
    assert!(
        moved.count() <= 4,
        "beyond the {lost} copies of the lost worker"
    );
}

/// Guards against two data centres that both unload their last copy, each relying on the other's.
#[test]
fn two_data_centres_never_rely_on_each_other() {
    let [a, b] = ["dc0", "dc1"].map(|dc| dc.parse().expect("a valid name"));
    for m in 0..50 {
        assert_ne!(
            can_rely_on_remote_copy(&model(m), &a, &b, false),
            can_rely_on_remote_copy(&model(m), &b, &a, false)
        );
        assert!(can_rely_on_remote_copy(&model(m), &a, &b, true));
        assert!(!can_rely_on_remote_copy(&model(m), &a, &a, true));
    }
}
