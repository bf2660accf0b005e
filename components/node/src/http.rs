//! Serves small requests on an address of its own.

use crate::shared::cancelled;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use state::line::Line;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinSet;

/// Connections at once; past them one is closed without an answer.
const CONNECTIONS: usize = 256;
/// Time for a head to arrive; an idle connection is closed after it as well.
const HEAD: Duration = Duration::from_secs(20);

/// Pause after a connection could not be accepted: descriptors may be short.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                tracing::warn!(event = Line::AcceptFailed.as_str(), %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves `answer` until told to stop; then lets answers end.
pub(crate) async fn serve<F, A>(listener: TcpListener, answer: F, mut stop: watch::Receiver<bool>)
where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let answer = Arc::new(answer);
    let places = Arc::new(Semaphore::new(CONNECTIONS));
    let mut tasks = JoinSet::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            Some(_) = tasks.join_next() => continue,
            () = cancelled(&mut stop) => break,
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let (answer, mut stop) = (answer.clone(), stop.clone());
        tasks.spawn(async move {
            let _place = place;
            let service = service_fn(move |request| {
                let answer = answer(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = cancelled(&mut stop) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                tracing::debug!(%error, "a connection ended early");
            }
        });
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}
