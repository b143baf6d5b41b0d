//! Stand-in of the platform's metadata store: rows, transactions and feeds, with the
//! sizes and answers of PROTOCOL.md.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, serve};
use crate::json::{Json, base64, from_base64, quote};

const ROW_BYTES: usize = 65_536;
const CALL_BYTES: usize = 1_000_000;
const CALL_ENTRIES: usize = 100;
const TXN_TIME: Duration = Duration::from_millis(5);

type Key = (String, String);

#[derive(Clone)]
struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
    /// Changes: version and key, in order.
    history: Vec<(u64, Key)>,
    /// Versions below this one are no longer in the history.
    oldest: u64,
    /// How many more writes of a job's row get no answer, by the caller's number.
    lost: BTreeMap<usize, u32>,
    is_down: bool,
    /// Whether the feeds hear nothing.
    is_deaf: bool,
    /// How often the feeds were cut.
    cuts: u32,
    refused: Vec<String>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn new() -> Self {
        Store {
            shared: Arc::default(),
            started: Instant::now(),
        }
    }

    /// Opens an address of the store for one caller.
    pub fn listen(&self, caller: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let store = self.clone();
        serve(listener, Arc::new(move |req| store.handle(caller, &req)));
        address
    }

    /// The next `count` writes of a job's row by a caller get no answer; the first is done.
    pub fn lose_job_writes(&self, caller: usize, count: u32) {
        self.shared.0.lock().unwrap().lost.insert(caller, count);
    }

    /// From now on the feeds hear nothing.
    pub fn deafen(&self) {
        self.shared.0.lock().unwrap().is_deaf = true;
    }

    /// Discards the history and cuts the feeds; later ones hear all again.
    pub fn compact(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.oldest = state.version;
        state.history.clear();
        state.is_deaf = false;
        state.cuts += 1;
        self.shared.1.notify_all();
    }

    /// The store turns all calls of the system away with 503, or serves them again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.0.lock().unwrap().is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Writes or removes a row of the operator; the return is the ack.
    pub fn operate(&self, key: &str, value: Option<&str>) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        state.change(
            ("op".to_owned(), key.to_owned()),
            value.map(|v| v.as_bytes().to_vec()),
        );
        self.shared.1.notify_all();
    }

    /// Returns the value of a row of the system.
    pub fn system_row(&self, key: &str) -> Option<String> {
        let state = self.shared.0.lock().unwrap();
        let row = state.rows.get(&("cumindeck".to_owned(), key.to_owned()))?;
        row.value
            .clone()
            .and_then(|value| String::from_utf8(value).ok())
    }

    /// Returns why calls were refused for their size, and how often.
    pub fn refused(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for reason in &self.shared.0.lock().unwrap().refused {
            *counts.entry(reason.clone()).or_default() += 1;
        }
        counts
    }

    fn handle(&self, caller: usize, req: &Request) -> Reply {
        if self.shared.0.lock().unwrap().is_down {
            return Reply::Send(503, "{}".to_owned());
        }
        match req.path.as_str() {
            "/rows-tx" => self.transact(caller, req),
            "/rows-get" => self.read(req),
            "/rows-feed" => self.feed(req),
            _ => Reply::Send(404, "{}".to_owned()),
        }
    }

    fn transact(&self, caller: usize, req: &Request) -> Reply {
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Send(400, "{}".to_owned());
        };
        std::thread::sleep(TXN_TIME);
        let mut state = self.shared.0.lock().unwrap();
        let lists = ["expectedRev", "write", "remove"].map(|name| body.get(name).list());
        let entries: usize = lists.iter().map(|list| list.len()).sum();
        let too_large = if req.body.len() > CALL_BYTES {
            Some(format!("a call of more than {CALL_BYTES} bytes"))
        } else if entries > CALL_ENTRIES {
            Some(format!("a call of more than {CALL_ENTRIES} entries"))
        } else {
            let is_large = |row: &&Json| from_base64(row.get("value").text()).len() > ROW_BYTES;
            let row = lists[1].iter().find(is_large);
            row.map(|row| {
                format!(
                    "row {} of more than {ROW_BYTES} bytes",
                    row.get("key").text()
                )
            })
        };
        if let Some(reason) = too_large {
            state.refused.push(reason.clone());
            return Reply::Send(413, format!("{{\"error\":{}}}", quote(&reason)));
        }
        let key = |row: &Json| {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let holds = |row: &Json| {
            let known = state.rows.get(&key(row));
            let version = known
                .filter(|row| row.value.is_some())
                .map_or(0, |row| row.version);
            row.get("rowVersion").number() == Some(version)
        };
        let is_job = lists[1]
            .iter()
            .any(|row| row.get("key").text().starts_with("j/"));
        if !lists[0].iter().all(holds) {
            let rows: Vec<String> = lists[0].iter().map(|row| state.wire(&key(row))).collect();
            let reply = Reply::Send(412, state.reply(&rows, self.started));
            return state.lose(caller, is_job, reply);
        }
        state.version += 1;
        for row in lists[1] {
            let value = from_base64(row.get("value").text());
            state.change(key(row), Some(value));
        }
        for row in lists[2] {
            state.change(key(row), None);
        }
        self.shared.1.notify_all();
        let reply = Reply::Send(200, state.reply(&[], self.started));
        state.lose(caller, is_job, reply)
    }

    fn read(&self, req: &Request) -> Reply {
        let state = self.shared.0.lock().unwrap();
        let arg = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let (table, from, to) = (arg("table"), arg("from"), arg("to"));
        let limit = arg("limit").parse().unwrap_or(500).min(500);
        let mut rows = Vec::new();
        let mut has_more = false;
        for ((row_table, key), row) in &state.rows {
            let is_in = *row_table == table && *key >= from && (to.is_empty() || *key < to);
            if !is_in || row.value.is_none() {
                continue;
            }
            if rows.len() == limit {
                has_more = true;
                break;
            }
            rows.push(state.wire(&(row_table.clone(), key.clone())));
        }
        let mut reply = state.reply(&rows, self.started);
        reply.insert_str(1, &format!("\"hasMore\":{has_more},"));
        Reply::Send(200, reply)
    }

    fn feed(&self, req: &Request) -> Reply {
        let arg = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let (table, after) = (arg("table"), arg("after").parse::<u64>().unwrap_or(0));
        let wait: u64 = arg("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        let cuts = state.cuts;
        loop {
            if state.cuts > cuts {
                return Reply::Cut;
            }
            if state.is_down {
                return Reply::Send(503, "{}".to_owned());
            }
            if after < state.oldest {
                return Reply::Send(410, "{}".to_owned());
            }
            let mut rows = Vec::new();
            let mut seen = std::collections::BTreeSet::new();
            for (version, key) in &state.history {
                // A row that has changed again comes once, at its last change.
                let is_last = state
                    .rows
                    .get(key)
                    .is_some_and(|row| row.version == *version);
                if *version > after && key.0 == table && is_last && seen.insert(key.clone()) {
                    rows.push(state.wire(key));
                }
            }
            let now = Instant::now();
            if !state.is_deaf && (!rows.is_empty() || now >= until) {
                return Reply::Send(200, state.reply(&rows, self.started));
            }
            let wait = until
                .saturating_duration_since(now)
                .max(Duration::from_millis(5));
            state = self.shared.1.wait_timeout(state, wait).unwrap().0;
        }
    }
}

