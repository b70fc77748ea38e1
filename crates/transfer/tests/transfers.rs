//! Contents pass from one library to another in parts.

use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use transfer::{Download, Library, Offer};

/// Returns a content that does not compress.
fn random_content(seed: u64, size: usize) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..size).map(|_| rng.random()).collect()
}

fn library_of(contents: &[&[u8]]) -> Library {
    let mut library = Library::new();
    for content in contents {
        library.insert(content.to_vec());
    }
    library
}

fn offer(sender: &mut Library, receiver: &Library) -> Offer {
    let offer = sender.offer(receiver.newest()).expect("an offer");
    offer.expect("a newer content")
}

/// Requests up to a number of missing parts.
fn fetch(sender: &Library, download: &mut Download, parts: usize) {
    for part in download.missing_parts().take(parts) {
        let bytes = sender.part(part).expect("an offered part");
        download.push(part, &bytes).expect("an expected part");
    }
}

#[test]
fn a_content_arrives_in_parts() {
    let content = random_content(1, 200_000);
    let (mut sender, receiver) = (library_of(&[&content]), Library::new());
    let mut download = Download::new(offer(&mut sender, &receiver)).unwrap();

    fetch(&sender, &mut download, 3);
    let after_three = (download.is_complete(), download.received_size());
    fetch(&sender, &mut download, usize::MAX);

    assert_eq!(after_three, (false, 3 * (32 << 10)));
    assert_eq!(receiver.decode(&download).unwrap(), content);
}

/// Guards against a transfer that starts anew when its source is lost.
#[test]
fn a_transfer_goes_on_with_another_host_that_has_the_same_content() {
    let content = random_content(2, 300_000);
    let mut first = library_of(&[&content]);
    let mut second = library_of(&[&random_content(3, 10), &content]);
    let receiver = Library::new();
    let mut download = Download::new(offer(&mut first, &receiver)).unwrap();
    fetch(&first, &mut download, 5);
    drop(first);

    let second_offer = offer(&mut second, &receiver);
    fetch(&second, &mut download, usize::MAX);

    assert_eq!(second_offer, *download.offer());
    assert_eq!(receiver.decode(&download).unwrap(), content);
}

/// Guards against a transfer that is interrupted by each newer content and so never ends.
#[test]
fn a_transfer_ends_although_a_newer_content_appears() {
    let content = random_content(4, 200_000);
    let (mut sender, receiver) = (library_of(&[&content]), Library::new());
    let mut download = Download::new(offer(&mut sender, &receiver)).unwrap();
    fetch(&sender, &mut download, 1);

    sender.insert(random_content(5, 200_000));
    fetch(&sender, &mut download, usize::MAX);

    assert_eq!(receiver.decode(&download).unwrap(), content);
}

/// Guards against transfers of a whole content for a small change of it.
#[test]
fn a_small_change_of_a_content_that_does_not_compress_is_small() {
    let old = random_content(6, 1 << 20);
    let mut new = old.clone();
    new.splice(500_000..500_010, *b"another route");
    let (mut sender, receiver) = (library_of(&[&old, &new]), library_of(&[&old]));

    let offer = offer(&mut sender, &receiver);

    assert!(
        offer.base.is_some() && offer.encoded_size < 2_000,
        "{offer:?}"
    );
}

#[test]
fn a_receiver_with_an_unknown_content_is_offered_the_whole() {
    let content = random_content(7, 1_000);
    let (mut sender, receiver) = (library_of(&[&content]), library_of(&[b"other"]));
    let mut download = Download::new(offer(&mut sender, &receiver)).unwrap();

    fetch(&sender, &mut download, usize::MAX);

    assert_eq!(download.offer().base, None);
    assert_eq!(receiver.decode(&download).unwrap(), content);
}

#[test]
fn a_difference_from_a_dropped_content_is_refused() {
    let (old, new) = (random_content(8, 1_000), random_content(9, 1_000));
    let (mut sender, mut receiver) = (library_of(&[&old, &new]), library_of(&[&old]));
    let mut download = Download::new(offer(&mut sender, &receiver)).unwrap();
    fetch(&sender, &mut download, usize::MAX);

    for seed in 10..13 {
        receiver.insert(random_content(seed, 10));
    }

    assert!(receiver.decode(&download).unwrap_err().is_unknown_base());
}

#[test]
fn a_part_that_is_out_of_order_short_or_spoilt_is_refused() {
    let content = random_content(14, 100_000);
    let (mut sender, receiver) = (library_of(&[&content]), Library::new());
    let mut download = Download::new(offer(&mut sender, &receiver)).unwrap();
    let parts: Vec<_> = download.missing_parts().collect();
    let bytes = |at: usize| sender.part(parts[at]).unwrap();

    download.push(parts[1], &bytes(1)).unwrap_err();
    download.push(parts[0], &bytes(0)[1..]).unwrap_err();
    receiver.decode(&download).unwrap_err();
    let mut spoilt = bytes(0);
    spoilt[1_000] ^= 1;
    download.push(parts[0], &spoilt).unwrap();
    fetch(&sender, &mut download, usize::MAX);
    receiver.decode(&download).unwrap_err();
}

#[test]
fn an_offer_of_a_huge_content_is_refused() {
    let (mut sender, receiver) = (library_of(&[b"content"]), Library::new());
    let valid = offer(&mut sender, &receiver);

    let huge = Offer {
        content_size: 1 << 30,
        ..valid
    };

    Download::new(huge).unwrap_err();
}

proptest! {
    /// Guards against contents that come out different, whatever the receiver has.
    #[test]
    fn every_content_arrives_unchanged(
        old in proptest::collection::vec(any::<u8>(), 0..5_000),
        new in proptest::collection::vec(any::<u8>(), 0..5_000),
        shared: bool,
    ) {
        prop_assume!(old != new);
        let mut sender = if shared { library_of(&[&old, &new]) } else { library_of(&[&new]) };
        let receiver = library_of(&[&old]);
        let mut download = Download::new(offer(&mut sender, &receiver)).unwrap();

        fetch(&sender, &mut download, usize::MAX);

        prop_assert_eq!(receiver.decode(&download).unwrap(), new);
    }
}
