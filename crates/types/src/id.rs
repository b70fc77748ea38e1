//! Ids of hosts, backend servers, models and other named or numbered objects.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};

/// Names serve as object names and URL path segments on the platform, which limits their length.
const MAX_NAME_LEN: usize = 128;

fn check_name(s: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if s.is_empty() || s.len() > MAX_NAME_LEN {
        return Err(Error::range("length of the name", s));
    }
    if s.starts_with('.') || !s.chars().all(allowed) {
        return Err(Error::syntax(
            "a name of letters, digits, `-`, `_`, `.` and `:`",
            s,
        ));
    }
    Ok(())
}

macro_rules! name_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                check_name(s)?;
                Ok(Self(Arc::from(s)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_id! {
    /// Name of a region.
    RegionId;
    /// Name of a data centre.
    DataCentreId;
    /// Name of an entry host.
    HostId;
    /// Name of a backend server.
    BackendId;
    /// Name of a caller.
    CallerId;
    /// Name of a client account.
    AccountId;
    /// Name of a service.
    ServiceName;
    /// Name of a model.
    ModelId;
    /// Name of an adapter.
    AdapterId;
    /// Version of a model's or adapter's weights.
    VersionTag;
}

/// Name of a worker, which is a backend server of a model service.
pub type WorkerId = BackendId;

macro_rules! counter_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates an id from its number.
            #[must_use]
            pub const fn new(n: u64) -> Self {
                Self(n)
            }

            /// Returns the number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next id.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                s.parse().map(Self).map_err(|_e| Error::syntax("a whole number", s))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

counter_id! {
    /// Version of the configuration; increases monotonically.
    ConfigVersion;
    /// Term of a lease, used as the fencing token of orders; increases monotonically.
    Epoch;
    /// Identifies one run of a process; changes when the process restarts.
    Incarnation;
}

macro_rules! random_id {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(u128);

        impl $name {
            /// Creates an id from its number.
            #[must_use]
            pub const fn new(n: u128) -> Self {
                Self(n)
            }

            /// Generates a random id.
            #[must_use]
            pub fn random<R: rand::Rng + ?Sized>(rng: &mut R) -> Self {
                Self((u128::from(rng.next_u64()) << 64) | u128::from(rng.next_u64()))
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(s: &str) -> Result<Self> {
                let syntax = || Error::syntax("32 hexadecimal digits", s);
                if s.len() != 32 {
                    return Err(syntax());
                }
                u128::from_str_radix(s, 16).map(Self).map_err(|_e| syntax())
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(s: String) -> Result<Self> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    )*};
}

random_id! {
    /// Id of a request, echoed by the backend server in its response.
    RequestId;
    /// Id of an order to a backend server; a retried order keeps its id.
    OrderId;
    /// Id of one attempt at a write. After a lost response it shows whether the write took effect.
    AttemptId;
}
