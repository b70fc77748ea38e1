//! Placement of adapters on the workers that hold their model.
//!
//! Guards against an overcommitted adapter pool and a requested adapter that is never loaded.

mod support;

use std::time::Duration;

use control::Event;
use support::TestSite;

fn resident(site: &TestSite, name: &str) -> bool {
    let backends = site.backends.lock();
    let mut residents = backends.iter().flat_map(|(_, e)| &e.residents);
    residents.any(|r| r.name == name)
}

#[tokio::test(start_paused = true)]
async fn a_requested_adapter_evicts_the_least_recently_used() {
    let site = TestSite::new(2);
    let running = site.start("h1").await;
    tokio::time::sleep(Duration::from_mins(2)).await;
    // The pool of five bytes has room for two of the six adapters.
    for name in ["x004", "x005", "x003"] {
        let event = Event::Requested {
            name: name.to_owned(),
        };
        running.handle.events.send(event).await.unwrap();
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert!(resident(&site, name), "{name} is not resident");
    }
    assert!(resident(&site, "x005"));
    assert!(!resident(&site, "x004"));
    for (id, engine) in site.backends.lock().iter() {
        let adapters = engine.residents.iter().filter(|r| r.adapter);
        assert!(adapters.map(|r| r.bytes.get()).sum::<u64>() <= 5, "{id}");
    }
}
