//! Log output and metrics recorder of the process.

use std::sync::OnceLock;

use anyhow::Context;
use anyhow::Result;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use tracing_subscriber::EnvFilter;

use crate::settings::LogSettings;

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the log output of a daemon process.
///
/// # Errors
///
/// Fails when the filter is malformed or another subscriber is installed.
pub fn install_logs(settings: &LogSettings) -> Result<()> {
    let filter = EnvFilter::try_new(&settings.filter)
        .with_context(|| format!("settings: log.filter {:?}", settings.filter))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let installed = if settings.json {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    installed.map_err(|e| anyhow::anyhow!("logs: {e}"))
}

/// Returns the metrics recorder of this process, which the first call installs.
///
/// Several daemons in one process, as in tests and the demo, share it. Their per-VM series differ
/// by the label `vm`.
pub fn recorder() -> &'static PrometheusHandle {
    RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            tracing::warn!("another metrics recorder is already installed; /metrics stays empty");
        }
        handle
    })
}
