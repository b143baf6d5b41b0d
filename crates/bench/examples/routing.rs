//! Prints the routing measurement; `cargo run --release --example routing`.

use std::io;

use cumindeck_bench::routing::{RoutingOptions, measure};

fn main() -> io::Result<()> {
    measure(RoutingOptions::default(), &mut io::stdout()).map(|_| ())
}
