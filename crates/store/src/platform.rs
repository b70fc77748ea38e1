//! The [`Platform`] trait, through which all other crates use the platform.

use std::pin::Pin;

use futures::Stream;

use crate::{
    error::Result,
    object::{Change, Kind, Listing, Object, Revision},
};

/// Stream of the changes of one kind, in order. It ends when the platform closes the watch.
pub type Watch<T> = Pin<Box<dyn Stream<Item = Result<Change<T>>> + Send>>;

/// The platform's object API.
///
/// An implementation must return `Category::Unknown` for a write whose outcome is unknown, and
/// `Category::Unavailable` only when the write is known not to have taken effect. It must not
/// retry a write.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Returns how often the platform's store was restored from an older copy, as far as its responses have shown.
    ///
    /// `None` before the first response, and on platforms that do not tell.
    fn era(&self) -> Option<u64> {
        None
    }

    /// Reads an object.
    ///
    /// # Errors
    /// `Unavailable` when the platform does not respond, `Malformed` when the object can't be
    /// decoded.
    fn get<T: Kind>(&self, name: &str) -> impl Future<Output = Result<Option<Object<T>>>> + Send;

    /// Reads an object that may be some seconds out of date, if the platform offers a cheaper read.
    ///
    /// # Errors
    /// As [`get`](Self::get).
    fn get_stale<T: Kind>(
        &self,
        name: &str,
    ) -> impl Future<Output = Result<Option<Object<T>>>> + Send {
        self.get(name)
    }

    /// Reads all objects of a kind.
    ///
    /// # Errors
    /// As [`get`](Self::get).
    fn list<T: Kind>(&self) -> impl Future<Output = Result<Listing<T>>> + Send;

    /// Creates an object.
    ///
    /// # Errors
    /// `Conflict` when it exists, `TooLarge` beyond 1 MB, `Unavailable` or `Unknown` as above.
    fn create<T: Kind>(
        &self,
        name: &str,
        value: &T,
    ) -> impl Future<Output = Result<Revision>> + Send;

    /// Replaces an object if it still has the given revision.
    ///
    /// # Errors
    /// `Conflict` when it has changed, `NotFound` when it was deleted, and as
    /// [`create`](Self::create).
    fn update<T: Kind>(
        &self,
        name: &str,
        value: &T,
        at: &Revision,
    ) -> impl Future<Output = Result<Revision>> + Send;

    /// Deletes an object if it still has the given revision.
    ///
    /// # Errors
    /// As [`update`](Self::update).
    fn delete<T: Kind>(&self, name: &str, at: &Revision)
    -> impl Future<Output = Result<()>> + Send;

    /// Watches the changes of a kind after the revision of a listing.
    ///
    /// # Errors
    /// `Expired` when the platform can't continue from the revision, and as [`get`](Self::get).
    fn watch<T: Kind>(&self, from: &Revision) -> impl Future<Output = Result<Watch<T>>> + Send;
}
