//! Starts of processes.

mod common;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use common::Cell;
use common::TIMEOUT;
use zinnia_control::Process;
use zinnia_control::Settings;

/// Guards against a start that fails, because its address is in use, and keeps the data folder locked, so that no
/// later start in the same process succeeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failed_start_releases_the_data_folder() {
    let mut cell = Cell::start().await;
    let stopped = cell.members.remove(0);
    stopped.stop().await;
    drop(stopped);
    let addr: SocketAddr = cell.seeds[0].parse().expect("an address");
    let start = || {
        let settings = Settings {
            peer_addr: addr,
            control_addr: addr.to_string(),
            data_dir: Some(cell.dirs[0].path().to_owned()),
            bootstrap: false,
            ..cell.base.clone()
        };
        Process::start(settings, cell.transport.clone())
    };
    let begun = Instant::now();
    let listener = loop {
        match TcpListener::bind(addr) {
            Ok(listener) => break listener,
            Err(error) => assert!(begun.elapsed() < TIMEOUT, "{addr}: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    assert!(start().await.is_err(), "the address is in use");
    drop(listener);
    let begun = Instant::now();
    while let Err(error) = start().await {
        assert!(begun.elapsed() < TIMEOUT, "{error:#}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
