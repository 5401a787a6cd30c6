//! HTTP/1.1 over blocking sockets: a client for one request, and the parts of a server.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or an answer: its first line, its headers in lower case, and its body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// Reads a message; `None` at the end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut first = String::new();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Some((name, value)) = line.trim_end().split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self {
            first: first.trim_end().to_owned(),
            headers,
            body: String::new(),
        };
        let length = message
            .header("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = String::from_utf8_lossy(&body).into_owned();
        Ok(Some(message))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }
}

/// A request of a client.
#[derive(Clone, Default)]
pub struct Call<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    /// Worker that the request is meant for; empty for none.
    pub instance: &'a str,
    pub body: &'a str,
}

impl Call<'_> {
    /// Sends the request and returns the status and the body; `None` without an answer in `limit`.
    pub fn send(&self, addr: &str, limit: Duration) -> Option<(u16, String)> {
        let stream = self.write(addr, limit)?;
        let answer = Message::read(&mut BufReader::new(stream)).ok()??;
        let status = answer.first.split(' ').nth(1)?.parse().ok()?;
        Some((status, answer.body))
    }

    /// Sends the request and returns the open connection.
    pub fn write(&self, addr: &str, limit: Duration) -> Option<TcpStream> {
        let addr: SocketAddr = addr.parse().ok()?;
        let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_nodelay(true).ok()?;
        let host = if self.host.is_empty() {
            "control"
        } else {
            self.host
        };
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.path);
        text += &format!("X-Zinniavalve-Deadline-Ms: {}\r\n", limit.as_millis());
        if let Some(key) = self.key {
            text += &format!("Authorization: Bearer {key}\r\n");
        }
        if !self.instance.is_empty() {
            text += &format!("X-Zinniavalve-Expect-Instance: {}\r\n", self.instance);
        }
        text += "Content-Type: application/json\r\nConnection: close\r\n";
        text += &format!("Content-Length: {}\r\n\r\n{}", self.body.len(), self.body);
        stream.write_all(text.as_bytes()).ok()?;
        Some(stream)
    }
}

/// Writes an answer of a server.
pub fn answer(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    let text = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}
