//! HTTP/1.1 client and server over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Status and body of an answer.
pub type Answer = (u16, String);

/// A request that the server received.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(n, _)| n == "content-length");
    let length = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    String::from_utf8(body).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Sends a request on a connection of its own and returns the answer.
pub fn send(
    addr: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let addr: SocketAddr = addr.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("host: {addr}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    let length = body.len();
    text.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    ));
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    Ok((status, read_body(&mut reader, &headers)?))
}

/// Serves requests until the process ends, with a thread for each connection.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Answer + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request) -> Answer + ?Sized),
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader).ok()?;
        let body = read_body(&mut reader, &headers).ok()?;
        let mut words = first.split(' ').map(str::to_owned);
        let request = Request {
            path: words.nth(1)?,
            headers,
            body,
        };
        let (status, body) = handler(request);
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        writer.write_all(text.as_bytes()).ok()?;
    }
}
