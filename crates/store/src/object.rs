//! Objects of the platform and their revisions.

use std::fmt;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use types::StoreRevision;

/// Kind of object that the system keeps on the platform.
pub trait Kind: Clone + fmt::Debug + DeserializeOwned + Send + Serialize + Sync + 'static {
    /// Plural name, the path segment of the kind.
    const PLURAL: &'static str;
}

/// Revision of an object or a listing, opaque except on platforms that number their changes.
#[derive(Clone, Eq, PartialEq, Deserialize, Serialize)]
#[serde(transparent)]
pub struct Revision(String);

impl Revision {
    /// Creates a revision from the platform's representation.
    #[must_use]
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Returns the platform's representation.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the position in the order of all changes, or `None` if the platform has no such order.
    #[must_use]
    pub fn position(&self) -> Option<StoreRevision> {
        self.0.parse().ok()
    }
}

impl fmt::Debug for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Object that was read from the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Object<T> {
    /// Name, unique within the kind.
    pub name: String,
    /// Revision at which it was read.
    pub revision: Revision,
    /// Value of the object.
    pub value: T,
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing<T> {
    /// Objects in ascending order of their names.
    pub items: Vec<Object<T>>,
    /// Revision from which a watch can start.
    pub revision: Revision,
}

/// Change reported by a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum Change<T> {
    /// The object was created or updated.
    Set(Object<T>),
    /// The object with this name was deleted, or became malformed on a platform whose lists skip
    /// malformed objects.
    Deleted(String),
}
