//! Applying a deployment to the platform: races, lost responses and outages.

use std::sync::{Arc, Mutex};

use config::{Category, Chunk, Deployment, Manifest};
use store::{Fault, Kind, Listing, MemPlatform, Object, Platform, Result, Revision, Watch};
use types::ConfigVersion;

fn deployment(queue: u32) -> Deployment {
    let mut d = Deployment {
        name: "d".to_owned(),
        ..Deployment::default()
    };
    d.limits.queue = queue;
    d
}

async fn active(platform: &MemPlatform) -> Option<(u64, u32)> {
    let loaded = config::load(platform).await.unwrap()?;
    let version = loaded.config.version.get();
    Some((version, loaded.config.deployment.limits.queue))
}

/// Returns the number of platform calls of a first apply: the read, the chunks and the manifest.
async fn calls_of_first_apply() -> u64 {
    let platform = MemPlatform::new();
    config::apply(&platform, &deployment(1), "ana", None)
        .await
        .unwrap();
    let (reads, writes, _) = platform.calls();
    reads + writes
}

/// Guards against an apply that does not take effect or does not increase the version.
#[tokio::test]
async fn applies_follow_each_other() {
    let platform = MemPlatform::new();
    assert_eq!(active(&platform).await, None);
    for n in 1..=12 {
        let applied = config::apply(&platform, &deployment(n), "ana", None)
            .await
            .unwrap();
        assert_eq!(applied.version, ConfigVersion::new(n.into()));
        assert_eq!(active(&platform).await, Some((n.into(), n)));
    }
    // Chunks of versions that no host needs any more are deleted.
    let chunks = platform.list::<Chunk>().await.unwrap().items.len();
    assert!(chunks <= 8, "{chunks} chunks are kept");
}

/// Guards against two concurrent applies of which one silently overwrites the other.
#[tokio::test]
async fn a_race_names_the_winner_and_leaves_its_file_in_force() {
    let platform = MemPlatform::new();
    config::apply(&platform, &deployment(1), "ana", None)
        .await
        .unwrap();
    let seen = Some(ConfigVersion::new(1));
    let (two, three) = (deployment(2), deployment(3));
    let (first, second) = tokio::join!(
        config::apply(&platform, &two, "ben", seen),
        config::apply(&platform, &three, "cleo", seen),
    );
    let (won, lost, author, queue) = match (first, second) {
        (Ok(won), Err(lost)) => (won, lost, "ben", 2),
        (Err(lost), Ok(won)) => (won, lost, "cleo", 3),
        both => panic!("exactly one wins: {both:?}"),
    };
    assert_eq!(won.version, ConfigVersion::new(2));
    assert_eq!(lost.category(), Category::Conflict);
    assert_eq!(
        lost.conflicting_apply(),
        Some((ConfigVersion::new(2), author))
    );
    assert_eq!(active(&platform).await, Some((2, queue)));
}

/// Guards against an apply that replaces a version which the operator has not seen.
#[tokio::test]
async fn if_version_refuses_what_was_not_seen() {
    let platform = MemPlatform::new();
    config::apply(&platform, &deployment(1), "ana", None)
        .await
        .unwrap();
    config::apply(&platform, &deployment(2), "ben", None)
        .await
        .unwrap();
    let stale = Some(ConfigVersion::new(1));
    let err = config::apply(&platform, &deployment(3), "cleo", stale)
        .await
        .unwrap_err();
    assert_eq!(
        err.conflicting_apply(),
        Some((ConfigVersion::new(2), "ben"))
    );
    assert_eq!(active(&platform).await, Some((2, 2)));
}

/// Guards against a failed call that leaves a partially applied file or leads to a wrong result.
#[tokio::test]
async fn a_fault_at_any_call_is_resolved_or_told() {
    for fault in [Fault::ResponseLost, Fault::Unavailable] {
        for at in 0..calls_of_first_apply().await {
            let platform = MemPlatform::new();
            let successes = std::iter::repeat_n(None, usize::try_from(at).unwrap());
            platform.push_faults(successes.chain([Some(fault)]));
            let outcome = config::apply(&platform, &deployment(1), "ana", None).await;
            platform.push_faults([]);
            let found = active(&platform).await;
            match outcome {
                Ok(applied) => assert_eq!(found, Some((applied.version.get(), 1)), "{at}"),
                Err(e) => {
                    assert_eq!(
                        e.category(),
                        Category::Unavailable,
                        "{fault:?} at {at}: {e}"
                    );
                    assert!(e.to_string().contains("nothing of this file is in force"));
                    assert_eq!(found, None, "{fault:?} at {at}");
                }
            }
        }
    }
}

