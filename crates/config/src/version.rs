//! Versions of the configuration, stored as a manifest and chunks.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use store::Kind;
use types::{AttemptId, ConfigVersion};

use crate::{
    deployment::{ActiveConfig, Deployment},
    entry::{self, Entry},
    error::{Error, Result},
};

/// Number of chunks over which the entries are distributed; at design size a chunk has about 20 KB.
pub(crate) const CHUNK_COUNT: usize = 64;

/// Number of earlier applies in a manifest, so that an apply that reads the manifest back late can
/// still determine whether it took effect.
const HISTORY_LEN: usize = 8;

/// Length of a chunk's hash. It is short because every host reads all hashes every 10 s, and long
/// enough to rule out accidental collisions.
const HASH_BYTES: usize = 16;

/// Hash of a chunk's content, which is also the chunk's name.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChunkHash([u8; HASH_BYTES]);

impl fmt::Display for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for ChunkHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ChunkHash {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let number = u128::from_str_radix(s, 16)
            .ok()
            .filter(|_| s.len() == 2 * HASH_BYTES);
        let number =
            number.ok_or_else(|| Error::inconsistent(format_args!("bad chunk hash `{s}`")))?;
        Ok(Self(number.to_be_bytes()))
    }
}

impl Serialize for ChunkHash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            serializer.collect_str(self)
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de> Deserialize<'de> for ChunkHash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if deserializer.is_human_readable() {
            String::deserialize(deserializer)?
                .parse()
                .map_err(D::Error::custom)
        } else {
            <[u8; HASH_BYTES]>::deserialize(deserializer).map(Self)
        }
    }
}

/// Subset of the entries, stored under the hash of its content.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Chunk {
    /// Entries, sorted by key.
    pub entries: Vec<Entry>,
}

impl Kind for Chunk {
    const PLURAL: &'static str = "chunks";
}

impl Chunk {
    /// Returns the hash of the content.
    #[must_use]
    #[expect(clippy::missing_panics_doc, reason = "entries have string keys only")]
    pub fn hash(&self) -> ChunkHash {
        let bytes = serde_json::to_vec(&self.entries).expect("entries have string keys only");
        let mut hash = [0; HASH_BYTES];
        blake3::Hasher::new()
            .update(&bytes)
            .finalize_xof()
            .fill(&mut hash);
        ChunkHash(hash)
    }

    pub(crate) fn set(&mut self, entry: Entry) {
        let key = entry.key();
        match self.entries.binary_search_by(|e| e.key().cmp(&key)) {
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    pub(crate) fn remove(&mut self, key: &str) {
        self.entries.retain(|e| e.key() != key);
    }
}

/// Record of an earlier apply in a manifest.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ApplyRecord {
    /// Version that it created.
    pub version: ConfigVersion,
    /// Random id of the apply.
    pub apply_id: AttemptId,
    /// Author of the apply.
    pub author: String,
}

/// Chunk that is no longer referenced.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RetiredChunk {
    /// First version that does not reference the chunk.
    pub since: ConfigVersion,
    /// Hash of the chunk.
    pub hash: ChunkHash,
}

/// Manifest of a version; the one stored as [`Manifest::CURRENT`] is active.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Manifest {
    /// Version; one higher than that of the manifest that it replaces.
    pub version: ConfigVersion,
    /// Random id of the apply that wrote it.
    pub apply_id: AttemptId,
    /// Author of the apply.
    pub author: String,
    /// Name of the deployment.
    pub name: String,
    /// Hashes of all chunks, by chunk index.
    pub chunks: Vec<ChunkHash>,
    /// Earlier applies, newest first.
    pub history: Vec<ApplyRecord>,
    /// Unreferenced chunks that are not yet deleted.
    pub retired: Vec<RetiredChunk>,
}

impl Kind for Manifest {
    const PLURAL: &'static str = "manifests";
}

impl Manifest {
    /// Name of the object that holds the active manifest.
    pub const CURRENT: &'static str = "current";

    /// Returns the version that an apply created, if the history contains it.
    #[must_use]
    pub fn version_of(&self, apply_id: AttemptId) -> Option<ConfigVersion> {
        if self.apply_id == apply_id {
            return Some(self.version);
        }
        let record = self.history.iter().find(|p| p.apply_id == apply_id);
        record.map(|r| r.version)
    }

    /// Returns the author of a version, if the history contains it.
    pub(crate) fn author_of(&self, version: ConfigVersion) -> Option<&str> {
        if self.version == version {
            return Some(&self.author);
        }
        let record = self.history.iter().find(|p| p.version == version);
        record.map(|r| r.author.as_str())
    }

