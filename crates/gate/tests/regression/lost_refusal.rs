//! A connection reset overtook a refusal while the caller was still sending its body.

use reqwest::Method;

use crate::fixture::Host;

/// Number of requests of each kind. Without the fix, about half of them lost their refusal.
const REPEATS: usize = 8;

/// Guards against a caller that cannot tell a refused request from one that was run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_reaches_a_caller_that_still_sends() {
    let host = Host::start(&[]).await;
    let body = bytes::Bytes::from(vec![b'x'; 20 << 20]);
    let path = "/services/bookings/book";

    for _ in 0..REPEATS {
        let large = host.post(path, body.clone()).send().await;
        let unknown = host.anonymous(Method::POST, path).body(body.clone());

        assert_eq!(large.unwrap().status(), 413);
        assert_eq!(unknown.send().await.unwrap().status(), 401);
    }
}
