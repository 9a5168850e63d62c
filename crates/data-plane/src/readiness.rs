//! The HTTP listener for readiness checks of the platform, for metrics, and for operators' queries.

use crate::DataPlane;
use crate::front::Keep;
use bytes::Bytes;
use http_proxy::guest::{Guest, Hall};
use http_proxy::pool::spawn;
use http_proxy::wire::body::Content;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use observability::TEXT;
use serde_json::json;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// The maximum number of open connections. The platform uses one connection, or a new one per second.
const MOST: usize = 32;
/// The maximum number of request records in one answer.
const NEWEST: usize = 100;
const IDLE: Duration = Duration::from_secs(15);
const BUFFER: usize = 8 * 1024;

/// Serves the listener until the process ends.
pub async fn serve(data_plane: Rc<DataPlane>, listener: TcpListener) {
    let hall = Hall::new(MOST, data_plane.figures().clone());
    loop {
        let stream = hall.accept(&listener).await;
        let (data_plane, guest) = (data_plane.clone(), Guest::new(IDLE, IDLE));
        let service = service_fn({
            let guest = guest.clone();
            move |request: Request<Incoming>| {
                let mut response = Response::new(Content::whole(Bytes::new(), Keep::default()));
                if let Some((says, text)) = told(&data_plane, &request) {
                    response = Response::new(Content::whole(text.into(), Keep::default()));
                    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(says));
                } else if !data_plane.is_ready() {
                    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                }
                response.body_mut().keep.busy = Some(guest.asks());
                async move { Ok::<_, Infallible>(response) }
            }
        });
        hall.clone().welcome(stream, guest, BUFFER, service);
    }
}

/// The content type and body of an operator's query. Any other request is a readiness check.
fn told(data_plane: &DataPlane, request: &Request<Incoming>) -> Option<(&'static str, String)> {
    if request.method() != Method::GET {
        return None;
    }
    let (name, watch) = (&data_plane.settings().name, data_plane.watch());
    let value = match request.uri().path() {
        "/metrics" => return Some((TEXT, data_plane.metrics())),
        "/events" => {
            let about = request.uri().query().and_then(|query| query.strip_prefix("about="));
            let requests = watch.requests(None, if about.is_none() { NEWEST } else { 0 });
            json!({ "name": name, "events": watch.notes(about), "requests": requests })
        }
        path => {
            let id = path.strip_prefix("/requests/")?;
            json!({ "name": name, "requests": watch.requests(Some(id), NEWEST) })
        }
    };
    Some(("application/json", value.to_string()))
}

/// Serves the listener in a task that runs until the process ends.
pub fn start(data_plane: Rc<DataPlane>, listener: TcpListener) {
    spawn(serve(data_plane, listener));
}
