//! Each protection of the client, switched off, lets its fault through.

mod backend;

use backend::{Act, Backend};
use engine::{Call, Category, Checks, Client, Error, Server};
use types::RequestId;

async fn read(checks: Checks, act: Act) -> Result<(), Error> {
    let backend = Backend::start([act]).await;
    let (client, server) = (Client::with_checks(checks).unwrap(), backend.server("w1"));
    let end = drain(&client, &server).await;
    match end {
        Ok(()) => Ok(()),
        Err(e) => Err(client.diagnose(&server, e).await),
    }
}

async fn drain(client: &Client, server: &Server) -> Result<(), Error> {
    let answer = client
        .send(server, Call::get(RequestId::new(1), "/x"))
        .await?;
    if answer.is_event_stream() {
        let mut events = answer.events();
        while events.next().await?.is_some() {}
    } else {
        answer.read(1 << 20).await?.unwrap();
    }
    Ok(())
}

/// Guards against a check that does nothing: switched off, its fault passes.
#[tokio::test]
async fn faults_pass_without_their_checks() {
    let on = Checks::default();
    let no_request_id = Checks {
        request_id: false,
        ..on
    };
    let no_complete_body = Checks {
        complete_body: false,
        ..on
    };
    let no_incarnation = Checks {
        incarnation: false,
        ..on
    };
    let cases = [
        (Act::WrongId, Category::Mismatch, no_request_id, None),
        (Act::Truncate, Category::Truncated, no_complete_body, None),
        (
            Act::EndEarly(2),
            Category::Truncated,
            no_complete_body,
            None,
        ),
        (Act::Break(2), Category::Truncated, no_complete_body, None),
        (
            Act::Crash,
            Category::Crashed,
            no_incarnation,
            Some(Category::ConnectionLost),
        ),
    ];
    for (act, caught, off, missed) in cases {
        assert_eq!(
            read(on, act).await.unwrap_err().category(),
            caught,
            "{act:?}"
        );
        let without = read(off, act).await.err().map(|e| e.category());
        assert_eq!(without, missed, "{act:?}");
    }
}
