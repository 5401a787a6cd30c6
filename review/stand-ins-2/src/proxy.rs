//! A proxy between processes. It can hold up the bytes of connections from one process, as a cut does.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Header of a connection between processes with the address of its sender.
const SENDER_HEADER: &str = "x-zinnia-addr: ";

/// Forwards connections to `listener` on to `upstream`. While `held` is set, bytes to and from `sender` wait.
pub fn start(listener: TcpListener, upstream: String, sender: String, held: Arc<AtomicBool>) {
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let (upstream, sender, held) = (upstream.clone(), sender.clone(), Arc::clone(&held));
            thread::spawn(move || forward(client, &upstream, &sender, held));
        }
    });
}

fn forward(
    mut client: TcpStream,
    upstream: &str,
    sender: &str,
    held: Arc<AtomicBool>,
) -> Option<()> {
    client.set_nodelay(true).ok()?;
    let mut head = Vec::new();
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut bytes = [0; 4_096];
        let count = client.read(&mut bytes).ok().filter(|n| *n > 0)?;
        head.extend_from_slice(&bytes[..count]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let is_cut = text.contains(&format!("{SENDER_HEADER}{sender}\r"));
    let held = if is_cut { held } else { Arc::default() };
    wait_while(&held);
    let mut server = TcpStream::connect(upstream).ok()?;
    server.set_nodelay(true).ok()?;
    server.write_all(&head).ok()?;
    let (from, to) = (server.try_clone().ok()?, client.try_clone().ok()?);
    let back = Arc::clone(&held);
    thread::spawn(move || copy(from, to, &back));
    copy(client, server, &held);
    Some(())
}

fn wait_while(held: &AtomicBool) {
    while held.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, held: &AtomicBool) {
    let mut bytes = [0; 16_384];
    loop {
        let count = from.read(&mut bytes).unwrap_or(0);
        wait_while(held);
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
    }
}
