//! Parsing and formatting of quantities and ids.
//!
//! Guards against quantities that lose their unit in files, messages or reports.

use proptest::{prop_assert_eq, proptest};
use types::{Bytes, Category, ConfigVersion, Micros, ModelId, Rate, RequestId};

#[test]
fn units_are_read() {
    assert_eq!("80 GiB".parse::<Bytes>().unwrap().get(), 80 << 30);
    assert_eq!("1.5KiB".parse::<Bytes>().unwrap().get(), 1536);
    assert_eq!("490 ms".parse::<Micros>().unwrap().get(), 490_000);
    assert_eq!("1.4/s".parse::<Rate>().unwrap().to_string(), "1.4/s");
}

#[test]
fn missing_units_are_faults() {
    for text in ["80", "", "GiB", "80 GB", "-1 GiB", "1.2.3 GiB"] {
        let err = text.parse::<Bytes>().unwrap_err();
        assert_eq!(err.category(), Category::Syntax, "{text}");
    }
}

#[test]
fn absurd_quantities_are_out_of_range() {
    let err = "99999999999 TiB".parse::<Bytes>().unwrap_err();

    assert_eq!(err.category(), Category::Range);
}

#[test]
fn names_that_could_leave_a_path_segment_are_faults() {
    for text in ["", ".", "..", "a/b", "a b", "a?b", "ä"] {
        assert!(text.parse::<ModelId>().is_err(), "{text}");
    }
}

#[test]
fn scores_are_stable() {
    // Hosts of different versions must compute the same ranking, so the hash must never change.
    let score = types::rendezvous_score("key", "candidate", 1.0);

    assert_eq!(format!("{score:.12}"), SCORE);
}

const SCORE: &str = "3.058191147015";

proptest! {
    #[test]
    fn bytes_survive_printing(n in 0_u64..1 << 50) {
        let size = Bytes::new(n);
        prop_assert_eq!(size.to_string().parse::<Bytes>().unwrap(), size);
    }

    #[test]
    fn times_survive_printing(n in 0_u64..1 << 50) {
        let time = Micros::new(n);
        prop_assert_eq!(time.to_string().parse::<Micros>().unwrap(), time);
    }

    #[test]
    fn ids_survive_printing(n: u128, v: u64) {
        let id = RequestId::new(n);
        prop_assert_eq!(id.to_string().parse::<RequestId>().unwrap(), id);
        let version = ConfigVersion::new(v);
        prop_assert_eq!(version.to_string().parse::<ConfigVersion>().unwrap(), version);
    }
}
