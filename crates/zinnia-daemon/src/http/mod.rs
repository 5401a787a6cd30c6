//! HTTP routes for callers, workers and operators, as documented in docs/api.md.

mod auth;
mod calls;
mod dispatch;
mod documents;
mod jobs;
mod keys;
mod rows;
mod views;
mod workers;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Request;
use axum::extract::State;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use zinnia_types::Code;

use crate::api_error::ApiError;
use crate::shared::Shared;

/// All routes of a daemon.
pub(crate) fn routes(shared: Arc<Shared>) -> Router {
    let max_body = shared.settings.bounds.body_bytes;
    let small_body = DefaultBodyLimit::max(max_body.min(64 * 1024));
    let bodyless_routes = Router::new()
        .route("/healthz", get(views::healthz))
        .route("/metrics", get(views::metrics))
        .route("/console", get(views::console))
        .route("/console.js", get(views::console_script))
        .route("/v1/document/schema", get(documents::schema));
    let small_routes = Router::new()
        .route("/v1/jobs", get(jobs::list).post(jobs::submit))
        .route("/v1/jobs/{id}", get(jobs::show))
        .route("/v1/keys", get(keys::list).post(keys::grant))
        .layer(small_body);
    let large_routes = Router::new()
        .route("/v1/document", get(documents::show).put(documents::apply))
        .route("/v1/document/history", get(documents::history))
        .route("/v1/document/check", post(documents::check))
        .route("/v1/keys/withdraw", post(keys::withdraw))
        .route("/v1/cancel", post(jobs::cancel))
        .route("/v1/call/{service}", post(calls::call))
        .route("/v1/workers", get(views::workers))
        .route("/v1/vms", get(views::vms))
        .route("/v1/dump", get(views::dump))
        .route("/v1/workers/announce", post(workers::announce))
        .route("/v1/workers/heartbeat", post(workers::heartbeat))
        .layer(DefaultBodyLimit::max(max_body));
    bodyless_routes
        .merge(small_routes)
        .merge(large_routes)
        .fallback(not_found)
        .layer(axum::middleware::from_fn_with_state(
            Arc::clone(&shared),
            limit_requests,
        ))
        .with_state(shared)
}

async fn not_found() -> ApiError {
    ApiError::new(Code::NotFound, "route", "no such route; see docs/api.md")
}

/// Refuses requests beyond the limit on requests in flight, and tracks the others so that a drain
/// can wait for them.
async fn limit_requests(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    let path = request.uri().path();
    // Health checks of the load balancer, metrics and worker heartbeats must pass while callers use
    // up the limit.
    let exempt = path == "/healthz" || path == "/metrics" || path.starts_with("/v1/workers/");
    if exempt {
        return next.run(request).await;
    }
    let max_requests = shared.settings.bounds.requests;
    if shared.in_flight.len() >= max_requests {
        metrics::counter!("zinnia_requests_shed_total").increment(1);
        let text = format!("{max_requests} requests are in flight already; retry later");
        return ApiError::new(Code::Overloaded, "admit", text).into_response();
    }
    let _in_flight = shared.in_flight.token();
    metrics::counter!("zinnia_requests_total").increment(1);
    next.run(request).await
}