impl State {
    fn change(&mut self, key: Key, value: Option<Vec<u8>>) {
        let version = self.version;
        self.rows.insert(key.clone(), Row { value, version });
        self.history.push((version, key));
    }

    /// Returns the reply, or silence if it is to be lost.
    fn lose(&mut self, caller: usize, is_job: bool, reply: Reply) -> Reply {
        match self.lost.get_mut(&caller) {
            Some(left) if is_job && *left > 0 => {
                *left -= 1;
                Reply::Silence
            }
            _ => reply,
        }
    }

    fn wire(&self, key: &Key) -> String {
        let name = format!(
            "\"table\":{},\"part\":\"\",\"key\":{}",
            quote(&key.0),
            quote(&key.1)
        );
        match self.rows.get(key) {
            Some(Row {
                value: Some(value),
                version,
            }) => {
                format!(
                    "{{{name},\"value\":\"{}\",\"rowVersion\":{version}}}",
                    base64(value)
                )
            }
            Some(row) => format!("{{{name},\"deleted\":true,\"rowVersion\":{}}}", row.version),
            None => format!("{{{name},\"rowVersion\":0}}"),
        }
    }

    fn reply(&self, rows: &[String], started: Instant) -> String {
        let now = started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"rowVersion\":{},\"nowMs\":{now}}}",
            rows.join(","),
            self.version
        )
    }
}
