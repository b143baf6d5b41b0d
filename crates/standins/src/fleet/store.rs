//! HTTP server of the store stand-in: one task owns the rows, and the handlers send it
//! messages.

use std::time::Duration;

use cumindeck_service::{Shutdown, Timer, serve_http};
use cumindeck_types::Uptime;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{Request, Response, Result, Router, StatusCode};

use super::http::{CALL_QUEUE, call, json_body, json_response, query_value};
use super::rows::{Rows, TransactError};
use super::wire::{StoreFaults, WireRow, WireRows, WireTransaction};

/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

/// Delay of a response that counts as lost.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(30);

/// Delay of a write that is applied late.
const LATE_WRITE_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum wait of a feed for a change.
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// Serves the store stand-in until the shutdown starts.
pub async fn serve_store(listener: TcpListener, timer: Timer, shutdown: Shutdown) {
    let (tx, rx) = mpsc::channel(CALL_QUEUE);
    let store = Store {
        rows: Rows::default(),
        faults: StoreFaults::default(),
        write_count: 0,
        feeds: Vec::new(),
        late_writes: Vec::new(),
        timer,
    };
    tokio::spawn(store.run(rx));
    let router = Router::new()
        .post("/rows-tx", transact)
        .get("/rows-get", read)
        .get("/rows-feed", feed)
        .put("/standin/operator-row", put_operator_row)
        .put("/standin/faults", put_faults)
        .with(State::new(tx));
    serve_http(listener, router, shutdown).await;
}

/// A response, to be sent after a delay.
struct StoreResponse {
    status: StatusCode,
    rows: WireRows,
    delay: Duration,
}

enum Call {
    Transact(WireTransaction, oneshot::Sender<StoreResponse>),
    Read([String; 4], oneshot::Sender<StoreResponse>),
    Feed(Feed),
    SetOperatorRow(OperatorRow, oneshot::Sender<u64>),
    SetFaults(StoreFaults, oneshot::Sender<()>),
}

/// A long poll that waits for changes of a table.
struct Feed {
    table: String,
    after: u64,
    wait: Duration,
    until: Uptime,
    tx: oneshot::Sender<StoreResponse>,
}

/// A row that the operator writes, or removes if it has no value.
#[derive(Debug, Deserialize)]
struct OperatorRow {
    key: String,
    value: Option<String>,
}

/// The task that owns the rows.
struct Store {
    rows: Rows,
    faults: StoreFaults,
    write_count: u64,
    feeds: Vec<Feed>,
    /// Writes that will be applied late.
    late_writes: Vec<(Uptime, WireTransaction)>,
    timer: Timer,
}

impl Store {
    async fn run(mut self, mut rx: mpsc::Receiver<Call>) {
        let mut alarm = self.timer.alarm();
        loop {
            let feeds = self.feeds.iter().map(|feed| feed.until);
            let late_writes = self.late_writes.iter().map(|(at, _)| *at);
            alarm.set(feeds.chain(late_writes).min());
            tokio::select! {
                call = rx.recv() => {
                    let Some(call) = call else { return };
                    self.handle(call);
                }
                () = alarm.wait() => {}
            }
            self.apply_late_writes();
            self.respond_to_feeds();
        }
    }

    fn handle(&mut self, call: Call) {
        match call {
            Call::Transact(transaction, tx) => {
                let response = self.transact(transaction);
                reply(tx, response);
            }
            Call::Read([table, part, from, to], tx) => {
                let (rows, has_more) = self.rows.read(&table, &part, &from, &to);
                let mut response = self.response(StatusCode::OK, rows);
                response.rows.has_more = has_more;
                reply(tx, self.apply_faults(response));
            }
            Call::Feed(feed) => {
                let until = self.timer.now().plus(feed.wait);
                self.feeds.push(Feed { until, ..feed });
            }
            Call::SetOperatorRow(row, tx) => {
                reply(tx, self.rows.set_operator_row(&row.key, row.value));
            }
            Call::SetFaults(faults, tx) => {
                if faults.drops_history {
                    self.rows.drop_history();
                }
                self.faults = faults;
                reply(tx, ());
            }
        }
    }

