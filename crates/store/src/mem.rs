//! In-memory platform for tests of other crates.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures::{StreamExt, stream};
use serde_json::Value;
use tokio::sync::broadcast;

use crate::{
    error::{Category, Error, Result},
    object::{Change, Kind, Listing, Object, Revision},
    platform::{Platform, Watch},
};

/// Number of changes that a watch may lag behind before it ends.
const WATCH_BACKLOG: usize = 1_024;

/// Fault that is injected into a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The call fails and has no effect.
    Unavailable,
    /// The call takes effect, but its response is lost.
    ResponseLost,
}

/// Platform that keeps its objects in memory.
#[derive(Clone, Debug)]
pub struct MemPlatform {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    /// Sorted by kind and name.
    objects: Vec<Stored>,
    revision: u64,
    faults: VecDeque<Option<Fault>>,
    down: bool,
    reads: u64,
    writes: u64,
    watches: u64,
    changes: broadcast::Sender<Stored>,
}

#[derive(Clone, Debug)]
struct Stored {
    kind: &'static str,
    name: String,
    revision: u64,
    /// `None` if the object was deleted.
    value: Option<Value>,
}

impl Default for MemPlatform {
    fn default() -> Self {
        Self::new()
    }
}

impl MemPlatform {
    /// Creates an empty platform.
    #[must_use]
    pub fn new() -> Self {
        let (changes, _) = broadcast::channel(WATCH_BACKLOG);
        Self {
            state: Arc::new(Mutex::new(State {
                objects: Vec::new(),
                revision: 0,
                faults: VecDeque::new(),
                down: false,
                reads: 0,
                writes: 0,
                watches: 0,
                changes,
            })),
        }
    }

    /// Queues faults for the next calls, one entry per call; `None` lets a call succeed.
    pub fn push_faults(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        self.lock().faults.extend(faults);
    }

    /// Makes the platform unavailable or available.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Returns the number of reads, writes and watches so far.
    #[must_use]
    pub fn calls(&self) -> (u64, u64, u64) {
        let state = self.lock();
        (state.reads, state.writes, state.watches)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write<T: Kind>(
        &self,
        name: &str,
        apply: impl FnOnce(&mut State, Result<usize, usize>) -> Result<u64>,
    ) -> Result<Revision> {
        let mut state = self.lock();
        state.writes += 1;
        let fault = state.next_fault();
        let subject = || format!("{}/{name}", T::PLURAL);
        if fault == Some(Fault::Unavailable) {
            return Err(Error::new(Category::Unavailable, subject(), "down"));
        }
        let at = state.find(T::PLURAL, name);
        let revision = apply(&mut state, at)?;
        if fault == Some(Fault::ResponseLost) {
            return Err(Error::new(Category::Unknown, subject(), "response lost"));
        }
        Ok(Revision::new(revision.to_string()))
    }

    fn read(&self) -> Result<MutexGuard<'_, State>> {
        let mut state = self.lock();
        state.reads += 1;
        match state.next_fault() {
            None => Ok(state),
            Some(_) => Err(Error::new(Category::Unavailable, "read", "down")),
        }
    }
}

impl State {
    fn next_fault(&mut self) -> Option<Fault> {
        if self.down {
            return Some(Fault::Unavailable);
        }
        self.faults.pop_front().flatten()
    }

    fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.objects
            .binary_search_by(|o| (o.kind, o.name.as_str()).cmp(&(kind, name)))
    }

    fn commit(&mut self, mut stored: Stored) -> u64 {
        self.revision += 1;
        stored.revision = self.revision;
        match (self.find(stored.kind, &stored.name), &stored.value) {
            (Ok(at), Some(_)) => self.objects[at] = stored.clone(),
            (Ok(at), None) => drop(self.objects.remove(at)),
            (Err(at), _) => self.objects.insert(at, stored.clone()),
        }
        // Sending fails if no watch is open, which is not an error.
        drop(self.changes.send(stored));
        self.revision
    }

    fn check(&self, at: Result<usize, usize>, revision: &Revision, subject: String) -> Result<()> {
        let Ok(at) = at else {
            return Err(Error::new(Category::NotFound, subject, ""));
        };
        if self.objects[at].revision.to_string() == revision.as_str() {
            Ok(())
        } else {
            Err(Error::new(Category::Conflict, subject, ""))
        }
    }
}

fn encode<T: Kind>(value: &T, subject: &str) -> Result<Option<Value>> {
    serde_json::to_value(value)
        .map(Some)
        .map_err(|e| Error::new(Category::Malformed, subject, e))
}

fn decode<T: Kind>(stored: &Stored) -> Result<Object<T>> {
    let value = stored.value.clone().unwrap_or_default();
    Ok(Object {
        name: stored.name.clone(),
        revision: Revision::new(stored.revision.to_string()),
        value: serde_json::from_value(value)
            .map_err(|e| Error::new(Category::Malformed, stored.name.as_str(), e))?,
    })
}

fn change<T: Kind>(stored: &Stored) -> Result<Change<T>> {
    if stored.value.is_none() {
        return Ok(Change::Deleted(stored.name.clone()));
    }
    decode(stored).map(Change::Set)
}

impl Platform for MemPlatform {
    async fn get<T: Kind>(&self, name: &str) -> Result<Option<Object<T>>> {
        let state = self.read()?;
        let at = state.find(T::PLURAL, name);
        at.ok().map(|at| decode(&state.objects[at])).transpose()
    }

    async fn list<T: Kind>(&self) -> Result<Listing<T>> {
        let state = self.read()?;
        let of_kind = state.objects.iter().filter(|o| o.kind == T::PLURAL);
        Ok(Listing {
            items: of_kind.map(decode).collect::<Result<_>>()?,
            revision: Revision::new(state.revision.to_string()),
        })
    }

    async fn create<T: Kind>(&self, name: &str, value: &T) -> Result<Revision> {
        let value = encode(value, name)?;
        self.write::<T>(name, |state, at| {
            if at.is_ok() {
                return Err(Error::new(Category::Conflict, name, ""));
            }
            Ok(state.commit(stored::<T>(name, value)))
        })
    }

    async fn update<T: Kind>(&self, name: &str, value: &T, at: &Revision) -> Result<Revision> {
        let value = encode(value, name)?;
        self.write::<T>(name, |state, found| {
            state.check(found, at, name.to_owned())?;
            Ok(state.commit(stored::<T>(name, value)))
        })
    }

    async fn delete<T: Kind>(&self, name: &str, at: &Revision) -> Result<()> {
        self.write::<T>(name, |state, found| {
            state.check(found, at, name.to_owned())?;
            Ok(state.commit(stored::<T>(name, None)))
        })
        .map(drop)
    }

    async fn watch<T: Kind>(&self, from: &Revision) -> Result<Watch<T>> {
        let mut state = self.lock();
        state.watches += 1;
        if state.down {
            return Err(Error::new(Category::Unavailable, T::PLURAL, "down"));
        }
        if from.as_str() != state.revision.to_string() {
            return Err(Error::new(Category::Expired, T::PLURAL, ""));
        }
        let rx = state.changes.subscribe();
        let changes = stream::unfold(rx, |mut rx| async move {
            let stored = rx.recv().await.ok()?;
            Some((stored, rx))
        });
        Ok(changes
            .filter(|stored| futures::future::ready(stored.kind == T::PLURAL))
            .map(|stored| change(&stored))
            .boxed())
    }
}

fn stored<T: Kind>(name: &str, value: Option<Value>) -> Stored {
    Stored {
        kind: T::PLURAL,
        name: name.to_owned(),
        revision: 0,
        value,
    }
}
