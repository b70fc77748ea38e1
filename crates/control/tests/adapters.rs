//! Adapters beside their model on the workers of a data centre.
//!
//! Guards against a pool that overflows and against an adapter that is asked for and never comes.

mod support;

use std::time::Duration;

use control::Event;
use support::Site;

fn resident(site: &Site, name: &str) -> bool {
    let fleet = site.fleet.lock();
    let mut residents = fleet.iter().flat_map(|(_, e)| &e.residents);
    residents.any(|r| r.name == name)
}

#[tokio::test(start_paused = true)]
async fn an_adapter_that_is_asked_for_displaces_the_least_recently_used() {
    let site = Site::new(2);
    let running = site.start("h1").await;
    tokio::time::sleep(Duration::from_mins(2)).await;
    // The pool of five bytes has room for two of the six adapters.
    for name in ["x004", "x005", "x003"] {
        let want = Event::Requested {
            name: name.to_owned(),
        };
        running.handle.events.send(want).await.unwrap();
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert!(resident(&site, name), "{name} is not resident");
    }
    assert!(resident(&site, "x005"));
    assert!(!resident(&site, "x004"));
    for (id, engine) in site.fleet.lock().iter() {
        let adapters = engine.residents.iter().filter(|r| r.adapter);
        assert!(adapters.map(|r| r.bytes.get()).sum::<u64>() <= 5, "{id}");
    }
}
