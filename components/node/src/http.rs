//! HTTP server for small requests, such as those of operators.

use crate::socket::{self, Closed, Socket};
use crate::work::{Stage, Tally};
use bytes::Bytes;
use coordination::shutdown::Phase;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Connection;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioTimer;
use state::line::Line;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;

/// Largest number of open connections; further ones are closed without an answer.
const CONNECTIONS_MAX: usize = 256;
/// Time for the head of a request to arrive. Idle connections are closed after it too.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait for the rest of a head when connections are closed.
pub(crate) const HEAD_CLOSE_TIME: Duration = Duration::from_millis(300);
/// Most connections that are accepted from the queue of a listener that is closed.
const QUEUED_CONNECTIONS_MAX: usize = 256;
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

/// Accepts the connections that the system has queued for a listener, and closes the listener.
///
/// A close resets those that are queued, and their callers would not know whether their requests
/// have run.
pub(crate) fn accept_queued(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    let accepted = accepted.take(QUEUED_CONNECTIONS_MAX);
    let streams = accepted.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}

/// Joins tasks that serve connections, and ends them when connections are cut.
pub(crate) async fn join_until_cut(tasks: &mut JoinSet<()>, work: &Tally) {
    let joined = async { while tasks.join_next().await.is_some() {} };
    tokio::select! {
        biased;
        () = joined => {}
        () = work.until(Phase::Cutting) => tasks.shutdown().await,
    }
}

/// Serves requests with `answer` until the process closes its connections, and then completes
/// those in progress.
pub(crate) async fn serve<F, A>(listener: TcpListener, answer: F, work: Tally)
where
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
            () = work.until(Phase::Closing) => break,
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            continue;
        };
        tasks.spawn(serve_connection(
            stream,
            answer.clone(),
            work.clone(),
            permit,
        ));
    }
    for stream in accept_queued(listener) {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            tasks.spawn(serve_connection(
                stream,
                answer.clone(),
                work.clone(),
                permit,
            ));
        }
    }
    join_until_cut(&mut tasks, &work).await;
}

/// Response to a request that has no answer by the end of the process.
fn given_up() -> Response<Full<Bytes>> {
    let text = "this process is stopping; whether the request was carried out is not known\n";
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

/// Serves the requests on one connection.
async fn serve_connection<F, A>(
    stream: TcpStream,
    answer: Arc<F>,
    work: Tally,
    _permit: OwnedSemaphorePermit,
) where
    F: Fn(Request<Incoming>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let state = socket::State::new();
    let service = service_fn(|request| {
        let (item, busy) = (work.begin(Stage::Operator), state.begin());
        let answer = answer(request);
        let work = work.clone();
        async move {
            let response = tokio::select! {
                biased;
                response = answer => response,
                () = work.until(Phase::Ending) => given_up(),
            };
            drop((item, busy));
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(Socket::new(stream, state.clone()), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = work.until(Phase::Closing) => {
            let shut = Connection::graceful_shutdown;
            let patience = tokio::time::sleep(HEAD_CLOSE_TIME);
            match socket::close(connection.as_mut(), &state, shut, patience).await {
                Closed::Ended(ended) => ended,
                Closed::PartialHead => return,
            }
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "a connection ended early");
    }
}
