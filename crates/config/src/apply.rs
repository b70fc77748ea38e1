//! Applies a deployment to the platform and loads the active one.

use std::sync::Arc;

use futures::{StreamExt, TryStreamExt, stream};
use store::{Category, Object, Platform, Revision};
use types::{AttemptId, ConfigVersion};

use crate::{
    deployment::Deployment,
    error::{Error, Result},
    version::{Chunk, ChunkHash, Manifest, RetiredChunk, Snapshot},
};

/// Maximum number of concurrent chunk calls; keeps an apply far below the platform's rate limits.
const MAX_CONCURRENT_CALLS: usize = 8;

/// Maximum number of attempts at a write whose response was lost.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Number of versions for which an unreferenced chunk is kept, so that hosts that lag behind can
/// still load it.
const CHUNK_RETENTION_VERSIONS: u64 = 4;

/// Result of a successful apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Applied {
    /// Version of the new manifest.
    pub version: ConfigVersion,
    /// Number of chunks written.
    pub chunks_written: usize,
    /// Number of unreferenced chunks deleted.
    pub chunks_deleted: usize,
}

/// Applies a deployment atomically.
///
/// The chunks are written first and the manifest last, by a conditional update. With `if_version`
/// the apply fails unless that version is active.
///
/// # Errors
/// `Conflict` if another apply came first, with its version and author; `Unavailable` if the
/// platform did not respond and nothing was applied; `Unknown` if the outcome is unknown.
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
    let expired = take_expired(&mut next);
    let expired = read_revisions(platform, expired).await;
    let chunks_written = write_chunks(platform, &next, previous).await?;
    let revision = seen.as_ref().map(|o| &o.revision);
    write_manifest(platform, &next.manifest, revision).await?;
    let chunks_deleted = delete_chunks(platform, &expired).await;
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

/// Removes the retired chunks that no host needs any more from the manifest and returns them.
fn take_expired(next: &mut Snapshot) -> Vec<ChunkHash> {
    let version = next.manifest.version.get();
    let manifest = Arc::make_mut(&mut next.manifest);
    let is_expired = |r: &RetiredChunk| r.since.get() + CHUNK_RETENTION_VERSIONS <= version;
    let expired = manifest.retired.extract_if(.., |r| is_expired(r));
    expired.map(|r| r.hash).collect()
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
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .try_fold(0, async |n, written| Ok(n + usize::from(written)))
        .await
}

/// Writes a chunk and returns whether it is new.
///
/// An existing chunk has the same content, because its name is the hash of its content. It is
/// written again nevertheless: another operator may be about to delete it at its old revision, and
/// the new revision makes that deletion fail.
async fn write_chunk<P: Platform>(platform: &P, hash: ChunkHash, chunk: &Chunk) -> Result<bool> {
    let name = hash.to_string();
    let mut last_error = None;
    let mut exists = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let written = if exists {
            rewrite(platform, &name, chunk).await
        } else {
            platform.create(&name, chunk).await
        };
        match written {
            Ok(_) => return Ok(!exists),
            Err(e) => match e.category() {
                Category::Conflict | Category::NotFound => {
                    exists = e.category() == Category::Conflict;
                    last_error = Some(e);
                }
                Category::Unknown => last_error = Some(e),
                // No manifest refers to the chunk yet, so nothing was applied.
                _ => return Err(Error::unavailable(e)),
            },
        }
    }
    Err(Error::unavailable(
        last_error.map(|e| e.to_string()).unwrap_or_default(),
    ))
}

async fn rewrite<P: Platform>(platform: &P, name: &str, chunk: &Chunk) -> store::Result<Revision> {
    match platform.get::<Chunk>(name).await? {
        Some(found) => platform.update(name, chunk, &found.revision).await,
        None => Err(store::Error::new(Category::NotFound, name, "")),
    }
}

/// Writes the manifest. After a lost response, searches the active manifest for the apply id.
///
/// The conditional update is safe to retry: at most one of the attempts can take effect.
async fn write_manifest<P: Platform>(
    platform: &P,
    manifest: &Manifest,
    revision: Option<&Revision>,
) -> Result<()> {
    let mut may_be_applied = false;
    let mut detail = String::new();
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let written = match revision {
            Some(revision) => platform.update(Manifest::CURRENT, manifest, revision).await,
            None => platform.create(Manifest::CURRENT, manifest).await,
        };
        let Err(e) = written else { return Ok(()) };
        detail = e.to_string();
        match e.category() {
            Category::Conflict | Category::NotFound => {}
            Category::Unknown => may_be_applied = true,
            _ if may_be_applied => return Err(Error::unknown(manifest.version, detail)),
            _ => return Err(Error::unavailable(detail)),
        }
        match read_back(platform, manifest).await {
            Ok(Some(outcome)) => return outcome,
            Ok(None) => {}
            Err(e) if may_be_applied => return Err(Error::unknown(manifest.version, e)),
            Err(e) => return Err(e),
        }
    }
    Err(Error::unknown(manifest.version, detail))
}

/// Reads the active manifest and returns the outcome of our write, or `None` if it shows none yet.
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
        // The history of the manifest no longer contains this version.
        None => Error::unknown(
            ours.version,
            format_args!("version {} is in force", found.version),
        ),
    })))
}

/// Reads the revisions of chunks before the manifest is written.
///
/// A later apply that needs one of the chunks rewrites it, so that a deletion at the revision read
/// here fails.
async fn read_revisions<P: Platform>(
    platform: &P,
    expired: Vec<ChunkHash>,
) -> Vec<(ChunkHash, Revision)> {
    let mut reads = Vec::with_capacity(expired.len());
    for hash in expired {
        reads.push(read_revision(platform, hash));
    }
    let read = stream::iter(reads).buffer_unordered(MAX_CONCURRENT_CALLS);
    read.filter_map(std::future::ready).collect().await
}

async fn read_revision<P: Platform>(
    platform: &P,
    hash: ChunkHash,
) -> Option<(ChunkHash, Revision)> {
    let chunk = platform.get::<Chunk>(&hash.to_string()).await.ok()??;
    Some((hash, chunk.revision))
}

/// Deletes chunks and returns how many were deleted. Failures are ignored, because a chunk that
/// remains costs only storage.
async fn delete_chunks<P: Platform>(platform: &P, expired: &[(ChunkHash, Revision)]) -> usize {
    let mut deletions = Vec::with_capacity(expired.len());
    for (hash, revision) in expired {
        deletions.push(delete_chunk(platform, *hash, revision));
    }
    let deleted = stream::iter(deletions).buffer_unordered(MAX_CONCURRENT_CALLS);
    deleted.filter(|ok| std::future::ready(*ok)).count().await
}

async fn delete_chunk<P: Platform>(platform: &P, hash: ChunkHash, revision: &Revision) -> bool {
    let deleted = platform.delete::<Chunk>(&hash.to_string(), revision).await;
    deleted.is_ok()
}

/// Loads the active configuration.
///
/// # Errors
/// `Unavailable` if the platform does not respond, `Inconsistent` if a chunk is missing or altered.
pub async fn load<P: Platform>(platform: &P) -> Result<Option<Snapshot>> {
    load_reusing_chunks(platform, None).await
}

/// Loads the active configuration, reusing the chunks of an earlier snapshot.
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

/// Loads the chunks of a manifest, reusing those of an earlier snapshot.
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
            let index = k.manifest.chunks.iter().position(|h| h == hash)?;
            k.chunks.get(index).cloned()
        });
        reads.push(read_chunk(platform, *hash, reusable));
    }
    let reads = stream::iter(reads).buffered(MAX_CONCURRENT_CALLS);
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
