//! An HTTP server with scripted responses in place of a cell, and a runner of `zinniactl` against
//! it.
#![expect(clippy::unwrap_used, reason = "helpers of tests")]

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Request;
use axum::response::Response;
use futures_util::stream;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

/// One scripted response.
#[derive(Clone, Copy)]
pub(crate) enum ScriptedResponse {
    /// Response of the cell itself: status and body, usually JSON.
    Api(u16, &'static str),
    /// Response of a service: status and body, with the header that a refusal by the cell does not
    /// have.
    Service(u16, &'static str),
    /// The server closes the connection after it has received the request.
    Disconnect,
}

/// A request that the server received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Method and URI.
    pub(crate) request_line: String,
    pub(crate) headers: String,
    pub(crate) body: String,
}

/// A server that returns scripted responses and records the requests.
pub(crate) struct ScriptedServer {
    pub(crate) addr: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    task: AbortHandle,
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ScriptedServer {
    /// Starts a server that returns `responses` in order and then repeats the last one.
    pub(crate) async fn new(responses: &[ScriptedResponse]) -> Self {
        let received = Arc::<Mutex<Vec<ReceivedRequest>>>::default();
        let remaining = Arc::new(Mutex::new(VecDeque::from(responses.to_vec())));
        let app = Router::new().fallback({
            let received = received.clone();
            move |request: Request| respond(request, received.clone(), remaining.clone())
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let task = tokio::spawn(async move { axum::serve(listener, app).await.unwrap() });
        Self {
            addr,
            received,
            task: task.abort_handle(),
        }
    }

    pub(crate) fn requests(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

async fn respond(
    request: Request,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    remaining: Arc<Mutex<VecDeque<ScriptedResponse>>>,
) -> Response {
    let (head, body) = request.into_parts();
    let body = axum::body::to_bytes(body, 1 << 20).await.unwrap();
    received.lock().unwrap().push(ReceivedRequest {
        request_line: format!("{} {}", head.method, head.uri),
        headers: format!("{:?}", head.headers),
        body: String::from_utf8(body.to_vec()).unwrap(),
    });
    let next = {
        let mut remaining = remaining.lock().unwrap();
        if remaining.len() > 1 {
            remaining.pop_front().unwrap()
        } else {
            remaining[0]
        }
    };
    let with_status = |status| Response::builder().status(status);
    match next {
        ScriptedResponse::Api(status, text) => with_status(status).body(Body::from(text)),
        ScriptedResponse::Service(status, text) => with_status(status)
            .header("x-worker", "w1")
            .body(Body::from(text)),
        ScriptedResponse::Disconnect => {
            let reset = Err::<Bytes, io::Error>(io::ErrorKind::ConnectionReset.into());
            with_status(200).body(Body::from_stream(stream::iter([reset])))
        }
    }
    .unwrap()
}

/// Exit code, standard output and standard error of a run.
pub(crate) struct ToolResult {
    pub(crate) exit_code: u8,
    pub(crate) out: String,
    pub(crate) err: String,
}

/// Runs `zinniactl` with the arguments in `command`, in which single quotes group words.
pub(crate) async fn run_tool(server: &str, command: &str, key: Option<&str>) -> ToolResult {
    let mut args = vec!["--server".to_owned(), server.to_owned()];
    for (i, part) in command.split('\'').enumerate() {
        if i % 2 == 1 {
            args.push(part.to_owned());
        } else {
            args.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let key = key.map(str::to_owned);
    let exit_code = zinnia_ctl::run(&args, key, &mut out, &mut err).await;
    ToolResult {
        exit_code,
        out: String::from_utf8(out).unwrap(),
        err: String::from_utf8(err).unwrap(),
    }
}
