//! Versions of the configuration: manifest, chunks, deltas.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use store::Kind;
use types::{AttemptId, ConfigVersion};

use crate::{
    deployment::{ActiveConfig, Deployment},
    entry::{self, Entry},
    error::{Error, Result},
};

/// Entries are spread over this many chunks; at design size a chunk then holds about 20 KB.
pub(crate) const CHUNKS: usize = 64;

/// Applies that a manifest remembers, so that a late read-back still tells whether it took effect.
const HISTORY: usize = 8;

/// Bytes of a chunk's hash: enough against accidents, and every host reads all hashes every ten
/// seconds.
const HASH_BYTES: usize = 16;

/// Hash of a chunk's content, which is also its name.
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

/// Part of the entries, stored under the hash of its content.
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
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    pub(crate) fn remove(&mut self, key: &str) {
        self.entries.retain(|e| e.key() != key);
    }
}

/// Earlier apply that a manifest remembers.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ApplyRecord {
    /// Version that it made.
    pub version: ConfigVersion,
    /// Its random id.
    pub apply_id: AttemptId,
    /// Who applied it.
    pub author: String,
}

/// Chunk that is no longer referenced.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct RetiredChunk {
    /// First version that does not reference it.
    pub since: ConfigVersion,
    /// Its hash.
    pub hash: ChunkHash,
}

/// The one object that says which configuration is in force.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Manifest {
    /// Version, one above that of the manifest which it replaces.
    pub version: ConfigVersion,
    /// Random id of the apply that wrote it.
    pub apply_id: AttemptId,
    /// Who applied it.
    pub author: String,
    /// Name of the deployment.
    pub name: String,
    /// Hashes of all chunks, in the order of the chunks' numbers.
    pub chunks: Vec<ChunkHash>,
    /// Earlier applies, newest first.
    pub history: Vec<ApplyRecord>,
    /// Chunks that wait for their deletion.
    pub retired: Vec<RetiredChunk>,
}

impl Kind for Manifest {
    const PLURAL: &'static str = "manifests";
}

impl Manifest {
    /// Name of the object that holds the manifest in force.
    pub const CURRENT: &'static str = "current";

    /// Tells which version an apply made, if the manifest remembers it.
    #[must_use]
    pub fn version_of(&self, apply_id: AttemptId) -> Option<ConfigVersion> {
        if self.apply_id == apply_id {
            return Some(self.version);
        }
        let past = self.history.iter().find(|p| p.apply_id == apply_id);
        past.map(|p| p.version)
    }

    /// Tells who made a version, if the manifest remembers it.
    pub(crate) fn author_of(&self, version: ConfigVersion) -> Option<&str> {
        if self.version == version {
            return Some(&self.author);
        }
        let past = self.history.iter().find(|p| p.version == version);
        past.map(|p| p.author.as_str())
    }

    fn next_history(&self) -> Vec<ApplyRecord> {
        let newest = ApplyRecord {
            version: self.version,
            apply_id: self.apply_id,
            author: self.author.clone(),
        };
        let older = self.history.iter().cloned();
        std::iter::once(newest).chain(older).take(HISTORY).collect()
    }
}

/// Chunks of a version, from which a delta starts.
#[derive(Clone, Debug, PartialEq)]
pub struct DeltaBase {
    /// Manifest.
    pub manifest: Arc<Manifest>,
    /// Chunks, in the order of their numbers.
    pub chunks: Vec<Arc<Chunk>>,
}

/// Manifest with all its chunks, verified against each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Configuration that the chunks hold.
    pub config: Arc<ActiveConfig>,
    /// Manifest.
    pub manifest: Arc<Manifest>,
    /// Chunks, in the order of their numbers.
    pub chunks: Vec<Arc<Chunk>>,
}

impl Snapshot {
    /// Verifies the chunks against the manifest and puts the deployment together.
    ///
    /// # Errors
    /// `Inconsistent` when a chunk does not have the hash that the manifest names.
    pub fn new(manifest: Manifest, chunks: Vec<Arc<Chunk>>) -> Result<Self> {
        let hashes = chunks.iter().map(|c| c.hash());
        if chunks.len() != CHUNKS || !hashes.eq(manifest.chunks.iter().copied()) {
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

    /// Returns what a delta from this version needs, which is little beyond what versions share.
    #[must_use]
    pub fn delta_base(&self) -> DeltaBase {
        DeltaBase {
            manifest: Arc::clone(&self.manifest),
            chunks: self.chunks.clone(),
        }
    }

    /// Makes the snapshot of the version that follows `previous`.
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
            retired: previous.map_or(Vec::new(), |p| retire(p, version, &hashes)),
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

fn retire(previous: &Manifest, version: ConfigVersion, hashes: &[ChunkHash]) -> Vec<RetiredChunk> {
    let dropped = previous.chunks.iter().map(|hash| RetiredChunk {
        since: version,
        hash: *hash,
    });
    let mut retired: Vec<RetiredChunk> = previous
        .retired
        .iter()
        .cloned()
        .chain(dropped)
        .filter(|r| !hashes.contains(&r.hash))
        .collect();
    retired.sort_by_key(|r| (r.hash, r.since));
    retired.dedup_by_key(|r| r.hash);
    retired
}

pub(crate) fn place(key: &str) -> usize {
    let hash = blake3::hash(key.as_bytes());
    usize::from(hash.as_bytes()[0]) % CHUNKS
}

fn chunks(deployment: &Deployment) -> Vec<Arc<Chunk>> {
    let mut chunks = vec![Chunk::default(); CHUNKS];
    for entry in entry::split(deployment) {
        chunks[place(&entry.key())].set(entry);
    }
    chunks.into_iter().map(Arc::new).collect()
}

pub(crate) fn empty_chunks() -> Vec<Arc<Chunk>> {
    let empty = Arc::new(Chunk::default());
    vec![empty; CHUNKS]
}
