//! Objects of the platform with revisions and a history for watches.

use std::collections::VecDeque;

use serde_json::{Value, json};

/// Changes that a watch may fall behind before its revision is too old.
const HISTORY: usize = 4_096;

/// Largest value that the platform stores, in bytes.
const MAX_VALUE: usize = 1_000_000;

/// Change as a watch delivers it.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) revision: u64,
    pub(crate) kind: String,
    pub(crate) line: Value,
}

#[derive(Debug)]
struct Stored {
    kind: String,
    name: String,
    revision: u64,
    spec: Value,
}

impl Stored {
    fn object(&self) -> Value {
        let version = self.revision.to_string();
        json!({"metadata": {"name": self.name, "resourceVersion": version}, "spec": self.spec})
    }
}

/// Status of a refused call.
pub(crate) type Refused = u16;

/// Objects sorted by kind and name.
#[derive(Debug, Default)]
pub(crate) struct Objects {
    stored: Vec<Stored>,
    revision: u64,
    history: VecDeque<Change>,
    dropped: u64,
}

impl Objects {
    fn find(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.stored
            .binary_search_by(|o| (o.kind.as_str(), o.name.as_str()).cmp(&(kind, name)))
    }

    pub(crate) fn get(&self, kind: &str, name: &str) -> Result<Value, Refused> {
        let at = self.find(kind, name).map_err(|_at| 404_u16)?;
        Ok(self.stored[at].object())
    }

    pub(crate) fn list(&self, kind: &str) -> Value {
        let of_kind = self.stored.iter().filter(|o| o.kind == kind);
        let items: Vec<Value> = of_kind.map(Stored::object).collect();
        json!({"metadata": {"resourceVersion": self.revision.to_string()}, "items": items})
    }

    pub(crate) fn create(&mut self, kind: &str, name: &str, spec: Value) -> Result<Value, Refused> {
        check_size(&spec)?;
        let Err(at) = self.find(kind, name) else {
            return Err(409);
        };
        self.revision += 1;
        let new = Stored {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision: self.revision,
            spec,
        };
        self.stored.insert(at, new);
        Ok(self.record("ADDED", at))
    }

    pub(crate) fn update(
        &mut self,
        kind: &str,
        name: &str,
        at_version: &str,
        spec: Value,
    ) -> Result<Value, Refused> {
        check_size(&spec)?;
        let at = self.checked(kind, name, at_version)?;
        self.revision += 1;
        self.stored[at].revision = self.revision;
        self.stored[at].spec = spec;
        Ok(self.record("MODIFIED", at))
    }

    /// Creates or replaces an object whatever its version.
    pub(crate) fn put(&mut self, kind: &str, name: &str, spec: Value) -> Result<Value, Refused> {
        match self.find(kind, name) {
            Ok(at) => {
                let version = self.stored[at].revision.to_string();
                self.update(kind, name, &version, spec)
            }
            Err(_at) => self.create(kind, name, spec),
        }
    }

    pub(crate) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        at_version: Option<&str>,
    ) -> Result<Value, Refused> {
        let at = match at_version {
            Some(version) => self.checked(kind, name, version)?,
            None => self.find(kind, name).map_err(|_at| 404_u16)?,
        };
        self.revision += 1;
        self.stored[at].revision = self.revision;
        let gone = self.record("DELETED", at);
        self.stored.remove(at);
        Ok(gone)
    }

    /// Returns the changes of a kind after a revision, or nothing when they are forgotten.
    pub(crate) fn since(&self, kind: &str, revision: u64) -> Option<(Vec<Change>, u64)> {
        if revision < self.dropped || revision > self.revision {
            return None;
        }
        let newer = self.history.iter().filter(|c| c.revision > revision);
        let of_kind = newer.filter(|c| c.kind == kind).cloned().collect();
        Some((of_kind, self.revision))
    }

    /// Drops the history, so that every earlier revision has expired.
    pub(crate) fn compact(&mut self) {
        self.revision += 1;
        self.dropped = self.revision;
        self.history.clear();
    }

    fn checked(&self, kind: &str, name: &str, version: &str) -> Result<usize, Refused> {
        let at = self.find(kind, name).map_err(|_at| 404_u16)?;
        if self.stored[at].revision.to_string() == version {
            Ok(at)
        } else {
            Err(409)
        }
    }

    fn record(&mut self, change: &str, at: usize) -> Value {
        let object = self.stored[at].object();
        self.history.push_back(Change {
            revision: self.revision,
            kind: self.stored[at].kind.clone(),
            line: json!({"type": change, "object": object}),
        });
        if self.history.len() > HISTORY
            && let Some(oldest) = self.history.pop_front()
        {
            self.dropped = oldest.revision;
        }
        object
    }
}

fn check_size(spec: &Value) -> Result<(), Refused> {
    if spec.to_string().len() > MAX_VALUE {
        return Err(413);
    }
    Ok(())
}
