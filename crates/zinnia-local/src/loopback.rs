//! Loopback addresses for daemons.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use anyhow::Context;
use anyhow::Result;

/// Loopback addresses that were free a moment ago, on an IP address of the cell's own.
///
/// Connections leave from 127.0.0.1, so none of them can take a port while its daemon is down.
///
/// # Errors
///
/// Fails when the system gives no port.
pub fn unused_loopback_addrs(count: usize) -> Result<Vec<SocketAddr>> {
    static CELLS: AtomicU8 = AtomicU8::new(0);
    let cell = CELLS.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, high % 250 + 1, low, cell));
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)))
        .collect::<std::io::Result<_>>()
        .context("find free addresses")?;
    listeners
        .iter()
        .map(|l| l.local_addr().context("read a free address"))
        .collect()
}
