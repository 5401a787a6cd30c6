//! Proxies: one that can drop the answers of a server, and one that can hold back an order to a worker.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// Whether the proxies of a run drop answers.
pub type DropAnswers = Arc<AtomicBool>;

/// Listens on `addr` and forwards connections to `upstream`.
pub fn start(addr: &str, upstream: String, drop_answers: &DropAnswers) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let drop_answers = Arc::clone(drop_answers);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(&upstream) else {
                continue;
            };
            let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone())
            else {
                continue;
            };
            thread::spawn(move || copy(from_client, server, None));
            let drops = Arc::clone(&drop_answers);
            thread::spawn(move || copy(from_server, client, Some(drops)));
        }
    });
    Ok(())
}

fn copy(mut from: TcpStream, mut to: TcpStream, drops: Option<DropAnswers>) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(n) = from.read(&mut buffer) {
        let is_dropped = drops.as_ref().is_some_and(|d| d.load(Ordering::Relaxed));
        if is_dropped && n == 0 {
            // The end of the connection is lost as well.
            thread::park();
        }
        if n == 0 || (!is_dropped && to.write_all(&buffer[..n]).is_err()) {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// An order that is held back, and what it was meant for.
#[derive(Default)]
pub struct HeldOrder {
    /// Text in the order that is to be held back; none is held back while this is empty.
    pub wanted: String,
    /// The order, and the address of the worker.
    pub order: Option<(Message, String)>,
}

/// Listens on `addr` and forwards the requests to the worker at `upstream`, but for an order that is to be
/// held back. That one gets no answer.
pub fn start_for_orders(
    addr: &str,
    upstream: String,
    held: &Arc<Mutex<HeldOrder>>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let held = Arc::clone(held);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (held, upstream) = (Arc::clone(&held), upstream.clone());
            thread::spawn(move || forward_orders(client, &upstream, &held));
        }
    });
    Ok(())
}

fn forward_orders(
    mut client: TcpStream,
    upstream: &str,
    held: &Mutex<HeldOrder>,
) -> std::io::Result<()> {
    client.set_nodelay(true)?;
    let mut reader = BufReader::new(client.try_clone()?);
    while let Some(message) = Message::read(&mut reader)? {
        let mut held = held.lock().expect("not poisoned");
        let is_start = message.first.contains("/-/run-start") && !held.wanted.is_empty();
        if is_start && held.order.is_none() && message.body.contains(&held.wanted) {
            held.order = Some((message, upstream.to_owned()));
            continue;
        }
        drop(held);
        let Some((status, body)) = deliver(&message, upstream) else {
            return Ok(());
        };
        http::answer(&mut client, status, &body)?;
    }
    Ok(())
}

/// Sends a request to a worker; `None` without an answer.
pub fn deliver(message: &Message, upstream: &str) -> Option<(u16, String)> {
    let path = message.first.split(' ').nth(1)?;
    let instance = message
        .header("x-zinniavalve-expect-instance")
        .unwrap_or_default();
    let call = http::Call {
        method: "POST",
        path,
        body: &message.body,
        instance,
        ..http::Call::default()
    };
    call.send(upstream, Duration::from_secs(4))
}
