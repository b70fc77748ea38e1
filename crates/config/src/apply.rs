//! Applies a deployment to the platform and loads the one in force.

use std::sync::Arc;

use futures::{StreamExt, TryStreamExt, stream};
use store::{Category, Object, Platform, Revision};
use types::{AttemptId, ConfigVersion};

use crate::{
    deployment::Deployment,
    error::{Error, Result},
    version::{Chunk, ChunkHash, Manifest, RetiredChunk, Snapshot},
};

/// Chunk calls in flight at once, so that an apply stays far below the platform's rates.
const PARALLEL_CALLS: usize = 8;

/// Attempts at a write whose answer was lost.
const ATTEMPTS: usize = 4;

/// Versions for which an unreferenced chunk is kept for hosts that lag behind.
const KEEP_VERSIONS: u64 = 4;

/// Outcome of an apply that is in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Version of the new manifest.
    pub version: ConfigVersion,
    /// Chunks that were written.
    pub chunks_written: usize,
    /// Unreferenced chunks that were deleted.
    pub chunks_deleted: usize,
}

/// Applies a deployment as a whole.
///
/// Chunks are written first, the manifest last and by conditional update. With `if_version` the
/// apply is refused unless that version is in force.
///
/// # Errors
/// `Conflict` names the version and author that won; `Unavailable` when nothing is in force; `Unknown`
/// when the platform did not say.
pub async fn apply<P: Platform>(
    platform: &P,
    deployment: &Deployment,
    author: &str,
    if_version: Option<ConfigVersion>,
) -> Result<Applied> {
    let seen = read_manifest(platform).await?;
    check_version(seen.as_ref().map(|o| &o.value), if_version)?;
    let apply_id = AttemptId::random(&mut rand::rng());
    let previous = seen.as_ref().map(|o| &o.value);
    let mut next = Snapshot::next(previous, deployment, author, apply_id);
    let due = take_due(&mut next);
    let due = read_revisions(platform, due).await;
    let chunks_written = write_chunks(platform, &next, previous).await?;
    let revision = seen.as_ref().map(|o| &o.revision);
    write_manifest(platform, &next.manifest, revision).await?;
    let chunks_deleted = delete_chunks(platform, &due).await;
    Ok(Applied {
        version: next.manifest.version,
        chunks_written,
        chunks_deleted,
    })
}

async fn read_manifest<P: Platform>(platform: &P) -> Result<Option<Object<Manifest>>> {
    let read = platform.get(Manifest::CURRENT).await;
    read.map_err(|e| match e.category() {
        Category::Malformed => Error::inconsistent(e),
        _ => Error::unavailable(e),
    })
}

fn check_version(current: Option<&Manifest>, if_version: Option<ConfigVersion>) -> Result<()> {
    let Some(expected) = if_version else {
        return Ok(());
    };
    match current {
        Some(m) if m.version != expected => Err(Error::conflict(m.version, &m.author)),
        None if expected != ConfigVersion::default() => {
            Err(Error::conflict(ConfigVersion::default(), "nobody"))
        }
        _ => Ok(()),
    }
}

/// Takes the chunks out of the manifest that no host can need any more.
fn take_due(next: &mut Snapshot) -> Vec<ChunkHash> {
    let version = next.manifest.version.get();
    let manifest = Arc::make_mut(&mut next.manifest);
    let is_due = |r: &RetiredChunk| r.since.get() + KEEP_VERSIONS <= version;
    let due = manifest.retired.extract_if(.., |r| is_due(r));
    due.map(|r| r.hash).collect()
}

async fn write_chunks<P: Platform>(
    platform: &P,
    next: &Snapshot,
    previous: Option<&Manifest>,
) -> Result<usize> {
    let old = previous.map_or(&[][..], |m| m.chunks.as_slice());
    let mut new: Vec<_> = next.manifest.chunks.iter().zip(&next.chunks).collect();
    new.sort_by_key(|(hash, _)| **hash);
    new.dedup_by_key(|(hash, _)| **hash);
    new.retain(|(hash, _)| !old.contains(hash));
    let mut writes = Vec::with_capacity(new.len());
    for (hash, chunk) in new {
        writes.push(write_chunk(platform, *hash, chunk));
    }
    stream::iter(writes)
        .buffer_unordered(PARALLEL_CALLS)
        .try_fold(0, async |n, written| Ok(n + usize::from(written)))
        .await
}

/// Writes a chunk; returns whether it was not there before.
///
/// A chunk that exists has the same content, because its name is its hash. It is written again all
/// the same: another operator may be about to delete it at the revision that it had.
async fn write_chunk<P: Platform>(platform: &P, hash: ChunkHash, chunk: &Chunk) -> Result<bool> {
    let name = hash.to_string();
    let mut last = None;
    let mut exists = false;
    for _ in 0..ATTEMPTS {
        let written = if exists {
            touch(platform, &name, chunk).await
        } else {
            platform.create(&name, chunk).await
        };
        match written {
            Ok(_) => return Ok(!exists),
            Err(e) => match e.category() {
                Category::Conflict | Category::NotFound => {
                    exists = e.category() == Category::Conflict;
                    last = Some(e);
                }
                Category::Unknown => last = Some(e),
                // No manifest refers to the chunk yet, so nothing is in force.
                _ => return Err(Error::unavailable(e)),
            },
        }
    }
    Err(Error::unavailable(
        last.map(|e| e.to_string()).unwrap_or_default(),
    ))
}

async fn touch<P: Platform>(platform: &P, name: &str, chunk: &Chunk) -> store::Result<Revision> {
    match platform.get::<Chunk>(name).await? {
        Some(found) => platform.update(name, chunk, &found.revision).await,
        None => Err(store::Error::new(Category::NotFound, name, "")),
    }
}

