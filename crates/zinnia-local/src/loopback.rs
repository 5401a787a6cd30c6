//! Allocation of loopback addresses.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use anyhow::Context;
use anyhow::Result;

/// Returns `count` unused socket addresses, all on one loopback IP address.
///
/// The IP address depends on the process id and on a counter, so that cells rarely share one.
///
/// Outgoing connections use 127.0.0.1 as their source. An ephemeral port therefore never takes the
/// address of a daemon that is stopped and will restart.
///
/// # Errors
///
/// Returns an error if the operating system assigns no port.
pub fn unused_loopback_addrs(count: usize) -> Result<Vec<SocketAddr>> {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(0);
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed) % 250 + 1;
    let [.., pid_high, pid_low] = std::process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, pid_high % 250 + 1, pid_low, host));
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((ip, 0)))
        .collect::<std::io::Result<_>>()
        .context("bind to an unused loopback port")?;
    listeners
        .iter()
        .map(|listener| {
            listener
                .local_addr()
                .context("read the address of a listener")
        })
        .collect()
}
