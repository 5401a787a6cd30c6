//! Errors distinguish requests that were not sent from those that the server may have received.

use std::time::Duration;

use http::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use zinnia_types::Code;
use zinnia_types::ErrorBody;
use zinnia_types::ExecutionStatus;

use zinnia_http::Client;
use zinnia_http::decode_response;

/// Response of the server after it has read from the connection, or `None` if it does not respond.
struct Case {
    name: &'static str,
    response: Option<&'static str>,
    ran: ExecutionStatus,
}

#[tokio::test]
async fn a_missing_response_is_never_reported_as_not_sent() {
    let cases = [
        Case {
            name: "closed after the request",
            response: Some(""),
            ran: ExecutionStatus::Unknown,
        },
        Case {
            name: "closed within the response",
            response: Some("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"),
            ran: ExecutionStatus::Unknown,
        },
        Case {
            name: "timeout",
            response: None,
            ran: ExecutionStatus::Unknown,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1024];
            let _ = stream.read(&mut buf).await;
            match case.response {
                Some(text) => stream.write_all(text.as_bytes()).await.unwrap(),
                None => tokio::time::sleep(Duration::from_secs(60)).await,
            }
        });
        let client = Client::new(Duration::from_millis(400));
        let error = client
            .send(Method::POST, &addr, "/start", None, &1)
            .await
            .unwrap_err();
        assert_eq!(error.ran(), case.ran, "{}: {error}", case.name);
    }
}

#[tokio::test]
async fn a_refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    drop(listener);
    let client = Client::new(Duration::from_millis(400));
    let error = client
        .send(Method::POST, &addr, "/start", None, &1)
        .await
        .unwrap_err();
    assert!(error.is_not_sent(), "{error}");
    let body = error.to_error_body("announce");
    assert_eq!((body.ran, body.peer), (ExecutionStatus::NotRun, addr));
}

/// Guards P6: a request on a pooled connection that the server has closed must be reported as not sent.
#[tokio::test]
async fn a_request_on_a_pooled_connection_to_a_stopped_server_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).await;
        let response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1";
        stream.write_all(response).await.unwrap();
    });
    let client = Client::new(Duration::from_millis(400));
    let post = || client.send(Method::POST, &addr, "/start", None, &1);
    assert_eq!(post().await.unwrap(), (200, "1".into()));
    server.await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let error = post().await.unwrap_err();
    assert!(error.is_not_sent(), "{error}");
}

#[test]
fn unexpected_responses_become_error_bodies_with_unknown_outcome() {
    let structured = ErrorBody::new(Code::Draining, "admit", "the process is draining");
    let text = serde_json::to_vec(&structured).unwrap();
    assert_eq!(decode_response::<u32>(503, &text, "vm"), Err(structured));
    assert_eq!(decode_response::<u32>(200, b"7", "vm"), Ok(7));
    let error = decode_response::<u32>(502, b"bad gateway", "vm").unwrap_err();
    assert_eq!(
        (error.code, error.ran),
        (Code::Internal, ExecutionStatus::Unknown)
    );
    let error = decode_response::<u32>(200, b"{", "vm").unwrap_err();
    assert_eq!(
        (error.code, error.ran),
        (Code::Internal, ExecutionStatus::Unknown)
    );
}