/// Guards against an apply that reports failure although its outcome is unknown: the response to
/// the manifest write is lost and the manifest cannot be read back.
#[tokio::test]
async fn a_lost_answer_that_can_not_be_read_back_is_unknown() {
    let platform = MemPlatform::new();
    let before_manifest = calls_of_first_apply().await - 1;
    let successes = std::iter::repeat_n(None, usize::try_from(before_manifest).unwrap());
    let faults = [Some(Fault::ResponseLost), Some(Fault::Unavailable)];
    platform.push_faults(successes.chain(faults));
    let err = config::apply(&platform, &deployment(1), "ana", None)
        .await
        .unwrap_err();
    assert_eq!(err.category(), Category::Unknown);
    assert_eq!(active(&platform).await, Some((1, 1)));
}

/// Guards against a read-back that misses an apply because later applies replaced its manifest.
#[tokio::test]
async fn the_manifest_remembers_earlier_applies() {
    let platform = MemPlatform::new();
    config::apply(&platform, &deployment(1), "ana", None)
        .await
        .unwrap();
    let first = platform
        .get::<Manifest>(Manifest::CURRENT)
        .await
        .unwrap()
        .unwrap()
        .value;
    config::apply(&platform, &deployment(2), "ben", None)
        .await
        .unwrap();
    config::apply(&platform, &deployment(3), "cleo", None)
        .await
        .unwrap();
    let newest = platform
        .get::<Manifest>(Manifest::CURRENT)
        .await
        .unwrap()
        .unwrap()
        .value;
    assert_eq!(
        newest.version_of(first.apply_id),
        Some(ConfigVersion::new(1))
    );
}

/// Guards against chunks that were altered on the platform.
#[tokio::test]
async fn an_altered_chunk_is_not_taken() {
    let platform = MemPlatform::new();
    config::apply(&platform, &deployment(1), "ana", None)
        .await
        .unwrap();
    let chunks = platform.list::<Chunk>().await.unwrap().items;
    let full = chunks
        .into_iter()
        .find(|c| !c.value.entries.is_empty())
        .unwrap();
    platform
        .update(&full.name, &Chunk::default(), &full.revision)
        .await
        .unwrap();
    let err = config::load(&platform).await.unwrap_err();
    assert_eq!(err.category(), Category::Inconsistent);
}

/// Platform on which another operator applies a file just before the first deletion.
#[derive(Clone)]
struct ConcurrentApply {
    inner: MemPlatform,
    other: Arc<Mutex<Option<Deployment>>>,
}

impl Platform for ConcurrentApply {
    async fn get<T: Kind>(&self, name: &str) -> Result<Option<Object<T>>> {
        self.inner.get(name).await
    }

    async fn list<T: Kind>(&self) -> Result<Listing<T>> {
        self.inner.list().await
    }

    async fn create<T: Kind>(&self, name: &str, value: &T) -> Result<Revision> {
        self.inner.create(name, value).await
    }

    async fn update<T: Kind>(&self, name: &str, value: &T, at: &Revision) -> Result<Revision> {
        self.inner.update(name, value, at).await
    }

    async fn delete<T: Kind>(&self, name: &str, at: &Revision) -> Result<()> {
        let other = self.other.lock().unwrap().take();
        if let Some(d) = other {
            config::apply(&self.inner, &d, "ben", None).await.unwrap();
        }
        self.inner.delete::<T>(name, at).await
    }

    async fn watch<T: Kind>(&self, from: &Revision) -> Result<Watch<T>> {
        self.inner.watch(from).await
    }
}

/// Guards against the deletion of a chunk that a concurrent apply uses again.
#[tokio::test]
async fn a_chunk_that_is_used_again_is_not_deleted() {
    let inner = MemPlatform::new();
    for n in 1..=5 {
        config::apply(&inner, &deployment(n), "ana", None)
            .await
            .unwrap();
    }
    let other = Arc::new(Mutex::new(Some(deployment(1))));
    let platform = ConcurrentApply {
        inner: inner.clone(),
        other: Arc::clone(&other),
    };
    config::apply(&platform, &deployment(6), "ana", None)
        .await
        .unwrap();
    assert!(
        other.lock().unwrap().is_none(),
        "the other operator applied a file"
    );
    assert_eq!(active(&inner).await, Some((7, 1)));
}
