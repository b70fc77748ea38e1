//! Deltas between versions of the configuration.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::ConfigVersion;

use crate::{
    deployment::ActiveConfig,
    entry::{self, Entry},
    error::{Error, Result},
    version::{Chunk, ChunkHash, DeltaBase, Manifest, Snapshot, chunk_index, empty_chunks},
};

/// Delta between two versions of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Delta {
    /// Base version; `None` if the delta holds all entries.
    pub from: Option<ConfigVersion>,
    /// Manifest of the target version. With a base version it contains no hashes, because all of
    /// them take 2 KB, which would be most of the delta.
    pub manifest: Manifest,
    /// Indices and hashes of the changed chunks, if there is a base version.
    pub hashes: Vec<(u16, ChunkHash)>,
    /// New and changed entries.
    pub changed: Vec<Entry>,
    /// Keys of removed entries.
    pub removed: Vec<String>,
}

impl Delta {
    /// Creates the delta between two versions. Without `from` it holds all entries of `to`.
    #[must_use]
    pub fn between(from: Option<&DeltaBase>, to: &Snapshot) -> Self {
        let empty = Arc::new(Chunk::default());
        let mut changed = Vec::new();
        let mut removed = Vec::new();
        let mut manifest = Manifest::clone(&to.manifest);
        let hashes = match from {
            Some(from) => changed_hashes(&from.manifest, &std::mem::take(&mut manifest.chunks)),
            None => Vec::new(),
        };
        for (i, new) in to.chunks.iter().enumerate() {
            let old = from.and_then(|f| f.chunks.get(i)).unwrap_or(&empty);
            if Arc::ptr_eq(old, new) {
                continue;
            }
            let differs = |e: &&Entry| !old.entries.contains(e);
            changed.extend(new.entries.iter().filter(differs).cloned());
            let keys = old.entries.iter().map(Entry::key);
            removed.extend(keys.filter(|key| new.entries.iter().all(|e| e.key() != *key)));
        }
        Self {
            from: from.map(|f| f.manifest.version),
            manifest,
            hashes,
            changed,
            removed,
        }
    }

    /// Applies the delta and verifies the result against the manifest's hashes.
    ///
    /// # Errors
    /// `Inconsistent` if `base` does not have the base version of the delta or a hash differs.
    pub fn apply(&self, base: Option<&Snapshot>) -> Result<Snapshot> {
        let Some(from) = self.from else {
            let chunks = self.patch(empty_chunks());
            return Snapshot::new(self.manifest.clone(), chunks);
        };
        let Some(base) = base.filter(|base| base.config.version == from) else {
            let message = format_args!("the delta starts at version {from}");
            return Err(Error::inconsistent(message));
        };
        let chunks = self.patch(base.chunks.clone());
        let manifest = self.target_manifest(base)?;
        verify(base, &manifest, &chunks)?;
        let mut deployment = base.config.deployment.as_ref().clone();
        for key in &self.removed {
            entry::remove(&mut deployment, key);
        }
        for entry in &self.changed {
            entry::set(&mut deployment, entry.clone());
        }
        let config = ActiveConfig {
            version: self.manifest.version,
            deployment: Arc::new(deployment),
        };
        Ok(Snapshot {
            config: Arc::new(config),
            manifest: Arc::new(manifest),
            chunks,
        })
    }

    /// Returns the manifest of the target version with all hashes.
    fn target_manifest(&self, base: &Snapshot) -> Result<Manifest> {
        let mut manifest = self.manifest.clone();
        manifest.chunks.clone_from(&base.manifest.chunks);
        for (i, hash) in &self.hashes {
            let known = manifest.chunks.get_mut(usize::from(*i));
            *known.ok_or_else(|| Error::inconsistent(format_args!("no chunk has number {i}")))? =
                *hash;
        }
        Ok(manifest)
    }

    fn patch(&self, mut chunks: Vec<Arc<Chunk>>) -> Vec<Arc<Chunk>> {
        for key in &self.removed {
            Arc::make_mut(&mut chunks[chunk_index(key)]).remove(key);
        }
        for entry in &self.changed {
            Arc::make_mut(&mut chunks[chunk_index(&entry.key())]).set(entry.clone());
        }
        chunks
    }
}

fn changed_hashes(old: &Manifest, new: &[ChunkHash]) -> Vec<(u16, ChunkHash)> {
    let both = (0_u16..).zip(old.chunks.iter().zip(new));
    let changed = both.filter(|(_, (old, new))| old != new);
    changed.map(|(i, (_, new))| (i, *new)).collect()
}

/// Verifies the chunk hashes. Chunks shared with the base were verified with the base.
fn verify(base: &Snapshot, manifest: &Manifest, chunks: &[Arc<Chunk>]) -> Result<()> {
    let matches = |i: usize| {
        let shared = Arc::ptr_eq(&chunks[i], &base.chunks[i]);
        let known = shared.then(|| base.manifest.chunks[i]);
        manifest.chunks[i] == known.unwrap_or_else(|| chunks[i].hash())
    };
    if (0..chunks.len()).all(matches) {
        return Ok(());
    }
    let version = manifest.version;
    Err(Error::inconsistent(format_args!(
        "the delta does not lead to version {version}"
    )))
}
