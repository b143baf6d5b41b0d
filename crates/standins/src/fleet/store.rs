//! HTTP around the rows of the store: one task owns them, the handlers send it
//! messages.

use std::time::Duration;

use cumindeck_service::{Shutdown, Timer, serve_http};
use cumindeck_types::Uptime;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use viz::types::State;
use viz::{Request, Response, Result, Router, StatusCode};

use super::http::{CALL_QUEUE, answer, ask, body, query};
use super::rows::{Rows, TransactError};
use super::wire::{StoreFaults, WireRow, WireRows, WireTransaction};

/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);

/// Time for which an answer that counts as lost is held back.
const LOST: Duration = Duration::from_secs(30);

/// Delay of a write that is done late.
const LATE: Duration = Duration::from_millis(1_500);

/// Longest wait of a feed.
const MAX_FEED_WAIT: Duration = Duration::from_secs(30);

/// Serves the store stand-in until the shutdown starts.
pub async fn serve_store(listener: TcpListener, timer: Timer, shutdown: Shutdown) {
    let (tx, rx) = mpsc::channel(CALL_QUEUE);
    let store = Store {
        rows: Rows::default(),
        faults: StoreFaults::default(),
        writes: 0,
        feeds: Vec::new(),
        late: Vec::new(),
        timer,
    };
    tokio::spawn(store.run(rx));
    let router = Router::new()
        .post("/rows-tx", transact)
        .get("/rows-get", read)
        .get("/rows-feed", follow)
        .put("/standin/operator-row", put_operator_row)
        .put("/standin/faults", put_faults)
        .with(State::new(tx));
    serve_http(listener, router, shutdown).await;
}

/// A status with the rows of its answer, and a delay.
struct Answer {
    status: StatusCode,
    rows: WireRows,
    delay: Duration,
}

enum Call {
    Transact(WireTransaction, oneshot::Sender<Answer>),
    Read([String; 4], oneshot::Sender<Answer>),
    Follow(Feed),
    SetOperatorRow(OperatorRow, oneshot::Sender<u64>),
    SetFaults(StoreFaults, oneshot::Sender<()>),
}

/// A feed that waits for a change.
struct Feed {
    table: String,
    after: u64,
    wait: Duration,
    until: Uptime,
    tx: oneshot::Sender<Answer>,
}

/// A row that the operator writes, or removes if it has no value.
#[derive(Debug, Deserialize)]
struct OperatorRow {
    key: String,
    value: Option<String>,
}

/// The owner of the rows.
struct Store {
    rows: Rows,
    faults: StoreFaults,
    writes: u64,
    feeds: Vec<Feed>,
    /// Writes that are done late.
    late: Vec<(Uptime, WireTransaction)>,
    timer: Timer,
}

impl Store {
    async fn run(mut self, mut rx: mpsc::Receiver<Call>) {
        let mut alarm = self.timer.alarm();
        loop {
            let feeds = self.feeds.iter().map(|feed| feed.until);
            let late = self.late.iter().map(|(at, _)| *at);
            alarm.set(feeds.chain(late).min());
            tokio::select! {
                call = rx.recv() => {
                    let Some(call) = call else { return };
                    self.handle(call);
                }
                () = alarm.wait() => {}
            }
            self.do_late_writes();
            self.answer_feeds();
        }
    }

