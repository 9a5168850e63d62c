//! The HTTP listener for readiness checks of the platform, for metrics, and for operators' queries.

use crate::DataPlane;
use crate::frontend::ResponseGuard;
use bytes::Bytes;
use http_proxy::clients::{ClientConnection, ClientConnections};
use http_proxy::pool::spawn;
use http_proxy::wire::body::AnswerBody;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use observability::METRICS_CONTENT_TYPE;
use serde_json::json;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The maximum number of open connections. The platform uses one connection, or a new one per second.
const MAX_CONNECTIONS: usize = 32;
/// The maximum number of request records in one answer.
const MAX_REQUESTS_SHOWN: usize = 100;
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Serves the listener until the process ends.
pub async fn serve(data_plane: Rc<DataPlane>, listener: TcpListener) {
    let connections = ClientConnections::new(MAX_CONNECTIONS, data_plane.figures().clone());
    loop {
        let stream = connections.accept(&listener).await;
        let (data_plane, client_connection) =
            (data_plane.clone(), ClientConnection::new(IDLE_TIMEOUT, IDLE_TIMEOUT));
        let service = service_fn({
            let client_connection = client_connection.clone();
            move |request: Request<Incoming>| {
                let mut response = Response::new(AnswerBody::whole(Bytes::new(), ResponseGuard::default()));
                if let Some((content_type, text)) = operator_page(&data_plane, &request) {
                    response = Response::new(AnswerBody::whole(text.into(), ResponseGuard::default()));
                    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
                } else if !data_plane.is_ready() {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                response.body_mut().guard.busy = Some(client_connection.request_started());
                async move { Ok::<_, Infallible>(response) }
            }
        });
        connections.clone().serve(stream, client_connection, READ_BUFFER_BYTES, service);
    }
}

/// The content type and body of an operator's query. Any other request is a readiness check.
fn operator_page(data_plane: &DataPlane, request: &Request<Incoming>) -> Option<(&'static str, String)> {
    if request.method() != Method::GET {
        return None;
    }
    let (name, recorder) = (&data_plane.settings().name, data_plane.recorder());
    let value = match request.uri().path() {
        "/metrics" => return Some((METRICS_CONTENT_TYPE, data_plane.metrics())),
        "/events" => {
            let word = request.uri().query().and_then(|query| query.strip_prefix("about="));
            let requests = recorder.requests(None, if word.is_none() { MAX_REQUESTS_SHOWN } else { 0 });
            json!({ "name": name, "events": recorder.events(word), "requests": requests })
        }
        path => {
            let id = path.strip_prefix("/requests/")?;
            json!({ "name": name, "requests": recorder.requests(Some(id), MAX_REQUESTS_SHOWN) })
        }
    };
    Some(("application/json", value.to_string()))
}

/// Serves the listener in a task that runs until the process ends.
pub fn start(data_plane: Rc<DataPlane>, listener: TcpListener) {
    spawn(serve(data_plane, listener));
}
