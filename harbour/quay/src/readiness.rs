//! Where the platform asks whether new clients should come here.

use crate::Quay;
use bytes::Bytes;
use hawser::guest::{Guest, Hall};
use hawser::pool::spawn;
use hawser::wire::body::Content;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// So many ask at once; the platform has one connection or a new one a second.
const MOST: usize = 32;
const IDLE: Duration = Duration::from_secs(15);
const BUFFER: usize = 8 * 1024;

/// Answers for ever.
pub async fn serve(quay: Rc<Quay>, listener: TcpListener) {
    let hall = Hall::new(MOST, quay.figures().clone());
    loop {
        let stream = hall.accept(&listener).await;
        let (quay, guest) = (quay.clone(), Guest::new(IDLE, IDLE));
        let service = service_fn({
            let guest = guest.clone();
            move |_| {
                let status = if quay.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                let mut response = Response::new(Content::whole(Bytes::new(), crate::front::Keep::default()));
                *response.status_mut() = status;
                response.body_mut().keep.busy = Some(guest.asks());
                async move { Ok::<_, Infallible>(response) }
            }
        });
        hall.clone().welcome(stream, guest, BUFFER, service);
    }
}

/// Starts answering; it ends with the process.
pub fn start(quay: Rc<Quay>, listener: TcpListener) {
    spawn(serve(quay, listener));
}
