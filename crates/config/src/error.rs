//! Errors of reading, applying or loading a configuration.

use std::fmt;

use snafu::Snafu;
use types::{Code, ConfigVersion};

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of reading, applying or loading a configuration.
#[derive(Debug)]
pub struct Error(Box<ErrorCode>);

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Category {
    /// A file or token can't be read.
    Io,
    /// The file has faults; [`Error::faults`] lists them.
    Invalid,
    /// Another apply came first; no part of this file was applied.
    Conflict,
    /// The platform does not respond; no part of this file was applied.
    Unavailable,
    /// It is unknown whether the file was applied.
    Unknown,
    /// The manifest, a chunk or a delta is inconsistent with the others.
    Inconsistent,
}

/// Fault in a configuration file.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// File name as given by the operator.
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the field, such as `models.wear-vision.bytes`.
    pub field: String,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            field,
            message,
        } = self;
        write!(f, "{file}:{line}: {field}: {message}")
    }
}

#[derive(Debug, Snafu)]
enum ErrorCode {
    #[snafu(display("can't read {path}: {detail}"))]
    Io { path: String, detail: String },
    #[snafu(display("{} in the file", summary(faults)))]
    Invalid { faults: Vec<Fault> },
    #[snafu(display("{author} applied version {version} first; nothing of this file is in force"))]
    Conflict {
        version: ConfigVersion,
        author: String,
    },
    #[snafu(display("the platform does not answer; nothing of this file is in force: {detail}"))]
    Unavailable { detail: String },
    #[snafu(display(
        "the platform did not say whether version {version} is in force; read `status` before \
         applying again: {detail}"
    ))]
    Unknown {
        version: ConfigVersion,
        detail: String,
    },
    #[snafu(display("the configuration is inconsistent: {detail}"))]
    Inconsistent { detail: String },
}

fn summary(faults: &[Fault]) -> String {
    match faults {
        [fault] => format!("1 fault: {fault};"),
        [first, rest @ ..] => format!("{} faults, first {first};", rest.len() + 1),
        [] => "no fault".to_owned(),
    }
}

impl Error {
    pub(crate) fn io(path: impl Into<String>, detail: impl fmt::Display) -> Self {
        let (path, detail) = (path.into(), detail.to_string());
        Self(Box::new(ErrorCode::Io { path, detail }))
    }

    pub(crate) fn invalid(mut faults: Vec<Fault>) -> Self {
        faults.sort();
        Self(Box::new(ErrorCode::Invalid { faults }))
    }

    pub(crate) fn conflict(version: ConfigVersion, author: &str) -> Self {
        let author = author.to_owned();
        Self(Box::new(ErrorCode::Conflict { version, author }))
    }

    pub(crate) fn unavailable(detail: impl fmt::Display) -> Self {
        let detail = detail.to_string();
        Self(Box::new(ErrorCode::Unavailable { detail }))
    }

    pub(crate) fn unknown(version: ConfigVersion, detail: impl fmt::Display) -> Self {
        let detail = detail.to_string();
        Self(Box::new(ErrorCode::Unknown { version, detail }))
    }

    pub(crate) fn inconsistent(detail: impl fmt::Display) -> Self {
        let detail = detail.to_string();
        Self(Box::new(ErrorCode::Inconsistent { detail }))
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn category(&self) -> Category {
        match *self.0 {
            ErrorCode::Io { .. } => Category::Io,
            ErrorCode::Invalid { .. } => Category::Invalid,
            ErrorCode::Conflict { .. } => Category::Conflict,
            ErrorCode::Unavailable { .. } => Category::Unavailable,
            ErrorCode::Unknown { .. } => Category::Unknown,
            ErrorCode::Inconsistent { .. } => Category::Inconsistent,
        }
    }

    /// Returns the numbered result code.
    #[must_use]
    pub fn code(&self) -> Code {
        match self.category() {
            Category::Io | Category::Invalid => Code::ConfigInvalid,
            Category::Conflict => Code::ConfigConflict,
            Category::Unavailable => Code::PlatformAway,
            Category::Unknown => Code::ApplyUnknown,
            Category::Inconsistent => Code::PlatformGarbage,
        }
    }

    /// Returns all faults of the file in line order.
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        match &*self.0 {
            ErrorCode::Invalid { faults } => faults,
            _ => &[],
        }
    }

    /// Returns the version and author of the apply that came first.
    #[must_use]
    pub fn conflicting_apply(&self) -> Option<(ConfigVersion, &str)> {
        match &*self.0 {
            ErrorCode::Conflict { version, author } => Some((*version, author)),
            _ => None,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl std::error::Error for Error {}