    fn transact(&mut self, transaction: WireTransaction) -> StoreResponse {
        if self.faults.is_busy || self.faults.is_silent {
            let response = self.response(StatusCode::OK, Vec::new());
            return self.apply_faults(response);
        }
        self.write_count += 1;
        let is_nth = |every: u64| every > 0 && self.write_count.is_multiple_of(every);
        let (is_lost, is_late) = (
            is_nth(self.faults.lose_every),
            is_nth(self.faults.late_every),
        );
        if is_late {
            self.late_writes
                .push((self.timer.now().plus(LATE_WRITE_DELAY), transaction));
            return StoreResponse {
                delay: LOST_RESPONSE_DELAY,
                ..self.response(StatusCode::OK, Vec::new())
            };
        }
        let mut response = match self.rows.transact(&transaction) {
            Ok(_) => self.response(StatusCode::OK, Vec::new()),
            Err(TransactError::Conflict(rows)) => {
                self.response(StatusCode::PRECONDITION_FAILED, rows)
            }
            Err(TransactError::Forbidden) => self.response(StatusCode::FORBIDDEN, Vec::new()),
        };
        response.delay = if is_lost {
            LOST_RESPONSE_DELAY
        } else {
            TRANSACTION_TIME
        };
        self.apply_faults(response)
    }

    fn apply_late_writes(&mut self) {
        let now = self.timer.now();
        let due = self.late_writes.extract_if(.., |(at, _)| *at <= now);
        for (_, transaction) in due.collect::<Vec<_>>() {
            let outcome = self.rows.transact(&transaction);
            tracing::info!(event = "late_write", is_done = outcome.is_ok());
        }
    }

    /// Responds to feeds that have changes or whose wait is over.
    fn respond_to_feeds(&mut self) {
        let now = self.timer.now();
        let (mut waiting, mut due) = (Vec::new(), Vec::new());
        for feed in std::mem::take(&mut self.feeds) {
            match self.rows.changes(&feed.table, feed.after) {
                Some(rows) if rows.is_empty() && now < feed.until => waiting.push(feed),
                rows => due.push((feed, rows)),
            }
        }
        self.feeds = waiting;
        for (feed, rows) in due {
            let response = match rows {
                Some(rows) => self.response(StatusCode::OK, rows),
                None => self.response(StatusCode::GONE, Vec::new()),
            };
            reply(feed.tx, self.apply_faults(response));
        }
    }

    fn response(&self, status: StatusCode, rows: Vec<WireRow>) -> StoreResponse {
        let now = self.timer.now().as_duration();
        StoreResponse {
            status,
            rows: WireRows {
                rows,
                has_more: false,
                row_version: self.rows.version(),
                now_ms: u64::try_from(now.as_millis()).unwrap_or(0),
            },
            delay: Duration::ZERO,
        }
    }

    /// Applies the injected faults to a response.
    fn apply_faults(&self, mut response: StoreResponse) -> StoreResponse {
        response.delay += Duration::from_millis(self.faults.delay_ms);
        if self.faults.is_silent {
            response.delay = LOST_RESPONSE_DELAY;
        }
        if self.faults.is_busy {
            response.status = StatusCode::SERVICE_UNAVAILABLE;
            response.rows = WireRows::default();
        }
        response
    }
}

/// Sends a reply; a handler whose client has disconnected no longer waits for it.
fn reply<T>(tx: oneshot::Sender<T>, value: T) {
    let _ = tx.send(value);
}

async fn transact(mut req: Request) -> Result<Response> {
    let transaction: WireTransaction = json_body(&mut req).await?;
    respond(call(&req, |tx| Call::Transact(transaction, tx)).await?).await
}

async fn read(req: Request) -> Result<Response> {
    let names = ["table", "part", "from", "to"];
    let wanted = names.map(|name| query_value(&req, name));
    respond(call(&req, |tx| Call::Read(wanted, tx)).await?).await
}

async fn feed(req: Request) -> Result<Response> {
    let number = |name: &str| query_value(&req, name).parse::<u64>().unwrap_or(0);
    let wait = Duration::from_millis(number("waitMs")).min(MAX_FEED_WAIT);
    let (table, after) = (query_value(&req, "table"), number("after"));
    let feed = |tx| {
        Call::Feed(Feed {
            table,
            after,
            wait,
            until: Uptime::ZERO,
            tx,
        })
    };
    respond(call(&req, feed).await?).await
}

async fn put_operator_row(mut req: Request) -> Result<Response> {
    let row: OperatorRow = json_body(&mut req).await?;
    let version = call(&req, |tx| Call::SetOperatorRow(row, tx)).await?;
    Ok(json_response(StatusCode::OK, &version))
}

async fn put_faults(mut req: Request) -> Result<Response> {
    let faults: StoreFaults = json_body(&mut req).await?;
    tracing::info!(event = "faults_set", faults = ?faults);
    call(&req, |tx| Call::SetFaults(faults, tx)).await?;
    Ok(json_response(StatusCode::OK, &()))
}

async fn respond(result: StoreResponse) -> Result<Response> {
    tokio::time::sleep(result.delay).await;
    Ok(json_response(result.status, &result.rows))
}
