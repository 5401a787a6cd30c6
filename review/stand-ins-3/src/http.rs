//! HTTP/1.1 over blocking sockets: one call per connection, and a server with a thread per connection.

use std::collections::BTreeMap;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;

/// A request that a server received.
pub struct Request {
    pub path: String,
    /// Headers with their names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Value,
}

/// Status and JSON body of an answer.
pub type Answer = (u16, Value);

/// A call to a server.
pub struct Call<'a> {
    pub addr: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a str,
    pub timeout: Duration,
}

impl Default for Call<'_> {
    fn default() -> Self {
        Self {
            addr: "",
            method: "GET",
            path: "/",
            host: "cell.example",
            key: None,
            body: "",
            timeout: Duration::from_secs(3),
        }
    }
}

impl Call<'_> {
    /// Sends the call and returns the answer, or why there is none.
    pub fn send(&self) -> Result<Answer, String> {
        let (status, body) = self.exchange().map_err(|e| e.to_string())?;
        Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
    }

    /// Sends the call and returns the body of the answer as text, empty without one.
    pub fn send_text(&self) -> String {
        let body = self.exchange().map(|(_, body)| body).unwrap_or_default();
        String::from_utf8_lossy(&body).into_owned()
    }

    fn exchange(&self) -> std::io::Result<(u16, Vec<u8>)> {
        let addr: SocketAddr = self.addr.parse().map_err(std::io::Error::other)?;
        let mut stream = TcpStream::connect_timeout(&addr, self.timeout)?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.set_write_timeout(Some(self.timeout))?;
        let key = self.key.map(|k| format!("Authorization: Bearer {k}\r\n"));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n{}Content-Type: application/json\r\n\
             X-Zinniavalve-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            self.method,
            self.path,
            self.host,
            key.unwrap_or_default(),
            self.timeout.as_millis(),
            self.body.len(),
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(self.body.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let (start, headers) = read_head(&mut reader)?
            .ok_or_else(|| std::io::Error::other("the connection was closed without an answer"))?;
        let status = start.split(' ').nth(1).and_then(|s| s.parse().ok());
        let status = status.ok_or_else(|| std::io::Error::other("malformed answer"))?;
        Ok((status, read_body(&mut reader, &headers)?))
    }
}

type Head = (String, BTreeMap<String, String>);

fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Head>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((start.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(
    reader: &mut impl Read,
    headers: &BTreeMap<String, String>,
) -> std::io::Result<Vec<u8>> {
    let length = headers.get("content-length").and_then(|n| n.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// A server that can go down, with all its connections, and come up again at its address.
pub struct Server {
    pub addr: String,
    is_up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    handler: Box<dyn Fn(&Request) -> Answer + Send + Sync>,
}

impl Server {
    /// Serves `handler` on a free port of `ip`.
    pub fn start(
        ip: &str,
        handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let server = Arc::new(Self {
            addr: listener.local_addr()?.to_string(),
            is_up: AtomicBool::new(true),
            streams: Mutex::default(),
            handler: Box::new(handler),
        });
        server.accept(listener);
        Ok(server)
    }

    fn accept(self: &Arc<Self>, listener: TcpListener) {
        let server = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !server.is_up.load(Ordering::SeqCst) {
                    return;
                }
                if let (Ok(copy), Ok(mut streams)) = (stream.try_clone(), server.streams.lock()) {
                    streams.push(copy);
                }
                let server = Arc::clone(&server);
                std::thread::spawn(move || {
                    let _ = serve_connection(stream, &*server.handler);
                });
            }
        });
    }

    /// Closes the listener and all connections.
    pub fn go_down(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(&self.addr);
        if let Ok(mut streams) = self.streams.lock() {
            for stream in streams.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Listens again at the same address.
    pub fn come_up(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(&self.addr)?;
        self.is_up.store(true, Ordering::SeqCst);
        self.accept(listener);
        Ok(())
    }
}

fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(&Request) -> Answer,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((start, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let path = start.split(' ').nth(1).unwrap_or_default().to_owned();
        let request = Request {
            path,
            headers,
            body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        };
        let (status, body) = handler(&request);
        // Status 0 stands for no answer: the connection ends.
        if status == 0 {
            return Ok(());
        }
        let text = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            text.len()
        );
        writer.write_all(head.as_bytes())?;
        writer.write_all(text.as_bytes())?;
    }
    Ok(())
}
