//! The platform's list of endpoints, and the versions in what they answer.

use super::http::Answer;
use super::StandIn;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// A served list of endpoints.
pub(crate) struct List {
    server: Arc<tiny_http::Server>,
    /// The page; `None` answers with an error.
    page: Arc<Mutex<Option<String>>>,
    thread: Option<JoinHandle<()>>,
}

impl List {
    /// Starts a list that is not readable yet.
    pub(crate) fn start() -> Self {
        let server = Arc::new(tiny_http::Server::http("127.0.0.1:0").unwrap());
        let page = Arc::new(Mutex::new(None));
        let (listener, body) = (server.clone(), page.clone());
        let thread = std::thread::spawn(move || {
            while let Ok(request) = listener.recv() {
                let body: Option<String> =
                    body.lock().unwrap_or_else(PoisonError::into_inner).clone();
                let status = if body.is_some() { 200 } else { 500 };
                let response = tiny_http::Response::from_string(body.unwrap_or_default());
                // The reader may have been killed.
                let _ = request.respond(response.with_status_code(status));
            }
        });
        List {
            server,
            page,
            thread: Some(thread),
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.server_addr().to_ip().unwrap()
    }

    /// Lists endpoints of a service with their versions.
    pub(crate) fn set<'a, S>(&self, service: &str, endpoints: S)
    where
        S: Iterator<Item = (&'a StandIn, &'a str)>,
    {
        let row = |(stand_in, version): (&StandIn, &str)| {
            serde_json::json!({
                "name": stand_in.name, "service": service, "address": stand_in.address,
                "data-centre": "dc-1", "slots": 16, "version": version,
            })
        };
        let rows: Vec<_> = endpoints.map(row).collect();
        let page = serde_json::json!({"endpoints": rows, "next": null});
        self.replace(Some(page.to_string()));
    }

    /// Answers with an error from now on.
    pub(crate) fn fail(&self) {
        self.replace(None);
    }

    fn replace(&self, page: Option<String>) {
        *self.page.lock().unwrap_or_else(PoisonError::into_inner) = page;
    }
}

impl Drop for List {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already failed the test.
            let _ = thread.join();
        }
    }
}

/// Version of each whole event of an answer, and the number of its last event.
pub(crate) fn events(answer: &Answer) -> (Vec<String>, Option<usize>) {
    let text = answer.text();
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let data = whole.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<serde_json::Value> = data
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let version = |event: &serde_json::Value| event["software"].as_str().map(str::to_owned);
    let last = events.last().and_then(|event| event["token"].as_u64());
    (
        events.iter().filter_map(version).collect(),
        last.and_then(|last| usize::try_from(last).ok()),
    )
}
