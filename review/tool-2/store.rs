//! Stand-in for the platform's store: tables of rows, conditional transactions and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Request, Response, serve};
use crate::json::{Json, object};

/// Maximum size of a row's value.
const ROW_BYTES: usize = 65_536;

/// Maximum number of entries and of bytes of a transaction.
const MAX_ENTRIES: usize = 100;
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

/// Duration of a transaction, and of another call.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const CALL_TIME: Duration = Duration::from_millis(4);

/// Time after which a client has given up an answer that is lost.
const LOST_ANSWER_TIME: Duration = Duration::from_secs(60);

type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    /// Changes in order: version, row, and its new value unless it was removed.
    history: Vec<(u64, Key, Option<String>)>,
    /// Number of transactions so far.
    writes: usize,
    /// Number of writes of a job whose answers will be lost.
    answers_to_lose: usize,
}

/// The store, with the calls of the operator.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
            start: Instant::now(),
        };
        let served = store.clone();
        serve(listener, move |request| served.handle(&request));
        Ok(store)
    }

    /// Writes a row as the operator; the return is the ack.
    pub fn put(&self, key: &str, value: &Json) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let key = ("op".to_owned(), String::new(), key.to_owned());
        state.write(vec![(
            key,
            Some(base64::encode(value.to_string().as_bytes())),
        )]);
        changed.notify_all();
    }

    /// Returns the number of transactions so far.
    pub fn writes(&self) -> usize {
        self.shared.0.lock().unwrap().writes
    }

    /// Loses the answers to the next transactions that write a new job; they are handled.
    pub fn lose_answers(&self, count: usize) {
        self.shared.0.lock().unwrap().answers_to_lose = count;
    }

    /// Returns the row of the project's leader.
    pub fn leader(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        let key = ("cumindeck".to_owned(), String::new(), "duty".to_owned());
        state
            .rows
            .get(&key)
            .map_or(String::new(), |(_, value)| base64::decode(value))
    }

    fn handle(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => {
                let response = self.transact(request);
                if self.is_answer_lost(request) {
                    // The connection delivers nothing further.
                    thread::sleep(LOST_ANSWER_TIME);
                }
                response
            }
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Response {
                status: 404,
                body: String::new(),
            },
        }
    }

    fn is_answer_lost(&self, request: &Request) -> bool {
        let mut state = self.shared.0.lock().unwrap();
        state.writes += 1;
        let is_lost = state.answers_to_lose > 0 && request.body.contains("\"key\":\"j/");
        state.answers_to_lose -= usize::from(is_lost);
        is_lost
    }

    fn transact(&self, request: &Request) -> Response {
        thread::sleep(TRANSACTION_TIME);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let Some(body) = Json::parse(&request.body) else {
            return Response {
                status: 400,
                body: String::new(),
            };
        };
        let parts = ["expectedRev", "write", "remove"].map(|name| body.get(name).list());
        let [expected, write, remove] = parts;
        let entries: usize = parts.iter().map(|part| part.len()).sum();
        let value_bytes = |row: &Json| row.get("value").text().len() / 4 * 3;
        let largest = write.iter().max_by_key(|row| value_bytes(row));
        let reason = if entries > MAX_ENTRIES {
            Some(format!("{entries} entries"))
        } else if request.body.len() > MAX_TRANSACTION_BYTES {
            Some(format!("a call of {} bytes", request.body.len()))
        } else {
            let too_large = largest.filter(|row| value_bytes(row) > ROW_BYTES + 2);
            too_large.map(|row| format!("row {} of {} bytes", row.get("key"), value_bytes(row)))
        };
        if let Some(reason) = reason {
            let body = object(vec![("error", reason.as_str().into())]).to_string();
            return Response { status: 400, body };
        }
        if write
            .iter()
            .chain(remove)
            .any(|row| ["op", "servers"].contains(&row.get("table").text()))
        {
            return Response {
                status: 403,
                body: String::new(),
            };
        }
        let version_of = |row: &Json| {
            state
                .rows
                .get(&key_of(row))
                .map_or(0, |(version, _)| *version)
        };
        if expected
            .iter()
            .any(|row| version_of(row) != row.get("rowVersion").count())
        {
            let rows = expected.iter().map(|row| state.row(&key_of(row))).collect();
            return self.response(412, &state, rows, false);
        }
        let written = write
            .iter()
            .map(|row| (key_of(row), Some(row.get("value").text().to_owned())));
        let removed = remove.iter().map(|row| (key_of(row), None));
        state.write(written.chain(removed).collect());
        changed.notify_all();
        self.response(200, &state, Vec::new(), false)
    }

    fn read(&self, request: &Request) -> Response {
        thread::sleep(CALL_TIME);
        let state = self.shared.0.lock().unwrap();
        let (table, part) = (request.value("table"), request.value("part"));
        let (from, to) = (request.value("from"), request.value("to"));
        let limit = request
            .value("limit")
            .parse()
            .unwrap_or(MAX_PAGE_ROWS)
            .min(MAX_PAGE_ROWS);
        let is_asked = |key: &&Key| {
            key.0 == table
                && key.1 == part
                && key.2.as_str() >= from
                && (to.is_empty() || key.2.as_str() < to)
        };
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for key in state.rows.keys().filter(is_asked) {
            let row = state.row(key);
            bytes += row.to_string().len();
            if rows.len() == limit || (bytes > MAX_PAGE_BYTES && !rows.is_empty()) {
                has_more = true;
                break;
            }
            rows.push(row);
        }
        self.response(200, &state, rows, has_more)
    }

    fn feed(&self, request: &Request) -> Response {
        thread::sleep(CALL_TIME);
        let table = request.value("table");
        let after: u64 = request.value("after").parse().unwrap_or(0);
        let wait = request.value("waitMs").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let is_new = |(version, key, _): &&(u64, Key, _)| *version > after && key.0 == table;
            let row = |(version, key, value): &(u64, Key, Option<String>)| {
                row_json(key, *version, value.as_deref(), value.is_none())
            };
            let rows: Vec<Json> = state.history.iter().filter(is_new).map(row).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.response(200, &state, rows, false);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn response(&self, status: u16, state: &State, rows: Vec<Json>, has_more: bool) -> Response {
        let now = self.start.elapsed().as_millis() as u64;
        let body = object(vec![
            ("rows", rows.into()),
            ("hasMore", has_more.into()),
            ("rowVersion", state.version.into()),
            ("nowMs", (now + 1_000_000).into()),
        ]);
        Response {
            status,
            body: body.to_string(),
        }
    }
}

impl State {
    fn write(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => self.rows.insert(key.clone(), (self.version, value.clone())),
                None => self.rows.remove(&key),
            };
            self.history.push((self.version, key, value));
        }
    }

    /// Returns the current row with this key, which need not exist.
    fn row(&self, key: &Key) -> Json {
        match self.rows.get(key) {
            Some((version, value)) => row_json(key, *version, Some(value), false),
            None => row_json(key, 0, None, false),
        }
    }
}

fn key_of(row: &Json) -> Key {
    let text = |name| row.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row_json(key: &Key, version: u64, value: Option<&str>, is_deleted: bool) -> Json {
    let mut fields = vec![
        ("table", key.0.as_str().into()),
        ("part", key.1.as_str().into()),
        ("key", key.2.as_str().into()),
        ("rowVersion", version.into()),
    ];
    fields.extend(value.map(|value| ("value", value.into())));
    if is_deleted {
        fields.push(("deleted", true.into()));
    }
    object(fields)
}
