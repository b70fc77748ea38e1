//! The trait through which every other crate uses the platform.

use std::pin::Pin;

use futures::Stream;

use crate::{
    error::Result,
    object::{Change, Kind, Listing, Object, Revision},
};

/// Changes of one kind, in order; it ends when the platform closes the watch.
pub type Watch<T> = Pin<Box<dyn Stream<Item = Result<Change<T>>> + Send>>;

/// The platform's object API.
///
/// An implementation must return `Category::Unknown` for a write whose outcome it can't tell, and
/// `Category::Unavailable` only when the write certainly did not take effect. It never repeats a
/// write by itself.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads an object.
    ///
    /// # Errors
    /// `Unavailable` when the platform does not answer, `Malformed` when the object can't be decoded.
    fn get<T: Kind>(&self, name: &str) -> impl Future<Output = Result<Option<Object<T>>>> + Send;

    /// Reads an object that may be seconds old, where the platform offers that at a lower price.
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

    /// Creates an object that does not exist yet.
    ///
    /// # Errors
    /// `Conflict` when it exists, `TooLarge` beyond 1 MB, `Unavailable` or `Unknown` as above.
    fn create<T: Kind>(
        &self,
        name: &str,
        value: &T,
    ) -> impl Future<Output = Result<Revision>> + Send;

    /// Replaces an object that is still at a revision.
    ///
    /// # Errors
    /// `Conflict` when it has changed, `NotFound` when it is gone, and as [`create`](Self::create).
    fn update<T: Kind>(
        &self,
        name: &str,
        value: &T,
        at: &Revision,
    ) -> impl Future<Output = Result<Revision>> + Send;

    /// Deletes an object that is still at a revision.
    ///
    /// # Errors
    /// As [`update`](Self::update).
    fn delete<T: Kind>(&self, name: &str, at: &Revision)
    -> impl Future<Output = Result<()>> + Send;

    /// Watches a kind from the revision of a listing.
    ///
    /// # Errors
    /// `Expired` when the revision is too old to continue from, and as [`get`](Self::get).
    fn watch<T: Kind>(&self, from: &Revision) -> impl Future<Output = Result<Watch<T>>> + Send;
}
