//! HTTP server for small requests, such as those of operators.

use crate::shared::cancelled;
use crate::work::{Stage, Tally};
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

/// Largest number of open connections; further ones are closed without an answer.
const CONNECTIONS_MAX: usize = 256;
/// Time for the head of a request to arrive. Idle connections are closed after it too.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a connection could not be accepted: the process may have no free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection, and retries after errors.
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

/// Serves requests with `answer` until `stop` is set, and then completes those in progress.
pub(crate) async fn serve<F, A>(
    listener: TcpListener,
    answer: F,
    work: Tally,
    mut stop: watch::Receiver<bool>,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let answer = Arc::new(answer);
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut tasks = JoinSet::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            Some(_) = tasks.join_next() => continue,
            () = cancelled(&mut stop) => break,
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        let (answer, work, mut stop) = (answer.clone(), work.clone(), stop.clone());
        tasks.spawn(async move {
            let _permit = permit;
            let service = service_fn(move |request| {
                let item = work.begin(Stage::Operator);
                let answer = answer(request);
                async move {
                    let response = answer.await;
                    drop(item);
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
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
