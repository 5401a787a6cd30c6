//! Secrecy of the cluster key.
//!
//! This test has its own binary, because it sets the global `tracing` subscriber. A thread-local
//! subscriber would miss callsites that another thread registered earlier.

mod common;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use common::KEY;
use common::LOCAL_VM;
use common::ReceivedValues;
use common::any_port;
use common::settings;
use common::start_server;
use tokio::time::timeout;
use tracing_subscriber::fmt::MakeWriter;
use zinnia_peer::ClusterKey;
use zinnia_peer::Links;
use zinnia_peer::Settings;

#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let mut log = self
            .0
            .lock()
            .map_err(|_| std::io::Error::other("the lock is poisoned"))?;
        log.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

/// Guards against a cluster key that appears in errors, in `Debug` output, or in logs of this crate
/// or of its dependencies.
#[tokio::test]
async fn cluster_key_is_not_in_logs_errors_or_dumps() {
    let log = LogBuffer::default();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(tracing_subscriber::filter::LevelFilter::TRACE)
        .with_writer(log.clone())
        .finish();
    tracing::subscriber::set_global_default(subscriber).unwrap();
    let server = start_server(any_port(), settings(), ReceivedValues::default()).await;
    let addr = server.addr().to_string();
    let links = Links::new(settings(), LOCAL_VM);
    let answer = links.call::<_, u64>(&addr, "echo", &1).await;
    assert_eq!(answer, Ok(1));
    let wrong_key = "fedcba9876543210-wrong";
    let wrong_settings = Settings {
        key: ClusterKey::new(wrong_key).unwrap(),
        ..settings()
    };
    let wrong_links = Links::new(wrong_settings.clone(), LOCAL_VM);
    let error = wrong_links
        .call::<_, u64>(&addr, "echo", &1)
        .await
        .unwrap_err();
    let dump = format!(
        "{:?} {:?} {:?}",
        links.counters(),
        server.counters(),
        wrong_links
    );
    timeout(Duration::from_secs(5), server.stop())
        .await
        .unwrap();
    let logged = String::from_utf8(log.0.lock().unwrap().clone()).unwrap();
    assert!(
        logged.contains("jsonrpsee"),
        "trace logs of jsonrpsee are captured"
    );
    let outputs = [
        logged,
        format!("{error} {error:?}"),
        dump,
        format!("{wrong_settings:?}"),
    ];
    for output in outputs {
        assert!(
            !output.contains(KEY) && !output.contains(wrong_key),
            "{output}"
        );
    }
}