/// Writes the manifest; a lost answer is resolved by looking for the apply id.
///
/// Repeating the conditional update is safe: at most one of the attempts can take effect.
async fn write_manifest<P: Platform>(
    platform: &P,
    manifest: &Manifest,
    revision: Option<&Revision>,
) -> Result<()> {
    let mut sent = false;
    let mut detail = String::new();
    for _ in 0..ATTEMPTS {
        let written = match revision {
            Some(at) => platform.update(Manifest::CURRENT, manifest, at).await,
            None => platform.create(Manifest::CURRENT, manifest).await,
        };
        let Err(e) = written else { return Ok(()) };
        detail = e.to_string();
        match e.category() {
            Category::Conflict | Category::NotFound => {}
            Category::Unknown => sent = true,
            _ if sent => return Err(Error::unknown(manifest.version, detail)),
            _ => return Err(Error::unavailable(detail)),
        }
        match read_back(platform, manifest).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(e) if sent => return Err(Error::unknown(manifest.version, e)),
            Err(e) => return Err(e),
        }
    }
    Err(Error::unknown(manifest.version, detail))
}

/// Reads the manifest in force and tells the outcome, if it shows one.
async fn read_back<P: Platform>(platform: &P, ours: &Manifest) -> Result<Option<Result<()>>> {
    let Some(found) = read_manifest(platform).await? else {
        return Ok(None);
    };
    let found = found.value;
    if found.version_of(ours.apply_id).is_some() {
        return Ok(Some(Ok(())));
    }
    if found.version < ours.version {
        return Ok(None);
    }
    Ok(Some(Err(match found.author_of(ours.version) {
        Some(author) => Error::conflict(ours.version, author),
        // So many versions followed that the manifest no longer tells who made this one.
        None => Error::unknown(
            ours.version,
            format_args!("version {} is in force", found.version),
        ),
    })))
}

/// Reads the revisions of chunks before the manifest is written.
///
/// An apply that follows and needs one of them again writes it anew, so that the deletion at the
/// revision read here fails.
async fn read_revisions<P: Platform>(
    platform: &P,
    due: Vec<ChunkHash>,
) -> Vec<(ChunkHash, Revision)> {
    let mut reads = Vec::with_capacity(due.len());
    for hash in due {
        reads.push(read_revision(platform, hash));
    }
    let read = stream::iter(reads).buffer_unordered(PARALLEL_CALLS);
    read.filter_map(std::future::ready).collect().await
}

async fn read_revision<P: Platform>(
    platform: &P,
    hash: ChunkHash,
) -> Option<(ChunkHash, Revision)> {
    let chunk = platform.get::<Chunk>(&hash.to_string()).await.ok()??;
    Some((hash, chunk.revision))
}

/// Deletes chunks; those that can't be deleted now stay, which costs only their storage.
async fn delete_chunks<P: Platform>(platform: &P, due: &[(ChunkHash, Revision)]) -> usize {
    let mut deletions = Vec::with_capacity(due.len());
    for (hash, revision) in due {
        deletions.push(delete_chunk(platform, *hash, revision));
    }
    let deleted = stream::iter(deletions).buffer_unordered(PARALLEL_CALLS);
    deleted.filter(|ok| std::future::ready(*ok)).count().await
}

async fn delete_chunk<P: Platform>(platform: &P, hash: ChunkHash, revision: &Revision) -> bool {
    let deleted = platform.delete::<Chunk>(&hash.to_string(), revision).await;
    deleted.is_ok()
}

/// Loads the configuration in force.
///
/// # Errors
/// `Unavailable` when the platform does not answer, `Inconsistent` when a chunk is missing or altered.
pub async fn load<P: Platform>(platform: &P) -> Result<Option<Snapshot>> {
    load_reusing_chunks(platform, None).await
}

/// Loads the configuration in force, reusing the chunks of an earlier one.
///
/// # Errors
/// As [`load`].
pub async fn load_reusing_chunks<P: Platform>(
    platform: &P,
    known: Option<&Snapshot>,
) -> Result<Option<Snapshot>> {
    let Some(manifest) = read_manifest(platform).await? else {
        return Ok(None);
    };
    load_manifest(platform, manifest.value, known)
        .await
        .map(Some)
}

/// Loads the chunks of a manifest, reusing those of an earlier configuration.
///
/// # Errors
/// As [`load`].
pub async fn load_manifest<P: Platform>(
    platform: &P,
    manifest: Manifest,
    known: Option<&Snapshot>,
) -> Result<Snapshot> {
    let mut reads = Vec::with_capacity(manifest.chunks.len());
    for hash in &manifest.chunks {
        let reusable = known.and_then(|k| {
            let at = k.manifest.chunks.iter().position(|h| h == hash)?;
            k.chunks.get(at).cloned()
        });
        reads.push(read_chunk(platform, *hash, reusable));
    }
    let reads = stream::iter(reads).buffered(PARALLEL_CALLS);
    let chunks = reads.try_collect().await?;
    Snapshot::new(manifest, chunks)
}

async fn read_chunk<P: Platform>(
    platform: &P,
    hash: ChunkHash,
    known: Option<Arc<Chunk>>,
) -> Result<Arc<Chunk>> {
    if let Some(known) = known {
        return Ok(known);
    }
    match platform.get::<Chunk>(&hash.to_string()).await {
        Ok(Some(chunk)) => Ok(Arc::new(chunk.value)),
        Ok(None) => Err(Error::inconsistent(format_args!("chunk {hash} is missing"))),
        Err(e) if e.category() == Category::Malformed => Err(Error::inconsistent(e)),
        Err(e) => Err(Error::unavailable(e)),
    }
}
