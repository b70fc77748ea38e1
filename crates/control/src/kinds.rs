//! Kinds of objects that the controller stores on the platform.

use serde::{Deserialize, Serialize};
use store::Kind;

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident($inner:ty) $plural:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl Kind for $name {
            const PLURAL: &'static str = $plural;
        }

        impl From<$inner> for $name {
            fn from(value: $inner) -> Self {
                Self(value)
            }
        }

        impl From<$name> for $inner {
            fn from(object: $name) -> Self {
                object.0
            }
        }
    )*};
}

kinds! {
    /// Lease of a data centre, stored under the name of the data centre.
    LeaseObject(lease::Record) "leases";
    /// Record of a backend server, stored under the name of the backend server.
    BackendRecordObject(orders::Record) "records";
    /// Weight-store slot, stored under a name that contains its number.
    SlotObject(orders::SlotRecord) "slots";
}

const SLOT_PREFIX: &str = "slot-";

/// Formats the name of a slot object.
pub(crate) fn slot_name(number: u32) -> String {
    format!("{SLOT_PREFIX}{number}")
}

/// Parses the slot number from the name of a slot object.
pub(crate) fn slot_number(name: &str) -> Option<u32> {
    name.strip_prefix(SLOT_PREFIX)?.parse().ok()
}
