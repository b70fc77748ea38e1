//! Errors of computing the floor.

use std::fmt;

use snafu::Snafu;
use types::{Bytes, ModelId};

/// Result of computing the floor.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error returned by [`floor`](crate::floor).
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// The models do not fit in the memory of the workers.
    InsufficientMemory,
}

#[derive(Debug, Snafu)]
enum ErrorCode {
    #[snafu(display(
        "model {model} of {bytes} does not fit: the models need {needed} of {available}, \
         and the most that is free on one worker is {largest}"
    ))]
    InsufficientMemory {
        model: ModelId,
        bytes: Bytes,
        needed: Bytes,
        available: Bytes,
        largest: Bytes,
    },
}

/// Sizes for the message about a model that does not fit.
pub(crate) struct Shortage {
    pub model: ModelId,
    /// Size of the model.
    pub bytes: Bytes,
    /// Total size of the models of the service.
    pub needed: Bytes,
    /// Total memory of the workers of the service.
    pub available: Bytes,
    /// Largest free memory of one worker.
    pub largest: Bytes,
}

impl Error {
    pub(crate) fn insufficient_memory(shortage: Shortage) -> Self {
        let Shortage {
            model,
            bytes,
            needed,
            available,
            largest,
        } = shortage;
        Self(Box::new(ErrorCode::InsufficientMemory {
            model,
            bytes,
            needed,
            available,
            largest,
        }))
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorCode::InsufficientMemory { .. } => Category::InsufficientMemory,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}