    fn next_history(&self) -> Vec<ApplyRecord> {
        let newest = ApplyRecord {
            version: self.version,
            apply_id: self.apply_id,
            author: self.author.clone(),
        };
        let older = self.history.iter().cloned();
        std::iter::once(newest)
            .chain(older)
            .take(HISTORY_LEN)
            .collect()
    }
}

/// Manifest and chunks of the base version of a delta.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaBase {
    /// Manifest.
    pub manifest: Arc<Manifest>,
    /// Chunks, by index.
    pub chunks: Vec<Arc<Chunk>>,
}

/// Manifest and its chunks, verified against each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Configuration that the chunks contain.
    pub config: Arc<ActiveConfig>,
    /// Manifest.
    pub manifest: Arc<Manifest>,
    /// Chunks, by index.
    pub chunks: Vec<Arc<Chunk>>,
}

impl Snapshot {
    /// Verifies the chunks against the manifest and assembles the deployment.
    ///
    /// # Errors
    /// `Inconsistent` if a hash differs from the manifest or the chunks do not form a deployment.
    pub fn new(manifest: Manifest, chunks: Vec<Arc<Chunk>>) -> Result<Self> {
        let hashes = chunks.iter().map(|c| c.hash());
        if chunks.len() != CHUNK_COUNT || !hashes.eq(manifest.chunks.iter().copied()) {
            return Err(Error::inconsistent(format_args!(
                "the chunks of version {} differ from its manifest",
                manifest.version
            )));
        }
        let deployment = entry::join(chunks.iter().flat_map(|c| &c.entries))?;
        Ok(Self {
            config: Arc::new(ActiveConfig {
                version: manifest.version,
                deployment: Arc::new(deployment),
            }),
            manifest: Arc::new(manifest),
            chunks,
        })
    }

    /// Returns the base for deltas from this version. It shares the manifest and the chunks with
    /// the snapshot, and versions share unchanged chunks, so keeping it costs little memory.
    #[must_use]
    pub fn delta_base(&self) -> DeltaBase {
        DeltaBase {
            manifest: Arc::clone(&self.manifest),
            chunks: self.chunks.clone(),
        }
    }

    /// Creates the snapshot of the version after `previous`.
    #[must_use]
    pub fn next(
        previous: Option<&Manifest>,
        deployment: &Deployment,
        author: &str,
        apply_id: AttemptId,
    ) -> Self {
        let version = previous.map_or(ConfigVersion::new(1), |p| p.version.next());
        let chunks = chunks(deployment);
        let hashes: Vec<ChunkHash> = chunks.iter().map(|c| c.hash()).collect();
        let manifest = Manifest {
            version,
            apply_id,
            author: author.to_owned(),
            name: deployment.name.clone(),
            history: previous.map(Manifest::next_history).unwrap_or_default(),
            retired: previous.map_or(Vec::new(), |p| retired_chunks(p, version, &hashes)),
            chunks: hashes,
        };
        Self {
            config: Arc::new(ActiveConfig {
                version,
                deployment: Arc::new(deployment.clone()),
            }),
            manifest: Arc::new(manifest),
            chunks,
        }
    }
}

fn retired_chunks(
    previous: &Manifest,
    version: ConfigVersion,
    hashes: &[ChunkHash],
) -> Vec<RetiredChunk> {
    let unreferenced = previous.chunks.iter().map(|hash| RetiredChunk {
        since: version,
        hash: *hash,
    });
    let mut retired: Vec<RetiredChunk> = previous
        .retired
        .iter()
        .cloned()
        .chain(unreferenced)
        .filter(|r| !hashes.contains(&r.hash))
        .collect();
    retired.sort_by_key(|r| (r.hash, r.since));
    retired.dedup_by_key(|r| r.hash);
    retired
}

/// Returns the index of the chunk that holds the entry with a key.
pub(crate) fn chunk_index(key: &str) -> usize {
    let hash = blake3::hash(key.as_bytes());
    usize::from(hash.as_bytes()[0]) % CHUNK_COUNT
}

fn chunks(deployment: &Deployment) -> Vec<Arc<Chunk>> {
    let mut chunks = vec![Chunk::default(); CHUNK_COUNT];
    for entry in entry::split(deployment) {
        chunks[chunk_index(&entry.key())].set(entry);
    }
    chunks.into_iter().map(Arc::new).collect()
}

pub(crate) fn empty_chunks() -> Vec<Arc<Chunk>> {
    let empty = Arc::new(Chunk::default());
    vec![empty; CHUNK_COUNT]
}