    fn handle(&mut self, call: Call) {
        match call {
            Call::Transact(transaction, tx) => {
                let answer = self.transact(transaction);
                reply(tx, answer);
            }
            Call::Read([table, part, from, to], tx) => {
                let (rows, has_more) = self.rows.read(&table, &part, &from, &to);
                let mut answer = self.answer(StatusCode::OK, rows);
                answer.rows.has_more = has_more;
                reply(tx, self.spoil(answer));
            }
            Call::Follow(feed) => {
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

    fn transact(&mut self, transaction: WireTransaction) -> Answer {
        if self.faults.is_busy || self.faults.is_silent {
            let answer = self.answer(StatusCode::OK, Vec::new());
            return self.spoil(answer);
        }
        self.writes += 1;
        let is_nth = |every: u64| every > 0 && self.writes.is_multiple_of(every);
        let (is_lost, is_late) = (
            is_nth(self.faults.lose_every),
            is_nth(self.faults.late_every),
        );
        if is_late {
            self.late.push((self.timer.now().plus(LATE), transaction));
            return Answer {
                delay: LOST,
                ..self.answer(StatusCode::OK, Vec::new())
            };
        }
        let mut answer = match self.rows.transact(&transaction) {
            Ok(_) => self.answer(StatusCode::OK, Vec::new()),
            Err(TransactError::Conflict(rows)) => {
                self.answer(StatusCode::PRECONDITION_FAILED, rows)
            }
            Err(TransactError::Forbidden) => self.answer(StatusCode::FORBIDDEN, Vec::new()),
        };
        answer.delay = if is_lost { LOST } else { TRANSACTION_TIME };
        self.spoil(answer)
    }

    fn do_late_writes(&mut self) {
        let now = self.timer.now();
        let due = self.late.extract_if(.., |(at, _)| *at <= now);
        for (_, transaction) in due.collect::<Vec<_>>() {
            let outcome = self.rows.transact(&transaction);
            tracing::info!(event = "late_write", is_done = outcome.is_ok());
        }
    }

    /// Answers feeds that have changes or have waited long enough.
    fn answer_feeds(&mut self) {
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
            let answer = match rows {
                Some(rows) => self.answer(StatusCode::OK, rows),
                None => self.answer(StatusCode::GONE, Vec::new()),
            };
            reply(feed.tx, self.spoil(answer));
        }
    }

    fn answer(&self, status: StatusCode, rows: Vec<WireRow>) -> Answer {
        let now = self.timer.now().as_duration();
        Answer {
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

    /// Applies the faults to an answer.
    fn spoil(&self, mut answer: Answer) -> Answer {
        answer.delay += Duration::from_millis(self.faults.delay_ms);
        if self.faults.is_silent {
            answer.delay = LOST;
        }
        if self.faults.is_busy {
            answer.status = StatusCode::SERVICE_UNAVAILABLE;
            answer.rows = WireRows::default();
        }
        answer
    }
}

/// Sends an answer; a caller that has gone away is not an error.
fn reply<T>(tx: oneshot::Sender<T>, answer: T) {
    let _ = tx.send(answer);
}

async fn transact(mut req: Request) -> Result<Response> {
    let transaction: WireTransaction = body(&mut req).await?;
    respond(ask(&req, |tx| Call::Transact(transaction, tx)).await?).await
}

async fn read(req: Request) -> Result<Response> {
    let names = ["table", "part", "from", "to"];
    let wanted = names.map(|name| query(&req, name));
    respond(ask(&req, |tx| Call::Read(wanted, tx)).await?).await
}

async fn follow(req: Request) -> Result<Response> {
    let number = |name: &str| query(&req, name).parse::<u64>().unwrap_or(0);
    let wait = Duration::from_millis(number("waitMs")).min(MAX_FEED_WAIT);
    let (table, after) = (query(&req, "table"), number("after"));
    let feed = |tx| {
        Call::Follow(Feed {
            table,
            after,
            wait,
            until: Uptime::ZERO,
            tx,
        })
    };
    respond(ask(&req, feed).await?).await
}

async fn put_operator_row(mut req: Request) -> Result<Response> {
    let row: OperatorRow = body(&mut req).await?;
    let version = ask(&req, |tx| Call::SetOperatorRow(row, tx)).await?;
    Ok(answer(StatusCode::OK, &version))
}

async fn put_faults(mut req: Request) -> Result<Response> {
    let faults: StoreFaults = body(&mut req).await?;
    tracing::info!(event = "faults_set", faults = ?faults);
    ask(&req, |tx| Call::SetFaults(faults, tx)).await?;
    Ok(answer(StatusCode::OK, &()))
}

async fn respond(result: Answer) -> Result<Response> {
    tokio::time::sleep(result.delay).await;
    Ok(answer(result.status, &result.rows))
}
