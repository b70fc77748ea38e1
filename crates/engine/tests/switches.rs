//! Faults that pass undetected when a check of the client is disabled.

mod backend;

use backend::{Backend, Behaviour};
use engine::{Call, Category, Checks, Client, Error, Server};
use types::RequestId;

async fn read(checks: Checks, behaviour: Behaviour) -> Result<(), Error> {
    let backend = Backend::start([behaviour]).await;
    let (client, server) = (Client::with_checks(checks).unwrap(), backend.server("w1"));
    let result = read_to_end(&client, &server).await;
    match result {
        Ok(()) => Ok(()),
        Err(e) => Err(client.diagnose(&server, e).await),
    }
}

async fn read_to_end(client: &Client, server: &Server) -> Result<(), Error> {
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

/// Guards against a check without effect: its fault must pass once the check is disabled.
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
        (Behaviour::WrongId, Category::Mismatch, no_request_id, None),
        (
            Behaviour::Truncate,
            Category::Truncated,
            no_complete_body,
            None,
        ),
        (
            Behaviour::OmitFinalEvent(2),
            Category::Truncated,
            no_complete_body,
            None,
        ),
        (
            Behaviour::CloseAfter(2),
            Category::Truncated,
            no_complete_body,
            None,
        ),
        (
            Behaviour::Crash,
            Category::Crashed,
            no_incarnation,
            Some(Category::ConnectionLost),
        ),
    ];
    for (behaviour, detected, disabled, undetected) in cases {
        assert_eq!(
            read(on, behaviour).await.unwrap_err().category(),
            detected,
            "{behaviour:?}"
        );
        let without = read(disabled, behaviour).await.err().map(|e| e.category());
        assert_eq!(without, undetected, "{behaviour:?}");
    }
}
