//! Contents that hosts pass on in parts, encoded against what the receiver has.
//!
//! A [`Library`] holds the newest contents of one kind, such as configurations, and offers the newest
//! one: compressed, and as a difference from a content that the receiver has if the library has it,
//! too. The receiver requests the parts of the [`Offer`] one by one and collects them in a
//! [`Download`]. A part that is lost is requested again, from any host that has the same encoding, so
//! that no progress is lost.
//!
//! ```
//! use transfer::{Download, Library};
//!
//! let (mut sender, mut receiver) = (Library::new(), Library::new());
//! receiver.insert(b"routes: a, b".to_vec());
//! sender.insert(b"routes: a, b".to_vec());
//! sender.insert(b"routes: a, b, c".to_vec());
//!
//! let offer = sender.offer(receiver.newest())?.expect("a newer content");
//! let mut download = Download::new(offer)?;
//! while let Some(part) = download.missing_parts().next() {
//!     let bytes = sender.part(part).expect("an offered part");
//!     download.push(part, &bytes)?;
//! }
//! assert_eq!(receiver.decode(&download)?, b"routes: a, b, c");
//! # Ok::<(), transfer::Error>(())
//! ```

mod content;
mod download;
mod encoding;
mod error;
mod library;
mod rate;

pub use content::{ContentId, Offer, PartId};
pub use download::Download;
pub use error::{Error, Result};
pub use library::Library;
pub use rate::transfer_time;
