//! A proxy in front of one server, whose answers it can drop.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

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
            let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
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
